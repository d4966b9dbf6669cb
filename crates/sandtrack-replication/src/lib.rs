//! Control state on the machines with a disk: a chain, entered at the head and answered from the tail, and
//! the small agreed view (epoch, order of the chain, voters) that repairs it. Pure: no I/O, no clock, no
//! threads; time comes in as milliseconds of the steady clock, randomness from a seed.
//!
//! Why it is safe is told in `docs/system/control.md`; each rule stands where it is kept:
//! `agreement` (one view for each epoch), `reconfiguration` (which view to propose), `chain` (passing down, commits
//! back up), `alignment` (a member is brought in line with its predecessor), `reads`, `calls` (a caller's
//! submit or read on its way to the head), `learning` (observers), `transfer` (snapshots, piece by piece), `fragments` (long messages, piece by piece), `disk` (one write at a time).
#![forbid(unsafe_code)]
mod agreement;
mod alignment;
mod api;
mod applied;
mod calls;
mod chain;
mod disk;
mod display;
mod fingerprint;
mod fragments;
mod image;
mod learning;
mod message;
mod peers;
mod random;
mod reads;
mod reconfiguration;
mod replica;
mod testimony;
mod transfer;
mod view;

pub use api::{Effect, Input, Refusal, Settings, StateMachine, Timings};
pub use fingerprint::DurableFacts;
pub use message::Message;
pub use replica::Replica;
pub use testimony::Testimony;
pub use view::{Address, Member, View};
