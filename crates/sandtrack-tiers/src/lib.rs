//! Latency-tiered load balancing, the ordinary path of the design "extractedprism": smoothed latencies of
//! health checks, counts of consecutive failures, tiers of upstreams of about the same latency, and a random
//! pick in the lowest tier. No I/O and no clock. The proxy and the decision module (`sandtrack-balancer`)
//! both call it.
//!
//! - `probe.rs`: [`SmoothedLatency`] of probes, health by [`ConsecutiveFailures`], [`next_probe_at`]
//! - `tiers.rs`: [`Tiers::regroup`] puts upstreams into tiers
//! - `pick.rs`: [`pick`], the upstream that a request is sent to, and its parts [`group_by_tier`],
//!   [`pick_in_lowest`], [`overload_limit`]
//!
//! "Design" beside a constant: the source's own figure; "ours": the design leaves it open.
#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]
mod pick;
mod probe;
mod tiers;

pub use pick::{group_by_tier, overload_limit, pick, pick_in_lowest, OVERLOAD_FACTOR};
pub use probe::{
    jitter, next_probe_at, ConsecutiveFailures, SmoothedLatency, MAX_PROBE_INTERVAL_MS,
    MAX_SAMPLE_RATIO, MIN_SAMPLE_CAP_MS, PROBE_JITTER, SMOOTHING_WEIGHT, UNHEALTHY_FAILURES,
};
pub use tiers::{Member, TierMembership, Tiers, TIER_FACTOR, TIER_MARGIN, TIER_SLACK_MS};

/// Time and durations in milliseconds; the clock's zero is arbitrary and it never runs backwards.
pub type Millis = f64;
