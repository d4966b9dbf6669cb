//! An order that reaches the head late, by whichever way, takes no effect once a later one for the same zone was confirmed.
mod common;
use common::cluster::Cluster;
use common::{is_definite, message, valid_configuration};
use sandtrack_control::operator_api::call_age::{
    Arrival, PauseDetector, MAX_CALL_AGE_MS, MAX_PAUSE_MS,
};
use sandtrack_control::operator_api::pending_calls::{CallContext, PendingCalls, Step};
use sandtrack_control::state_machine::{
    Command, ControlState, Outcome, Precheck, Query, QueryResult,
};
use sandtrack_replication::StateMachine;

const BEGIN: &str = "/v1/evacuation/kita-hall/begin";
const FINISH: &str = "/v1/evacuation/kita-hall/finish";

/// This many control nodes with a configuration, the first three in the chain.
fn settled(count: usize) -> Cluster {
    let mut cluster = Cluster::start(count);
    cluster.run(1000.0);
    cluster.submit_until_accepted(
        &[2],
        "/v1/configuration/replace",
        0,
        &valid_configuration(7),
    );
    cluster.run(1500.0);
    cluster.forwarded_calls.clear();
    cluster
}

fn assert_not_evacuated(cluster: &mut Cluster) {
    cluster.run(4000.0);
    let evacuated = cluster.evacuated();
    assert!(
        evacuated.iter().all(Vec::is_empty),
        "the confirmed finish stands: {evacuated:?}"
    );
}

#[test]
fn an_order_buffered_in_the_socket_of_a_paused_node_is_rejected() {
    for frozen in 1..=3 {
        let others: Vec<usize> = (1..=3).filter(|machine| *machine != frozen).collect();
        let mut cluster = settled(3);
        cluster.freeze(frozen, true);
        let late = cluster.call(frozen, "POST", BEGIN, 0, "");
        cluster.run(1200.0);
        cluster.submit_until_accepted(&others, BEGIN, 0, "");
        cluster.submit_until_accepted(&others, FINISH, 0, "");
        cluster.run(2000.0);
        cluster.freeze(frozen, false);
        assert_not_evacuated(&mut cluster);
        assert_eq!(
            cluster.status(late),
            Some(503),
            "at {frozen}: nothing definite"
        );
    }
}

#[test]
fn read_just_before_its_machine_froze() {
    for frozen in 1..=3 {
        let others: Vec<usize> = (1..=3).filter(|machine| *machine != frozen).collect();
        for ran in [1.0, 6.0, 12.0] {
            let mut cluster = settled(3);
            let late = cluster.call(frozen, "POST", BEGIN, 0, "");
            cluster.run(ran);
            cluster.freeze(frozen, true);
            cluster.run(1200.0);
            cluster.submit_until_accepted(&others, BEGIN, 0, "");
            cluster.submit_until_accepted(&others, FINISH, 0, "");
            cluster.run(2000.0);
            cluster.freeze(frozen, false);
            assert_not_evacuated(&mut cluster);
            assert_ne!(cluster.status(late), Some(404), "{frozen}");
        }
    }
}

#[test]
fn delayed_on_the_link_to_the_head() {
    let mut cluster = settled(4);
    // An observer's call goes to the head, and to members that pass it on: all of that is slow.
    for to in 1..=3 {
        cluster.slow(4, to, 800.0);
    }
    let late = cluster.call(4, "POST", BEGIN, 0, "");
    cluster.run(100.0);
    cluster.submit_until_accepted(&[3], BEGIN, 0, "");
    cluster.submit_until_accepted(&[2], FINISH, 0, "");
    assert_not_evacuated(&mut cluster);
    let (_, reply) = cluster.answer(late).expect("it is answered");
    assert!(!is_definite(reply), "{reply:?}");
    assert!(
        cluster
            .forwarded_calls
            .iter()
            .any(|(_, from, _, _)| *from == 4),
        "it was on its way"
    );
}

