//! sandtrack: the decisions of a client-side load balancer, free of wire, I/O and clocks.
//!
//! [`interface`] holds the plain types a front speaks to the module; [`rules`] holds every decision.
pub mod interface;
pub mod rules;
pub mod state;

pub use rules::Balancer;
