//! Why an answer began late.
use sandtrack_proxy::telemetry::latency_cause::{LatencyCause, RequestTimeline};

const ON_TIME: RequestTimeline = RequestTimeline {
    arrived_at: 0.0,
    first_attempt_at: 1.0,
    attempt_at: 1.0,
    write_started_at: 3.0,
    responded_at: 90.0,
    in_other_region: false,
};

#[test]
fn the_longest_stage_is_the_cause() {
    let cases = [
        (ON_TIME, LatencyCause::Upstream),
        (
            RequestTimeline {
                in_other_region: true,
                ..ON_TIME
            },
            LatencyCause::RemoteUpstream,
        ),
        (
            RequestTimeline {
                first_attempt_at: 300.0,
                attempt_at: 300.0,
                write_started_at: 302.0,
                responded_at: 400.0,
                ..ON_TIME
            },
            LatencyCause::AwaitingCapacity,
        ),
        (
            RequestTimeline {
                attempt_at: 700.0,
                write_started_at: 702.0,
                responded_at: 800.0,
                ..ON_TIME
            },
            LatencyCause::FailedAttempts,
        ),
        (
            RequestTimeline {
                write_started_at: 500.0,
                responded_at: 600.0,
                ..ON_TIME
            },
            LatencyCause::Connecting,
        ),
    ];
    for (timeline, cause) in cases {
        assert_eq!(timeline.cause(), cause, "{timeline:?}");
    }
}