#[test]
fn delayed_as_it_is_passed_on_to_the_head() {
    let mut cluster = settled(4);
    // The fourth's own way to the head is cut: the second passes its call on, and just that takes long.
    let (head, second) = (1, 2);
    cluster.cut_one_way(4, head, true);
    cluster.slow(second, head, 1500.0);
    let late = cluster.call(4, "POST", BEGIN, 0, "");
    let passed_on = |(_, from, to, _): &(f64, usize, usize, String)| (*from, *to) == (second, head);
    for _ in 0..80 {
        if !cluster.forwarded_calls.iter().any(passed_on) {
            cluster.run(5.0);
        }
    }
    assert!(
        cluster.forwarded_calls.iter().any(passed_on),
        "the second passes it on"
    );
    cluster.slow(second, head, 0.0);
    // Nothing more comes from the fourth: what it tries again is lost.
    (1..=3).for_each(|to| cluster.cut_one_way(4, to, true));
    cluster.run(100.0);
    assert!(
        cluster.evacuated().iter().all(Vec::is_empty),
        "it has not come yet"
    );
    cluster.submit_until_accepted(&[head], BEGIN, 0, "");
    cluster.submit_until_accepted(&[head], FINISH, 0, "");
    assert_not_evacuated(&mut cluster);
    assert_ne!(cluster.status(late), Some(200));
}

#[test]
fn tried_again_by_a_machine_that_was_cut_off() {
    let mut cluster = settled(3);
    cluster.cut(3, 1, true);
    cluster.cut(3, 2, true);
    let late = cluster.call(3, "POST", BEGIN, 0, "");
    cluster.run(1000.0);
    assert_eq!(cluster.status(late), Some(503));
    cluster.submit_until_accepted(&[1, 2], BEGIN, 0, "");
    cluster.submit_until_accepted(&[2, 1], FINISH, 0, "");
    let answered = cluster.now;
    cluster.cut(3, 1, false);
    cluster.cut(3, 2, false);
    assert_not_evacuated(&mut cluster);
    let later = cluster
        .forwarded_calls
        .iter()
        .filter(|(at, from, _, _)| *at >= answered && *from == 3);
    assert_eq!(
        later.count(),
        0,
        "a call that was answered is not tried any more"
    );
}

/// A zone as a control node knows it: the number of the last order for it, and whether anything names it here.
struct Zone {
    last_evacuation_command: u64,
    is_named: bool,
}

/// One that is named.
fn zone(last_evacuation_command: u64) -> Zone {
    Zone {
        last_evacuation_command,
        is_named: true,
    }
}

impl CallContext for Zone {
    fn redirects_callers(&self) -> bool {
        false
    }

    fn last_evacuation_command(&self, _: &str) -> u64 {
        self.last_evacuation_command
    }

    fn accepted_version(&self, _: &Command) -> Option<u64> {
        None
    }

    fn precheck(&self, _: &Command) -> Precheck {
        Precheck::Passed
    }
    fn is_known_zone(&self, zone: &str) -> bool {
        self.is_named && zone == "kita-hall"
    }
}

fn begin(calls: &mut PendingCalls, now: f64, arrival: Arrival) -> (u64, Step) {
    let call = calls.register(arrival);
    (
        call,
        calls.handle(now, call, &message("POST", BEGIN, &[], ""), &zone(4)),
    )
}

fn is_submitted(step: &Step, stamp: u64) -> bool {
    matches!(step, Step::Submit { command: Command::SetEvacuation { last_known, .. }, .. } if *last_known == stamp)
}

fn is_refused(step: &Step) -> bool {
    matches!(step, Step::Reply { reply, .. } if reply.status == 503)
}

