//! Which upstream a request is sent to, and everything that this choice rests on. Pure: time comes in as a parameter, and
//! nothing is read from or written to a socket.
//!
//! [`balancer`] holds what the proxy knows, [`selection`] picks an upstream from it.
pub mod balancer;
pub mod budget;
pub mod first_byte_latency;
pub mod prefill_demand;
pub mod prefill_queue;
pub mod region_round_trips;
pub mod selection;
pub mod upstreams;
pub mod zone_health;
