//! Operators: they send changes, evacuations and reads, and retry each unchanged at another machine until the response is
//! definite. Two of them change the configuration and race now and then, one for each zone evacuates it, one reads; of busy
//! operators three read, so that eight operations are in flight.
use crate::documents;
use crate::oracle::Oracle;
use crate::plan::{Millis, RequestKind, ZONES};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sandtrack_protocol::document::Document;
use sandtrack_sidecar_core::message::Message;
use std::collections::BTreeMap;

/// A call without a response is retried at another machine after this, in ms.
const RESPONSE_TIMEOUT_MS: Millis = 1000.0;
/// The first backoff between two attempts, in ms; it doubles up to [`MAX_BACKOFF_MS`].
const MIN_BACKOFF_MS: Millis = 60.0;
/// The status with which a control node redirects a call to another one.
const TEMPORARY_REDIRECT: u16 = 307;
const MAX_BACKOFF_MS: Millis = 800.0;
/// An evacuation may be retried for this long, in ms (`acknowledge_ms`).
pub const ACKNOWLEDGE_LIMIT_MS: Millis = 6000.0;
/// A change without a definite response is given up after this, in ms.
const CHANGE_TIMEOUT_MS: Millis = 20_000.0;

#[derive(Clone, Debug)]
enum OperationKind {
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

impl OperationKind {
    fn request_kind(&self) -> RequestKind {
        match self {
            OperationKind::Change { .. } => RequestKind::Change,
            OperationKind::Evacuate { .. } => RequestKind::Evacuation,
            OperationKind::Read { .. } => RequestKind::Read,
        }
    }
}

/// What an operator asks for, until the response is definite.
#[derive(Clone, Debug)]
struct Operation {
    kind: OperationKind,
    /// The acknowledged operation that this one submits once more.
    resubmits: Option<usize>,
    began_at: Millis,
    attempts: u32,
    /// The call in flight, and when it was sent.
    call: Option<(u64, Millis)>,
    retry_at: Millis,
}

/// An operator with at most one operation in flight.
#[derive(Debug, Default)]
struct Operator {
    operation: Option<usize>,
    idle_until: Millis,
    /// It must read before its next change: the configuration in force is unknown.
    must_read: bool,
    /// An acknowledged operation that is to be submitted once more.
    resubmission: Option<usize>,
}

/// A call that is to be sent.
pub struct OutgoingCall {
    pub call: u64,
    pub machine: usize,
    pub message: Message,
    pub description: String,
}

pub struct Operators {
    random: Pcg64Mcg,
    operations: Vec<Operation>,
    /// Two that change the configuration, one for each zone, then those that read.
    operators: Vec<Operator>,
    /// The newest configuration that the operators know.
    known_configuration: Document,
    next_call: u64,
    next_version: u64,
    filler_routes: usize,
    max_pause_ms: Millis,
    /// Up to eight operations are in flight, and connections end amid calls.
    busy: bool,
    /// What each call asks for.
    requested_kinds: BTreeMap<u64, RequestKind>,
    /// Whether no new operations begin.
    pub stopped: bool,
    pub changes_acknowledged: u64,
    pub definite_responses: u64,
}

/// The index of the first operator that reads.
const FIRST_READER: usize = 2 + ZONES;
const READERS: usize = 1;
/// The number of reading operators among busy ones: eight operators in all.
const BUSY_READERS: usize = 3;
/// The shortest pause of operators that don't change the configuration, in ms; busy ones pause as the others.
const MIN_IDLE_MS: Millis = 400.0;
/// The probability that a busy operator's connection ends before the response.
const CONNECTION_LOSS_PROBABILITY: f64 = 0.15;

pub fn zone_name(zone: usize) -> String {
    ["odori-hall", "asahi-hall", "kita-hall"][zone].to_owned()
}

impl Operators {
    pub fn new(seed: u64, filler_routes: usize, max_pause_ms: Millis, busy: bool) -> Operators {
        let readers = if busy { BUSY_READERS } else { READERS };
        let mut operators: Vec<Operator> = Vec::new();
        operators.resize_with(FIRST_READER + readers, Operator::default);
        operators[1].idle_until = 2500.0;
        operators[2..]
            .iter_mut()
            .for_each(|operator| operator.idle_until = 2500.0);
        Operators {
            random: Pcg64Mcg::seed_from_u64(seed ^ 0x6f70_6572),
            operations: Vec::new(),
            operators,
            known_configuration: Document::default(),
            next_call: 0,
            next_version: 0,
            filler_routes,
            max_pause_ms,
            busy,
            requested_kinds: BTreeMap::new(),
            stopped: false,
            changes_acknowledged: 0,
            definite_responses: 0,
        }
    }

