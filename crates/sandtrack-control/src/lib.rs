//! The control plane: configuration, membership, the list of upstreams, the directory. `control node` puts the parts
//! together and is pure; `program` carries out what it asks for on sockets, a disk and a clock.
pub mod arrivals;
pub mod call_log;
pub mod commands;
pub mod contact;
pub mod control;
pub mod control_state;
pub mod directory;
pub mod disk;
pub mod evacuations;
pub mod journal;
pub mod knowledge;
pub mod membership;
pub mod node;
pub mod operator_calls;
pub mod operators;
pub mod peer_frames;
pub mod peers;
pub mod platform;
pub mod program;
pub mod prompt_relay;
pub mod reader;
pub mod reader_election;
pub mod sessions;
pub mod socket;
pub mod taken;
pub mod upstreams;

/// Milliseconds of the process's own steady clock.
pub type Millis = f64;
