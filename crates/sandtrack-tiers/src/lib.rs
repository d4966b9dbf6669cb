//! The ordinary path of "extractedprism", pure: no I/O, no clock. Both data planes call it; it exists once.
//!
//! - `probe.rs`: [`Smoothed`] probe times, health by [`ConsecutiveFailures`], when to probe: [`next_probe`]
//! - `tiers.rs`: [`Tiers::regroup`], which upstreams are about as near as the best of them
//! - `pick.rs`: [`pick`], the upstream that a send goes to; its parts [`ladder`], [`lowest`], [`crowd_limit`]
//!
//! "Design" beside a constant: the source's own figure; "ours": the design leaves it open.
mod pick;
mod probe;
mod tiers;

pub use pick::*;
pub use probe::*;
pub use tiers::*;

/// Time and durations in milliseconds; the clock's zero is arbitrary and it never runs backwards.
pub type Millis = f64;
