//! The control node's own code for operators' calls, in front of a control state.
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};

use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_control::operator_api::pending_calls::{self, CallContext, PendingCalls};
use sandtrack_control::operator_api::Reply;
use sandtrack_control::state_machine::{Command, ControlState, Precheck};
use sandtrack_replication::CallError;
use sandtrack_sidecar_core::message::{Head, Headers, Message};

use crate::call_frontend::{CallFrontend, FrontendStep};
use crate::operation::{
    body, key_update, visible_configuration_in, CallOutcome, Operation, VisibleConfiguration, ZONE,
};

/// A state machine that holds a control state.
pub trait HasControlState {
    /// The control state.
    fn control_state(&self) -> &ControlState;
}

/// The control node's [`PendingCalls`]: the age of a call, the stamp of an evacuation, and the responses as they are on
/// the wire.
#[derive(Clone, Debug)]
pub struct ControlFrontend {
    calls: PendingCalls,
    /// The model's call and its operation, by the process's own number for it.
    numbers: BTreeMap<u64, (u64, Operation)>,
}

/// What the calls need to know of a control node: its settings name the zone.
struct Knowledge<'a, M>(&'a M);

impl<M: HasControlState> CallContext for Knowledge<'_, M> {
    fn redirects_callers(&self) -> bool {
        false
    }

    fn last_evacuation_command(&self, zone: &str) -> u64 {
        self.0.control_state().last_evacuation_command(zone)
    }

    fn accepted_version(&self, command: &Command) -> Option<u64> {
        self.0.control_state().accepted_version(command)
    }

    fn precheck(&self, command: &Command) -> Precheck {
        self.0.control_state().precheck(command)
    }

    fn is_known_zone(&self, zone: &str) -> bool {
        zone == ZONE
    }
}

impl ControlFrontend {
    fn step(&mut self, step: pending_calls::Step) -> Option<FrontendStep> {
        // Plain data in memory: it can always be written.
        match step {
            pending_calls::Step::Submit {
                call: number,
                command,
            } => Some(FrontendStep::Submit {
                number,
                command: borsh::to_vec(&command).unwrap_or_default(),
            }),
            pending_calls::Step::Read {
                call: number,
                query,
            } => Some(FrontendStep::Read {
                number,
                question: borsh::to_vec(&query).unwrap_or_default(),
            }),
            pending_calls::Step::Reply {
                call: number,
                reply,
            } => {
                let (call, operation) = self.numbers.remove(&number)?;
                Some(FrontendStep::Respond {
                    call,
                    outcome: call_outcome(operation, &reply),
                })
            }
            pending_calls::Step::Status { .. } => None,
        }
    }

    fn steps(&mut self, steps: Vec<pending_calls::Step>) -> Vec<FrontendStep> {
        steps
            .into_iter()
            .filter_map(|step| self.step(step))
            .collect()
    }
}

impl<M: HasControlState> CallFrontend<M> for ControlFrontend {
    fn new(now: f64) -> Self {
        Self {
            calls: PendingCalls::new(now),
            numbers: BTreeMap::new(),
        }
    }

    fn process_due(&mut self, now: f64) -> Vec<FrontendStep> {
        let steps = self.calls.check_for_pause(now);
        self.steps(steps)
    }

    fn call(
        &mut self,
        now: f64,
        call: u64,
        operation: Operation,
        arrival: Arrival,
        machine: &M,
    ) -> Option<FrontendStep> {
        let number = self.calls.register(arrival);
        self.numbers.insert(number, (call, operation));
        let step = self
            .calls
            .handle(now, number, &message(operation), &Knowledge(machine));
        self.step(step)
    }

    fn answer(
        &mut self,
        now: f64,
        number: u64,
        result: Result<Vec<u8>, CallError>,
        machine: &M,
    ) -> Option<FrontendStep> {
        let step = self
            .calls
            .complete(now, number, result, &Knowledge(machine))?;
        self.step(step)
    }

    fn expire(&mut self, now: f64) -> Vec<FrontendStep> {
        let steps = self.calls.expire(now);
        self.steps(steps)
    }

    fn fingerprint_into(&self, state: &mut impl Hasher) {
        format!("{self:?}").hash(state);
    }
}

/// The HTTP request of an operation.
fn message(operation: Operation) -> Message {
    let (method, target, headers, body) = match operation {
        Operation::Change {
            based_on,
            version,
            mark,
        } => (
            "POST",
            "/v1/configuration/replace".to_owned(),
            based_on_header(based_on),
            body(version, mark),
        ),
        Operation::GiveKey {
            based_on,
            version,
            tenant,
        } => (
            "POST",
            "/v1/configuration/update".to_owned(),
            based_on_header(based_on),
            key_update(version, tenant),
        ),
        Operation::Evacuate { begin } => {
            let verb = if begin { "begin" } else { "finish" };
            (
                "POST",
                format!("/v1/evacuation/{ZONE}/{verb}"),
                Vec::new(),
                Vec::new(),
            )
        }
        Operation::Read => (
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

fn based_on_header(version: u64) -> Vec<(String, String)> {
    vec![("Based-On-Version".to_owned(), version.to_string())]
}

/// The outcome in a reply; `None` if it is not definite.
fn call_outcome(operation: Operation, reply: &Reply) -> Option<CallOutcome> {
    match (operation, reply.status) {
        (_, 503) => None,
        (Operation::Read, 200) => Some(CallOutcome::Read(visible_configuration_in(&reply.body))),
        (Operation::Read, 404) => Some(CallOutcome::Read(VisibleConfiguration::default())),
        (_, 200) => Some(CallOutcome::Accepted),
        (_, 412) => Some(CallOutcome::VersionMismatch),
        _ => Some(CallOutcome::Invalid),
    }
}
