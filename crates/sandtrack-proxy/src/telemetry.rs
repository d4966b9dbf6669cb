//! What is counted of requests: their [`outcomes`], and the [`latency_cause`] of responses that began late; and the
//! [`log_rate_limit`] of their log lines.
pub mod latency_cause;
pub mod log_rate_limit;
pub mod outcomes;
