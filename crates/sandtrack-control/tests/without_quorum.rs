//! What a control node without contact with a majority hands out: to sessions no configuration and no evacuations, to
//! clients of the directory an answer all the same. No bench, no sockets, no sleep: the clock is counted.
mod common;
use common::cluster::{upstream, Cluster};
use common::valid_configuration;
use sandtrack_protocol::frames::ToProxy;

const REPLACE: &str = "/v1/configuration/replace";

/// Three control nodes and a configuration of version 7.
fn settled() -> Cluster {
    let mut cluster = Cluster::start(3);
    cluster.list = Some(vec![upstream("i-1", false)]);
    cluster.run(1000.0);
    replace(&mut cluster, 2, 0, 7);
    cluster.run(1500.0);
    cluster
}

fn replace(cluster: &mut Cluster, machine: usize, based_on: u64, version: u64) {
    let call = cluster.call(
        machine,
        "POST",
        REPLACE,
        based_on,
        &valid_configuration(version),
    );
    cluster.run(800.0);
    let status = cluster.status(call);
    assert_eq!(status, Some(200), "version {version} is taken at {machine}");
}

fn isolate(cluster: &mut Cluster, number: usize, cut: bool) {
    for other in (1..=3).filter(|other| *other != number) {
        cluster.cut(number, other, cut);
    }
}

/// The versions that a proxy was told, and whether evacuations were among it.
fn told(cluster: &Cluster, name: &str) -> (Vec<u64>, bool) {
    let frames = &cluster.proxies[name].frames;
    let version = |frame: &ToProxy| match frame {
        ToProxy::Configuration { version, .. } | ToProxy::Changes { version, .. } => Some(*version),
        _ => None,
    };
    let evacuated = frames
        .iter()
        .any(|frame| matches!(frame, ToProxy::Evacuated { .. }));
    (frames.iter().filter_map(version).collect(), evacuated)
}

fn listed(cluster: &Cluster, name: &str) -> bool {
    cluster.proxies[name]
        .frames
        .iter()
        .any(|frame| matches!(frame, ToProxy::Upstreams { .. }))
}

#[test]
fn a_proxy_in_a_partitioned_zone_gets_no_configuration_until_the_partition_heals() {
    let mut cluster = settled();
    isolate(&mut cluster, 1, true);
    cluster.run(700.0);
    replace(&mut cluster, 2, 7, 9);
    cluster.run(3000.0);
    cluster.connect("c-new", "odori-hall", "ishikari", 1);
    cluster.run(4000.0);
    assert_eq!(
        told(&cluster, "c-new"),
        (vec![], false),
        "nothing old, nothing at all"
    );
    assert!(
        listed(&cluster, "c-new"),
        "the list of upstreams it is told"
    );
    isolate(&mut cluster, 1, false);
    cluster.run(2500.0);
    assert_eq!(
        told(&cluster, "c-new"),
        (vec![9], true),
        "the newest, at once when it is known"
    );
}

#[test]
fn within_the_lease_a_proxy_that_starts_is_served() {
    let mut cluster = settled();
    isolate(&mut cluster, 1, true);
    cluster.run(250.0);
    cluster.connect("c-new", "odori-hall", "ishikari", 1);
    cluster.run(100.0);
    assert_eq!(told(&cluster, "c-new"), (vec![7], true));
}

#[test]
fn a_rejoining_node_never_serves_the_old_configuration() {
    for after in [0.0, 1.0, 5.0, 20.0, 60.0, 200.0] {
        let mut cluster = settled();
        cluster.kill(1, true);
        cluster.run(2000.0);
        replace(&mut cluster, 2, 7, 9);
        cluster.boot(1, false);
        cluster.run(after);
        cluster.connect("c-new", "odori-hall", "ishikari", 1);
        cluster.run(3000.0);
        assert_eq!(
            told(&cluster, "c-new"),
            (vec![9], true),
            "session {after} ms after the start"
        );
    }
}

