//! What stands between the callers and the replica of a process.
use std::hash::Hasher;

use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_replication::CallError;

use crate::order::{Order, Told};

/// What is to be done for a call.
#[derive(Debug)]
pub enum Step {
    /// Under a number that the interface knows the call by.
    Submit {
        number: u64,
        command: Vec<u8>,
    },
    Read {
        number: u64,
        question: Vec<u8>,
    },
    /// The caller of the model's `call` is answered; `None`: without a definite answer.
    Tell {
        call: u64,
        told: Option<Told>,
    },
}

/// The callers' side of a process. Times are milliseconds of the process's steady clock.
pub trait Interface<M>: Clone + Send + Sync + 'static {
    fn new(now: f64) -> Self;

    /// Before all else that the process does at this moment.
    fn look(&mut self, now: f64) -> Vec<Step>;

    /// A call was read whole.
    fn call(
        &mut self,
        now: f64,
        call: u64,
        order: Order,
        arrival: Arrival,
        machine: &M,
    ) -> Option<Step>;

    /// The replica has answered a step.
    fn answer(
        &mut self,
        now: f64,
        number: u64,
        result: Result<Vec<u8>, CallError>,
        machine: &M,
    ) -> Option<Step>;

    /// What is due after a tick.
    fn late(&mut self, now: f64) -> Vec<Step>;

    /// Takes what its further course depends on, beside the replica's state, into a fingerprint.
    fn fingerprint_into(&self, state: &mut impl Hasher);
}
