//! The control node's own code for operators' calls, before a control state.
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_control::operator_api::pending_calls::{self, CallContext, PendingCalls};
use sandtrack_control::operator_api::Reply;
use sandtrack_control::state_machine::{Command, ControlState};
use sandtrack_replication::CallError;
use sandtrack_sidecar_core::message::{Head, Headers, Message};

use crate::interface::{Interface, Step};
use crate::order::{body, shown_in, Order, Shown, Told, ZONE};

/// A state machine that is a control state.
pub trait ControlMachine {
    fn control_state(&self) -> &ControlState;
}

/// The control node's [`PendingCalls`]: the age of a call, the stamp of an evacuation, and the answers as they are on
/// the wire.
#[derive(Clone, Debug)]
pub struct Operators {
    calls: PendingCalls,
    /// The model's call and its order, by the process's own number for it.
    numbers: BTreeMap<u64, (u64, Order)>,
}

/// What a control node knows, as far as the model has it: the settings name the zone.
struct Knowledge<'a, M>(&'a M);

impl<M: ControlMachine> CallContext for Knowledge<'_, M> {
    fn redirects_callers(&self) -> bool {
        false
    }

    fn last_order(&self, zone: &str) -> u64 {
        self.0.control_state().last_order(zone)
    }

    fn accepted_version(&self, command: &Command) -> Option<u64> {
        self.0.control_state().accepted_version(command)
    }

    fn knows_zone(&self, zone: &str) -> bool {
        zone == ZONE
    }
}

impl Operators {
    fn step(&mut self, step: pending_calls::Step) -> Option<Step> {
        // Plain data in memory: it can always be written.
        match step {
            pending_calls::Step::Submit {
                call: number,
                command,
            } => Some(Step::Submit {
                number,
                command: borsh::to_vec(&command).unwrap_or_default(),
            }),
            pending_calls::Step::Read {
                call: number,
                question,
            } => Some(Step::Read {
                number,
                question: borsh::to_vec(&question).unwrap_or_default(),
            }),
            pending_calls::Step::Reply {
                call: number,
                reply,
            } => {
                let (call, order) = self.numbers.remove(&number)?;
                Some(Step::Tell {
                    call,
                    told: told(order, &reply),
                })
            }
            pending_calls::Step::Status { .. } => None,
        }
    }

    fn steps(&mut self, steps: Vec<pending_calls::Step>) -> Vec<Step> {
        steps
            .into_iter()
            .filter_map(|step| self.step(step))
            .collect()
    }
}

impl<M: ControlMachine> Interface<M> for Operators {
    fn new(now: f64) -> Self {
        Self {
            calls: PendingCalls::new(now),
            numbers: BTreeMap::new(),
        }
    }

    fn look(&mut self, now: f64) -> Vec<Step> {
        let steps = self.calls.check_for_pause(now);
        self.steps(steps)
    }

    fn call(
        &mut self,
        now: f64,
        call: u64,
        order: Order,
        arrival: Arrival,
        machine: &M,
    ) -> Option<Step> {
        let number = self.calls.begin(arrival);
        self.numbers.insert(number, (call, order));
        let step = self
            .calls
            .handle(now, number, &message(order), &Knowledge(machine));
        self.step(step)
    }

    fn answer(
        &mut self,
        now: f64,
        number: u64,
        result: Result<Vec<u8>, CallError>,
        machine: &M,
    ) -> Option<Step> {
        let step = self
            .calls
            .complete(now, number, result, &Knowledge(machine))?;
        self.step(step)
    }

    fn late(&mut self, now: f64) -> Vec<Step> {
        let steps = self.calls.expire(now);
        self.steps(steps)
    }

    fn fingerprint_into(&self, state: &mut impl Hasher) {
        format!("{self:?}").hash(state);
    }
}

/// An operator's call as it is on the wire.
fn message(order: Order) -> Message {
    let (method, target, headers, body) = match order {
        Order::Change {
            based_on,
            version,
            mark,
        } => {
            let headers = vec![("Based-On-Version".to_owned(), based_on.to_string())];
            (
                "POST",
                "/v1/configuration/replace".to_owned(),
                headers,
                body(version, mark),
            )
        }
        Order::Evacuate { begin } => {
            let verb = if begin { "begin" } else { "finish" };
            (
                "POST",
                format!("/v1/evacuation/{ZONE}/{verb}"),
                Vec::new(),
                Vec::new(),
            )
        }
        Order::Read => (
            "GET",
            "/v1/configuration/read".to_owned(),
            Vec::new(),
            Vec::new(),
        ),
    };
    let head = Head {
        method: method.to_owned(),
        target,
        status: 0,
        headers: Headers(headers),
        keep_alive: false,
        chunks: true,
    };
    Message { head, body }
}

/// What an answer tells the caller of an order; `None`: nothing definite.
fn told(order: Order, reply: &Reply) -> Option<Told> {
    match (order, reply.status) {
        (_, 503) => None,
        (Order::Read, 200) => Some(Told::Read(shown_in(&reply.body))),
        (Order::Read, 404) => Some(Told::Read(Shown::default())),
        (_, 200) => Some(Told::Taken),
        (_, 412) => Some(Told::OtherVersion),
        _ => Some(Told::Invalid),
    }
}
