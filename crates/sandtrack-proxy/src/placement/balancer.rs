//! The balancer: what a proxy knows, folded from what the control plane, its probes and its sends tell. Decisions on it are
//! in `placement`. Pure: time comes in, nothing is read or written here.
mod probes;

use crate::placement::budget::{share, RetryBudget};
use crate::placement::pace::Pace;
use crate::placement::prefill::{Estimate, Prefill};
use crate::placement::prompt_mix::PromptMix;
use crate::placement::region_trips::RegionTrips;
use crate::placement::upstreams::{Load, Table};
use crate::placement::zone_outlook::ZoneOutlook;
use crate::policy::Policy;
use crate::request::{hash, mix, ProxyRequest};
use rand::SeedableRng;
use rand_pcg::Pcg32;
use sandtrack_invariants::{check, Invariant};
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::Document;
use sandtrack_protocol::frames::{PromptSent, ProxyState, ToProxy};
use sandtrack_protocol::settings::{Bounds, Settings};
use sandtrack_tiers::{Millis, Tiers};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;

/// For so long after control was heard this proxy keeps its share of the bounds that hold over all proxies, in ms. Control
/// counts one that it does not hear for longer (`KEPT_MS` of `sandtrack_control::membership`), also with a frame under way.
const SHARE_LEASE: Millis = 25_000.0;
/// Among so many a proxy shares that does not know how many there are: more than most fleets have.
const UNKNOWN: u32 = 100;
/// Proxies that share an upstream's connections until their number is told, and the part of its limit that is used (ours).
const USUAL: f64 = 16.0;
const CONNECTIONS_USED: f64 = 0.9;

/// How a send ended, as far as the upstream is judged by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    Completed,
    /// It said that it is full, or another upstream has the address.
    Rejected,
    /// A 5xx of its own, or bytes that are no answer.
    ServerError,
    /// The connection failed or broke.
    ConnectionFailed,
    /// This side gave it up: its client left, or its time was over.
    Cancelled,
}

impl SendOutcome {
    /// Its name in logs and figures.
    pub fn name(self) -> &'static str {
        match self {
            SendOutcome::Completed => "answered",
            SendOutcome::Rejected => "turned_away",
            SendOutcome::ServerError => "faulty",
            SendOutcome::ConnectionFailed => "broken",
            SendOutcome::Cancelled => "given_up",
        }
    }
}

/// What came from the control plane that a proxy must answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Folded {
    Taken,
    /// The change does not fit what is held: the whole configuration is wanted.
    WantConfiguration,
}

pub struct Balancer {
    /// The constants that decisions go by.
    pub policy: Rc<Policy>,
    pub zone: String,
    pub region: String,
    regions: std::collections::BTreeMap<String, String>,
    pub bounds: Bounds,
    /// Number of the last committed change that is in force here.
    number: u64,
    document: Option<Document>,
    pub configuration: Option<Rc<Configuration>>,
    pub upstreams: Table,
    listed_once: bool,
    evacuated_number: u64,
    pub evacuated: HashSet<String>,
    pub proxies: u32,
    /// It was told how many proxies there are.
    counted: bool,
    /// When a control node that hears a majority, and so counts this proxy, was heard last.
    heard_control: Millis,
    pub control_nodes: Vec<String>,
    tiers: HashMap<String, Tiers>,
    retries: HashMap<String, RetryBudget>,
    /// By service.
    pub(crate) prompts: HashMap<String, PromptMix>,
    pub(crate) prefill: Prefill,
    zones: ZoneOutlook,
    /// Until when idle connections to a service's upstreams are not trusted, by service.
    idle_distrusted_until: HashMap<String, Millis>,
    pub(crate) region_trips: RegionTrips,
    /// When a request went by the circle to another region, by service and region.
    pub(crate) far_used: HashMap<(String, String), Millis>,
    /// By route, and whether the upstream is in another region.
    paces: HashMap<(String, bool), Pace>,
    /// When a request with a long prompt was placed last.
    pub long_prompt_at: Option<Millis>,
    pub rng: Pcg32,
    /// Tells proxies apart where a share is under one.
    pub(crate) identity: u64,
    pub leaving: bool,
    pub open: u32,
    /// Set when something changed that the control plane is told at once.
    pub changed: bool,
}

