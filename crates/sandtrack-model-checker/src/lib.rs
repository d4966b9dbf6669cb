//! Model checking of the replication code: the real replicas on a modelled network, modelled disks, clocks and callers, in
//! every order of events within the bounds of a set-up; and of the election of the poller of the platform's endpoint list.
//! Not part of the system; `docs/system/model.md` describes what is modelled and what can't be seen.
#![forbid(unsafe_code)]
#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]
pub mod action;
pub mod call_frontend;
pub mod checker;
pub mod cluster;
pub mod control_frontend;
pub mod hashing;
pub mod history;
pub mod machine;
pub mod node;
pub mod operation;
pub mod partitions;
pub mod poller_election;
pub mod properties;
pub mod setup;
pub mod trace;
