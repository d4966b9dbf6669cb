//! A process that says it was stopped is believed only where the kernel counted that it had no processor.
use sandtrack_fault_tests::starvation::{parse_waited, Starvation, PAUSE};
use std::time::{Duration, Instant};

const LOOK: Duration = Duration::from_millis(200);

/// Readings a look apart, each with so much more waiting than the one before.
fn readings(waited: &[Duration]) -> Starvation {
    let mut starvation = Starvation::default();
    let mut at = Instant::now();
    let mut total = Duration::ZERO;
    for more in waited {
        total += *more;
        starvation.note(at, total);
        at += LOOK;
    }
    starvation
}

#[test]
fn a_process_that_ran_when_it_was_ready_is_not_starved() {
    assert!(
        !Starvation::default().is_starved(),
        "nothing is known of it"
    );
    assert!(!readings(&[Duration::from_millis(10); 20]).is_starved());
}

#[test]
fn a_process_that_waited_for_a_processor_is_starved_for_a_while() {
    let mut waits = vec![Duration::ZERO, PAUSE];
    assert!(readings(&waits).is_starved());
    waits.extend([Duration::ZERO; 10]);
    assert!(
        readings(&waits).is_starved(),
        "two seconds later it still says that it was stopped"
    );
    waits.extend([Duration::ZERO; 20]);
    assert!(
        !readings(&waits).is_starved(),
        "six seconds later it does not"
    );
}

#[test]
fn what_a_former_process_waited_is_not_counted() {
    let mut starvation = readings(&[Duration::ZERO, PAUSE]);
    starvation.note(Instant::now() + 2 * LOOK, Duration::ZERO);
    assert!(!starvation.is_starved());
}

#[test]
fn the_kernels_count_is_read() {
    assert_eq!(
        parse_waited("81234567 1218886 42\n"),
        Some(Duration::from_nanos(1_218_886))
    );
    assert_eq!(parse_waited(""), None);
    assert_eq!(parse_waited("1 x 2"), None);
}
