//! The session with control: which control node it is with, and what that is told.
use crate::control_node::{ControlNode, ReceivedFrame};
use crate::harness::{control_node, settings, unused_ip, Harness, BOUNDS, ROUTES};
use crate::proxy_process::ProxyProcess;
use sandtrack_protocol::frames::ProxyState;

/// A proxy on a machine without a control node, whose seeds are these.
fn proxy(name: &str, seeds: &[&str]) -> (String, ProxyProcess) {
    let ip = unused_ip();
    let proxy = ProxyProcess::start(name, Some(&settings(&ip, false, seeds, BOUNDS)));
    (ip, proxy)
}

/// It says who it is, and tells at once when its state changes.
#[test]
fn hello_and_state_describe_the_proxy() {
    let harness = Harness::unconfigured("hello_and_state_describe_the_proxy");
    let state = harness
        .control_node
        .wait_for_state("a first state", |_| true);
    assert_eq!(state, ProxyState::default());
    harness.make_ready(1);
    let state = harness
        .control_node
        .wait_for_state("ready", |state| state.ready);
    assert_eq!(
        state,
        ProxyState {
            ready: true,
            draining: false,
            version: 10,
            requests_in_flight: 0
        }
    );
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    let upstream_request = harness.next_upstream_request();
    harness
        .control_node
        .wait_for_state("a request in hand", |state| state.requests_in_flight == 1);
    upstream_request.respond("one");
    client.response();
    harness
        .control_node
        .wait_for_state("none in hand", |state| state.requests_in_flight == 0);
    harness.proxy.signal("TERM");
    let state = harness
        .control_node
        .wait_for_state("leaving", |state| state.draining);
    assert!(!state.ready, "one that leaves is not ready");
    harness.finish_with_transcript();
}

#[test]
fn hello_names_the_machine() {
    let (first_ip, first) = control_node(true);
    let (ip, proxy) = proxy("hello_names_the_machine", &[&first_ip]);
    let (info, state) = first.wait_for_hello();
    assert_eq!(
        (
            info.node_name.as_str(),
            info.zone.as_str(),
            info.region.as_str()
        ),
        ("front-a-1", "a", "north")
    );
    assert_eq!(info.client_address, format!("{ip}:8161"));
    assert_eq!(state, ProxyState::default());
    drop(proxy);
    let (_, _proxy) = self::proxy("hello_names_the_machine-2", &[&first_ip]);
    let (other, _) = first.wait_for_hello();
    assert_ne!(
        other.incarnation, info.incarnation,
        "each start is another incarnation"
    );
}

/// The control node dies: the next candidate has the session, and what the proxy knew serves meanwhile.
#[test]
fn a_dead_control_node_is_replaced_by_the_next() {
    assert_lost_control_node_is_replaced(
        "a_dead_control_node_is_replaced_by_the_next",
        ControlNode::stop,
    );
}

/// It says nothing any more, and its connections stand: the same.
#[test]
fn a_silent_control_node_is_replaced_by_the_next() {
    assert_lost_control_node_is_replaced(
        "a_silent_control_node_is_replaced_by_the_next",
        |control_node| {
            control_node.stop_sending();
        },
    );
}

fn assert_lost_control_node_is_replaced(name: &str, lose: impl Fn(&mut ControlNode)) {
    let (first_ip, first) = control_node(true);
    let (next_ip, next) = control_node(true);
    let (ip, proxy) = proxy(name, &[&first_ip, &next_ip]);
    let mut harness = Harness::of(name, &ip, proxy, first);
    let (info, _) = harness.control_node.wait_for_hello();
    harness.make_ready(1);
    harness
        .control_node
        .wait_for_state("ready", |state| state.ready);
    lose(&mut harness.control_node);
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("meanwhile");
    assert_eq!(client.response().text(), "meanwhile");
    let (same, state) = next.wait_for_hello();
    assert_eq!(same, info);
    assert!(
        state.ready && state.version == 10,
        "it is as ready as before: {state:?}"
    );
    next.wait_for_state("its state", |state| state.ready);
    client.get("/slips/a", "r2");
    harness.next_upstream_request().respond("after");
    assert_eq!(client.response().text(), "after");
    harness.finish();
}

