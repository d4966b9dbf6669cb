//! What has to hold in every world: one function for each rule. Of each rule the first breach is kept, with what broke it.
use crate::plan::Millis;
use std::collections::{BTreeMap, BTreeSet};

/// The rule that an order which a later acknowledged one has overtaken takes no effect any more.
pub const OVERTAKEN: &str = "an_overtaken_order_takes_no_effect";

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Broken {
    /// The check's name.
    pub rule: &'static str,
    pub what: String,
}

/// A configuration that an operator sent: what it would be in force.
#[derive(Clone, Debug)]
struct Sent {
    version: u64,
    /// The document as it would be read back; none for an invalid one.
    document: Option<String>,
    acknowledged: bool,
    refused: Option<u16>,
}

/// What a zone's evacuation was settled to: the last order that was acknowledged, while no later one was sent.
#[derive(Clone, Copy, Debug)]
struct Settled {
    begun: bool,
    /// Number of the newest state when it was acknowledged.
    number: u64,
}

#[derive(Debug, Default)]
pub struct Checks {
    /// The first breach of each rule.
    pub broken: Vec<Broken>,
    /// By the order's number.
    sent: BTreeMap<usize, Sent>,
    /// The order that was acknowledged on a version.
    winners: BTreeMap<u64, usize>,
    newest_acknowledged: u64,
    /// Configurations in force, by the number of their command: version and document.
    in_force: BTreeMap<u64, (u64, String)>,
    /// Evacuated zones, by the number of the command that changed them last.
    evacuations: BTreeMap<u64, BTreeSet<String>>,
    settled: BTreeMap<String, Settled>,
    /// Version in force at a proxy, by its incarnation.
    proxies: BTreeMap<u64, u64>,
}

impl Checks {
    fn fail(&mut self, rule: &'static str, what: String) {
        if self.broken.iter().all(|known| known.rule != rule) {
            self.broken.push(Broken { rule, what });
        }
    }

    fn hold(&mut self, holds: bool, rule: &'static str, what: impl FnOnce() -> String) {
        if !holds {
            self.fail(rule, what());
        }
    }

    pub fn newest_acknowledged(&self) -> u64 {
        self.newest_acknowledged
    }

    /// An operator sends a configuration for the first time.
    pub fn configuration_sent(&mut self, order: usize, version: u64, document: Option<String>) {
        self.sent.insert(
            order,
            Sent {
                version,
                document,
                acknowledged: false,
                refused: None,
            },
        );
    }

    /// CONFIG: never two changes acknowledged on one version, and nothing invalid.
    pub fn acknowledged(&mut self, order: usize, based_on: u64) {
        let Some(sent) = self.sent.get_mut(&order) else {
            return;
        };
        sent.acknowledged = true;
        let (version, valid) = (sent.version, sent.document.is_some());
        self.newest_acknowledged = self.newest_acknowledged.max(version);
        self.hold(valid, "invalid_is_not_acknowledged", || {
            format!("order {order}, version {version}")
        });
        let winner = *self.winners.entry(based_on).or_insert(order);
        let same = self.sent.get(&winner).map(|sent| &sent.document)
            == self.sent.get(&order).map(|sent| &sent.document);
        self.hold(winner == order, "one_change_on_a_version", || {
            let what = if same {
                "of one content"
            } else {
                "of two contents"
            };
            format!(
                "orders {winner} and {order}, {what}, were both acknowledged on version {based_on}"
            )
        });
    }

    /// CONFIG: a change that was acknowledged is never refused when it is sent again and nothing else was changed.
    pub fn repeat_answered(&mut self, order: usize, status: u16) {
        let refused = (400..500).contains(&status);
        self.hold(!refused, "a_repeat_is_not_refused", || {
            format!("order {order} was acknowledged, and refused with {status} when sent again")
        });
    }

    pub fn refused(&mut self, order: usize, status: u16) {
        if let Some(sent) = self.sent.get_mut(&order) {
            sent.refused = Some(status);
        }
    }