    pub fn are_idle(&self) -> bool {
        self.operators
            .iter()
            .all(|operator| operator.operation.is_none())
    }

    /// The number of changes in flight.
    fn pending_changes(&self) -> usize {
        self.operators[..2]
            .iter()
            .filter(|operator| operator.operation.is_some())
            .count()
    }

    /// Begins and retries what is due; `machines` is the operators' list.
    pub fn tick(
        &mut self,
        now: Millis,
        machines: &[usize],
        oracle: &mut Oracle,
    ) -> Vec<OutgoingCall> {
        let mut calls = Vec::new();
        for operator in 0..self.operators.len() {
            if self.operators[operator].operation.is_none() {
                self.begin(now, operator, oracle);
            }
            if let Some(call) = self.send_due(now, operator, machines) {
                calls.push(call);
            }
        }
        calls
    }

    fn begin(&mut self, now: Millis, operator: usize, oracle: &mut Oracle) {
        if self.stopped || now < self.operators[operator].idle_until {
            return;
        }
        let kind = match operator {
            0 | 1 if self.operators[operator].must_read => {
                self.operators[operator].must_read = false;
                OperationKind::Read {
                    at_least: oracle.newest_acknowledged(),
                }
            }
            0 | 1 => match self.begin_change(now, operator, oracle) {
                Some(kind) => kind,
                None => return,
            },
            FIRST_READER.. => OperationKind::Read {
                at_least: oracle.newest_acknowledged(),
            },
            _ => {
                let zone = operator - 2;
                oracle.evacuation_submitted(&zone_name(zone));
                OperationKind::Evacuate {
                    zone,
                    begin: self.random.gen(),
                }
            }
        };
        let operation = self.add(now, kind, None);
        self.operators[operator].operation = Some(operation);
        if let OperationKind::Change {
            document, based_on, ..
        } = &self.operations[operation].kind
        {
            let version = document.as_ref().map_or(0, |document| document.version);
            let valid = document.as_ref().filter(|document| {
                sandtrack_protocol::configuration::Configuration::read(document).is_ok()
                    && version > *based_on
            });
            oracle.configuration_submitted(operation, version, valid.map(Document::to_json));
        }
    }

    fn add(&mut self, now: Millis, kind: OperationKind, resubmits: Option<usize>) -> usize {
        self.operations.push(Operation {
            kind,
            resubmits,
            began_at: now,
            attempts: 0,
            call: None,
            retry_at: now,
        });
        self.operations.len() - 1
    }

    /// A change of the newest known configuration; or the resubmission of an acknowledged one is begun, and `None` returned.
    fn begin_change(
        &mut self,
        now: Millis,
        operator: usize,
        oracle: &mut Oracle,
    ) -> Option<OperationKind> {
        if let Some(before) = self.operators[operator].resubmission {
            if self.pending_changes() > 0 {
                return None;
            }
            self.operators[operator].resubmission = None;
            let operation = self.add(now, self.operations[before].kind.clone(), Some(before));
            self.operators[operator].operation = Some(operation);
            return None;
        }
        // While another operator resubmits a change, nothing else may change.
        let repeating = self.operators.iter().any(|other| {
            other.resubmission.is_some()
                || other
                    .operation
                    .is_some_and(|operation| self.operations[operation].resubmits.is_some())
        });
        if repeating || operator == 1 && self.known_configuration.version == 0 {
            return None;
        }
        let other = self.operators[1 - operator]
            .operation
            .map(|operation| self.operations[operation].kind.clone());
        let races = matches!(&other, Some(OperationKind::Change { based_on, .. }) if *based_on == self.known_configuration.version);
        let other_version = match &other {
            Some(OperationKind::Change {
                document: Some(document),
                ..
            }) => Some(document.version),
            _ => None,
        };
        // Half of the changes that race pick the version of their rival.
        let same = races && self.random.gen();
        self.next_version =
            self.next_version.max(self.known_configuration.version) + self.random.gen_range(1..4);
        let version = other_version.filter(|_| same).unwrap_or(self.next_version);
        let _ = oracle;
        // Rivals differ: the same content would be the same change, submitted twice.
        let body_of = |kind: &OperationKind| match kind {
            OperationKind::Change { body, .. } => Some(body.clone()),
            _ => None,
        };
        let others = other.as_ref().and_then(body_of);
        let mut kind = self.change(version);
        while others.is_some() && body_of(&kind) == others {
            kind = self.change(version);
        }
        Some(kind)
    }

