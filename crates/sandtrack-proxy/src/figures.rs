//! The figures of a proxy, for scrapers and for whoever looks at an incident.
use crate::shared::Shared;
use sandtrack_protocol::metrics::{MetricKind, MetricsText};
use std::collections::BTreeMap;

/// Upstreams of one service as this proxy sees them.
#[derive(Default)]
struct Seen {
    listed: u64,
    draining: u64,
    unhealthy: u64,
    own: usize,
}

/// All figures of this process as text.
pub fn text(shared: &Shared) -> String {
    let mut text = MetricsText::default();
    shared.outcomes.borrow().tell(&mut text);
    tell_state(shared, &mut text);
    tell_upstreams(shared, &mut text);
    text.invariant_violations();
    text.lost_log_lines();
    text.into_text()
}

fn tell_state(shared: &Shared, text: &mut MetricsText) {
    let balancer = shared.balancer.borrow();
    let state = balancer.state();
    let gauges: [(&str, &str, u64); 10] = [
        ("ready", "Whether it takes traffic", u64::from(state.ready)),
        (
            "leaving",
            "Whether it was told to stop",
            u64::from(state.draining),
        ),
        (
            "configuration_version",
            "Version in force here; 0: none",
            state.version,
        ),
        (
            "requests_open",
            "Requests in hand",
            u64::from(state.requests_in_flight),
        ),
        (
            "client_connections",
            "Connections of clients",
            shared.connections.get() as u64,
        ),
        (
            "request_bytes_held",
            "Bodies of requests in hand",
            shared.memory.requests.held() as u64,
        ),
        (
            "answer_bytes_held",
            "Collected answers in hand",
            shared.memory.answers.held() as u64,
        ),
        (
            "proxies_known",
            "Proxies among which bounds are shared",
            u64::from(balancer.proxy_count),
        ),
        (
            "zones_evacuated",
            "Zones that get nothing",
            balancer.evacuated_zones.len() as u64,
        ),
        (
            "up_seconds",
            "Since the start of the process",
            (shared.clock.now() / 1000.0) as u64,
        ),
    ];
    for (name, help, value) in gauges {
        text.metric(
            &format!("sandtrack_proxy_{name}"),
            MetricKind::Gauge,
            help,
            value,
        );
    }
}

fn tell_upstreams(shared: &Shared, text: &mut MetricsText) {
    let balancer = shared.balancer.borrow();
    let mut services: BTreeMap<&str, Seen> = BTreeMap::new();
    for place in balancer.upstreams.listed() {
        let upstream = balancer.upstreams.get(place);
        let seen = services.entry(&upstream.entry.service).or_default();
        seen.listed += 1;
        seen.draining += u64::from(upstream.entry.draining);
        seen.unhealthy += u64::from(!upstream.failures.is_healthy());
        seen.own += upstream.in_flight;
    }
    const UPSTREAMS: &str = "sandtrack_proxy_upstreams";
    text.family(
        UPSTREAMS,
        MetricKind::Gauge,
        "Upstreams by service and state",
    );
    for (service, seen) in &services {
        for (state, count) in [
            ("listed", seen.listed),
            ("draining", seen.draining),
            ("unhealthy", seen.unhealthy),
        ] {
            text.sample(UPSTREAMS, &[("service", service), ("state", state)], count);
        }
    }
    const OPEN: &str = "sandtrack_proxy_sends_open";
    text.family(OPEN, MetricKind::Gauge, "Sends under way by service");
    for (service, seen) in &services {
        text.sample(OPEN, &[("service", service)], seen.own);
    }
}
