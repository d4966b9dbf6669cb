//! Control state on the machines with a disk: a chain, entered at the head and answered from the tail, and
//! the small agreed view (epoch, order of the chain, voters) that repairs it. Pure: no I/O, no clock, no
//! threads; time comes in as milliseconds of the steady clock, randomness from a seed.
//!
//! Why it is safe is told in `docs/system/control.md`; each rule stands where it is kept:
//! `agreement` (one view for each epoch), `reconfiguration` (which view to propose), `chain` (passing down, commits
//! back up), `alignment` (a member is synchronised with its predecessor), `reads`, `calls` (a caller's
//! submit or read on its way to the head), `observer` (observers), `transfer` (snapshots, piece by piece), `fragments` (long messages, piece by piece), `disk` (one write at a time).
#![forbid(unsafe_code)]
mod api;
mod applied_state;
mod calls;
mod chain;
mod disk;
mod durable_state;
mod fragments;
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
