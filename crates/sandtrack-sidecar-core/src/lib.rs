//! The core of the sidecar: the reducer, which holds all state and drives the decision module, and the plain data that it and
//! its fronts speak. No sockets, no clock, no parser: docs/design.md says what fronts owe it.
pub mod by_hand;
pub mod catalog;
pub mod message;
pub mod metrics;
pub mod reducer;
