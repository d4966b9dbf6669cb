//! The state machines that the replicas run in the model: the real control state with tiny documents, the same without the
//! check of an operation's stamp or with the latest rules in force, and a register that does the same in a tenth of the time.
use sandtrack_replication::StateMachine;

use crate::call_frontend::CallFrontend;
pub use crate::operation::{CallOutcome, Operation, VisibleConfiguration, ZONE};

mod control;
mod register;

pub use control::{LatestRules, Unstamped};
pub use register::{DirectFrontend, Register};

/// A state machine that the model can drive.
pub trait Machine: StateMachine + Clone + Default + Send + Sync + 'static {
    /// What stands between the callers and the replica.
    type Frontend: CallFrontend<Self>;
    /// Ticks for which a replica retries a call.
    const CALL_TICKS: f64;

    /// The index in the script of the first operation that a command may come from.
    fn script_index(script: &[Operation], command: &[u8]) -> Option<usize>;
    /// Whether a command with this outcome was accepted.
    fn is_accepted(outcome: &[u8]) -> bool;
    /// The configuration that callers see.
    fn visible_configuration(&self) -> VisibleConfiguration;
    /// Whether the configuration in force is valid.
    fn has_valid_configuration(&self) -> bool;
    /// Whether [`ZONE`] is evacuated.
    fn is_evacuated(&self) -> bool;
}