/// The state may have been caught up before the late call is read: then its stamp would be a new one.
#[test]
fn calls_buffered_during_a_pause_are_rejected() {
    let mut calls = PendingCalls::new(0.0);
    for at in 1..=40 {
        assert!(calls.check_for_pause(f64::from(at) * 50.0).is_empty());
    }
    let (_, step) = begin(&mut calls, 2000.0, Arrival::at(1990.0));
    assert!(is_submitted(&step, 4), "{step:?}");
    // It stands still from 2000 to 9000: what was under way is answered at once, without a definite answer.
    let steps = calls.check_for_pause(9000.0);
    assert!(steps.len() == 1 && is_refused(&steps[0]), "{steps:?}");
    // Accepted before; waiting in the queue; and accepted after it, when the queue was not seen empty since.
    for arrival in [
        Arrival::at(1990.0),
        Arrival {
            queued_since: 1950.0,
            accepted: 9000.0,
        },
        Arrival {
            queued_since: 1950.0,
            accepted: 9100.0,
        },
    ] {
        let (_, step) = begin(&mut calls, 9110.0, arrival);
        assert!(is_refused(&step), "{arrival:?}: {step:?}");
    }
    let (_, step) = begin(
        &mut calls,
        9120.0,
        Arrival {
            queued_since: 9001.0,
            accepted: 9110.0,
        },
    );
    assert!(is_submitted(&step, 4), "a new one is taken: {step:?}");
}

#[test]
fn a_call_that_took_too_long_to_arrive_is_rejected() {
    let mut calls = PendingCalls::new(0.0);
    (0..20).for_each(|at| drop(calls.check_for_pause(f64::from(at) * 100.0)));
    let (_, step) = begin(
        &mut calls,
        1900.0,
        Arrival::at(1900.0 - MAX_CALL_AGE_MS - 1.0),
    );
    assert!(is_refused(&step), "{step:?}");
    let (_, step) = begin(&mut calls, 1900.0, Arrival::at(1900.0 - MAX_CALL_AGE_MS));
    assert!(is_submitted(&step, 4), "{step:?}");
    const {
        assert!(
            MAX_PAUSE_MS + MAX_CALL_AGE_MS < 1000.0,
            "together less than the patience of callers"
        );
    };
}

#[test]
fn a_superseded_order_never_gets_a_new_number() {
    let overtaken = borsh::to_vec(&Outcome::Superseded { number: 6 }).expect("an outcome");
    for after in [0.0, 1.0, 50.0, MAX_CALL_AGE_MS, MAX_CALL_AGE_MS + 1.0] {
        let mut calls = PendingCalls::new(0.0);
        (0..20).for_each(|at| drop(calls.check_for_pause(f64::from(at) * 100.0)));
        let (call, _) = begin(&mut calls, 1900.0, Arrival::at(1900.0));
        let step = calls
            .complete(1900.0 + after, call, Ok(overtaken.clone()), &zone(4))
            .expect("a step");
        assert!(
            is_refused(&step),
            "its caller may have gone on {after} ms after it came: {step:?}"
        );
        let taken = borsh::to_vec(&Outcome::Accepted { version: 7 }).expect("an outcome");
        assert_eq!(
            calls.complete(2350.0, call, Ok(taken), &zone(6)),
            None,
            "answered once"
        );
    }
}

/// What a call for a zone that nothing names here is answered or leads to, once the chain has said whether it knows the zone.
fn step_for_zone_known_to_chain(known: Option<&str>) -> Step {
    let mut calls = PendingCalls::new(0.0);
    (0..20).for_each(|at| drop(calls.check_for_pause(f64::from(at) * 100.0)));
    let call = calls.register(Arrival::at(1900.0));
    let unnamed = Zone {
        last_evacuation_command: 4,
        is_named: false,
    };
    calls.handle(1900.0, call, &message("POST", BEGIN, &[], ""), &unnamed);
    let answer = borsh::to_vec(&known).expect("an answer");
    calls
        .complete(1950.0, call, Ok(answer), &unnamed)
        .expect("a step")
}

/// CONFIG: an order for a zone was refused as unknown by a control node that had not applied the order in force for it.
#[test]
fn an_order_for_a_zone_that_only_the_chain_knows_is_submitted() {
    let step = step_for_zone_known_to_chain(Some("kita-hall"));
    assert!(is_submitted(&step, 4), "{step:?}");
    let step = step_for_zone_known_to_chain(None);
    assert!(matches!(&step, Step::Reply { reply, .. } if reply.status == 404));
}

