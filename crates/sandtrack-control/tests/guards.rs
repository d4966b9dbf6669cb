//! Guards of the control node that no other test runs into: each test falls when its guard is taken out
//! (`.ci/mutations.list`).
mod common;
use common::cluster::Cluster;
use common::{configure, message, valid_configuration};
use sandtrack_control::endpoint_poller::{
    EndpointPoller, Page, PageResult, PeerReport, PollerElection, PollerLease, HOLDER_TIMEOUT_MS,
};
use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_control::operator_api::pending_calls::{CallContext, PendingCalls, Step};
use sandtrack_control::state_machine::{ChangeKind, Command, ControlState, Outcome, Precheck};
use sandtrack_control::upstreams::Upstreams;
use sandtrack_protocol::frames::ToProxy;
use std::collections::BTreeMap;

fn counts(cluster: &Cluster, name: &str) -> Vec<u32> {
    let count = |frame: &ToProxy| match frame {
        ToProxy::Census { proxies, .. } => Some(*proxies),
        _ => None,
    };
    cluster.proxies[name]
        .frames
        .iter()
        .filter_map(count)
        .collect()
}

/// Right after the start of all, a control node would take the first proxies that come for all that there are.
#[test]
fn a_census_is_sent_only_once_all_proxies_are_known() {
    let mut cluster = Cluster::start(3);
    cluster.run(300.0);
    cluster.connect("c-odori", "odori-hall", "ishikari", 1);
    cluster.run(1200.0);
    assert!(counts(&cluster, "c-odori").is_empty());
    cluster.connect("c-asahi", "asahi-hall", "kamikawa", 2);
    cluster.run(3000.0);
    assert_eq!(counts(&cluster, "c-odori").first(), Some(&2));
}

fn lease(term: u64, holder: &str) -> PollerLease {
    PollerLease {
        term,
        holder: holder.to_owned(),
    }
}

/// Whether `b` takes the duty of `a`, which fell holder_timed_out, when `c` says this.
fn takes_over(report: PeerReport) -> bool {
    let names = ["a", "b", "c"].map(str::to_owned);
    let mut election = PollerElection::new("b", 0.0);
    election.observe_lease(0.0, "a", &lease(1, "a"));
    let live = BTreeMap::from([("c".to_owned(), report)]);
    election.take_over(HOLDER_TIMEOUT_MS + 1.0, &names, &live, &names)
}

#[test]
fn the_lease_passes_only_with_a_majority_that_misses_the_same_holder() {
    assert!(takes_over(PeerReport {
        lease: lease(1, "a"),
        holder_timed_out: true
    }));
    assert!(
        !takes_over(PeerReport {
            lease: lease(1, "a"),
            holder_timed_out: false
        }),
        "it hears the holder"
    );
    assert!(
        !takes_over(PeerReport {
            lease: lease(2, "c"),
            holder_timed_out: true
        }),
        "it knows another holder"
    );
}

/// CallContext again is an order of the same kind, on the same version, with the same bytes.
#[test]
fn an_order_is_known_again_by_its_kind_and_its_base_too() {
    let mut state = ControlState::default();
    let body = valid_configuration(7);
    assert_eq!(
        configure(&mut state, 1, ChangeKind::Replace, 0, &body),
        Outcome::Accepted { version: 7 }
    );
    assert_eq!(
        configure(&mut state, 2, ChangeKind::Replace, 0, &body),
        Outcome::Accepted { version: 7 }
    );
    assert_eq!(
        configure(&mut state, 3, ChangeKind::Replace, 5, &body),
        Outcome::VersionConflict { current: 7 }
    );
    assert!(!matches!(
        configure(&mut state, 4, ChangeKind::Update, 0, &body),
        Outcome::Accepted { .. }
    ));
}

/// A control node that knows no zone.
struct NoZone;

impl CallContext for NoZone {
    fn redirects_callers(&self) -> bool {
        false
    }

    fn last_evacuation_command(&self, _: &str) -> u64 {
        0
    }

    fn accepted_version(&self, _: &Command) -> Option<u64> {
        None
    }

    fn precheck(&self, _: &Command) -> Precheck {
        Precheck::Passed
    }
    fn is_known_zone(&self, _: &str) -> bool {
        false
    }
}

/// A configuration that waited in the sockets of a process that stood still: its caller has gone elsewhere. The version that
/// it builds on would hold it; it is not even tried.
#[test]
fn a_configuration_from_before_a_freeze_is_not_carried_out() {
    let mut calls = PendingCalls::new(0.0);
    (0..20).for_each(|at| drop(calls.check_for_pause(f64::from(at) * 100.0)));
    calls.check_for_pause(5000.0);
    let replace = message(
        "POST",
        "/v1/configuration/replace",
        &[("Based-On-Version", "0")],
        &valid_configuration(7),
    );
    for (arrival, is_carried_out) in [(Arrival::at(1890.0), false), (Arrival::at(5001.0), true)] {
        let call = calls.register(arrival);
        let step = calls.handle(5002.0, call, &replace, &NoZone);
        assert_eq!(
            matches!(step, Step::Submit { .. }),
            is_carried_out,
            "{step:?}"
        );
    }
}

/// The platform's rate holds for all together: one that reads since it hears nobody who does takes a third of the pace.
#[test]
fn a_fallback_poller_takes_a_third_of_the_rate() {
    let pause_between_pages = |alone: bool| {
        let mut reader = EndpointPoller::default();
        assert!(reader.next_page(0.0, alone, 50.0).is_some());
        let page = Page {
            next_token: Some("p-2".to_owned()),
            ..Page::default()
        };
        reader.page_fetched(
            1.0,
            alone,
            PageResult::Page(page),
            &mut Upstreams::default(),
        );
        (0..1000).find(|now| reader.next_page(f64::from(*now), alone, 50.0).is_some())
    };
    assert_eq!(
        (pause_between_pages(false), pause_between_pages(true)),
        (Some(34), Some(100))
    );
}

/// Longer than the members of others are kept: what holds over all proxies is still shared out among as many.
#[test]
fn a_node_partitioned_for_long_never_lowers_the_proxy_count() {
    let mut cluster = Cluster::start(3);
    cluster.run(1000.0);
    for (machine, (name, zone)) in [("c-odori", "odori-hall"), ("c-asahi", "asahi-hall")]
        .into_iter()
        .enumerate()
    {
        cluster.connect(name, zone, "ishikari", machine + 1);
    }
    cluster.run(5000.0);
    assert_eq!(counts(&cluster, "c-odori").last(), Some(&2));
    cluster.cut(1, 2, true);
    cluster.cut(1, 3, true);
    cluster.run(45_000.0);
    assert_eq!(counts(&cluster, "c-odori").last(), Some(&2));
}