/// One that hears no majority is passed over where another does.
#[test]
fn a_detached_control_node_is_skipped() {
    let (detached_ip, detached) = control_node(false);
    let (attached_ip, attached) = control_node(true);
    let (_, _proxy) = proxy(
        "a_detached_control_node_is_skipped",
        &[&detached_ip, &attached_ip],
    );
    detached.wait_for_hello();
    detached.wait_for("the end of its session", |frame| {
        *frame == ReceivedFrame::SessionEnded
    });
    attached.wait_for_hello();
    for _ in 0..8 {
        attached.wait_for_state("a beat", |_| true);
    }
    let session_ended = attached
        .received_so_far()
        .contains(&ReceivedFrame::SessionEnded);
    assert!(
        !session_ended,
        "it stays with the one that hears a majority"
    );
}

/// Where there is no other, it is taken all the same, and what it tells is served by.
#[test]
fn a_detached_control_node_is_accepted_where_there_is_no_other() {
    let (detached_ip, detached) = control_node(false);
    let name = "a_detached_control_node_is_accepted_where_there_is_no_other";
    let (ip, proxy) = proxy(name, &[&detached_ip]);
    let harness = Harness::of(name, &ip, proxy, detached);
    harness.make_ready(1);
    harness
        .control_node
        .wait_for_state("ready", |state| state.ready);
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("served");
    assert_eq!(client.response().text(), "served");
    harness.finish();
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
    first.wait_for_hello();
    first.wait_for_state("a beat", |_| true);
    first.set_attached(false);
    next.wait_for_hello();
    next.wait_for_state("a beat", |_| true);
}

/// With one that hears no majority, it looks for one that does.
#[test]
fn a_detached_control_node_is_left_once_another_is_there() {
    let (detached_ip, detached) = control_node(false);
    let (other_ip, other) = control_node(false);
    let (_, _proxy) = proxy(
        "a_detached_control_node_is_left_once_another_is_there",
        &[&detached_ip, &other_ip],
    );
    detached.wait_for_hello();
    detached.wait_for_state("a beat", |_| true);
    other.set_attached(true);
    other.wait_for_hello();
    // Past what it would stay with one that does not.
    for _ in 0..10 {
        other.wait_for_state("a beat", |_| true);
    }
    assert!(
        !other
            .received_so_far()
            .contains(&ReceivedFrame::SessionEnded),
        "it stays there"
    );
}

/// Control nodes that control named are tried, where seeds are down.
#[test]
fn control_nodes_that_control_named_are_tried() {
    let (first_ip, first) = control_node(true);
    let (_, listed) = control_node(true);
    let name = "control_nodes_that_control_named_are_tried";
    let (ip, proxy) = proxy(name, &[&first_ip]);
    let mut harness = Harness::of(name, &ip, proxy, first);
    harness.control_node.wait_for_hello();
    let control_nodes = vec![harness.control_node.address.clone(), listed.address.clone()];
    harness
        .control_node
        .send(sandtrack_protocol::frames::ToProxy::Census {
            control_nodes,
            proxies: 1,
            rank: 0,
        });
    harness.configure(ROUTES);
    harness.control_node.stop();
    listed.wait_for_hello();
}

/// Where no other hears a majority, its session stands while the others are asked: it is not opened anew each time.
#[test]
fn a_detached_control_node_is_kept_while_others_are_asked() {
    let (detached_ip, detached) = control_node(false);
    let (other_ip, other) = control_node(false);
    let name = "a_detached_control_node_is_kept_while_others_are_asked";
    let (_, _proxy) = proxy(name, &[&detached_ip, &other_ip]);
    detached.wait_for_hello();
    for _ in 0..2 {
        other.wait_for_hello();
        other.wait_for("the end of what was only asked", |frame| {
            *frame == ReceivedFrame::SessionEnded
        });
    }
    let frames = detached.received_so_far();
    assert!(
        !frames.contains(&ReceivedFrame::SessionEnded),
        "it stays with the one that it had: {frames:?}"
    );
}
