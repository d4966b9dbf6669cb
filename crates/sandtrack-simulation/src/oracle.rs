//! The test oracle: the rules that must hold in every simulation, one function for each. The first violation of each rule is
//! kept. CONFIG stands for the part of the specification about configurations.
use crate::plan::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The rule that an operation which a later acknowledged one has overtaken takes no effect any more.
pub const OVERTAKEN_ORDER_RULE: &str = "an_overtaken_order_takes_no_effect";

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// What violated it.
    pub details: String,
}

/// A configuration that an operator submitted.
#[derive(Clone, Debug)]
struct SubmittedConfiguration {
    version: u64,
    /// The document as it would be read back; `None` for an invalid one.
    document: Option<String>,
    acknowledged: bool,
    rejected_with: Option<u16>,
}

/// The last acknowledged state of a zone's evacuation, while no later operation on the zone was submitted.
#[derive(Clone, Copy, Debug)]
struct SettledEvacuation {
    begun: bool,
    /// The number of the newest state at the acknowledgement.
    number: u64,
}

/// Records what operators, control nodes and proxies show, and checks it against the rules.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The first violation of each rule.
    pub violations: Vec<Violation>,
    /// By the number of the operation.
    sent: BTreeMap<usize, SubmittedConfiguration>,
    /// The operation that was acknowledged on each base version.
    acknowledged_on: BTreeMap<u64, usize>,
    newest_acknowledged: u64,
    /// Applied configurations by the number of their command: version and document.
    applied: BTreeMap<u64, (u64, String)>,
    /// The evacuated zones by the number of the command that changed them last.
    evacuations: BTreeMap<u64, BTreeSet<String>>,
    settled: BTreeMap<String, SettledEvacuation>,
    /// The version of each proxy's configuration, by the proxy's incarnation.
    proxies: BTreeMap<u64, u64>,
}

impl Oracle {
    fn fail(&mut self, rule: &'static str, details: String) {
        if self.violations.iter().all(|known| known.rule != rule) {
            self.violations.push(Violation { rule, details });
        }
    }

    fn check(&mut self, holds: bool, rule: &'static str, details: impl FnOnce() -> String) {
        if !holds {
            self.fail(rule, details());
        }
    }

    /// The newest version that was acknowledged; 0 before the first.
    pub fn newest_acknowledged(&self) -> u64 {
        self.newest_acknowledged
    }

    /// An operator submits a configuration for the first time.
    pub fn configuration_submitted(
        &mut self,
        order: usize,
        version: u64,
        document: Option<String>,
    ) {
        self.sent.insert(
            order,
            SubmittedConfiguration {
                version,
                document,
                acknowledged: false,
                rejected_with: None,
            },
        );
    }

    /// CONFIG: no two changes are acknowledged on one base version, and no invalid one.
    pub fn acknowledged(&mut self, order: usize, based_on: u64) {
        let Some(sent) = self.sent.get_mut(&order) else {
            return;
        };
        sent.acknowledged = true;
        let (version, valid) = (sent.version, sent.document.is_some());
        self.newest_acknowledged = self.newest_acknowledged.max(version);
        self.check(valid, "invalid_is_not_acknowledged", || {
            format!("order {order}, version {version}")
        });
        let first = *self.acknowledged_on.entry(based_on).or_insert(order);
        let same = self.sent.get(&first).map(|sent| &sent.document)
            == self.sent.get(&order).map(|sent| &sent.document);
        self.check(first == order, "one_change_on_a_version", || {
            let what = if same {
                "of one content"
            } else {
                "of two contents"
            };
            format!(
                "orders {first} and {order}, {what}, were both acknowledged on version {based_on}"
            )
        });
    }

    /// CONFIG: an acknowledged change that is submitted again is not rejected, as long as nothing else was changed.
    pub fn resubmission_answered(&mut self, order: usize, status: u16) {
        let refused = (400..500).contains(&status);
        self.check(!refused, "a_repeat_is_not_refused", || {
            format!("order {order} was acknowledged, and refused with {status} when sent again")
        });
    }

    /// A change was definitely rejected with this status.
    pub fn rejected(&mut self, order: usize, status: u16) {
        if let Some(sent) = self.sent.get_mut(&order) {
            sent.rejected_with = Some(status);
        }
    }

    /// A control node shows a committed configuration: it was submitted, and is the same on all control nodes.
    pub fn configuration_applied(
        &mut self,
        machine: usize,
        number: u64,
        version: u64,
        document: String,
    ) {
        let known = self
            .applied
            .entry(number)
            .or_insert_with(|| (version, document.clone()));
        let same = known.0 == version && known.1 == document;
        self.check(same, "states_agree", || {
            format!("machine {machine} differs at number {number}")
        });
        let was_sent = self
            .sent
            .values()
            .any(|sent| sent.version == version && sent.document.as_ref() == Some(&document));
        self.check(was_sent, "only_what_was_sent_is_in_force", || {
            format!(
                "machine {machine} shows version {version} at number {number}, which nobody sent"
            )
        });
    }

