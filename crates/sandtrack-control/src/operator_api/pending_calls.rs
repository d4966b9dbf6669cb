//! Operators' calls in flight: each is parsed, submitted to the replica, and answered exactly once, within its time-out. The
//! control node carries out the steps. The submodule `configuration` has those of calls that change the configuration.
mod configuration;

use super::requests::{self, Request, CALL_TIMEOUT_MS, EVACUATION_TIMEOUT_MS};
use super::responses::{self, Reply};
use crate::operator_api::call_age::{Arrival, PauseDetector};
use crate::state_machine::{Command, Outcome, Precheck, Query, QueryResult};
use crate::Millis;
use sandtrack_replication::CallError;
use sandtrack_sidecar_core::message::Message;
use std::collections::BTreeMap;

/// The next step of a call.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Answer the call.
    Reply {
        /// Number of the call.
        call: u64,
        /// The response.
        reply: Reply,
    },
    /// Submit a command to the replica.
    Submit {
        /// Number of the call.
        call: u64,
        /// The command.
        command: Command,
    },
    /// Submit a linearizable read to the replica.
    Read {
        /// Number of the call.
        call: u64,
        /// The query.
        query: Query,
    },
    /// Answer with what this control node knows of itself and the others.
    Status {
        /// Number of the call.
        call: u64,
    },
}

/// What the control node knows when a call is looked at.
pub trait CallContext {
    /// Whether callers are sent to another control node, as this one shuts down.
    fn redirects_callers(&self) -> bool;
    /// Number of the last order for a zone in the committed state here.
    fn last_evacuation_command(&self, zone: &str) -> u64;
    /// The version that a command made, if it is among the configurations accepted last in the committed state here.
    fn accepted_version(&self, command: &Command) -> Option<u64>;
    /// What the committed state here says of a command before it is submitted.
    fn precheck(&self, command: &Command) -> Precheck;
    /// Whether the zone is in the settings or in anything that was learned since.
    fn is_known_zone(&self, zone: &str) -> bool;
}

/// What a call awaiting for.
#[derive(Clone, Debug, PartialEq)]
enum Awaiting {
    Configuration,
    /// An update whose basis has not reached this node, or that is invalid there: for the newest configuration, to check the
    /// update against it.
    BaseVersion {
        command: Command,
        if_missing: IfMissing,
    },
    /// An update whose basis is not in the newest configuration that was read: for all that is ahead in the log, as the
    /// basis may be on its way down the chain.
    Barrier {
        command: Command,
    },
    /// A repeated configuration: that the chain responds, before it is acknowledged again.
    Repeat {
        version: u64,
    },
    Evacuation,
    /// For the chain to answer at all, before it is said that there is no such zone. `last_known` is the stamp of the order, of when
    /// the call was read.
    Zone {
        zone: String,
        begin: bool,
        last_known: u64,
    },
    Read,
}

/// What follows where the newest configuration that was read is older than the basis of an update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IfMissing {
    /// The basis may be on its way down the chain: a barrier is submitted, and the configuration is read again behind it.
    Barrier,
    /// What was ahead of the barrier in the log has been applied: there is no such version.
    Conflict,
    /// The update is submitted, as the chain checks it.
    Submit,
}

