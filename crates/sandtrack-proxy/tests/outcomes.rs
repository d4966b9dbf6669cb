//! How requests ended: counted all, told within bounds.
use sandtrack_protocol::codes;
use sandtrack_protocol::metrics::MetricsText;
use sandtrack_proxy::placement::balancer::SendOutcome;
use sandtrack_proxy::telemetry::outcomes::{RequestOutcome, RequestOutcomes};

#[test]
fn all_outcomes_are_counted_and_late_ones_apart() {
    let mut outcomes = RequestOutcomes::default();
    outcomes.record(RequestOutcome::UpstreamResponse(200), -20.0);
    outcomes.record(RequestOutcome::LocalResponse(503, codes::NO_ROOM), -900.0);
    outcomes.record(RequestOutcome::LocalResponse(504, codes::DEADLINE), 251.0);
    outcomes.record(RequestOutcome::Aborted, 0.0);
    outcomes.record_attempt(SendOutcome::ConnectionFailed);
    assert_eq!(outcomes.count(RequestOutcome::Aborted), 1);
    let mut text = MetricsText::default();
    outcomes.append_metrics(&mut text);
    let text = text.into_text();
    for line in [
        "sandtrack_proxy_requests_total{status=\"200\",code=\"upstream\"} 1",
        "sandtrack_proxy_requests_total{status=\"503\",code=\"E403\"} 1",
        "sandtrack_proxy_requests_total{status=\"cut\",code=\"\"} 1",
        "sandtrack_proxy_sends_total{ended=\"broken\"} 1",
        "sandtrack_proxy_late_total 1",
    ] {
        assert!(text.contains(line), "{line} in {text}");
    }
}

#[test]
fn log_lines_are_rate_limited_and_suppressed_ones_are_reported() {
    let mut outcomes = RequestOutcomes::default();
    let written = (0..50)
        .filter(|_| outcomes.take_log_line(100.0).is_some())
        .count();
    assert_eq!(written, 20);
    assert_eq!(outcomes.take_log_line(1100.0), Some(30));
    assert_eq!(outcomes.take_log_line(1101.0), Some(0));
}