    /// Checks that the versions of applied configurations rise with the numbers of their commands.
    pub fn check_versions_rise(&mut self) {
        let versions: Vec<u64> = self.applied.values().map(|(version, _)| *version).collect();
        let rise = versions.windows(2).all(|pair| pair[0] < pair[1]);
        self.check(rise, "versions_rise", || format!("{versions:?}"));
    }

    /// CONFIG: checks that no rejected configuration was applied.
    pub fn check_nothing_rejected_applied(&mut self) {
        let applied: BTreeSet<&String> = self
            .applied
            .values()
            .map(|(_, document)| document)
            .collect();
        let wrong = self.sent.iter().find_map(|(order, sent)| {
            let status = sent.rejected_with?;
            let document = sent.document.as_ref()?;
            (applied.contains(document) && !sent.acknowledged).then_some((
                *order,
                sent.version,
                status,
            ))
        });
        if let Some((order, version, status)) = wrong {
            self.fail(
                "nothing_refused_in_force",
                format!("order {order}, version {version}, answered {status}"),
            );
        }
    }

    /// Checks that every acknowledged change was applied, directly after the version that it is based on.
    pub fn check_acknowledged_was_applied(&mut self) {
        let line: Vec<u64> = self.applied.values().map(|(version, _)| *version).collect();
        let acknowledged_on: Vec<(u64, usize)> = self
            .acknowledged_on
            .iter()
            .map(|(based_on, order)| (*based_on, *order))
            .collect();
        for (based_on, order) in acknowledged_on {
            let Some(sent) = self.sent.get(&order) else {
                continue;
            };
            let version = sent.version;
            let document = sent.document.clone().unwrap_or_default();
            let came = self
                .applied
                .values()
                .any(|known| *known == (version, document.clone()));
            self.check(came, "acknowledged_was_in_force", || {
                format!("order {order}, version {version}")
            });
            let at = line.iter().position(|known| *known == version);
            let before = at.map_or(0, |at| at.checked_sub(1).map_or(0, |before| line[before]));
            self.check(at.is_none() || before == based_on, "one_change_on_a_version", || {
                format!("order {order}, version {version}, was based on {based_on} and came after {before}")
            });
        }
    }

    /// In a stable cluster an operation has a definite response in time.
    pub fn response_time_when_stable(&mut self, order: usize, waits_ms: Millis, bound_ms: Millis) {
        self.check(
            waits_ms <= bound_ms,
            "a_stable_core_answers_in_time",
            || format!("order {order} has waited for {waits_ms:.0} ms"),
        );
    }

    /// A control node forwards calls itself. It redirects only operations on zones (`is_zone_operation`), with status 307 and
    /// to another node (`names_another`).
    pub fn redirect(
        &mut self,
        machine: usize,
        status: u16,
        is_zone_order: bool,
        names_another: bool,
    ) {
        let redirects = (300..400).contains(&status);
        let may = status == 307 && is_zone_order && names_another;
        self.check(
            !redirects || may,
            "a_redirect_is_of_a_zone_order_to_another",
            || format!("machine {machine} answered {status}"),
        );
    }

    /// A control node shows the evacuated zones. An operation that was overtaken by a later acknowledged one takes no effect.
    pub fn evacuations_applied(&mut self, machine: usize, number: u64, zones: BTreeSet<String>) {
        let known = self
            .evacuations
            .entry(number)
            .or_insert_with(|| zones.clone());
        let same = *known == zones;
        self.check(same, "states_agree", || {
            format!("machine {machine} differs at evacuation {number}")
        });
        let overtaken = self.settled.iter().find(|(zone, settled)| {
            number > settled.number && zones.contains(*zone) != settled.begun
        });
        if let Some((zone, settled)) = overtaken {
            let what = format!(
                "{zone} was acknowledged as {} at number {}, and number {number} undid it with no order under way",
                if settled.begun { "evacuated" } else { "not evacuated" },
                settled.number
            );
            self.fail(OVERTAKEN_ORDER_RULE, what);
        }
    }

    /// An operator submits a new operation on a zone.
    pub fn evacuation_submitted(&mut self, zone: &str) {
        self.settled.remove(zone);
    }

    /// An operation on a zone is acknowledged: the newest state has it.
    pub fn evacuation_acknowledged(&mut self, zone: &str, begun: bool) {
        let newest = self
            .evacuations
            .last_key_value()
            .map(|(number, zones)| (*number, zones.contains(zone)));
        let (number, shown) = newest.unwrap_or((0, false));
        self.check(shown == begun, OVERTAKEN_ORDER_RULE, || {
            format!("{zone}: acknowledged as {begun}, and shown as {shown} at number {number}")
        });
        self.settled
            .insert(zone.to_owned(), SettledEvacuation { begun, number });
    }

