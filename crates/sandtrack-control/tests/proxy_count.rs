//! How many proxies share the bounds that hold over all of them: one that is alive has its share whether or not control hears it.
mod common;
use common::cluster::{upstream, Cluster};
use common::valid_configuration;
use sandtrack_protocol::frames::ToProxy;

/// Three control nodes, and six proxies with a session at the first, where all know how many they are.
fn settled() -> Cluster {
    let mut cluster = Cluster::start(3);
    cluster.list = Some(vec![upstream("i-1", false)]);
    cluster.run(1000.0);
    cluster.submit_until_accepted(
        &[2],
        "/v1/configuration/replace",
        0,
        &valid_configuration(7),
    );
    for name in ["a", "b", "c", "d", "e", "f"] {
        cluster.connect(name, "odori-hall", "ishikari", 1);
    }
    cluster.run(4000.0);
    assert_eq!(sharers(&cluster, "a"), Some(6));
    cluster
}

/// Among how many a proxy was told last that it shares.
fn sharers(cluster: &Cluster, name: &str) -> Option<u32> {
    let told = cluster.proxies[name].frames.iter().rev();
    told.into_iter().find_map(|frame| match frame {
        ToProxy::Census { proxies, .. } => Some(*proxies),
        _ => None,
    })
}

fn silence(cluster: &mut Cluster, names: &[&str]) {
    for name in names {
        cluster.proxies.get_mut(*name).expect("it is there").silent = true;
    }
}

#[test]
fn a_proxy_that_timed_out_stays_counted_until_its_own_lease_ended() {
    let mut cluster = settled();
    // Frozen, or cut off from control alone: upstreams still hear them, or will at once.
    silence(&mut cluster, &["c", "d", "e", "f"]);
    for _ in 0..10 {
        cluster.run(2500.0);
        assert_eq!(
            sharers(&cluster, "a"),
            Some(6),
            "four more may send at {}",
            cluster.now
        );
    }
    cluster.run(10_000.0);
    assert_eq!(
        sharers(&cluster, "a"),
        Some(2),
        "their shares have ended by then"
    );
}

#[test]
fn one_that_fell_silent_is_counted_by_all_and_named_by_nobody() {
    let mut cluster = settled();
    cluster.connect("g", "kita-hall", "ishikari", 2);
    cluster.run(2000.0);
    assert_eq!(sharers(&cluster, "g"), Some(7));
    silence(&mut cluster, &["c"]);
    cluster.run(3000.0);
    assert_eq!(sharers(&cluster, "g"), Some(7), "at another control node");
    for machine in 1..=3 {
        let named = cluster.resolve(machine, "odori-hall");
        assert!(
            named.contains("a:8161") && !named.contains("c:8161"),
            "{named}"
        );
    }
}

#[test]
fn one_that_comes_back_elsewhere_is_counted_once_and_named_again() {
    let mut cluster = settled();
    silence(&mut cluster, &["c"]);
    cluster.run(3000.0);
    cluster.connect("c", "odori-hall", "ishikari", 3);
    cluster.run(2000.0);
    assert_eq!(sharers(&cluster, "a"), Some(6));
    for machine in 1..=3 {
        let named = cluster.resolve(machine, "odori-hall");
        assert!(named.contains("c:8161"), "{named} at {machine}");
    }
    // What was kept of its first session ends without it.
    cluster.run(40_000.0);
    assert_eq!(sharers(&cluster, "a"), Some(6));
}

#[test]
fn a_proxy_that_shut_down_is_no_longer_counted() {
    let mut cluster = settled();
    cluster.state("c", |state| (state.ready, state.draining) = (false, true));
    cluster.run(100.0);
    cluster.disconnect("c");
    cluster.run(1000.0);
    assert_eq!(sharers(&cluster, "a"), Some(5));
}

#[test]
fn a_connection_that_breaks_is_no_end_of_its_proxy() {
    let mut cluster = settled();
    cluster.disconnect("c");
    cluster.run(1000.0);
    assert_eq!(
        sharers(&cluster, "a"),
        Some(6),
        "it comes back with the same share"
    );
    cluster.run(4000.0);
    assert_eq!(sharers(&cluster, "a"), Some(5), "a killed one does not");
}