#[test]
fn a_resumed_node_never_serves_the_old_configuration() {
    for after in [0.0, 1.0, 5.0, 20.0, 60.0, 200.0] {
        let mut cluster = settled();
        cluster.freeze(1, true);
        cluster.run(4000.0);
        replace(&mut cluster, 2, 7, 9);
        cluster.freeze(1, false);
        cluster.run(after);
        cluster.connect("c-new", "odori-hall", "ishikari", 1);
        cluster.run(3000.0);
        assert_eq!(
            told(&cluster, "c-new"),
            (vec![9], true),
            "session {after} ms after it woke"
        );
    }
}

/// A freeze that the others hardly notice: the view is the same, and what it tells afterwards is confirmed anew.
#[test]
fn a_pause_of_a_second_delays_nothing_for_long() {
    let mut cluster = settled();
    cluster.freeze(1, true);
    cluster.run(800.0);
    cluster.freeze(1, false);
    cluster.connect("c-new", "odori-hall", "ishikari", 1);
    cluster.run(2000.0);
    assert_eq!(told(&cluster, "c-new"), (vec![7], true));
}

/// The directory goes on: clients need somewhere to go, and those who come by it find proxies with the configuration that
/// these had. Which ones are shown ends by itself (`SHOWN_MS` of the membership).
#[test]
fn without_quorum_the_directory_names_the_own_proxies() {
    let mut cluster = settled();
    cluster.connect("c-odori", "odori-hall", "ishikari", 1);
    cluster.connect("c-asahi", "asahi-hall", "kamikawa", 2);
    cluster.run(1000.0);
    isolate(&mut cluster, 1, true);
    cluster.run(6000.0);
    let answer = cluster.resolve(1, "odori-hall");
    assert!(
        answer.starts_with("200") && answer.contains("c-odori:8161"),
        "{answer}"
    );
    assert!(
        !answer.contains("c-asahi"),
        "of those elsewhere nothing is known any more: {answer}"
    );
}

/// Shares of what holds over all proxies stay as small as they were: one that is cut off, or was frozen, never shares out
/// more because it hears of fewer.
#[test]
fn a_node_without_quorum_or_paused_never_lowers_the_proxy_count() {
    for frozen in [false, true] {
        let mut cluster = settled();
        cluster.connect("c-odori", "odori-hall", "ishikari", 1);
        cluster.connect("c-asahi", "asahi-hall", "kamikawa", 2);
        cluster.connect("c-kita", "kita-hall", "ishikari", 3);
        cluster.run(3000.0);
        cluster
            .proxies
            .values_mut()
            .for_each(|proxy| proxy.frames.clear());
        isolate(&mut cluster, 1, true);
        cluster.freeze(1, frozen);
        cluster.run(5000.0);
        cluster.freeze(1, false);
        cluster.run(5000.0);
        let counts = cluster.proxies["c-odori"]
            .frames
            .iter()
            .filter_map(|frame| match frame {
                ToProxy::Census { proxies, .. } => Some(*proxies),
                _ => None,
            });
        let counts: Vec<u32> = counts.collect();
        assert!(
            counts.iter().all(|count| *count == 3),
            "frozen {frozen}: {counts:?}"
        );
    }
}

/// An old holder's list is not taken once another holds: claims are compared by term.
#[test]
fn endpoints_of_a_paused_lease_holder_are_rejected() {
    let mut cluster = settled();
    let holder = (1..=3)
        .max_by_key(|machine| cluster.fetches_since(*machine, 0.0))
        .expect("one that reads");
    cluster.freeze(holder, true);
    cluster.run(3000.0);
    cluster.list = Some(vec![upstream("i-1", true)]);
    cluster.run(1500.0);
    let at = cluster.now;
    cluster.freeze(holder, false);
    for _ in 0..40 {
        cluster.run(50.0);
        for machine in (1..=3).filter(|machine| *machine != holder) {
            let counts = cluster.control_node(machine).upstreams().counts();
            assert_eq!(
                counts.get("print"),
                Some(&(1, 1)),
                "the draining one stays draining at {machine}"
            );
        }
    }
    assert_eq!(
        cluster.fetches_since(holder, at),
        0,
        "and it calls the platform no more"
    );
}
