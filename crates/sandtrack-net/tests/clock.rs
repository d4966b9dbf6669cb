//! The clock takes any number for a time.
use sandtrack_net::socket::Clock;

#[test]
fn a_time_that_no_clock_tells_is_far_away() {
    let clock = Clock::start();
    for time in [f64::MAX, f64::INFINITY, 1e300] {
        assert!(clock.at(time) > clock.at(1e12));
    }
    for time in [-1.0, f64::NEG_INFINITY] {
        assert_eq!(clock.at(time), clock.at(0.0));
    }
}
