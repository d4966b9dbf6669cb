//! The session with control: which postmaster it is with, and what that is told.
use crate::postmaster::{Heard, Postmaster};
use crate::process::Courier;
use crate::stage::{fresh_ip, postmaster, settings, Stage, BOUNDS, ROUTES};
use sandtrack_postmark::frames::CourierState;

/// A courier on a machine without a postmaster, whose seeds are these.
fn courier(name: &str, seeds: &[&str]) -> (String, Courier) {
    let ip = fresh_ip();
    let courier = Courier::start(name, Some(&settings(&ip, false, seeds, BOUNDS)));
    (ip, courier)
}

/// It says who it is, and tells at once when its state changes.
#[test]
fn it_says_who_and_how_it_is() {
    let stage = Stage::empty("it_says_who_and_how_it_is");
    let state = stage.postmaster.until_state("a first state", |_| true);
    assert_eq!(state, CourierState::default());
    stage.serve(1);
    let state = stage.postmaster.until_state("ready", |state| state.ready);
    assert_eq!(state, CourierState { ready: true, leaving: false, version: 10, open: 0 });
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    let asked = stage.asked();
    stage.postmaster.until_state("a request in hand", |state| state.open == 1);
    asked.answer("one");
    client.answer();
    stage.postmaster.until_state("none in hand", |state| state.open == 0);
    stage.courier.signal("TERM");
    let state = stage.postmaster.until_state("leaving", |state| state.leaving);
    assert!(!state.ready, "one that leaves is not ready");
    stage.finish();
}

#[test]
fn its_hello_names_its_machine() {
    let (first_ip, first) = postmaster(true);
    let (ip, courier) = courier("its_hello_names_its_machine", &[&first_ip]);
    let (info, state) = first.until_hello();
    assert_eq!(
        (info.node_name.as_str(), info.zone.as_str(), info.region.as_str()),
        ("front-a-1", "a", "north")
    );
    assert_eq!(info.front, format!("{ip}:8161"));
    assert_eq!(state, CourierState::default());
    drop(courier);
    let (_, _courier) = self::courier("its_hello_names_its_machine-2", &[&first_ip]);
    let (other, _) = first.until_hello();
    assert_ne!(other.incarnation, info.incarnation, "each start is another incarnation");
}

/// The postmaster dies: the next candidate has the session, and what the courier knew serves meanwhile.
#[test]
fn a_dead_postmaster_is_followed_by_the_next() {
    a_lost_postmaster_is_followed("a_dead_postmaster_is_followed_by_the_next", Postmaster::die);
}

/// It says nothing any more, and its connections stand: the same.
#[test]
fn a_silent_postmaster_is_followed_by_the_next() {
    a_lost_postmaster_is_followed("a_silent_postmaster_is_followed_by_the_next", |postmaster| {
        postmaster.fall_silent();
    });
}

fn a_lost_postmaster_is_followed(name: &str, lose: impl Fn(&mut Postmaster)) {
    let (first_ip, first) = postmaster(true);
    let (next_ip, next) = postmaster(true);
    let (ip, courier) = courier(name, &[&first_ip, &next_ip]);
    let mut stage = Stage::of(name, &ip, courier, first);
    let (info, _) = stage.postmaster.until_hello();
    stage.serve(1);
    stage.postmaster.until_state("ready", |state| state.ready);
    lose(&mut stage.postmaster);
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("meanwhile");
    assert_eq!(client.answer().text(), "meanwhile");
    let (same, state) = next.until_hello();
    assert_eq!(same, info);
    assert!(state.ready && state.version == 10, "it is as ready as before: {state:?}");
    next.until_state("its state", |state| state.ready);
    client.get("/slips/a", "r2");
    stage.asked().answer("after");
    assert_eq!(client.answer().text(), "after");
    stage.finish_unwritten();
}

/// One that hears no majority is passed over where another does.
#[test]
fn a_detached_postmaster_is_passed_over() {
    let (alone_ip, alone) = postmaster(false);
    let (better_ip, better) = postmaster(true);
    let (_, _courier) = courier("a_detached_postmaster_is_passed_over", &[&alone_ip, &better_ip]);
    alone.until_hello();
    alone.until("the end of its session", |heard| *heard == Heard::Ended);
    better.until_hello();
    for _ in 0..8 {
        better.until_state("a beat", |_| true);
    }
    let ended = better.heard_up_to_now().contains(&Heard::Ended);
    assert!(!ended, "it stays with the one that hears a majority");
}

/// Where there is no other, it is taken all the same, and what it tells is served by.
#[test]
fn a_detached_postmaster_is_taken_where_there_is_no_other() {
    let (alone_ip, alone) = postmaster(false);
    let name = "a_detached_postmaster_is_taken_where_there_is_no_other";
    let (ip, courier) = courier(name, &[&alone_ip]);
    let stage = Stage::of(name, &ip, courier, alone);
    stage.serve(1);
    stage.postmaster.until_state("ready", |state| state.ready);
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("served");
    assert_eq!(client.answer().text(), "served");
    stage.finish_unwritten();
}

/// One that loses its majority is left for another.
#[test]
fn a_postmaster_that_loses_its_majority_is_left() {
    let (first_ip, first) = postmaster(true);
    let (next_ip, next) = postmaster(true);
    let (_, _courier) = courier("a_postmaster_that_loses_its_majority_is_left", &[&first_ip, &next_ip]);
    first.until_hello();
    first.until_state("a beat", |_| true);
    first.attach(false);
    next.until_hello();
    next.until_state("a beat", |_| true);
}

/// With one that hears no majority, it looks for one that does.
#[test]
fn a_detached_postmaster_is_left_once_another_is_there() {
    let (alone_ip, alone) = postmaster(false);
    let (other_ip, other) = postmaster(false);
    let (_, _courier) =
        courier("a_detached_postmaster_is_left_once_another_is_there", &[&alone_ip, &other_ip]);
    alone.until_hello();
    alone.until_state("a beat", |_| true);
    other.attach(true);
    other.until_hello();
    // Past what it would stay with one that does not.
    for _ in 0..10 {
        other.until_state("a beat", |_| true);
    }
    assert!(!other.heard_up_to_now().contains(&Heard::Ended), "it stays there");
}

/// Postmasters that control named are tried, where seeds are down.
#[test]
fn postmasters_that_control_named_are_tried() {
    let (first_ip, first) = postmaster(true);
    let (_, named) = postmaster(true);
    let name = "postmasters_that_control_named_are_tried";
    let (ip, courier) = courier(name, &[&first_ip]);
    let mut stage = Stage::of(name, &ip, courier, first);
    stage.postmaster.until_hello();
    let postmasters = vec![stage.postmaster.address.clone(), named.address.clone()];
    stage.postmaster.tell(sandtrack_postmark::frames::ToCourier::Census {
        postmasters,
        couriers: 1,
        rank: 0,
    });
    stage.configure(ROUTES);
    stage.postmaster.die();
    named.until_hello();
}
