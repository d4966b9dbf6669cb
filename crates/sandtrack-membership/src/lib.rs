//! Who else of the fleet is there: membership over a network that loses, delays, doubles and cuts. Pure: no sockets, no clock,
//! seeded; datagrams, ticks and local facts come in, datagrams, a time to be called again and notes go out. The same inputs at
//! the same times give the same outputs. docs/fleet.md has the design and the options it was measured against.
pub mod budget;
pub mod config;
pub mod digest;
pub mod doubt;
pub mod fleet;
pub mod rumours;
pub mod table;
pub mod timing;
pub mod view;
pub mod wire;

pub use config::Identity;
pub use fleet::{Fleet, Note, Seen};
pub use view::View;

/// Milliseconds of a clock that starts anywhere and should not run backwards; where it does, it stands.
pub type Ms = u64;
