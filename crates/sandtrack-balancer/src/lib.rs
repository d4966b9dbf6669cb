//! sandtrack: the decisions of a client-side load balancer, free of wire, I/O and clocks.
//!
//! [`interface`] holds the plain types a front speaks to the module; [`rules`] holds every decision
//! beside the ordinary path, which is the package `sandtrack-tiers`.
pub mod interface;
pub mod rules;
pub mod state;

pub use state::Balancer;
