//! The sandtrack decisions as a sidecar on sockets. The core's reducer holds all state and drives the module; the files
//! here carry out what it asks for and tell it what came of that. docs/design.md says how the parts fit.
pub mod admin;
pub mod catalog;
pub mod client;
pub mod config;
pub mod fleet;
pub mod handover;
pub mod net;
pub mod program;
pub mod staff;
pub mod upstream;
