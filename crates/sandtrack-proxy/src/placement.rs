//! Load balancing: which upstream a request goes to, and everything that this decision rests on. Nothing here performs I/O or
//! reads a clock: the caller passes the time, so that tests and simulations run the same code.
//!
//! [`balancer`] holds the state, [`selection`] chooses an upstream by it; the other modules each keep one part of the state.
pub mod balancer;
pub mod budget;
pub mod first_byte_latency;
pub mod prefill_demand;
pub mod prefill_queue;
pub mod region_round_trips;
pub mod selection;
pub mod upstreams;
pub mod zone_health;
