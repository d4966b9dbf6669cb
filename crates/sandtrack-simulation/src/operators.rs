//! Operators: they send changes, evacuations and reads, and repeat them unchanged at another machine until the answer is
//! clear (PROTOCOL.md, "The operator's API"; LATER.md, "On the wire"). Two of them change the configuration and race now and
//! then, one for each zone evacuates, one reads; among busy ones three read, so that eight orders are under way.
use crate::documents;
use crate::judge::Checks;
use crate::plan::{Acknowledged, Millis, ZONES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sandtrack_protocol::document::Document;
use sandtrack_sidecar_core::message::Message;
use std::collections::BTreeMap;

/// A call that is not answered within this is repeated elsewhere.
const SILENCE_MS: Millis = 1000.0;
/// Pauses between two tries grow from the one to the other.
const PAUSE_MS: Millis = 60.0;
/// A control node sends a caller on to another one.
const SENT_ON: u16 = 307;
const PAUSE_MOST_MS: Millis = 800.0;
/// An evacuation may be sent again for so long (`acknowledge_ms`).
pub const ACKNOWLEDGE_MS: Millis = 6000.0;
/// A configuration without a clear answer is given up after this.
const GIVE_UP_MS: Millis = 20_000.0;

#[derive(Clone, Debug)]
enum Kind {
    Change {
        based_on: u64,
        document: Option<Document>,
        replaces: bool,
        body: String,
    },
    Evacuate {
        zone: usize,
        begin: bool,
    },
    Read {
        at_least: u64,
    },
}

impl Kind {
    fn asks(&self) -> Acknowledged {
        match self {
            Kind::Change { .. } => Acknowledged::Change,
            Kind::Evacuate { .. } => Acknowledged::Evacuation,
            Kind::Read { .. } => Acknowledged::Read,
        }
    }
}

/// What an operator wants, until the answer is clear.
#[derive(Clone, Debug)]
struct Order {
    kind: Kind,
    /// The order that it repeats after its acknowledgement.
    repeats: Option<usize>,
    began: Millis,
    tries: u32,
    /// The call under way, and when it was sent.
    call: Option<(u64, Millis)>,
    again_at: Millis,
}

/// An operator with at most one order under way.
#[derive(Debug, Default)]
struct Operator {
    order: Option<usize>,
    idle_until: Millis,
    /// It has to read before it goes on: what is current is unclear.
    lost: bool,
    /// An order that is to be sent once more.
    repeat: Option<usize>,
}

/// A call to be made.
pub struct Outgoing {
    pub call: u64,
    pub machine: usize,
    pub message: Message,
    pub about: String,
}

pub struct Operators {
    random: Pcg64Mcg,
    orders: Vec<Order>,
    /// Two for the configuration, one a zone, one that reads.
    operators: Vec<Operator>,
    /// The newest configuration that they know.
    belief: Document,
    next_call: u64,
    next_version: u64,
    ballast: usize,
    pace_ms: Millis,
    /// Up to eight orders are under way, and connections end amid calls.
    busy: bool,
    /// What each call asked for.
    asked: BTreeMap<u64, Acknowledged>,
    /// No new orders.
    pub stopped: bool,
    pub changes_acknowledged: u64,
    pub answered: u64,
}

/// The first of those that read.
const READER: usize = 2 + ZONES;
const READERS: usize = 1;
/// With these there are eight operators, so eight orders under way.
const BUSY_READERS: usize = 3;
/// Operators that don't change the configuration pause so long at least, in ms; busy ones pause as the others.
const REST_MS: Millis = 400.0;
/// A busy operator's connection ends with this chance before it hears an answer.
const BROKEN_CHANCE: f64 = 0.15;

pub fn zone_name(zone: usize) -> String {
    ["odori-hall", "asahi-hall", "kita-hall"][zone].to_owned()
}

impl Operators {
    pub fn new(seed: u64, ballast: usize, pace_ms: Millis, busy: bool) -> Operators {
        let readers = if busy { BUSY_READERS } else { READERS };
        let mut operators: Vec<Operator> = Vec::new();
        operators.resize_with(READER + readers, Operator::default);
        operators[1].idle_until = 2500.0;
        operators[2..]
            .iter_mut()
            .for_each(|operator| operator.idle_until = 2500.0);
        Operators {
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x6f70_6572),
            orders: Vec::new(),
            operators,
            belief: Document::default(),
            next_call: 0,
            next_version: 0,
            ballast,
            pace_ms,
            busy,
            asked: BTreeMap::new(),
            stopped: false,
            changes_acknowledged: 0,
            answered: 0,
        }
    }

    pub fn are_idle(&self) -> bool {
        self.operators
            .iter()
            .all(|operator| operator.order.is_none())
    }

    /// Changes that are under way.
    fn changes_open(&self) -> usize {
        self.operators[..2]
            .iter()
            .filter(|operator| operator.order.is_some())
            .count()
    }

    /// Looks at what is due; `machines` is the operators' list.
    pub fn tick(&mut self, now: Millis, machines: &[usize], checks: &mut Checks) -> Vec<Outgoing> {
        let mut calls = Vec::new();
        for operator in 0..self.operators.len() {
            if self.operators[operator].order.is_none() {
                self.begin(now, operator, checks);
            }
            if let Some(call) = self.go_on(now, operator, machines) {
                calls.push(call);
            }
        }
        calls
    }

    fn begin(&mut self, now: Millis, operator: usize, checks: &mut Checks) {
        if self.stopped || now < self.operators[operator].idle_until {
            return;
        }
        let kind = match operator {
            0 | 1 if self.operators[operator].lost => {
                self.operators[operator].lost = false;
                Kind::Read {
                    at_least: checks.newest_acknowledged(),
                }
            }
            0 | 1 => match self.begin_change(now, operator, checks) {
                Some(kind) => kind,
                None => return,
            },
            READER.. => Kind::Read {
                at_least: checks.newest_acknowledged(),
            },
            _ => {
                let zone = operator - 2;
                checks.evacuation_sent(&zone_name(zone));
                Kind::Evacuate {
                    zone,
                    begin: self.random.gen(),
                }
            }
        };
        let order = self.add(now, kind, None);
        self.operators[operator].order = Some(order);
        if let Kind::Change {
            document, based_on, ..
        } = &self.orders[order].kind
        {
            let version = document.as_ref().map_or(0, |document| document.version);
            let valid = document.as_ref().filter(|document| {
                sandtrack_protocol::configuration::Configuration::read(document).is_ok()
                    && version > *based_on
            });
            checks.configuration_sent(order, version, valid.map(Document::to_json));
        }
    }

    fn add(&mut self, now: Millis, kind: Kind, repeats: Option<usize>) -> usize {
        self.orders.push(Order {
            kind,
            repeats,
            began: now,
            tries: 0,
            call: None,
            again_at: now,
        });
        self.orders.len() - 1
    }

    /// A change on top of what is known to be current, or one that was acknowledged once more.
    fn begin_change(&mut self, now: Millis, operator: usize, checks: &mut Checks) -> Option<Kind> {
        if let Some(before) = self.operators[operator].repeat {
            if self.changes_open() > 0 {
                return None;
            }
            self.operators[operator].repeat = None;
            let order = self.add(now, self.orders[before].kind.clone(), Some(before));
            self.operators[operator].order = Some(order);
            return None;
        }
        // While another waits to repeat or repeats one, nothing else is changed.
        let repeating = self.operators.iter().any(|other| {
            other.repeat.is_some()
                || other
                    .order
                    .is_some_and(|order| self.orders[order].repeats.is_some())
        });
        if repeating || operator == 1 && self.belief.version == 0 {
            return None;
        }
        let other = self.operators[1 - operator]
            .order
            .map(|order| self.orders[order].kind.clone());
        let races = matches!(&other, Some(Kind::Change { based_on, .. }) if *based_on == self.belief.version);
        let other_version = match &other {
            Some(Kind::Change {
                document: Some(document),
                ..
            }) => Some(document.version),
            _ => None,
        };
        // One of two that race picks the same number half of the time.
        let same = races && self.random.gen();
        self.next_version =
            self.next_version.max(self.belief.version) + self.random.gen_range(1..4);
        let version = other_version.filter(|_| same).unwrap_or(self.next_version);
        let _ = checks;
        // Two that race differ: one content is one change, sent twice.
        let body_of = |kind: &Kind| match kind {
            Kind::Change { body, .. } => Some(body.clone()),
            _ => None,
        };
        let others = other.as_ref().and_then(body_of);
        let mut kind = self.change(version);
        while others.is_some() && body_of(&kind) == others {
            kind = self.change(version);
        }
        Some(kind)
    }

    fn change(&mut self, version: u64) -> Kind {
        let based_on = self.belief.version;
        if based_on > 0 && self.random.gen_bool(0.3) {
            let body = documents::update(&mut self.random, version);
            let document = documents::update_in_force(&self.belief, &body);
            return Kind::Change {
                based_on,
                document,
                replaces: false,
                body,
            };
        }
        let valid = !self.random.gen_bool(0.08);
        let mut body = documents::whole(
            &mut self.random,
            version,
            self.ballast,
            valid || based_on == 0,
        );
        if !valid && based_on > 0 && self.random.gen() {
            body.truncate(body.len() / 2);
        }
        let document = documents::whole_in_force(&body);
        Kind::Change {
            based_on,
            document,
            replaces: true,
            body,
        }
    }

    /// Sends an order, for the first time or again.
    fn go_on(&mut self, now: Millis, operator: usize, machines: &[usize]) -> Option<Outgoing> {
        let number = self.operators[operator].order?;
        let order = &mut self.orders[number];
        if order.call.is_some_and(|(_, sent)| now - sent > SILENCE_MS) {
            order.call = None;
        }
        if order.call.is_some() || now < order.again_at || machines.is_empty() {
            return None;
        }
        let most = if matches!(order.kind, Kind::Evacuate { .. }) {
            ACKNOWLEDGE_MS
        } else {
            GIVE_UP_MS
        };
        let first_change = matches!(order.kind, Kind::Change { based_on: 0, .. });
        if now - order.began > most && !first_change {
            self.ended(now, operator, true);
            return None;
        }
        self.next_call += 1;
        order.call = Some((self.next_call, now));
        let pause = (PAUSE_MS * f64::from(1 << order.tries.min(6))).min(PAUSE_MOST_MS);
        order.again_at = now + pause;
        order.tries += 1;
        let machine = machines[self.random.gen_range(0..machines.len())];
        let (message, about) = message(&order.kind);
        self.asked.insert(self.next_call, order.kind.asks());
        if self.busy && self.random.gen_bool(BROKEN_CHANCE) {
            order.call = None;
        }
        Some(Outgoing {
            call: self.next_call,
            machine,
            message,
            about: format!("order {number}: {about}"),
        })
    }

    /// The operator is done with its order.
    fn ended(&mut self, now: Millis, operator: usize, lost: bool) {
        let pause = self.random.gen_range(0.1..1.0) * self.pace_ms;
        let known = &mut self.operators[operator];
        known.order = None;
        known.lost |= lost;
        known.idle_until = now
            + if operator < 2 || self.busy {
                pause
            } else {
                pause.max(REST_MS)
            };
    }

    /// What a call of an operator asked for.
    pub fn asked_by(&self, call: u64) -> Option<Acknowledged> {
        self.asked.get(&call).copied()
    }

    /// Orders under way, each with when it began.
    pub fn open(&self) -> Vec<(usize, Millis)> {
        let orders = self.operators.iter().filter_map(|operator| operator.order);
        orders
            .map(|order| (order, self.orders[order].began))
            .collect()
    }

    /// A connection broke before the answer came.
    pub fn failed(&mut self, call: u64) {
        for order in &mut self.orders {
            order.call = order.call.filter(|(known, _)| *known != call);
        }
    }

    /// An answer came; one that is late or not clear changes nothing.
    pub fn answer(&mut self, now: Millis, call: u64, status: u16, body: &str, checks: &mut Checks) {
        let waits = |operator: &Operator| {
            operator.order.filter(|order| {
                self.orders[*order]
                    .call
                    .is_some_and(|(known, _)| known == call)
            })
        };
        let found = self
            .operators
            .iter()
            .enumerate()
            .find_map(|(at, one)| Some((at, waits(one)?)));
        let Some((operator, number)) = found else {
            return;
        };
        self.orders[number].call = None;
        if status == SENT_ON {
            // It goes on elsewhere without a pause.
            self.orders[number].again_at = now;
            return;
        }
        if status >= 500 || status == 408 || status == 429 {
            return;
        }
        self.answered += 1;
        let order = self.orders[number].clone();
        let lost = match order.kind {
            Kind::Change {
                based_on, document, ..
            } => {
                let repeats = order.repeats;
                self.changed(
                    operator, number, repeats, based_on, document, status, checks,
                )
            }
            Kind::Evacuate { zone, begin } => {
                if status == 200 {
                    checks.evacuation_acknowledged(&zone_name(zone), begin);
                }
                false
            }
            Kind::Read { at_least } => self.has_read(status, body, at_least, checks),
        };
        self.ended(now, operator, lost);
    }

    #[allow(clippy::too_many_arguments)] // what is known of one answer
    fn changed(
        &mut self,
        operator: usize,
        number: usize,
        repeats: Option<usize>,
        based_on: u64,
        document: Option<Document>,
        status: u16,
        checks: &mut Checks,
    ) -> bool {
        if let Some(first) = repeats {
            checks.repeat_answered(first, status);
            return false;
        }
        if status != 200 {
            checks.refused(number, status);
            return true;
        }
        checks.acknowledged(number, based_on);
        self.changes_acknowledged += 1;
        if let Some(document) = document.filter(|document| document.version > self.belief.version) {
            self.belief = document;
        }
        if self.random.gen_bool(0.1) {
            self.operators[operator].repeat = Some(number);
        }
        false
    }

    fn has_read(&mut self, status: u16, body: &str, at_least: u64, checks: &mut Checks) -> bool {
        let document = match status {
            200 => documents::whole_in_force(body).unwrap_or_default(),
            _ => Document::default(),
        };
        checks.read_is_fresh(document.version, at_least);
        if status == 200 {
            checks.read_is_what_was_sent(document.version, body);
        }
        if document.version > self.belief.version {
            self.belief = document;
        }
        false
    }

    /// A change for the time after a calm, outside of the operators' own pace: its message, and what it is.
    pub fn last_change(&mut self, checks: &mut Checks) -> (usize, u64, Message) {
        self.next_version = self.next_version.max(self.belief.version) + 1;
        let based_on = self.belief.version;
        let body = documents::whole(&mut self.random, self.next_version, self.ballast, true);
        let document = documents::whole_in_force(&body);
        let number = self.add(0.0, Kind::Read { at_least: 0 }, None);
        checks.configuration_sent(
            number,
            self.next_version,
            document.as_ref().map(Document::to_json),
        );
        (
            number,
            based_on,
            documents::call("POST", "/v1/configuration/replace", based_on, &body),
        )
    }

    pub fn believe(&mut self, document: Document) {
        self.belief = document;
    }
}

fn message(kind: &Kind) -> (Message, String) {
    match kind {
        Kind::Change {
            based_on,
            replaces,
            body,
            document,
        } => {
            let verb = if *replaces { "replace" } else { "update" };
            let target = format!("/v1/configuration/{verb}");
            let version = document.as_ref().map(|document| document.version);
            (
                documents::call("POST", &target, *based_on, body),
                format!("{verb} {based_on} by {version:?}"),
            )
        }
        Kind::Evacuate { zone, begin } => {
            let verb = if *begin { "begin" } else { "finish" };
            let target = format!("/v1/evacuation/{}/{verb}", zone_name(*zone));
            (documents::call("POST", &target, 0, ""), target)
        }
        Kind::Read { .. } => (
            documents::call("GET", "/v1/configuration/read", 0, ""),
            "read".to_owned(),
        ),
    }
}
