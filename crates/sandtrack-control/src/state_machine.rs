//! The replicated state machine: [`ControlState`] applies the [`Command`]s of the log, in their order, on each control node.
//!
//! It must give the same results on every machine, so that nothing in here looks at a clock or draws a random number. The
//! forms of commands, outcomes and snapshots are on disks and on the wire: see [`commands`] and `snapshot`.
pub mod accepted_configurations;
pub mod commands;
pub mod control_state;
pub mod evacuations;
pub mod precheck;
mod recent_changes;
pub mod rules;
mod snapshot;

pub use commands::{ChangeKind, Command, Outcome, Query, QueryResult};
pub use control_state::ControlState;
pub use precheck::Precheck;
pub use rules::RulesVersion;
