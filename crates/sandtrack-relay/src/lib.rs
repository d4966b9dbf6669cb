//! Control state on the machines with a disk: a chain, entered at the head and answered from the tail, and
//! the small agreed view (epoch, order of the chain, voters) that repairs it. Pure: no I/O, no clock, no
//! threads; time comes in as milliseconds of the steady clock, randomness from a seed.
#![forbid(unsafe_code)]
mod api;
mod message;
mod relay;
mod view;

pub use api::{Effect, Input, Machine, Refusal, Settings, Timings};
pub use message::Message;
pub use relay::Relay;
pub use view::{Address, Member, View};
