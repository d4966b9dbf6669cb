//! Seeded worlds of the whole control plane and its proxies: the real code of both ([`sandtrack_control::node`], the proxy's
//! balancer and session policy, the WAL) on a simulated network, simulated disks, and operators that repeat their calls.
//!
//! [`plan`] draws a world from a seed, [`world`] plays it, [`judge`] holds what must be true in it, [`search`] plays many,
//! [`shrink`] makes a failing one small. The same plan always plays the same.
//!
//! Plans are mixed ([`plan::Plan::drawn`]), long, or harsher: of closing faults, of seed turnover, or of slow nodes, lost zones
//! and full disks. docs/system/control.md ("Tests") tells what is in them.
pub mod disk;
mod documents;
mod front;
pub mod judge;
pub mod log_lines;
mod machine;
mod network;
mod operators;
pub mod plan;
pub mod search;
pub mod shrink;
pub mod world;