impl Balancer {
    /// One that decides by the default policy.
    pub fn new(settings: &Settings, seed: u64) -> Balancer {
        Balancer::with_policy(settings, seed, Rc::new(Policy::default()))
    }

    /// One that decides by this policy.
    pub fn with_policy(settings: &Settings, seed: u64, policy: Rc<Policy>) -> Balancer {
        Balancer {
            zones: ZoneOutlook::new(&policy),
            policy,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            regions: settings.zones.clone(),
            bounds: settings.bounds.clone(),
            number: 0,
            document: None,
            configuration: None,
            upstreams: Table::default(),
            listed_once: false,
            evacuated_number: 0,
            evacuated: HashSet::new(),
            proxies: UNKNOWN,
            counted: false,
            heard_control: f64::NEG_INFINITY,
            control_nodes: Vec::new(),
            tiers: HashMap::new(),
            retries: HashMap::new(),
            prompts: HashMap::new(),
            prefill: Prefill::default(),
            idle_distrusted_until: HashMap::new(),
            region_trips: RegionTrips::default(),
            far_used: HashMap::new(),
            paces: HashMap::new(),
            long_prompt_at: None,
            rng: Pcg32::seed_from_u64(seed),
            identity: hash(&settings.node_name),
            leaving: false,
            open: 0,
            changed: false,
        }
    }

    /// The settings were read again. Upstreams that are listed already are where the settings now say.
    pub fn settings_changed(&mut self, settings: &Settings) {
        self.bounds = settings.bounds.clone();
        self.regions = settings.zones.clone();
        let listed: Vec<usize> = self.upstreams.listed().collect();
        for place in listed {
            let upstream = self.upstreams.get_mut(place);
            upstream.region = self
                .regions
                .get(&upstream.entry.zone)
                .cloned()
                .unwrap_or_default();
        }
    }

