//! Operators: they send changes, evacuations and reads, and retry each unchanged at another machine until the response is
//! definite. Two of them change the configuration and race now and then, one for each zone evacuates it, one reads; of busy
//! operators three read, so that eight operations are in flight.
mod changes;
mod operation;
mod responses;

use crate::oracle::Oracle;
use crate::plan::{Millis, RequestKind, ZONES};
use operation::{message, Operation, OperationKind};
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
            0 | 1 => match self.begin_change(now, operator) {
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

    pub fn set_known_configuration(&mut self, document: Document) {
        self.known_configuration = document;
    }
}
