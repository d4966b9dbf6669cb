//! Replicated control state: chain replication (van Renesse & Schneider, "Chain Replication for Supporting High Throughput
//! and Availability", OSDI 2004) under views that the members agree on by Paxos.
//!
//! Pure: no I/O, no clock, no threads. Time comes in as milliseconds of a monotonic clock, randomness from a seed.
//!
//! A command enters at the head, is written by each member of the chain in order, and is committed once the tail has it
//! on its disk. Reads follow the same path without a write. A view (epoch, order of the chain, voters) is decided by a
//! majority of the former view's voters. Why this is safe is argued in `docs/system/control.md`. Where to look:
//!
//! - `replica` holds the parts of a replica, `dispatch` routes inputs and messages, `heartbeat` the status messages;
//! - `paxos` decides one view for each epoch, `reconfiguration` chooses which view to propose;
//! - `chain` forwards entries and acknowledges them, `log_sync` synchronises a member with its predecessor;
//! - `calls` and `reads` carry callers' commands and queries to the head or the tail and back;
//! - `observer` sends committed entries to processes outside the chain, `snapshot_transfer` whole states in chunks;
//! - `fragments` splits long messages;
//! - `durable_state` is what the WAL holds, `disk` writes it, `applied_state` is the state machine's side;
//! - `view_attestation` tells when a process may serve its own state without asking the chain.
#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]
#![forbid(unsafe_code)]
mod api;
mod applied_state;
mod calls;
mod chain;
mod disk;
mod dispatch;
mod durable_state;
mod fragments;
mod heartbeat;
mod inspection;
mod log_sync;
mod message;
mod message_display;
mod observer;
mod paxos;
mod peers;
mod random;
mod reads;
mod reconfiguration;
mod replica;
mod snapshot_transfer;
mod view;
mod view_attestation;

pub use api::{CallError, Effect, Input, Settings, StateMachine, Timings};
pub use inspection::DurableFacts;
pub use message::Message;
pub use replica::Replica;
pub use view::{Address, Member, View};
pub use view_attestation::ViewAttestation;