#[test]
fn the_control_state_tells_whether_there_was_an_order_for_a_zone() {
    let mut state = ControlState::default();
    let known_zone = |state: &ControlState| {
        let zone = "kita-hall".to_owned();
        let query = borsh::to_vec(&Query::KnownZone { zone }).expect("a query");
        borsh::from_slice::<QueryResult>(&state.query(&query)).expect("a result")
    };
    assert_eq!(known_zone(&state), None);
    order(&mut state, 1, true, 0);
    order(&mut state, 2, false, 1);
    assert_eq!(known_zone(&state).as_deref(), Some("kita-hall"));
}

/// A call for a zone that nothing names here yet waits for the chain; its stamp is that of when it was read.
#[test]
fn an_order_that_waited_for_its_zone_to_be_known_keeps_its_stamp() {
    let mut calls = PendingCalls::new(0.0);
    (0..20).for_each(|at| drop(calls.check_for_pause(f64::from(at) * 100.0)));
    let call = calls.register(Arrival::at(1900.0));
    let order = message("POST", BEGIN, &[], "");
    let step = calls.handle(
        1900.0,
        call,
        &order,
        &Zone {
            last_evacuation_command: 4,
            is_named: false,
        },
    );
    assert_eq!(
        step,
        Step::Read {
            call,
            query: Query::KnownZone {
                zone: "kita-hall".to_owned()
            }
        }
    );
    let contact = borsh::to_vec(&None::<String>).expect("an answer");
    let step = calls
        .complete(1950.0, call, Ok(contact), &zone(6))
        .expect("a step");
    assert!(is_submitted(&step, 4), "{step:?}");
}

#[test]
fn the_pause_detector_measures_gaps_between_observations() {
    let mut awake = PauseDetector::new(100.0);
    assert!(!awake.observe(100.0 + MAX_PAUSE_MS));
    assert!(awake.ran_since_arrival(&Arrival::at(100.0)));
    assert!(awake.observe(101.0 + 2.0 * MAX_PAUSE_MS));
    assert_eq!(awake.running_since(), 101.0 + 2.0 * MAX_PAUSE_MS);
    assert!(!awake.ran_since_arrival(&Arrival::at(100.0 + MAX_PAUSE_MS)));
}

fn order(state: &mut ControlState, number: u64, begin: bool, last_known: u64) -> Outcome {
    let command = Command::SetEvacuation {
        zone: "kita-hall".to_owned(),
        begin,
        last_known,
    };
    let outcome = state.apply(number, &borsh::to_vec(&command).expect("a command"));
    borsh::from_slice(&outcome).expect("an outcome")
}

/// Every way of delay comes to this: an order applied after others that were confirmed since it was read.
#[test]
fn an_order_that_was_overtaken_changes_nothing() {
    let taken = Outcome::Accepted { version: 0 };
    let mut state = ControlState::default();
    assert_eq!(order(&mut state, 1, true, 0), taken);
    assert_eq!(
        order(&mut state, 2, true, 0),
        taken,
        "its repeat finds it done"
    );
    assert_eq!(order(&mut state, 3, false, 2), taken);
    assert_eq!(
        order(&mut state, 4, true, 0),
        Outcome::Superseded { number: 3 }
    );
    assert_eq!(
        order(&mut state, 5, true, 2),
        Outcome::Superseded { number: 3 }
    );
    assert_eq!(
        (state.evacuated_zones().count(), state.evacuation_number()),
        (0, 3)
    );
    assert_eq!(
        order(&mut state, 6, false, 1),
        taken,
        "late, and as it is already"
    );
    // Confirmed without a change, it overtakes what was read before it as well.
    assert_eq!(
        order(&mut state, 7, true, 3),
        Outcome::Superseded { number: 6 }
    );
    assert_eq!(order(&mut state, 8, true, 6), taken);
    let mut other = ControlState::default();
    assert!(other.restore(&state.snapshot()));
    for state in [&mut state, &mut other] {
        assert_eq!(
            order(state, 9, false, 6),
            Outcome::Superseded { number: 8 },
            "also after a snapshot"
        );
        assert_eq!(state.evacuated_zones().collect::<Vec<_>>(), ["kita-hall"]);
    }
}
