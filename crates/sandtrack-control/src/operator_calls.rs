//! Operators' calls under way in a control node: each is decoded, given to the replica, and answered once, in time. Pure: the
//! control node carries out the steps.
use crate::arrivals::{Arrival, Awake};
use crate::commands::{Command, Outcome, Question};
use crate::control::{self, Order, Reply, ORDER_PATIENCE_MS, PATIENCE_MS};
use crate::Millis;
use sandtrack_replication::CallError;
use sandtrack_sidecar_core::message::Message;
use std::collections::BTreeMap;

/// What is to be done for a call.
#[derive(Debug, PartialEq)]
pub enum Step {
    Reply {
        call: u64,
        reply: Reply,
    },
    Submit {
        call: u64,
        command: Command,
    },
    Read {
        call: u64,
        question: Question,
    },
    /// Answer with what this control node knows of itself and the others.
    Status {
        call: u64,
    },
}

/// What the control node knows as a call is looked at.
pub trait Known {
    /// Whether callers are to go to another control node: this one is about to end, and another is there.
    fn passes_callers_on(&self) -> bool;
    /// Number of the last order for a zone in the committed state here.
    fn last_order(&self, zone: &str) -> u64;
    /// The version that a configuration made, if it is known in the committed state here that it was taken.
    fn version_taken(&self, command: &Command) -> Option<u64>;
    /// Whether the settings, or anything that was learned, names the zone.
    fn names_zone(&self, zone: &str) -> bool;
}

/// What a call waits for.
#[derive(Clone, Debug, PartialEq)]
enum Waits {
    Configuration,
    /// For the chain to answer at all, before a configuration that was taken is acknowledged again.
    Repeat {
        version: u64,
    },
    Evacuation,
    /// For the chain to answer at all, before it is said that there is no such zone. `seen` is the stamp of the order, of when
    /// the call was read.
    Zone {
        zone: String,
        begin: bool,
        seen: u64,
    },
    Read,
}

#[derive(Clone, Debug, PartialEq)]
struct Pending {
    arrival: Arrival,
    until: Millis,
    waits: Waits,
}

/// The calls under way; each is answered once.
#[derive(Clone, Debug)]
pub struct OperatorCalls {
    awake: Awake,
    next: u64,
    /// Calls that were begun and not given to `call` yet.
    begun: BTreeMap<u64, Arrival>,
    pending: BTreeMap<u64, Pending>,
}

impl OperatorCalls {
    /// No calls, in a process that starts.
    pub fn new(now: Millis) -> OperatorCalls {
        OperatorCalls {
            awake: Awake::new(now),
            next: 0,
            begun: BTreeMap::new(),
            pending: BTreeMap::new(),
        }
    }

    /// A number for a call that was read.
    pub fn begin(&mut self, arrival: Arrival) -> u64 {
        self.next += 1;
        self.begun.insert(self.next, arrival);
        self.next
    }

    /// When a call came that was begun and not made yet.
    pub fn arrival(&self, call: u64) -> Option<Arrival> {
        self.begun.get(&call).copied()
    }

    /// Since when this process has run without being held up.
    pub fn awake_since(&self) -> Millis {
        self.awake.since()
    }

    /// Whether no call waits for the replica.
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

    /// Before all else that happens. After a pause nobody waits any more for what was under way: no answer that comes now
    /// is given as a definite one.
    pub fn look(&mut self, now: Millis) -> Vec<Step> {
        if !self.awake.look(now) {
            return Vec::new();
        }
        let pending = std::mem::take(&mut self.pending);
        pending
            .into_keys()
            .map(|call| Step::Reply {
                call,
                reply: control::unsure(),
            })
            .collect()
    }

