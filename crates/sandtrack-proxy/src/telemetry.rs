//! Telemetry of requests: counters of their [`outcomes`], the [`latency_cause`] of responses that started late, and the
//! [`log_rate_limit`] for log lines about requests.
pub mod latency_cause;
pub mod log_rate_limit;
pub mod outcomes;