impl Awaiting {
    /// How long it is waited for, in ms.
    fn timeout(&self) -> Millis {
        match self {
            Awaiting::Evacuation | Awaiting::Zone { .. } => EVACUATION_TIMEOUT_MS,
            Awaiting::Configuration
            | Awaiting::BaseVersion { .. }
            | Awaiting::Barrier { .. }
            | Awaiting::Repeat { .. }
            | Awaiting::Read => CALL_TIMEOUT_MS,
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
struct Pending {
    arrival: Arrival,
    until: Millis,
    awaiting: Awaiting,
}

/// The calls under way; each is answered once.
#[derive(Clone, Debug)]
pub struct PendingCalls {
    pauses: PauseDetector,
    next: u64,
    /// Calls that were registered and not given to `call` yet.
    registered: BTreeMap<u64, Arrival>,
    pending: BTreeMap<u64, Pending>,
}

impl PendingCalls {
    /// No calls, in a process that starts.
    pub fn new(now: Millis) -> PendingCalls {
        PendingCalls {
            pauses: PauseDetector::new(now),
            next: 0,
            registered: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// A number for a call that was read.
    pub fn register(&mut self, arrival: Arrival) -> u64 {
        self.next += 1;
        self.registered.insert(self.next, arrival);
        self.next
    }

    /// When a call came that was registered and not made yet.
    pub fn arrival(&self, call: u64) -> Option<Arrival> {
        self.registered.get(&call).copied()
    }

    /// Since when this process has run without being held up.
    pub fn running_since(&self) -> Millis {
        self.pauses.running_since()
    }

    /// Whether no call awaiting for the replica.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// When the next call has waited for long enough.
    pub fn next_due(&self) -> Option<Millis> {
        self.pending
            .values()
            .map(|pending| pending.until)
            .reduce(Millis::min)
    }

    /// Before all else that happens. After a pause nobody awaiting any more for what was under way: no answer that comes now
    /// is given as a definite one.
    pub fn check_for_pause(&mut self, now: Millis) -> Vec<Step> {
        if !self.pauses.observe(now) {
            return Vec::new();
        }
        let pending = std::mem::take(&mut self.pending);
        pending
            .into_keys()
            .map(|call| Step::Reply {
                call,
                reply: responses::unacknowledged(),
            })
            .collect()
    }

    /// A call was read completely.
    pub fn handle(
        &mut self,
        now: Millis,
        call: u64,
        message: &Message,
        known: &impl CallContext,
    ) -> Step {
        let arrival = self.registered.remove(&call).unwrap_or(Arrival::at(now));
        let order = match requests::parse(message) {
            Ok(Request::Status) => return Step::Status { call },
            Err(reply) => return Step::Reply { call, reply },
            Ok(order) => order,
        };
        if known.redirects_callers() {
            return Step::Reply {
                call,
                reply: responses::refused(CallError::NoMajority),
            };
        }
        if !self.pauses.ran_since_arrival(&arrival) {
            return Step::Reply {
                call,
                reply: responses::too_old(),
            };
        }
        match order {
            Request::Status => Step::Status { call },
            Request::Configure(command) => self.configure(now, call, arrival, command, known),
            Request::Read => {
                self.wait(now, call, arrival, Awaiting::Read);
                Step::Read {
                    call,
                    query: Query::Configuration,
                }
            }
            Request::Evacuate { zone, begin } => {
                self.evacuate(now, call, arrival, zone, begin, known)
            }
        }
    }

    /// The call waits for the replica from now on, for as long as its caller does.
    fn wait(&mut self, now: Millis, call: u64, arrival: Arrival, awaiting: Awaiting) {
        let until = now + awaiting.timeout();
        let pending = Pending {
            arrival,
            until,
            awaiting,
        };
        self.pending.insert(call, pending);
    }

    /// An order for a zone. One for a zone that nothing names here is refused only if the chain does not know the zone either.
    fn evacuate(
        &mut self,
        now: Millis,
        call: u64,
        arrival: Arrival,
        zone: String,
        begin: bool,
        known: &impl CallContext,
    ) -> Step {
        let last_known = known.last_evacuation_command(&zone);
        if known.is_known_zone(&zone) {
            self.wait(now, call, arrival, Awaiting::Evacuation);
            return self.submit_evacuation(now, call, zone, begin, last_known);
        }
        let awaiting = Awaiting::Zone {
            zone: zone.clone(),
            begin,
            last_known,
        };
        self.wait(now, call, arrival, awaiting);
        Step::Read {
            call,
            query: Query::KnownZone { zone },
        }
    }

    /// Submits the order under the stamp that it got when it was read, unless its caller may have sent it elsewhere by now.
    fn submit_evacuation(
        &mut self,
        now: Millis,
        call: u64,
        zone: String,
        begin: bool,
        last_known: u64,
    ) -> Step {
        let recent = |pending: &&Pending| self.pauses.is_recent(now, &pending.arrival);
        if self.pending.get(&call).filter(recent).is_none() {
            self.pending.remove(&call);
            return Step::Reply {
                call,
                reply: responses::too_old(),
            };
        }
        Step::Submit {
            call,
            command: Command::SetEvacuation {
                zone,
                begin,
                last_known,
            },
        }
    }

    /// What came of a call; nothing for one that was answered before.
    pub fn complete(
        &mut self,
        now: Millis,
        call: u64,
        result: Result<Vec<u8>, CallError>,
        known: &impl CallContext,
    ) -> Option<Step> {
        let awaiting = self.pending.get(&call)?.awaiting.clone();
        match awaiting {
            Awaiting::Zone {
                zone,
                begin,
                last_known,
            } if is_known_to_chain(&result) || result.is_ok() && known.is_known_zone(&zone) => {
                self.await_next(call, Awaiting::Evacuation);
                Some(self.submit_evacuation(now, call, zone, begin, last_known))
            }
            Awaiting::BaseVersion {
                command,
                if_missing,
            } => Some(self.submit_on_base_version(call, command, if_missing, result)),
            Awaiting::Barrier { command } => Some(self.read_behind_barrier(call, command, &result)),
            // One that was overtaken is not stamped anew: its caller may have gone on to another control node, and may have
            // been acknowledged there, and a later order after it.
            Awaiting::Evacuation => {
                Some(self.end(call, responses::command_result(outcome(result))))
            }
            Awaiting::Zone { zone, .. } => {
                let reply =
                    result.map_or_else(responses::refused, |_| responses::unknown_zone(&zone));
                Some(self.end(call, reply))
            }
            Awaiting::Repeat { version } => {
                let taken = || responses::command_result(Ok(Outcome::Accepted { version }));
                // It is in force: no refusal that says otherwise.
                Some(self.end(
                    call,
                    result.map_or_else(|_| responses::unacknowledged(), |_| taken()),
                ))
            }
            Awaiting::Configuration => {
                Some(self.end(call, responses::command_result(outcome(result))))
            }
            Awaiting::Read => {
                let reply = responses::query_result(
                    result.map(|bytes| borsh::from_slice(&bytes).ok().flatten()),
                );
                Some(self.end(call, reply))
            }
        }
    }

    fn await_next(&mut self, call: u64, awaiting: Awaiting) {
        if let Some(pending) = self.pending.get_mut(&call) {
            pending.awaiting = awaiting;
        }
    }

    fn end(&mut self, call: u64, reply: Reply) -> Step {
        self.pending.remove(&call);
        Step::Reply { call, reply }
    }

    /// The calls that have waited for long enough.
    pub fn expire(&mut self, now: Millis) -> Vec<Step> {
        let late = |(call, pending): (&u64, &Pending)| (now >= pending.until).then_some(*call);
        let late: Vec<u64> = self.pending.iter().filter_map(late).collect();
        late.into_iter()
            .map(|call| self.end(call, responses::unacknowledged()))
            .collect()
    }
}

/// Whether the chain has applied an order for the zone that it was asked about. This node may not have.
fn is_known_to_chain(result: &Result<Vec<u8>, CallError>) -> bool {
    let answer = result.as_deref().map(borsh::from_slice::<QueryResult>);
    matches!(answer, Ok(Ok(Some(_))))
}

fn outcome(result: Result<Vec<u8>, CallError>) -> Result<Outcome, CallError> {
    // What can't be read is of a later program: it may be in force.
    result.and_then(|bytes| borsh::from_slice(&bytes).map_err(|_| CallError::TimedOut))
}
