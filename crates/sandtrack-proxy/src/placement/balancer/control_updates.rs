//! Frames of the control plane: configurations and changes of them, evacuations, lists of upstreams, the census of proxies.
use super::Balancer;
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::Document;
use sandtrack_protocol::frames::{ToProxy, UpstreamEntry};
use sandtrack_protocol::schema;
use sandtrack_tiers::Millis;
use std::collections::HashSet;
use std::rc::Rc;

/// What became of a frame from the control plane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was applied, or is of no use here: older than what is known, or invalid.
    Applied,
    /// The change does not fit the configuration in force: the full one has to be requested.
    NeedsFullConfiguration,
}

impl Balancer {
    /// Applies a frame of the control plane. A frame with a lower number than what is known changes nothing, so that frames
    /// of a node that lags behind do no harm.
    pub fn apply(&mut self, now: Millis, frame: ToProxy) -> ApplyOutcome {
        match frame {
            ToProxy::Configuration {
                number, document, ..
            } => self.apply_configuration(now, number, &document),
            ToProxy::Changes {
                from_number,
                number,
                version,
                items,
                fields,
            } => {
                if number > self.configuration_number {
                    let base = self
                        .document
                        .as_ref()
                        .filter(|_| from_number == self.configuration_number);
                    match base.map(|base| base.apply(version, &items, &fields)) {
                        Some(Ok(document)) => self.activate_configuration(now, number, document),
                        _ => return ApplyOutcome::NeedsFullConfiguration,
                    }
                }
            }
            ToProxy::Evacuated { number, zones } => {
                if number >= self.evacuated_number {
                    self.evacuated_number = number;
                    self.evacuated_zones = zones.into_iter().collect();
                }
            }
            ToProxy::Upstreams {
                is_complete,
                entries,
                removed,
                ..
            } => self.apply_upstreams(now, is_complete, entries, &removed),
            ToProxy::Census {
                control_nodes,
                proxies,
                ..
            } => {
                self.known_proxy_count = Some(proxies.max(1));
                self.last_control_heartbeat = now;
                self.control_nodes = control_nodes;
            }
            ToProxy::Heartbeat { attached: true } => self.last_control_heartbeat = now,
            ToProxy::PromptsSent(sent) => {
                self.prefill_queues.apply_reports(now, &sent, &self.policy);
            }
            ToProxy::Welcome { .. } | ToProxy::Heartbeat { attached: false } => {}
        }
        ApplyOutcome::Applied
    }

    fn apply_configuration(&mut self, now: Millis, number: u64, document: &str) {
        if self.document.is_some() && number <= self.configuration_number {
            return;
        }
        match Document::parse(document.as_bytes()) {
            Ok(document) => self.activate_configuration(now, number, document),
            Err(invalid) => log::error!("a configuration from control can't be read: {invalid}"),
        }
    }

    /// Puts a configuration in force, unless it is invalid.
    fn activate_configuration(&mut self, now: Millis, number: u64, document: Document) {
        let configuration = match Configuration::read(&document) {
            Ok(configuration) => configuration,
            Err(invalid) => {
                log::error!("a configuration from control is invalid: {invalid}");
                return;
            }
        };
        self.unread_fields = schema::unread_fields(&document);
        log::info!(
            "configuration {} in force{}",
            configuration.version,
            schema::no_effect_text(&self.unread_fields)
        );
        let before = self.configuration_version();
        let forward = configuration.version > before && number > self.configuration_number;
        check(Invariant::GoesForward, forward || before == 0, || {
            format!(
                "version {} of number {number} behind {before}",
                configuration.version
            )
        });
        self.configuration_number = number;
        self.first_byte_latencies
            .retain(|(name, _), _| configuration.routes.iter().any(|route| route.name == *name));
        self.document = Some(document);
        self.configuration = Some(Rc::new(configuration));
        self.state_changed = true;
        self.remove_unconfigured_services(now);
    }

    /// Drops the state of services that the configuration in force does not have. Their retry budgets stay for one window:
    /// a service that comes back within it must not earn its retries anew.
    fn remove_unconfigured_services(&mut self, now: Millis) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let is_configured = |name: &str| configuration.service(name).is_some();
        let window = self.bounds.retry_window_s * 1000.0;
        self.retry_budgets
            .retain(|name, budget| is_configured(name) || budget.has_events(now, window));
        self.idle_distrusted_until
            .retain(|name, _| is_configured(name));
        self.remote_last_used
            .retain(|(name, _), _| is_configured(name));
        self.tiers.retain(|name, _| is_configured(name));
        self.prefill_demands.retain(|name, _| is_configured(name));
        self.prefill_queues.retain_services(is_configured);
    }

    /// Applies a list of upstreams: a complete one (`complete`: whatever it lacks is removed), or what changed.
    fn apply_upstreams(
        &mut self,
        now: Millis,
        complete: bool,
        entries: Vec<UpstreamEntry>,
        removed: &[String],
    ) {
        self.state_changed |= !self.upstreams_received;
        self.upstreams_received = true;
        if complete {
            self.unlist_missing(&entries);
        }
        for entry in entries {
            let region = self.regions.get(&entry.zone).cloned().unwrap_or_default();
            self.upstreams.insert(entry, &region, now);
        }
        for identifier in removed {
            self.upstreams.remove(identifier);
        }
        self.upstreams.sweep();
    }

    fn unlist_missing(&mut self, entries: &[UpstreamEntry]) {
        let named: HashSet<&str> = entries
            .iter()
            .map(|entry| entry.identifier.as_str())
            .collect();
        let listed: Vec<usize> = self.upstreams.listed().collect();
        for index in listed {
            let upstream = self.upstreams.get_mut(index);
            if !named.contains(upstream.entry.identifier.as_str()) {
                upstream.listed = false;
            }
        }
    }
}
