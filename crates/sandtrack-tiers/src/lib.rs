//! The ordinary path of "extractedprism", pure: no I/O, no clock. Both data planes call it, and it exists once.
//!
//! - [`Smoothed`]: the average of an upstream's probe times; [`FailureRun`]: whether it is healthy;
//!   [`next_probe`]: when it is probed again (`probe.rs`).
//! - [`Tiers::regroup`]: which upstreams are about as near as the best of them (`tiers.rs`).
//! - [`pick`]: which upstream a send goes to, and its parts [`ladder`], [`lowest`], [`crowd_limit`] (`pick.rs`).
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
