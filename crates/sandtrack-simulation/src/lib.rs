//! Deterministic simulation testing of the whole control plane with its proxies: the real code of both
//! ([`sandtrack_control::node`], the proxy's balancer and session policy, the WAL) runs on a simulated clock, a simulated
//! network and simulated disks, and operators retry their calls.
//!
//! [`plan`] draws the input of a simulation from a seed, [`simulation`] runs it, [`oracle`] checks the rules that must hold,
//! [`runner`] runs many plans, [`shrink`] makes a failing one smaller. The same plan always runs the same.
//!
//! Plans are mixed ([`plan::Plan::mixed`]), long, or harsher: of triggered faults, of seed turnover, or of slow nodes, lost
//! zones and full disks. docs/system/control.md ("Tests") describes them.
#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]
pub mod disk;
mod documents;
pub mod event_log;
mod machine;
mod network;
mod operators;
pub mod oracle;
pub mod plan;
pub mod runner;
pub mod shrink;
mod simulated_proxy;
pub mod simulation;
