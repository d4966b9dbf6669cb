//! Tunable constants of the proxy's request handling. Release builds run with the defaults. With the feature `ablation`
//! the program accepts `--policy NAME=VALUE,...`, so that one build can measure the effect of each constant and each
//! mechanism (`docs/system/decisions.md`). The names accepted there differ from the field names and must not change, because
//! recorded measurements refer to them; the macro below maps one to the other. The constants of latency tiers and health
//! checks are in `sandtrack_tiers`.
use sandtrack_tiers::{Millis, MAX_PROBE_INTERVAL_MS};
use thiserror::Error;

/// Why a policy string could not be parsed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum PolicyError {
    /// The item does not have the form `NAME=VALUE`.
    #[error("expected NAME=VALUE, got `{0}`")]
    Malformed(String),
    /// No constant has this name.
    #[error("unknown policy constant `{0}`")]
    Unknown(String),
    /// The value can't be parsed as the constant's type.
    #[error("invalid value `{1}` for policy constant `{0}`")]
    Value(String, String),
}

/// Defines [`Policy`]: the field, `--policy` name, type and default of each constant.
macro_rules! policy {
    ($($(#[$doc:meta])* $field:ident ($name:literal): $kind:ty = $default:expr,)*) => {
        /// The constants. Release builds run with `Policy::default()`.
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
            /// The `--policy` names and values of all constants, in the order of their definition.
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
    // Upstream selection.

    /// Size of this proxy's subset of a service's upstreams in its own region: enough for latency tiers, for a random pick
    /// and for the loss of some upstreams.
    local_subset_size ("circle_near"): usize = 6,
    /// Size of the subset in each remote region.
    remote_subset_size ("circle_far"): usize = 4,
    /// How long the upstreams of a remote region are probed after this proxy last sent a request there, in ms.
    remote_probe_window_ms ("far_used_ms"): f64 = 10_000.0,
    /// Maximum queue length of an upstream that still accepts requests, as a multiple of its slots.
    max_queue_ratio ("queue"): f64 = 0.5,
    /// Pick from the lowest latency tier that has an eligible upstream, as the design specifies. When disabled, each region
    /// is a single tier.
    latency_tiers ("tiers"): bool = true,
    /// Skip upstreams whose number of requests in flight is far above the mean, as the design specifies.
    skip_overloaded ("skip"): bool = true,
    /// How long no request is sent to an upstream after it rejected or failed one, in ms.
    rejection_backoff_ms ("rest_ms"): f64 = 150.0,
    /// Time constant of the exponential decay of the other callers' load that an upstream reported, in ms.
    reported_load_decay_ms ("load_memory_ms"): f64 = 400.0,

    /// Avoid a zone in which several upstreams failed and none has responded since, if another zone can serve the request.
    zone_failure_detection ("zone_outlook"): bool = true,
    /// Number of upstreams of a zone that must fail before the zone is avoided. A single failure is more likely a fault of
    /// that upstream than of its zone.
    zone_failure_threshold ("zone_failures"): usize = 2,
    /// How long a failure counts against its zone, in ms. Equal to the maximum probe interval of the design: by then an
    /// upstream that is still listed has been probed again, and one that was removed provides no further evidence.
    zone_failure_window_ms ("zone_failure_ms"): f64 = MAX_PROBE_INTERVAL_MS,

    // Long prompts.

    /// Minimum number of shared prefix tokens of a long prompt. Long prompts are routed by prefix cache affinity.
    long_prompt_tokens ("kept_tokens"): u64 = 1000,
    /// Number of candidates that rendezvous hashing selects for a long prompt among all upstreams, and again among those of
    /// the local region.
    prefix_owner_candidates ("keeper_choices"): usize = 3,
    /// Prefill backlog below which an upstream counts as idle, in ms.
    idle_backlog_ms ("busy_ms"): f64 = 300.0,
    /// Maximum estimated time to first token that counts as in time, as a multiple of the route's latency target.
    first_token_target_ratio ("in_time"): f64 = 1.2,
    /// Assumed prefill rate of an upstream before the first measurement, in tokens per ms.
    default_prefill_rate ("prefill_rate"): f64 = 50.0,
    /// Report long prompts to the other proxies through the control plane.
    report_prompts ("tells_prompts"): bool = true,
    /// Prior weight for long prompts of an upstream in a region to which some requests are restricted.
    prior_region_weight ("bound_weight"): f64 = 0.5,
    /// Number of requests that the prior weight is equivalent to.
    prior_region_weight_requests ("bound_weight_requests"): f64 = 20.0,
    /// Lower bound of the measured weight: a region that is busy with the requests restricted to it still receives some long
    /// prompts.
    min_region_weight ("bound_weight_least"): f64 = 0.35,
    /// Round trips before the first token on a new connection: one to connect, one for the response.
    first_token_round_trips ("trips"): f64 = 2.0,
    /// Time constant of the exponential decay of the measured prefill demand, in ms: long enough to cover several dozen
    /// requests even at a proxy with little traffic.
    prefill_demand_decay_ms ("prompt_memory_ms"): f64 = 30_000.0,
    /// If every region has requests restricted to it, one in this many upstreams serves the long prompts.
    prefill_upstreams_divisor ("readers"): usize = 2,
    /// How long these upstreams remain reserved after the last long prompt, in ms.
    prefill_isolation_ms ("reading_ms"): f64 = 4000.0,

    // Deadlines and hedging.

    /// Maximum time until a request is sent or rejected, as a fraction of its latency target (RULES.md allows a quarter).
    placement_wait_ratio ("hold"): f64 = 0.2,
    /// Interval between attempts to place a request while no upstream has capacity, in ms.
    placement_retry_ms ("look_again_ms"): f64 = 10.0,
    /// The hedge delay is the mean time to first byte plus this many mean deviations (RFC 6298).
    hedge_deviations ("deviations"): f64 = 4.0,
    /// Lower bound of the hedge delay, in ms.
    min_hedge_delay_ms ("patience_least_ms"): f64 = 80.0,
    /// Upper bound of the hedge delay, as a fraction of the latency target.
    max_hedge_delay_ratio ("patience_most"): f64 = 0.35,
    /// Pause in a stream after which its upstream is suspected, as a fraction of the longest allowed pause.
    stall_ratio ("pause"): f64 = 0.6,
    /// Hedge idempotent requests.
    hedging ("races"): bool = true,
    /// Interval between checks whether a suspected upstream has become unhealthy, in ms.
    suspect_check_ms ("suspect_look_ms"): f64 = 100.0,

    // Connections.

    /// Base time-out of a connection attempt, to which two round trips to the region are added, in ms. While the round trip
    /// is unknown, the time-out doubles with each failure (RFC 6298, 5.5).
    connect_timeout_ms ("connect_patience_ms"): f64 = 150.0,
    /// How long sends to a region must have failed before its measured round trip is discarded, in ms.
    round_trip_expiry_ms ("trip_forgotten_ms"): f64 = 10_000.0,
    /// Maximum idle time of a connection, in ms, unless its upstream announces a shorter one. Longer than the interval
    /// between two probes.
    max_idle_ms ("idle_most_ms"): f64 = 12_000.0,
    /// Safety margin by which a connection expires before the idle time that its upstream announced, in ms: the upstream may
    /// already be closing it.
    idle_close_margin_ms ("idle_margin_ms"): f64 = 700.0,
    /// Non-idempotent requests reuse an idle connection only if its upstream responded within this time, in ms.
    idle_trust_ms ("proven_alive_ms"): f64 = 4000.0,
    /// How long non-idempotent requests to a service avoid idle connections after one turned out to be closed, in ms.
    idle_distrust_ms ("idle_distrust_ms"): f64 = 30_000.0,

    // Health checks.

    /// Interval between probes of an upstream in use, in ms. The design requires at most 5 s; the difference allows for timer
    /// delays.
    probe_interval_ms ("probe_every_ms"): f64 = 4800.0,
    /// Interval between probes of a suspect or unhealthy upstream, in ms: two probes decide its state within a second.
    suspect_probe_interval_ms ("suspect_every_ms"): f64 = 300.0,
    /// Upper bound of that interval, which doubles while probes fail, in ms.
    max_suspect_probe_interval_ms ("suspect_most_ms"): f64 = 1200.0,
    /// Base time-out of a probe, to which three times the upstream's average probe time is added, in ms.
    probe_timeout_ms ("probe_patience_ms"): f64 = 400.0,
    /// Initial time-out of a probe while the round trip to its region is unknown, in ms (RFC 6298, 2.1: one second). It
    /// doubles with each failure.
    initial_probe_timeout_ms ("first_probe_patience_ms"): f64 = 1000.0,
    /// Upper bound of that time-out, in ms.
    max_probe_timeout_ms ("probe_patience_most_ms"): f64 = 4000.0,

    // Request headers.

    /// Send the route's priority to the upstream as its urgency.
    send_urgency ("urgency"): bool = true,
}

/// Consecutive failed probes before the probe interval starts to double. Two failures make an upstream unhealthy by design,
/// so the third probe is still sent at the base interval.
const FAILED_PROBES_BEFORE_BACKOFF: u32 = 2;

/// Maximum number of doublings: every interval has reached its upper bound by then.
const MAX_DOUBLINGS: u32 = 16;

/// Returns `initial` doubled `doublings` times, in ms. The caller applies the upper bound.
#[must_use]
pub fn exponential_backoff(initial: Millis, doublings: u32) -> Millis {
    initial * f64::from(1u32 << doublings.min(MAX_DOUBLINGS))
}

impl Policy {
    /// Interval before the next probe of an upstream after this many consecutive failed probes, in ms.
    #[must_use]
    pub fn suspect_probe_interval(&self, failed_probes: u32) -> f64 {
        let doublings = failed_probes.saturating_sub(FAILED_PROBES_BEFORE_BACKOFF);
        exponential_backoff(self.suspect_probe_interval_ms, doublings).min(
            self.max_suspect_probe_interval_ms
                .max(self.suspect_probe_interval_ms),
        )
    }

    /// The default policy with overrides, a comma-separated list of `NAME=VALUE`.
    ///
    /// # Errors
    /// An item is malformed, its name is unknown, or its value can't be parsed.
    pub fn with(overrides: &str) -> Result<Policy, PolicyError> {
        let mut policy = Policy::default();
        for item in overrides.split(',').filter(|item| !item.is_empty()) {
            let (name, value) = item
                .split_once('=')
                .ok_or(PolicyError::Malformed(item.to_owned()))?;
            policy.set(name.trim(), value.trim())?;
        }
        Ok(policy)
    }
}