    /// It has what it needs to serve.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.listed_once && !self.leaving
    }

    pub fn state(&self) -> ProxyState {
        let version = self
            .configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version);
        ProxyState {
            ready: self.is_ready(),
            leaving: self.leaving,
            version,
            open: self.open,
        }
    }

    /// Takes what the control plane tells. Nothing goes back to a lower number.
    pub fn fold(&mut self, now: Millis, frame: ToProxy) -> Folded {
        match frame {
            ToProxy::Configuration {
                number, document, ..
            } => {
                if self.document.is_none() || number > self.number {
                    match Document::parse(document.as_bytes()) {
                        Ok(document) => return self.adopt(now, number, document),
                        Err(invalid) => {
                            log::error!("a configuration from control can't be read: {invalid}")
                        }
                    }
                }
            }
            ToProxy::Changes {
                from_number,
                number,
                version,
                items,
                fields,
            } => {
                if number > self.number {
                    let held = self
                        .document
                        .as_ref()
                        .filter(|_| from_number == self.number);
                    match held.map(|held| held.apply(version, &items, &fields)) {
                        Some(Ok(document)) => return self.adopt(now, number, document),
                        _ => return Folded::WantConfiguration,
                    }
                }
            }
            ToProxy::Evacuated { number, zones } => {
                if number >= self.evacuated_number {
                    self.evacuated_number = number;
                    self.evacuated = zones.into_iter().collect();
                }
            }
            ToProxy::Upstreams {
                whole,
                entries,
                gone,
                ..
            } => {
                self.changed |= !self.listed_once;
                self.listed_once = true;
                if whole {
                    let named: HashSet<&str> = entries
                        .iter()
                        .map(|entry| entry.identifier.as_str())
                        .collect();
                    let listed: Vec<usize> = self.upstreams.listed().collect();
                    for place in listed {
                        if !named.contains(self.upstreams.get(place).entry.identifier.as_str()) {
                            self.upstreams.get_mut(place).listed = false;
                        }
                    }
                }
                for entry in entries {
                    let region = self.regions.get(&entry.zone).cloned().unwrap_or_default();
                    self.upstreams.list(entry, &region, now);
                }
                for identifier in gone {
                    self.upstreams.gone(&identifier);
                }
                self.upstreams.sweep();
            }
            ToProxy::Census {
                control_nodes,
                proxies,
                ..
            } => {
                self.proxies = proxies.max(1);
                self.counted = true;
                self.heard_control = now;
                self.control_nodes = control_nodes;
            }
            ToProxy::Beat { attached: true } => self.heard_control = now,
            ToProxy::PromptsSent(sent) => self.prefill.told(now, &sent, &self.policy),
            ToProxy::Welcome { .. } | ToProxy::Beat { attached: false } => {}
        }
        Folded::Taken
    }

    fn adopt(&mut self, now: Millis, number: u64, document: Document) -> Folded {
        match Configuration::read(&document) {
            Ok(configuration) => {
                log::info!("configuration {} in force", configuration.version);
                let before = self
                    .configuration
                    .as_ref()
                    .map_or(0, |before| before.version);
                let forward = configuration.version > before && number > self.number;
                check(Invariant::GoesForward, forward || before == 0, || {
                    format!(
                        "version {} of number {number} behind {before}",
                        configuration.version
                    )
                });
                self.number = number;
                self.paces.retain(|(name, _), _| {
                    configuration.routes.iter().any(|route| route.name == *name)
                });
                self.document = Some(document);
                self.configuration = Some(Rc::new(configuration));
                self.changed = true;
                self.forget_services(now);
            }
            Err(invalid) => log::error!("a configuration from control is invalid: {invalid}"),
        }
        Folded::Taken
    }

    /// What is kept of services that the configuration does not have goes; what their requests earned, and the repeats that used it,
    /// with its window: a service may come back within it.
    fn forget_services(&mut self, now: Millis) {
        let Some(configuration) = &self.configuration else {
            return;
        };
        let span = self.bounds.retry_window_s * 1000.0;
        self.retries.retain(|name, budget| {
            configuration.service(name).is_some() || budget.is_used(now, span)
        });
        self.idle_distrusted_until
            .retain(|name, _| configuration.service(name).is_some());
        self.far_used
            .retain(|(name, _), _| configuration.service(name).is_some());
        self.tiers
            .retain(|name, _| configuration.service(name).is_some());
        self.prompts
            .retain(|name, _| configuration.service(name).is_some());
        self.prefill
            .retain_services(|name| configuration.service(name).is_some());
    }

    /// Among how many proxies a bound over all is shared, as far as this one may rely on it.
    fn sharers(&self, now: Millis) -> u32 {
        match now - self.heard_control <= SHARE_LEASE {
            true => self.proxies,
            false => self.proxies.max(UNKNOWN),
        }
    }

    /// Sends a second that a cold upstream gets from this proxy at most.
    pub fn cold_share(&self, now: Millis, place: usize) -> u32 {
        let upstream = self.upstreams.get(place);
        let service = self
            .configuration
            .as_ref()
            .and_then(|all| all.service(&upstream.entry.service));
        let rate = service.map_or(0.0, |service| service.cold_rate_s);
        if rate <= 0.0 {
            return u32::MAX;
        }
        let bound = rate * self.bounds.cold_overshoot + self.bounds.cold_slack;
        share(bound, self.sharers(now), mix(self.identity ^ upstream.hash))
    }

    /// Connections to one upstream that this proxy may hold.
    pub fn connection_share(&self, place: usize) -> usize {
        let service = self.upstreams.get(place).entry.service.as_str();
        let service = self
            .configuration
            .as_ref()
            .and_then(|all| all.service(service));
        let limit = service.map_or(100.0, |service| f64::from(service.connection_limit));
        // What an upstream does not take it resets, and no rule is broken: until the number is known a usual one serves.
        let proxies = if self.counted {
            f64::from(self.proxies)
        } else {
            USUAL
        };
        ((limit * CONNECTIONS_USED / proxies) as usize).max(1)
    }

    /// Services of which requests and repeats are counted.
    pub fn remembered_services(&self) -> usize {
        self.retries.len()
    }

    /// A request for a service came.
    pub fn came(&mut self, now: Millis, request: &ProxyRequest) {
        let span = self.bounds.retry_window_s * 1000.0;
        self.retries
            .entry(request.service.clone())
            .or_default()
            .request(now, span);
        self.note_prompt(now, request);
    }

    fn note_prompt(&mut self, now: Millis, request: &ProxyRequest) {
        let Some((prompt, _)) = request.tokens else {
            return;
        };
        let homes = &request.route.home_regions;
        let nothing_seen = || PromptMix::new(&self.policy);
        let mix = self
            .prompts
            .entry(request.service.clone())
            .or_insert_with(nothing_seen);
        if request.shared_tokens() >= self.policy.kept_tokens {
            let own = prompt.saturating_sub(request.shared_tokens()) as f64;
            mix.long_prompt(now, own);
        } else {
            mix.other_request(now, homes, prompt as f64);
        }
    }

    /// Whether the shared budget has one more send beyond the first; it is counted if so.
    pub fn may_repeat(&mut self, now: Millis, service: &str) -> bool {
        let sharers = self.sharers(now);
        let bounds = &self.bounds;
        let (span, ratio, slack) = (
            bounds.retry_window_s * 1000.0,
            bounds.retry_budget_ratio,
            bounds.retry_budget_slack,
        );
        let budget = self.retries.entry(service.to_owned()).or_default();
        budget.repeat(now, span, ratio, slack, sharers)
    }

    /// A request goes to an upstream.
    pub fn sent(&mut self, place: usize) {
        self.upstreams.get_mut(place).own += 1;
    }

    /// A request that goes to an upstream has a long prompt: how long that takes to read there; none where it is short.
    pub fn prompt_sent(
        &mut self,
        now: Millis,
        request: &ProxyRequest,
        place: usize,
    ) -> Option<Estimate> {
        let is_long = request.shared_tokens() >= self.policy.kept_tokens;
        is_long.then(|| {
            self.prefill
                .sent(now, request, self.upstreams.get(place), &self.policy)
        })
    }

    /// Long prompts that this proxy sent and that control was not told of yet.
    pub fn take_prompts_sent(&mut self) -> Vec<PromptSent> {
        self.prefill.take_untold()
    }

    /// A send is over.
    pub fn ended(&mut self, now: Millis, place: usize, ended: SendOutcome) {
        let rest_until = now + self.policy.rest_ms;
        let upstream = self.upstreams.get_mut(place);
        check(Invariant::SendsAreCounted, upstream.own > 0, || {
            format!("none is under way at {}", upstream.entry.identifier)
        });
        upstream.own = upstream.own.saturating_sub(1);
        match ended {
            SendOutcome::Completed => upstream.run.succeeded(),
            SendOutcome::Rejected => upstream.rests_until = rest_until,
            SendOutcome::ServerError => upstream.rests_until = rest_until,
            // Where the way is not known yet, a failure says that it was not waited for long enough.
            SendOutcome::ConnectionFailed
                if self.region_trips.get(&upstream.region).is_none()
                    && upstream.heard_at.is_infinite() =>
            {
                upstream.rests_until = rest_until;
                upstream.next_probe = now;
            }
            SendOutcome::ConnectionFailed => {
                upstream.run.failed();
                upstream.rests_until = rest_until;
                upstream.next_probe = now;
                self.note_failure(now, place);
            }
            SendOutcome::Cancelled => {}
        }
        if !self.upstreams.get(place).listed {
            self.upstreams.sweep();
        }
    }

    /// Bytes of an answer came.
    pub fn heard(&mut self, now: Millis, place: usize) {
        let upstream = self.upstreams.get_mut(place);
        upstream.heard_at = now;
        self.zones.heard(&upstream.entry.zone);
    }

    /// A way to the upstream and back took `elapsed` ms.
    pub fn note_trip(&mut self, now: Millis, place: usize, elapsed: Millis) {
        let region = &self.upstreams.get(place).region;
        self.region_trips.sample(now, region, elapsed, &self.policy);
    }

    /// The smoothed round trip to a region in ms, once it was measured.
    #[must_use]
    pub fn region_trip(&self, region: &str) -> Option<Millis> {
        self.region_trips.get(region)
    }

    /// A connection to the upstream did not come up in its time.
    pub fn connect_timed_out(&mut self, now: Millis, place: usize) {
        let region = &self.upstreams.get(place).region;
        self.region_trips.timed_out(now, region);
    }

    /// How long this request waits for a connection to the upstream, in ms.
    pub fn connect_timeout(&self, request: &ProxyRequest, place: usize) -> Millis {
        let upstream = self.upstreams.get(place);
        let own = self.policy.connect_patience_ms + 2.0 * upstream.average.get().unwrap_or(0.0);
        let aim = request.route.target_latency_ms;
        self.region_trips
            .connect_timeout(&upstream.region, aim, &self.policy)
            .max(own)
    }

    /// How long a probe of the upstream waits for its answer, in ms.
    pub fn probe_timeout(&self, now: Millis, place: usize) -> Millis {
        let upstream = self.upstreams.get(place);
        self.region_trips
            .probe_timeout(now, &upstream.region, upstream.average.get(), &self.policy)
    }

    /// An upstream failed. Once its zone looks lost, those in use there are asked at once.
    fn note_failure(&mut self, now: Millis, place: usize) {
        let entry = &self.upstreams.get(place).entry;
        if !self.zones.failed(now, &entry.zone, &entry.identifier) {
            return;
        }
        let zone = entry.zone.clone();
        log::info!("nothing is heard of zone {zone}");
        let listed: Vec<usize> = self.upstreams.listed().collect();
        for place in listed {
            let upstream = self.upstreams.get_mut(place);
            if upstream.entry.zone == zone {
                upstream.next_probe = upstream.next_probe.min(now);
            }
        }
    }

    /// Whether the zone of this upstream looks lost.
    pub(crate) fn is_in_silent_zone(&self, now: Millis, place: usize) -> bool {
        self.policy.zone_outlook
            && self
                .zones
                .is_silent(now, &self.upstreams.get(place).entry.zone)
    }

    /// Whether it was heard so lately that an idle connection to it will do for what may run only once.
    pub fn is_proven_alive(&self, now: Millis, place: usize) -> bool {
        let upstream = self.upstreams.get(place);
        let distrusted = self.idle_distrusted_until.get(&upstream.entry.service);
        upstream.run.is_empty()
            && now - upstream.heard_at <= self.policy.proven_alive_ms
            && distrusted.is_none_or(|until| now >= *until)
    }

    /// An idle connection to the upstream broke without a word when it was used again: those of its service are not trusted
    /// with what may run only once for a while.
    pub fn idle_connection_broke(&mut self, now: Millis, place: usize) {
        let service = self.upstreams.get(place).entry.service.clone();
        self.idle_distrusted_until
            .insert(service, now + self.policy.idle_distrust_ms);
    }

    /// An answer said how loaded its upstream is, or how long it stays cold.
    pub fn told(&mut self, now: Millis, place: usize, load: Option<Load>, cold_ms: Option<Millis>) {
        let upstream = self.upstreams.get_mut(place);
        if let Some(load) = load {
            upstream.told(load, now);
        }
        if let Some(cold) = cold_ms {
            upstream.cold(cold, now);
        }
    }

    /// The first part of an answer came after `elapsed` ms; `estimate`: what a long prompt was to take.
    pub fn paced(
        &mut self,
        request: &ProxyRequest,
        place: usize,
        elapsed: Millis,
        estimate: Option<&Estimate>,
    ) {
        let region = &self.upstreams.get(place).region;
        if let Some(estimate) = estimate {
            let trip = self.region_trips.get(region).unwrap_or(0.0);
            self.prefill
                .answered(&request.service, estimate, elapsed - trip, &self.policy);
        }
        let far = *region != self.region;
        self.paces
            .entry((request.route.name.clone(), far))
            .or_default()
            .add(elapsed);
    }

    /// So long an upstream may be silent before the request is offered to another as well, in ms.
    pub fn patience(&self, request: &ProxyRequest, place: usize) -> Millis {
        let far = self.upstreams.get(place).region != self.region;
        let pace = self
            .paces
            .get(&(request.route.name.clone(), far))
            .copied()
            .unwrap_or_default();
        let trip = self
            .region_trips
            .get(&self.upstreams.get(place).region)
            .unwrap_or(0.0);
        pace.patience(request.route.target_latency_ms, trip, &self.policy)
    }
}
