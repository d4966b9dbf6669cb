//! The layer between the callers and the replica of a process.
use std::hash::Hasher;

use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_replication::CallError;

use crate::operation::{CallOutcome, Operation};

/// What a frontend asks for.
#[derive(Debug)]
pub enum FrontendStep {
    /// Submits a command to the replica.
    Submit {
        /// The frontend's number of the call.
        number: u64,
        /// The command, serialized.
        command: Vec<u8>,
    },
    /// Reads the state machine of the replica.
    Read {
        /// The frontend's number of the call.
        number: u64,
        /// The query, serialized.
        question: Vec<u8>,
    },
    /// Responds to the caller of the model's `call`; `None` if the response is not definite.
    Respond {
        /// The identifier of the call in the model.
        call: u64,
        /// The outcome, if it is definite.
        outcome: Option<CallOutcome>,
    },
}

/// The layer between the callers and the replica. Times are milliseconds of the process's steady clock.
pub trait CallFrontend<M>: Clone + Send + Sync + 'static {
    /// The frontend of a process that starts at `now`.
    fn new(now: f64) -> Self;

    /// Handles what is due before all else that the process does at this time.
    fn process_due(&mut self, now: f64) -> Vec<FrontendStep>;

    /// A call was read completely.
    fn call(
        &mut self,
        now: f64,
        call: u64,
        operation: Operation,
        arrival: Arrival,
        machine: &M,
    ) -> Option<FrontendStep>;

    /// The replica has answered a submission or a read.
    fn answer(
        &mut self,
        now: f64,
        number: u64,
        result: Result<Vec<u8>, CallError>,
        machine: &M,
    ) -> Option<FrontendStep>;

    /// Expires calls after a tick.
    fn expire(&mut self, now: f64) -> Vec<FrontendStep>;

    /// Adds the frontend's state to a fingerprint.
    fn fingerprint_into(&self, state: &mut impl Hasher);
}
