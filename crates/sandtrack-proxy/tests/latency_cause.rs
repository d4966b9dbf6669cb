//! Why an answer began late.
use sandtrack_proxy::telemetry::latency_cause::{LateCause, Timeline};

const ON_TIME: Timeline = Timeline {
    arrived: 0.0,
    first_send: 1.0,
    send: 1.0,
    asked: 3.0,
    answered: 90.0,
    far: false,
};

#[test]
fn the_longest_part_of_the_way_is_the_cause() {
    let cases = [
        (ON_TIME, LateCause::Upstream),
        (
            Timeline {
                far: true,
                ..ON_TIME
            },
            LateCause::FarUpstream,
        ),
        (
            Timeline {
                first_send: 300.0,
                send: 300.0,
                asked: 302.0,
                answered: 400.0,
                ..ON_TIME
            },
            LateCause::Held,
        ),
        (
            Timeline {
                send: 700.0,
                asked: 702.0,
                answered: 800.0,
                ..ON_TIME
            },
            LateCause::Resent,
        ),
        (
            Timeline {
                asked: 500.0,
                answered: 600.0,
                ..ON_TIME
            },
            LateCause::Connecting,
        ),
    ];
    for (timeline, cause) in cases {
        assert_eq!(timeline.cause(), cause, "{timeline:?}");
    }
}