    fn change(&mut self, version: u64) -> OperationKind {
        let based_on = self.known_configuration.version;
        if based_on > 0 && self.random.gen_bool(0.3) {
            let body = documents::update(&mut self.random, version);
            let document = documents::apply_update(&self.known_configuration, &body);
            return OperationKind::Change {
                based_on,
                document,
                replaces: false,
                body,
            };
        }
        let valid = !self.random.gen_bool(0.08);
        let mut body = documents::configuration(
            &mut self.random,
            version,
            self.filler_routes,
            valid || based_on == 0,
        );
        if !valid && based_on > 0 && self.random.gen() {
            body.truncate(body.len() / 2);
        }
        let document = documents::parse_configuration(&body);
        OperationKind::Change {
            based_on,
            document,
            replaces: true,
            body,
        }
    }

    /// Sends an operation if its first attempt or a retry is due.
    fn send_due(
        &mut self,
        now: Millis,
        operator: usize,
        machines: &[usize],
    ) -> Option<OutgoingCall> {
        let number = self.operators[operator].operation?;
        let operation = &mut self.operations[number];
        if operation
            .call
            .is_some_and(|(_, sent)| now - sent > RESPONSE_TIMEOUT_MS)
        {
            operation.call = None;
        }
        if operation.call.is_some() || now < operation.retry_at || machines.is_empty() {
            return None;
        }
        let most = if matches!(operation.kind, OperationKind::Evacuate { .. }) {
            ACKNOWLEDGE_LIMIT_MS
        } else {
            CHANGE_TIMEOUT_MS
        };
        let first_change = matches!(operation.kind, OperationKind::Change { based_on: 0, .. });
        if now - operation.began_at > most && !first_change {
            self.finish(now, operator, true);
            return None;
        }
        self.next_call += 1;
        operation.call = Some((self.next_call, now));
        let pause =
            (MIN_BACKOFF_MS * f64::from(1 << operation.attempts.min(6))).min(MAX_BACKOFF_MS);
        operation.retry_at = now + pause;
        operation.attempts += 1;
        let machine = machines[self.random.gen_range(0..machines.len())];
        let (message, description) = message(&operation.kind);
        self.requested_kinds
            .insert(self.next_call, operation.kind.request_kind());
        if self.busy && self.random.gen_bool(CONNECTION_LOSS_PROBABILITY) {
            operation.call = None;
        }
        Some(OutgoingCall {
            call: self.next_call,
            machine,
            message,
            description: format!("operation {number}: {description}"),
        })
    }

    /// Ends the operator's operation and draws the pause before the next one.
    fn finish(&mut self, now: Millis, operator: usize, lost: bool) {
        let pause = self.random.gen_range(0.1..1.0) * self.max_pause_ms;
        let known = &mut self.operators[operator];
        known.operation = None;
        known.must_read |= lost;
        known.idle_until = now
            + if operator < 2 || self.busy {
                pause
            } else {
                pause.max(MIN_IDLE_MS)
            };
    }

    /// What a call of an operator asks for.
    pub fn requested_by(&self, call: u64) -> Option<RequestKind> {
        self.requested_kinds.get(&call).copied()
    }

    /// The operations in flight, each with the time when it began.
    pub fn pending(&self) -> Vec<(usize, Millis)> {
        let operations = self
            .operators
            .iter()
            .filter_map(|operator| operator.operation);
        operations
            .map(|operation| (operation, self.operations[operation].began_at))
            .collect()
    }

    /// A connection broke before the response.
    pub fn connection_failed(&mut self, call: u64) {
        for operation in &mut self.operations {
            operation.call = operation.call.filter(|(known, _)| *known != call);
        }
    }

