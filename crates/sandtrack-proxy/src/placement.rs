//! Which upstream a request is sent to, and everything that this choice rests on. Pure: time comes in as a parameter, and
//! nothing is read from or written to a socket.
//!
//! [`balancer`] holds what the proxy knows, [`choice`] picks an upstream from it.
pub mod balancer;
pub mod budget;
pub mod choice;
pub mod pace;
pub mod prefill;
pub mod prompt_mix;
pub mod region_trips;
pub mod upstreams;
pub mod zone_outlook;
