//! The session with control: which control node it is with, and what that is told.
use crate::control_node::{ControlNode, Heard};
use crate::harness::{control_node, fresh_ip, settings, Stage, BOUNDS, ROUTES};
use crate::process::Proxy;
use sandtrack_protocol::frames::ProxyState;

/// A proxy on a machine without a control node, whose seeds are these.
fn proxy(name: &str, seeds: &[&str]) -> (String, Proxy) {
    let ip = fresh_ip();
    let proxy = Proxy::start(name, Some(&settings(&ip, false, seeds, BOUNDS)));
    (ip, proxy)
}

/// It says who it is, and tells at once when its state changes.
#[test]
fn it_says_who_and_how_it_is() {
    let stage = Stage::empty("it_says_who_and_how_it_is");
    let state = stage.control_node.until_state("a first state", |_| true);
    assert_eq!(state, ProxyState::default());
    stage.serve(1);
    let state = stage.control_node.until_state("ready", |state| state.ready);
    assert_eq!(
        state,
        ProxyState {
            ready: true,
            leaving: false,
            version: 10,
            open: 0
        }
    );
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    let asked = stage.asked();
    stage
        .control_node
        .until_state("a request in hand", |state| state.open == 1);
    asked.answer("one");
    client.answer();
    stage
        .control_node
        .until_state("none in hand", |state| state.open == 0);
    stage.proxy.signal("TERM");
    let state = stage
        .control_node
        .until_state("leaving", |state| state.leaving);
    assert!(!state.ready, "one that leaves is not ready");
    stage.finish();
}

#[test]
fn its_hello_names_its_machine() {
    let (first_ip, first) = control_node(true);
    let (ip, proxy) = proxy("its_hello_names_its_machine", &[&first_ip]);
    let (info, state) = first.until_hello();
    assert_eq!(
        (
            info.node_name.as_str(),
            info.zone.as_str(),
            info.region.as_str()
        ),
        ("front-a-1", "a", "north")
    );
    assert_eq!(info.front, format!("{ip}:8161"));
    assert_eq!(state, ProxyState::default());
    drop(proxy);
    let (_, _proxy) = self::proxy("its_hello_names_its_machine-2", &[&first_ip]);
    let (other, _) = first.until_hello();
    assert_ne!(
        other.incarnation, info.incarnation,
        "each start is another incarnation"
    );
}

/// The control node dies: the next candidate has the session, and what the proxy knew serves meanwhile.
#[test]
fn a_dead_control_node_is_followed_by_the_next() {
    a_lost_control_node_is_followed(
        "a_dead_control_node_is_followed_by_the_next",
        ControlNode::die,
    );
}

/// It says nothing any more, and its connections stand: the same.
#[test]
fn a_silent_control_node_is_followed_by_the_next() {
    a_lost_control_node_is_followed(
        "a_silent_control_node_is_followed_by_the_next",
        |control_node| {
            control_node.fall_silent();
        },
    );
}

fn a_lost_control_node_is_followed(name: &str, lose: impl Fn(&mut ControlNode)) {
    let (first_ip, first) = control_node(true);
    let (next_ip, next) = control_node(true);
    let (ip, proxy) = proxy(name, &[&first_ip, &next_ip]);
    let mut stage = Stage::of(name, &ip, proxy, first);
    let (info, _) = stage.control_node.until_hello();
    stage.serve(1);
    stage.control_node.until_state("ready", |state| state.ready);
    lose(&mut stage.control_node);
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("meanwhile");
    assert_eq!(client.answer().text(), "meanwhile");
    let (same, state) = next.until_hello();
    assert_eq!(same, info);
    assert!(
        state.ready && state.version == 10,
        "it is as ready as before: {state:?}"
    );
    next.until_state("its state", |state| state.ready);
    client.get("/slips/a", "r2");
    stage.asked().answer("after");
    assert_eq!(client.answer().text(), "after");
    stage.finish_unwritten();
}

/// One that hears no majority is passed over where another does.
#[test]
fn a_detached_control_node_is_passed_over() {
    let (alone_ip, alone) = control_node(false);
    let (better_ip, better) = control_node(true);
    let (_, _proxy) = proxy(
        "a_detached_control_node_is_passed_over",
        &[&alone_ip, &better_ip],
    );
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
fn a_detached_control_node_is_taken_where_there_is_no_other() {
    let (alone_ip, alone) = control_node(false);
    let name = "a_detached_control_node_is_taken_where_there_is_no_other";
    let (ip, proxy) = proxy(name, &[&alone_ip]);
    let stage = Stage::of(name, &ip, proxy, alone);
    stage.serve(1);
    stage.control_node.until_state("ready", |state| state.ready);
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("served");
    assert_eq!(client.answer().text(), "served");
    stage.finish_unwritten();
}

/// One that loses its majority is left for another.
#[test]
fn a_control_node_that_loses_its_majority_is_left() {
    let (first_ip, first) = control_node(true);
    let (next_ip, next) = control_node(true);
    let (_, _proxy) = proxy(
        "a_control_node_that_loses_its_majority_is_left",
        &[&first_ip, &next_ip],
    );
    first.until_hello();
    first.until_state("a beat", |_| true);
    first.attach(false);
    next.until_hello();
    next.until_state("a beat", |_| true);
}

/// With one that hears no majority, it looks for one that does.
#[test]
fn a_detached_control_node_is_left_once_another_is_there() {
    let (alone_ip, alone) = control_node(false);
    let (other_ip, other) = control_node(false);
    let (_, _proxy) = proxy(
        "a_detached_control_node_is_left_once_another_is_there",
        &[&alone_ip, &other_ip],
    );
    alone.until_hello();
    alone.until_state("a beat", |_| true);
    other.attach(true);
    other.until_hello();
    // Past what it would stay with one that does not.
    for _ in 0..10 {
        other.until_state("a beat", |_| true);
    }
    assert!(
        !other.heard_up_to_now().contains(&Heard::Ended),
        "it stays there"
    );
}

/// Control nodes that control named are tried, where seeds are down.
#[test]
fn control_nodes_that_control_named_are_tried() {
    let (first_ip, first) = control_node(true);
    let (_, named) = control_node(true);
    let name = "control_nodes_that_control_named_are_tried";
    let (ip, proxy) = proxy(name, &[&first_ip]);
    let mut stage = Stage::of(name, &ip, proxy, first);
    stage.control_node.until_hello();
    let control_nodes = vec![stage.control_node.address.clone(), named.address.clone()];
    stage
        .control_node
        .tell(sandtrack_protocol::frames::ToProxy::Census {
            control_nodes,
            proxies: 1,
            rank: 0,
        });
    stage.configure(ROUTES);
    stage.control_node.die();
    named.until_hello();
}

/// Where no other hears a majority, its session stands while the others are asked: it is not opened anew each time.
#[test]
fn a_detached_control_node_is_kept_while_others_are_asked() {
    let (alone_ip, alone) = control_node(false);
    let (other_ip, other) = control_node(false);
    let name = "a_detached_control_node_is_kept_while_others_are_asked";
    let (_, _proxy) = proxy(name, &[&alone_ip, &other_ip]);
    alone.until_hello();
    for _ in 0..2 {
        other.until_hello();
        other.until("the end of what was only asked", |heard| {
            *heard == Heard::Ended
        });
    }
    let heard = alone.heard_up_to_now();
    assert!(
        !heard.contains(&Heard::Ended),
        "it stays with the one that it had: {heard:?}"
    );
}