    /// Handles a response; one that is late or not definite changes nothing.
    pub fn handle_response(
        &mut self,
        now: Millis,
        call: u64,
        status: u16,
        body: &str,
        oracle: &mut Oracle,
    ) {
        let waits = |operator: &Operator| {
            operator.operation.filter(|operation| {
                self.operations[*operation]
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
        self.operations[number].call = None;
        if status == TEMPORARY_REDIRECT {
            // The call is retried elsewhere without backoff.
            self.operations[number].retry_at = now;
            return;
        }
        if status >= 500 || status == 408 || status == 429 {
            return;
        }
        self.definite_responses += 1;
        let operation = self.operations[number].clone();
        let lost = match operation.kind {
            OperationKind::Change {
                based_on, document, ..
            } => {
                let resubmits = operation.resubmits;
                self.handle_change_response(
                    operator, number, resubmits, based_on, document, status, oracle,
                )
            }
            OperationKind::Evacuate { zone, begin } => {
                if status == 200 {
                    oracle.evacuation_acknowledged(&zone_name(zone), begin);
                }
                false
            }
            OperationKind::Read { at_least } => {
                self.handle_read_response(status, body, at_least, oracle)
            }
        };
        self.finish(now, operator, lost);
    }

    #[allow(clippy::too_many_arguments)] // what is known of one answer
    fn handle_change_response(
        &mut self,
        operator: usize,
        number: usize,
        resubmits: Option<usize>,
        based_on: u64,
        document: Option<Document>,
        status: u16,
        oracle: &mut Oracle,
    ) -> bool {
        if let Some(first) = resubmits {
            oracle.resubmission_answered(first, status);
            return false;
        }
        if status != 200 {
            oracle.rejected(number, status);
            return true;
        }
        oracle.acknowledged(number, based_on);
        self.changes_acknowledged += 1;
        if let Some(document) =
            document.filter(|document| document.version > self.known_configuration.version)
        {
            self.known_configuration = document;
        }
        if self.random.gen_bool(0.1) {
            self.operators[operator].resubmission = Some(number);
        }
        false
    }

    fn handle_read_response(
        &mut self,
        status: u16,
        body: &str,
        at_least: u64,
        oracle: &mut Oracle,
    ) -> bool {
        let document = match status {
            200 => documents::parse_configuration(body).unwrap_or_default(),
            _ => Document::default(),
        };
        oracle.read_is_fresh(document.version, at_least);
        if status == 200 {
            oracle.read_is_what_was_sent(document.version, body);
        }
        if document.version > self.known_configuration.version {
            self.known_configuration = document;
        }
        false
    }

    /// Submits a change in the steady state at the end: the operation, the version that it is based on, and the request.
    pub fn final_change(&mut self, oracle: &mut Oracle) -> (usize, u64, Message) {
        self.next_version = self.next_version.max(self.known_configuration.version) + 1;
        let based_on = self.known_configuration.version;
        let body = documents::configuration(
            &mut self.random,
            self.next_version,
            self.filler_routes,
            true,
        );
        let document = documents::parse_configuration(&body);
        let number = self.add(0.0, OperationKind::Read { at_least: 0 }, None);
        oracle.configuration_submitted(
            number,
            self.next_version,
            document.as_ref().map(Document::to_json),
        );
        (
            number,
            based_on,
            documents::request("POST", "/v1/configuration/replace", based_on, &body),
        )
    }

    pub fn set_known_configuration(&mut self, document: Document) {
        self.known_configuration = document;
    }
}

fn message(kind: &OperationKind) -> (Message, String) {
    match kind {
        OperationKind::Change {
            based_on,
            replaces,
            body,
            document,
        } => {
            let verb = if *replaces { "replace" } else { "update" };
            let target = format!("/v1/configuration/{verb}");
            let version = document.as_ref().map(|document| document.version);
            (
                documents::request("POST", &target, *based_on, body),
                format!("{verb} {based_on} by {version:?}"),
            )
        }
        OperationKind::Evacuate { zone, begin } => {
            let verb = if *begin { "begin" } else { "finish" };
            let target = format!("/v1/evacuation/{}/{verb}", zone_name(*zone));
            (documents::request("POST", &target, 0, ""), target)
        }
        OperationKind::Read { .. } => (
            documents::request("GET", "/v1/configuration/read", 0, ""),
            "read".to_owned(),
        ),
    }
}