    /// A control node shows a configuration as committed. It was sent, was not refused, and is the same everywhere.
    pub fn configuration_in_force(
        &mut self,
        machine: usize,
        number: u64,
        version: u64,
        document: String,
    ) {
        let known = self
            .in_force
            .entry(number)
            .or_insert_with(|| (version, document.clone()));
        let same = known.0 == version && known.1 == document;
        self.hold(same, "states_agree", || {
            format!("machine {machine} differs at number {number}")
        });
        let was_sent = self
            .sent
            .values()
            .any(|sent| sent.version == version && sent.document.as_ref() == Some(&document));
        self.hold(was_sent, "only_what_was_sent_is_in_force", || {
            format!(
                "machine {machine} shows version {version} at number {number}, which nobody sent"
            )
        });
    }

    /// Versions and numbers of what is in force rise together.
    pub fn versions_rise(&mut self) {
        let versions: Vec<u64> = self
            .in_force
            .values()
            .map(|(version, _)| *version)
            .collect();
        let rise = versions.windows(2).all(|pair| pair[0] < pair[1]);
        self.hold(rise, "versions_rise", || format!("{versions:?}"));
    }

    /// CONFIG: nothing is in force that was refused, lost its race or is invalid.
    pub fn nothing_refused_in_force(&mut self) {
        let in_force: BTreeSet<&String> = self
            .in_force
            .values()
            .map(|(_, document)| document)
            .collect();
        let wrong = self.sent.iter().find_map(|(order, sent)| {
            let status = sent.refused?;
            let document = sent.document.as_ref()?;
            (in_force.contains(document) && !sent.acknowledged).then_some((
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

    /// Every acknowledged change came into force, next after the version that it was based on.
    pub fn acknowledged_was_in_force(&mut self) {
        let line: Vec<u64> = self
            .in_force
            .values()
            .map(|(version, _)| *version)
            .collect();
        let winners: Vec<(u64, usize)> = self
            .winners
            .iter()
            .map(|(based_on, order)| (*based_on, *order))
            .collect();
        for (based_on, order) in winners {
            let Some(sent) = self.sent.get(&order) else {
                continue;
            };
            let version = sent.version;
            let document = sent.document.clone().unwrap_or_default();
            let came = self
                .in_force
                .values()
                .any(|known| *known == (version, document.clone()));
            self.hold(came, "acknowledged_was_in_force", || {
                format!("order {order}, version {version}")
            });
            let at = line.iter().position(|known| *known == version);
            let before = at.map_or(0, |at| at.checked_sub(1).map_or(0, |before| line[before]));
            self.hold(at.is_none() || before == based_on, "one_change_on_a_version", || {
                format!("order {order}, version {version}, was based on {based_on} and came after {before}")
            });
        }
    }

    /// Where the core has been stable, an order has a clear answer within its time.
    pub fn answered_when_stable(&mut self, order: usize, waits_ms: Millis, bound_ms: Millis) {
        self.hold(
            waits_ms <= bound_ms,
            "a_stable_core_answers_in_time",
            || format!("order {order} has waited for {waits_ms:.0} ms"),
        );
    }

    /// A control node passes callers on by itself: it sends none elsewhere, but for an order for a zone (`is_zone_order`), and
    /// then with 307 and to another one (`names_another`).
    pub fn redirect(
        &mut self,
        machine: usize,
        status: u16,
        is_zone_order: bool,
        names_another: bool,
    ) {
        let redirects = (300..400).contains(&status);
        let may = status == 307 && is_zone_order && names_another;
        self.hold(
            !redirects || may,
            "a_redirect_is_of_a_zone_order_to_another",
            || format!("machine {machine} answered {status}"),
        );
    }

    /// A control node shows evacuations. An order that was overtaken by a later acknowledged one takes no effect.
    pub fn evacuations_in_force(&mut self, machine: usize, number: u64, zones: BTreeSet<String>) {
        let known = self
            .evacuations
            .entry(number)
            .or_insert_with(|| zones.clone());
        let same = *known == zones;
        self.hold(same, "states_agree", || {
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
            self.fail(OVERTAKEN, what);
        }
    }

    /// A new order for a zone is sent for the first time.
    pub fn evacuation_sent(&mut self, zone: &str) {
        self.settled.remove(zone);
    }

    /// It is acknowledged: what control shows newest has it.
    pub fn evacuation_acknowledged(&mut self, zone: &str, begun: bool) {
        let newest = self
            .evacuations
            .last_key_value()
            .map(|(number, zones)| (*number, zones.contains(zone)));
        let (number, shown) = newest.unwrap_or((0, false));
        self.hold(shown == begun, OVERTAKEN, || {
            format!("{zone}: acknowledged as {begun}, and shown as {shown} at number {number}")
        });
        self.settled
            .insert(zone.to_owned(), Settled { begun, number });
    }

    /// Zones that are settled: whether evacuated, and the newest number when that was acknowledged.
    pub fn settled_evacuations(&self) -> impl Iterator<Item = (&str, bool, u64)> {
        self.settled
            .iter()
            .map(|(zone, settled)| (zone.as_str(), settled.begun, settled.number))
    }

    /// No definite answer comes from a control node that had no way to a majority for `alone_ms`.
    pub fn definite_answer(
        &mut self,
        machine: usize,
        status: u16,
        alone_ms: Millis,
        bound_ms: Millis,
    ) {
        // 400: this document is malformed, which needs nobody else.
        let definite = status < 500 && status != 400;
        self.hold(
            !definite || alone_ms <= bound_ms,
            "no_definite_answer_without_majority",
            || {
                format!(
                    "machine {machine} answered {status} after {alone_ms:.0} ms without a majority"
                )
            },
        );
    }

    /// CONFIG: in one incarnation a proxy never goes back; what it serves by was sent.
    pub fn proxy_serves(&mut self, incarnation: u64, version: u64) {
        let before = self.proxies.insert(incarnation, version).unwrap_or(0);
        self.hold(before <= version, "a_proxy_never_goes_back", || {
            format!("incarnation {incarnation} went from {before} to {version}")
        });
        let known = version == 0 || self.in_force.values().any(|(known, _)| *known == version);
        self.hold(known, "only_what_is_committed_is_served", || {
            format!("version {version}")
        });
    }

    /// CONFIG: a proxy in touch serves by a version within its time.
    pub fn proxy_in_touch(&mut self, proxy: &str, version: u64, at_least: u64, bound_ms: Millis) {
        self.hold(version >= at_least, "a_proxy_in_touch_applies_a_version_in_time", || {
            format!("{proxy} has {version}, and {at_least} was acknowledged {bound_ms:.0} ms before")
        });
    }

    /// The same of evacuations.
    pub fn proxy_in_touch_evacuates(&mut self, proxy: &str, zone: &str, has: bool, wanted: bool) {
        self.hold(has == wanted, "a_proxy_in_touch_evacuates_in_time", || {
            format!("{proxy}: {zone} is {has}, acknowledged as {wanted}")
        });
    }

    /// A proxy that starts is given nothing older than what was acknowledged when its control node was alone for long.
    pub fn first_configuration(&mut self, proxy: &str, alone_ms: Millis, bound_ms: Millis) {
        self.hold(
            alone_ms <= bound_ms,
            "a_detached_node_gives_no_first_configuration",
            || {
                format!(
                    "{proxy} got its first configuration from a node alone for {alone_ms:.0} ms"
                )
            },
        );
    }

    /// A read is not older than what was acknowledged before it began.
    pub fn read_is_fresh(&mut self, version: u64, at_least: u64) {
        self.hold(version >= at_least, "a_read_is_fresh", || {
            format!("read {version}, and {at_least} was acknowledged before")
        });
    }

    /// What was acknowledged is read back byte for byte.
    pub fn read_back(&mut self, version: u64, document: &str) {
        let newest = self.newest_acknowledged;
        self.hold(version >= newest, "acknowledged_is_read_back", || {
            format!("read back {version}, and {newest} was acknowledged")
        });
        self.read_is_what_was_sent(version, document);
    }

    /// What is read is, byte for byte, what was acknowledged under its version, or else sent.
    pub fn read_is_what_was_sent(&mut self, version: u64, document: &str) {
        let candidates: Vec<&Sent> = self
            .sent
            .values()
            .filter(|sent| sent.version == version)
            .collect();
        let acknowledged = candidates.iter().find(|sent| sent.acknowledged);
        let matches = |sent: &&Sent| sent.document.as_deref() == Some(document);
        let same = acknowledged.map_or_else(|| candidates.iter().any(matches), matches);
        self.hold(same, "acknowledged_is_read_back", || {
            format!("version {version} differs from what was sent under it")
        });
    }

    /// After calm an order is acknowledged in time.
    pub fn acknowledged_in_calm(&mut self, what: &str, status: Option<u16>, bound_ms: Millis) {
        self.hold(
            status == Some(200),
            "after_calm_an_order_is_acknowledged",
            || format!("{what}: {status:?} within {bound_ms:.0} ms"),
        );
    }
}
