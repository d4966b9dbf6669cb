//! The metrics of a proxy.
use crate::context::ProxyContext;
use sandtrack_protocol::metrics::{MetricKind, MetricsText};
use std::collections::BTreeMap;

/// Counts of one service's upstreams, as seen by this proxy.
#[derive(Default)]
struct ServiceUpstreams {
    listed: u64,
    draining: u64,
    unhealthy: u64,
    /// Attempts in flight from this proxy.
    open_attempts: usize,
}

/// Renders all metrics of this process as text.
pub fn render(context: &ProxyContext) -> String {
    let mut text = MetricsText::default();
    context.outcomes.borrow().append_metrics(&mut text);
    append_process(context, &mut text);
    append_upstreams(context, &mut text);
    text.invariant_violations();
    text.lost_log_lines();
    text.into_text()
}

fn append_process(context: &ProxyContext, text: &mut MetricsText) {
    let balancer = context.balancer.borrow();
    let state = balancer.state();
    let gauges: [(&str, &str, u64); 11] = [
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
            "configuration_unread_fields",
            "Lists and fields of the configuration that have no effect here",
            balancer.unread_fields.len() as u64,
        ),
        (
            "requests_open",
            "Requests in hand",
            u64::from(state.requests_in_flight),
        ),
        (
            "client_connections",
            "Connections of clients",
            context.client_connections.get() as u64,
        ),
        (
            "request_bytes_held",
            "Bodies of requests in hand",
            context.memory.requests.held() as u64,
        ),
        (
            "answer_bytes_held",
            "Collected answers in hand",
            context.memory.responses.held() as u64,
        ),
        (
            "proxies_known",
            "Proxies among which bounds are shared",
            u64::from(balancer.proxy_count()),
        ),
        (
            "zones_evacuated",
            "Zones that get nothing",
            balancer.evacuated_zones.len() as u64,
        ),
        (
            "up_seconds",
            "Since the start of the process",
            (context.clock.now() / 1000.0) as u64,
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

fn append_upstreams(context: &ProxyContext, text: &mut MetricsText) {
    const UPSTREAMS: &str = "sandtrack_proxy_upstreams";
    const OPEN_ATTEMPTS: &str = "sandtrack_proxy_sends_open";
    let balancer = context.balancer.borrow();
    let mut services: BTreeMap<&str, ServiceUpstreams> = BTreeMap::new();
    for index in balancer.upstreams.listed() {
        let upstream = balancer.upstreams.get(index);
        let service = services.entry(&upstream.entry.service).or_default();
        service.listed += 1;
        service.draining += u64::from(upstream.entry.draining);
        service.unhealthy += u64::from(!upstream.failures.is_healthy());
        service.open_attempts += upstream.in_flight;
    }
    text.family(
        UPSTREAMS,
        MetricKind::Gauge,
        "Upstreams by service and state",
    );
    for (name, service) in &services {
        for (state, count) in [
            ("listed", service.listed),
            ("draining", service.draining),
            ("unhealthy", service.unhealthy),
        ] {
            text.sample(UPSTREAMS, &[("service", name), ("state", state)], count);
        }
    }
    text.family(
        OPEN_ATTEMPTS,
        MetricKind::Gauge,
        "Sends under way by service",
    );
    for (name, service) in &services {
        text.sample(OPEN_ATTEMPTS, &[("service", name)], service.open_attempts);
    }
}