    /// The settled zones: whether evacuated, and the number of the newest state at the acknowledgement.
    pub fn settled_evacuations(&self) -> impl Iterator<Item = (&str, bool, u64)> {
        self.settled
            .iter()
            .map(|(zone, settled)| (zone.as_str(), settled.begun, settled.number))
    }

    /// No control node gives a definite response after it was isolated from the majority for more than `bound_ms`.
    pub fn definite_response(
        &mut self,
        machine: usize,
        status: u16,
        isolated_ms: Millis,
        bound_ms: Millis,
    ) {
        // 400 means that the request is malformed, which a node knows by itself.
        let definite = status < 500 && status != 400;
        self.check(
            !definite || isolated_ms <= bound_ms,
            "no_definite_answer_without_majority",
            || {
                format!(
                    "machine {machine} answered {status} after {isolated_ms:.0} ms without a majority"
                )
            },
        );
    }

    /// CONFIG: within one incarnation a proxy never goes back to an older version, and it has only committed ones.
    pub fn proxy_serves(&mut self, incarnation: u64, version: u64) {
        let before = self.proxies.insert(incarnation, version).unwrap_or(0);
        self.check(before <= version, "a_proxy_never_goes_back", || {
            format!("incarnation {incarnation} went from {before} to {version}")
        });
        let known = version == 0 || self.applied.values().any(|(known, _)| *known == version);
        self.check(known, "only_what_is_committed_is_served", || {
            format!("version {version}")
        });
    }

    /// CONFIG: a connected proxy applies an acknowledged version in time.
    pub fn connected_proxy_version(
        &mut self,
        proxy: &str,
        version: u64,
        at_least: u64,
        bound_ms: Millis,
    ) {
        self.check(version >= at_least, "a_proxy_in_touch_applies_a_version_in_time", || {
            format!("{proxy} has {version}, and {at_least} was acknowledged {bound_ms:.0} ms before")
        });
    }

    /// CONFIG: a connected proxy applies an acknowledged evacuation in time.
    pub fn connected_proxy_evacuations(
        &mut self,
        proxy: &str,
        zone: &str,
        has: bool,
        wanted: bool,
    ) {
        self.check(has == wanted, "a_proxy_in_touch_evacuates_in_time", || {
            format!("{proxy}: {zone} is {has}, acknowledged as {wanted}")
        });
    }

    /// No proxy gets its first configuration from a control node that was isolated for more than `bound_ms`.
    pub fn first_configuration(&mut self, proxy: &str, isolated_ms: Millis, bound_ms: Millis) {
        self.check(
            isolated_ms <= bound_ms,
            "a_detached_node_gives_no_first_configuration",
            || {
                format!(
                    "{proxy} got its first configuration from a node alone for {isolated_ms:.0} ms"
                )
            },
        );
    }

    /// A read is at least as new as what was acknowledged before it began.
    pub fn read_is_fresh(&mut self, version: u64, at_least: u64) {
        self.check(version >= at_least, "a_read_is_fresh", || {
            format!("read {version}, and {at_least} was acknowledged before")
        });
    }

    /// What was acknowledged last is read back byte for byte.
    pub fn read_back(&mut self, version: u64, document: &str) {
        let newest = self.newest_acknowledged;
        self.check(version >= newest, "acknowledged_is_read_back", || {
            format!("read back {version}, and {newest} was acknowledged")
        });
        self.read_is_what_was_sent(version, document);
    }

    /// What is read is byte for byte what was acknowledged, or else submitted, under its version.
    pub fn read_is_what_was_sent(&mut self, version: u64, document: &str) {
        let candidates: Vec<&SubmittedConfiguration> = self
            .sent
            .values()
            .filter(|sent| sent.version == version)
            .collect();
        let acknowledged = candidates.iter().find(|sent| sent.acknowledged);
        let matches = |sent: &&SubmittedConfiguration| sent.document.as_deref() == Some(document);
        let same = acknowledged.map_or_else(|| candidates.iter().any(matches), matches);
        self.check(same, "acknowledged_is_read_back", || {
            format!("version {version} differs from what was sent under it")
        });
    }

    /// In the steady state at the end, an operation is acknowledged in time.
    pub fn acknowledged_in_steady_state(
        &mut self,
        what: &str,
        status: Option<u16>,
        bound_ms: Millis,
    ) {
        self.check(
            status == Some(200),
            "after_calm_an_order_is_acknowledged",
            || format!("{what}: {status:?} within {bound_ms:.0} ms"),
        );
    }
}
