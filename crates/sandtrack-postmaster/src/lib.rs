//! The control plane: configuration, membership, the list of upstreams, the directory. `postmaster` puts the parts
//! together and is pure; `program` carries out what it asks for on sockets, a disk and a clock.
pub mod book;
pub mod control;
pub mod directory;
pub mod disk;
pub mod journal;
pub mod peer_frames;
pub mod peers;
pub mod platform;
pub mod postmaster;
pub mod program;
pub mod reader;
pub mod roll;
pub mod sessions;
pub mod socket;
pub mod upstreams;

/// Milliseconds of the process's own steady clock.
pub type Millis = f64;
