//! Model checking of the replication code: the real replicas over a modelled network, modelled disks, clocks and callers,
//! every order of events within the bounds of a set-up. Not part of the system; `docs/system/model.md` tells what is
//! modelled and what can't be seen.
#![forbid(unsafe_code)]
pub mod action;
pub mod checker;
pub mod duty;
pub mod hashing;
pub mod history;
pub mod interface;
pub mod machine;
pub mod node;
pub mod operators;
pub mod order;
pub mod properties;
pub mod setup;
pub mod trace;
pub mod world;
