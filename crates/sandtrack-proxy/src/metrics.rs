//! The figures of a proxy, for scrapers and for whoever looks at an incident.
use crate::context::ProxyContext;
use sandtrack_protocol::metrics::{Kind, MetricsText};
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
pub fn text(context: &ProxyContext) -> String {
    let mut text = MetricsText::default();
    context.outcomes.borrow().tell(&mut text);
    tell_state(context, &mut text);
    tell_upstreams(context, &mut text);
    text.invariants();
    text.logs();
    text.into_text()
}

fn tell_state(context: &ProxyContext, text: &mut MetricsText) {
    let balancer = context.balancer.borrow();
    let state = balancer.state();
    let gauges: [(&str, &str, u64); 10] = [
        ("ready", "Whether it takes traffic", u64::from(state.ready)),
        (
            "leaving",
            "Whether it was told to stop",
            u64::from(state.leaving),
        ),
        (
            "configuration_version",
            "Version in force here; 0: none",
            state.version,
        ),
        ("requests_open", "Requests in hand", u64::from(state.open)),
        (
            "client_connections",
            "Connections of clients",
            context.connections.get() as u64,
        ),
        (
            "request_bytes_held",
            "Bodies of requests in hand",
            context.memory.requests.held() as u64,
        ),
        (
            "answer_bytes_held",
            "Collected answers in hand",
            context.memory.answers.held() as u64,
        ),
        (
            "proxies_known",
            "Proxies among which bounds are shared",
            u64::from(balancer.proxies),
        ),
        (
            "zones_evacuated",
            "Zones that get nothing",
            balancer.evacuated.len() as u64,
        ),
        (
            "up_seconds",
            "Since the start of the process",
            (context.clock.now() / 1000.0) as u64,
        ),
    ];
    for (name, help, value) in gauges {
        text.single(&format!("sandtrack_proxy_{name}"), Kind::Gauge, help, value);
    }
}

fn tell_upstreams(context: &ProxyContext, text: &mut MetricsText) {
    let balancer = context.balancer.borrow();
    let mut services: BTreeMap<&str, Seen> = BTreeMap::new();
    for place in balancer.upstreams.listed() {
        let upstream = balancer.upstreams.get(place);
        let seen = services.entry(&upstream.entry.service).or_default();
        seen.listed += 1;
        seen.draining += u64::from(upstream.entry.draining);
        seen.unhealthy += u64::from(!upstream.run.is_healthy());
        seen.own += upstream.own;
    }
    const UPSTREAMS: &str = "sandtrack_proxy_upstreams";
    text.family(UPSTREAMS, Kind::Gauge, "Upstreams by service and state");
    for (service, seen) in &services {
        for (state, count) in [
            ("listed", seen.listed),
            ("draining", seen.draining),
            ("unhealthy", seen.unhealthy),
        ] {
            text.figure(UPSTREAMS, &[("service", service), ("state", state)], count);
        }
    }
    const OPEN: &str = "sandtrack_proxy_sends_open";
    text.family(OPEN, Kind::Gauge, "Sends under way by service");
    for (service, seen) in &services {
        text.figure(OPEN, &[("service", service)], seen.own);
    }
}
