//! Constants of the proxy's decisions on requests, each with its unit and its source ("design": the given design's own
//! figure; an RFC; "ours": chosen and measured by this project). A release build runs with the defaults. With the feature
//! `ablation` the program takes `--policy NAME=VALUE,...`, so that one build measures the effect of each constant and each
//! mechanism (`docs/system/decisions.md`). The names there are older than those of the fields and stay as they are, since
//! recorded measurements name them; the macro below pairs the two. The constants of latency tiers and health checks are in
//! `sandtrack_tiers`.
use sandtrack_tiers::{Millis, MAX_PROBE_INTERVAL_MS};
use thiserror::Error;

/// A policy that can't be read.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PolicyError {
    /// Not `NAME=VALUE`.
    #[error("`{0}` is no NAME=VALUE")]
    Malformed(String),
    /// No constant has this name.
    #[error("no constant is called `{0}`")]
    Unknown(String),
    /// The value does not fit the constant.
    #[error("`{1}` is no value of `{0}`")]
    Value(String, String),
}

/// Defines [`Policy`]: for each constant its field, the name that `--policy` takes, its type and its default.
macro_rules! policy {
    ($($(#[$doc:meta])* $field:ident ($name:literal): $kind:ty = $default:expr,)*) => {
        /// The constants; `Policy::default()` is what release builds run with.
        #[derive(Clone, Debug, PartialEq)]
        pub struct Policy {
            $($(#[$doc])* pub $field: $kind,)*
        }

        impl Default for Policy {
            fn default() -> Policy {
                Policy { $($field: $default,)* }
            }
        }

        impl Policy {
            /// Names, as `--policy` takes them, and values of all constants, in the order of their definition.
            #[must_use]
            pub fn constants(&self) -> Vec<(&'static str, String)> {
                vec![$(($name, self.$field.to_string()),)*]
            }

            fn set(&mut self, name: &str, value: &str) -> Result<(), PolicyError> {
                let invalid = || PolicyError::Value(name.to_owned(), value.to_owned());
                match name {
                    $($name => self.$field = value.parse().map_err(|_| invalid())?,)*
                    _ => return Err(PolicyError::Unknown(name.to_owned())),
                }
                Ok(())
            }
        }
    };
}

policy! {
    // Which upstreams a proxy uses.

    /// Size of this proxy's subset of a service's upstreams in its own region (ours): enough for latency tiers, for a random
    /// pick and for the loss of some.
    local_subset_size ("circle_near"): usize = 6,
    /// Size of the subset in each other region (ours).
    remote_subset_size ("circle_far"): usize = 4,
    /// How long upstreams of another region are probed after a request of this proxy was sent to that region, in ms (ours).
    remote_probe_window_ms ("far_used_ms"): f64 = 10_000.0,
    /// Requests that an upstream may queue, as a multiple of its slots, before it counts as full (ours).
    max_queue_ratio ("queue"): f64 = 0.5,
    /// Pick in the lowest latency tier that has an eligible upstream (design); off: a region is one tier.
    latency_tiers ("tiers"): bool = true,
    /// Skip upstreams whose requests in flight are far above the mean (design).
    skip_overloaded ("skip"): bool = true,
    /// Backoff from an upstream that rejected or failed a request, in ms (ours).
    rejection_backoff_ms ("rest_ms"): f64 = 150.0,
    /// Time constant by which the load of other callers, as an upstream reported it, decays, in ms (ours).
    reported_load_decay_ms ("load_memory_ms"): f64 = 400.0,

    /// Avoid a zone once several of its upstreams failed and none was seen since, where another zone can serve (ours).
    zone_failure_detection ("zone_outlook"): bool = true,
    /// Upstreams of a zone that must fail before it is avoided (ours): one alone is more likely a fault of its own.
    zone_failure_threshold ("zone_failures"): usize = 2,
    /// How long a failure counts against its zone, in ms (design: the longest interval between two probes): an upstream that
    /// is still listed has been probed again by then, one that was removed gives no more evidence.
    zone_failure_window_ms ("zone_failure_ms"): f64 = MAX_PROBE_INTERVAL_MS,

    // Long prompts.

    /// Shared tokens from which on a prompt is long: it is routed by prefix cache affinity (ours).
    long_prompt_tokens ("kept_tokens"): u64 = 1000,
    /// Upstreams compared for each long prompt, by rendezvous hashing over all and over the own region (ours).
    prefix_owner_candidates ("keeper_choices"): usize = 3,
    /// Prefill backlog below which an upstream counts as idle, in ms (ours).
    idle_backlog_ms ("busy_ms"): f64 = 300.0,
    /// A first token estimated within this multiple of the route's latency target counts as in time (ours).
    first_token_target_ratio ("in_time"): f64 = 1.2,
    /// Prefill rate of an upstream before any was measured, in tokens per ms (ours).
    default_prefill_rate ("prefill_rate"): f64 = 50.0,
    /// Report long prompts to the other proxies, by way of the control plane.
    report_prompts ("tells_prompts"): bool = true,
    /// Prior weight, for long prompts, of an upstream in a region that has requests bound to it (ours).
    prior_region_weight ("bound_weight"): f64 = 0.5,
    /// Number of requests that the prior weight counts for (ours).
    prior_region_weight_requests ("bound_weight_requests"): f64 = 20.0,
    /// Lower bound of the measured weight (ours): a region that is busy with its bound requests still takes long prompts.
    min_region_weight ("bound_weight_least"): f64 = 0.35,
    /// Round trips before the first token on a new connection: one for the connection, one for the response.
    first_token_round_trips ("trips"): f64 = 2.0,
    /// Time constant by which the measured prefill demand decays, in ms (ours): some dozens of requests even at a proxy with
    /// few.
    prefill_demand_decay_ms ("prompt_memory_ms"): f64 = 30_000.0,
    /// Where every region has bound requests, one upstream in this many serves the long prompts (ours).
    prefill_upstreams_divisor ("readers"): usize = 2,
    /// How long that separation lasts after the last long prompt, in ms (ours).
    prefill_isolation_ms ("reading_ms"): f64 = 4000.0,

    // Time.

    /// A request is sent or rejected within this fraction of its latency target (RULES.md: a quarter).
    placement_wait_ratio ("hold"): f64 = 0.2,
    /// Interval between two attempts to place a request while no upstream has capacity, in ms (ours).
    placement_retry_ms ("look_again_ms"): f64 = 10.0,
    /// A request is hedged after the mean time to first byte plus this many mean deviations (RFC 6298).
    hedge_deviations ("deviations"): f64 = 4.0,
    /// Lower bound of the hedge delay, in ms (ours).
    min_hedge_delay_ms ("patience_least_ms"): f64 = 80.0,
    /// Upper bound of the hedge delay, as a fraction of the latency target (ours).
    max_hedge_delay_ratio ("patience_most"): f64 = 0.35,
    /// A pause of this fraction of the longest allowed one makes the upstream of a stream suspect (ours).
    stall_ratio ("pause"): f64 = 0.6,
    /// Hedge requests that are idempotent (ours).
    hedging ("races"): bool = true,
    /// Interval at which a suspected upstream is checked for having been found dead, in ms (ours).
    suspect_check_ms ("suspect_look_ms"): f64 = 100.0,

    // Connections.

    /// Time-out of a connection attempt, besides two round trips to the region, in ms (ours). While the round trip is unknown
    /// it doubles with each failure (RFC 6298, 5.5).
    connect_timeout_ms ("connect_patience_ms"): f64 = 150.0,
    /// How long sends to a region must have failed before its round trip is measured anew, in ms (ours).
    round_trip_expiry_ms ("trip_forgotten_ms"): f64 = 10_000.0,
    /// Longest time that a connection stays idle, in ms, unless its upstream names a shorter one (ours): longer than the
    /// interval between two probes.
    max_idle_ms ("idle_most_ms"): f64 = 12_000.0,
    /// A connection is not used in this last part of the idle time that its upstream named, in ms: the close may be on its
    /// way (ours).
    idle_close_margin_ms ("idle_margin_ms"): f64 = 700.0,
    /// Non-idempotent requests use an idle connection only if its upstream was last seen within this time, in ms (ours).
    idle_trust_ms ("proven_alive_ms"): f64 = 4000.0,
    /// How long non-idempotent requests to a service avoid idle connections after one was found closed, in ms (ours).
    idle_distrust_ms ("idle_distrust_ms"): f64 = 30_000.0,

    // Health checks.

    /// Interval between probes of an upstream in use, in ms; the design's bound is five seconds, less timer delays.
    probe_interval_ms ("probe_every_ms"): f64 = 4800.0,
    /// Interval between probes of a suspect or unhealthy upstream, in ms (ours: two probes decide within a second).
    suspect_probe_interval_ms ("suspect_every_ms"): f64 = 300.0,
    /// Upper bound to which that interval doubles while probes fail, in ms (ours).
    max_suspect_probe_interval_ms ("suspect_most_ms"): f64 = 1200.0,
    /// Time-out of a probe, besides three times the upstream's average probe time, in ms (ours).
    probe_timeout_ms ("probe_patience_ms"): f64 = 400.0,
    /// Time-out of a probe while the round trip to its region is unknown, in ms (RFC 6298, 2.1: one second); it doubles with
    /// each failure.
    initial_probe_timeout_ms ("first_probe_patience_ms"): f64 = 1000.0,
    /// Upper bound of that time-out, in ms (ours).
    max_probe_timeout_ms ("probe_patience_most_ms"): f64 = 4000.0,

    // Request headers.

    /// Send the route's priority to the upstream as its urgency.
    send_urgency ("urgency"): bool = true,
}

/// Failed probes in a row from which on the pause between them grows (design: two make an upstream unhealthy).
const STEADY_FAILED_PROBES: u32 = 2;

/// Doublings beyond which every time has reached its bound.
const MAX_DOUBLINGS: u32 = 16;

/// `first` doubled `times` times, in ms; the caller bounds it.
#[must_use]
pub fn exponential_backoff(first: Millis, times: u32) -> Millis {
    first * f64::from(1u32 << times.min(MAX_DOUBLINGS))
}

impl Policy {
    /// The pause before the next probe of an upstream of which so many in a row failed, in ms.
    #[must_use]
    pub fn suspect_probe_interval(&self, failed_probes: u32) -> f64 {
        let doublings = failed_probes.saturating_sub(STEADY_FAILED_PROBES);
        exponential_backoff(self.suspect_probe_interval_ms, doublings).min(
            self.max_suspect_probe_interval_ms
                .max(self.suspect_probe_interval_ms),
        )
    }

    /// The default with some constants set anew: `NAME=VALUE`, joined by commas.
    ///
    /// # Errors
    /// Where a name or a value is wrong.
    pub fn with(changes: &str) -> Result<Policy, PolicyError> {
        let mut policy = Policy::default();
        for change in changes.split(',').filter(|change| !change.is_empty()) {
            let (name, value) = change
                .split_once('=')
                .ok_or(PolicyError::Malformed(change.to_owned()))?;
            policy.set(name.trim(), value.trim())?;
        }
        Ok(policy)
    }
}
