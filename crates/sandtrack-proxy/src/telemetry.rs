//! What is counted of requests: their [`outcomes`], and the [`latency_cause`] of responses that began late.
pub mod latency_cause;
pub mod outcomes;