    /// A call was read whole.
    pub fn call(&mut self, now: Millis, call: u64, message: &Message, known: &impl Known) -> Step {
        let arrival = self.begun.remove(&call).unwrap_or(Arrival::at(now));
        let order = match control::decode(message) {
            Ok(Order::Status) => return Step::Status { call },
            Err(reply) => return Step::Reply { call, reply },
            Ok(order) => order,
        };
        if known.passes_callers_on() {
            return Step::Reply {
                call,
                reply: control::refused(CallError::NoMajority),
            };
        }
        if !self.awake.has_run_since(&arrival) {
            return Step::Reply {
                call,
                reply: control::too_late(),
            };
        }
        let mut wait = |waits: Waits| {
            let patience = match waits {
                Waits::Evacuation | Waits::Zone { .. } => ORDER_PATIENCE_MS,
                Waits::Configuration | Waits::Repeat { .. } | Waits::Read => PATIENCE_MS,
            };
            let until = now + patience;
            self.pending.insert(
                call,
                Pending {
                    arrival,
                    until,
                    waits,
                },
            );
        };
        match order {
            Order::Status => Step::Status { call },
            Order::Configure(command) => match known.version_taken(&command) {
                // Its body need not pass along the chain again, which may take longer than its caller waits.
                Some(version) => {
                    wait(Waits::Repeat { version });
                    Step::Read {
                        call,
                        question: Question::Contact,
                    }
                }
                None => {
                    wait(Waits::Configuration);
                    Step::Submit { call, command }
                }
            },
            Order::Read => {
                wait(Waits::Read);
                Step::Read {
                    call,
                    question: Question::Configuration,
                }
            }
            Order::Evacuate { zone, begin } if known.names_zone(&zone) => {
                wait(Waits::Evacuation);
                let seen = known.last_order(&zone);
                self.order_evacuation(now, call, zone, begin, seen)
            }
            Order::Evacuate { zone, begin } => {
                let seen = known.last_order(&zone);
                wait(Waits::Zone { zone, begin, seen });
                Step::Read {
                    call,
                    question: Question::Contact,
                }
            }
        }
    }

    /// Submits the order under the stamp that it got when it was read, unless its caller may have sent it elsewhere by now.
    fn order_evacuation(
        &mut self,
        now: Millis,
        call: u64,
        zone: String,
        begin: bool,
        seen: u64,
    ) -> Step {
        let recent = |pending: &&Pending| self.awake.is_recent(now, &pending.arrival);
        if self.pending.get(&call).filter(recent).is_none() {
            self.pending.remove(&call);
            return Step::Reply {
                call,
                reply: control::too_late(),
            };
        }
        Step::Submit {
            call,
            command: Command::SetEvacuation { zone, begin, seen },
        }
    }

    /// What came of a call; nothing for one that was answered before.
    pub fn answer(
        &mut self,
        now: Millis,
        call: u64,
        result: Result<Vec<u8>, CallError>,
        known: &impl Known,
    ) -> Option<Step> {
        let waits = self.pending.get(&call)?.waits.clone();
        match waits {
            Waits::Zone { zone, begin, seen } if result.is_ok() && known.names_zone(&zone) => {
                if let Some(pending) = self.pending.get_mut(&call) {
                    pending.waits = Waits::Evacuation;
                }
                Some(self.order_evacuation(now, call, zone, begin, seen))
            }
            // One that was overtaken is not stamped anew: its caller may have gone on to another control node, and may have
            // been acknowledged there, and a later order after it.
            Waits::Evacuation => Some(self.end(call, control::outcome(outcome(result)))),
            Waits::Zone { zone, .. } => {
                let reply = result.map_or_else(control::refused, |_| control::unknown_zone(&zone));
                Some(self.end(call, reply))
            }
            Waits::Repeat { version } => {
                let taken = || control::outcome(Ok(Outcome::Taken { version }));
                // It is in force: no refusal that says otherwise.
                Some(self.end(call, result.map_or_else(|_| control::unsure(), |_| taken())))
            }
            Waits::Configuration => Some(self.end(call, control::outcome(outcome(result)))),
            Waits::Read => {
                let reply =
                    control::answer(result.map(|bytes| borsh::from_slice(&bytes).ok().flatten()));
                Some(self.end(call, reply))
            }
        }
    }

    fn end(&mut self, call: u64, reply: Reply) -> Step {
        self.pending.remove(&call);
        Step::Reply { call, reply }
    }

    /// The calls that have waited for long enough.
    pub fn late(&mut self, now: Millis) -> Vec<Step> {
        let late = |(call, pending): (&u64, &Pending)| (now >= pending.until).then_some(*call);
        let late: Vec<u64> = self.pending.iter().filter_map(late).collect();
        late.into_iter()
            .map(|call| self.end(call, control::unsure()))
            .collect()
    }
}

fn outcome(result: Result<Vec<u8>, CallError>) -> Result<Outcome, CallError> {
    // What can't be read is of a later program: it may be in force.
    result.and_then(|bytes| borsh::from_slice(&bytes).map_err(|_| CallError::TimedOut))
}
