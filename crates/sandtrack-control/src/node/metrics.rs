//! The metrics of a control node.
use super::ControlNode;
use crate::Millis;
use sandtrack_protocol::metrics::{MetricKind, MetricsText};

impl ControlNode {
    /// All metrics of this process in the Prometheus text format.
    pub fn metrics_text(&self, now: Millis) -> String {
        let mut text = MetricsText::default();
        self.call_log.write_metrics(&mut text);
        self.write_state_metrics(now, &mut text);
        self.write_endpoint_metrics(&mut text);
        text.invariant_violations();
        text.lost_log_lines();
        text.into_text()
    }

    fn write_state_metrics(&self, now: Millis, text: &mut MetricsText) {
        let view = self.replica.view();
        let control_state = self.replica.machine();
        let linked = self.peers.all().filter(|(_, linked, _)| *linked).count() as u64;
        let ready = self.membership.ready(now).len() as u64;
        let gauges: [(&str, &str, u64); 17] = [
            (
                "attached",
                "Whether it hears a majority and has caught up",
                u64::from(self.has_quorum(now)),
            ),
            (
                "caught_up",
                "Whether it knows all that is committed",
                u64::from(self.replica.is_caught_up()),
            ),
            (
                "feeds_proxies",
                "Whether it may give configurations",
                u64::from(self.may_push_configuration(now)),
            ),
            (
                "leaving",
                "Whether it was told to stop",
                u64::from(self.leaving_since.is_some()),
            ),
            ("view_epoch", "Epoch of the latest view known", view.epoch),
            (
                "chain_length",
                "Members of the chain",
                view.chain.len() as u64,
            ),
            (
                "in_chain",
                "Whether it is a member of it",
                u64::from(view.chain.contains(self.replica.member())),
            ),
            (
                "applied_number",
                "Number of the last change applied",
                self.replica.applied_number(),
            ),
            (
                "configuration_version",
                "Version in force; 0: none",
                control_state.version(),
            ),
            (
                "configuration_unread_fields",
                "Lists and fields of the configuration that have no effect",
                control_state.unread_fields().len() as u64,
            ),
            (
                "configuration_invalid",
                "Whether the configuration in force is invalid, as an earlier program accepted it",
                u64::from(control_state.fault().is_some()),
            ),
            (
                "rules_version",
                "Version of the rules by which commands are decided",
                u64::from(control_state.rules().number()),
            ),
            (
                "zones_evacuated",
                "Zones that get nothing",
                control_state.evacuated_zones().count() as u64,
            ),
            (
                "peers_linked",
                "Other control nodes that are linked",
                linked,
            ),
            (
                "sessions",
                "Proxies with a session here",
                self.membership.local_members().len() as u64,
            ),
            (
                "proxies_ready",
                "Proxies that the directory may name",
                ready,
            ),
            (
                "up_seconds",
                "Since the start of the process",
                ((now - self.started) / 1000.0) as u64,
            ),
        ];
        for (name, help, value) in gauges {
            text.metric(
                &format!("sandtrack_control_{name}"),
                MetricKind::Gauge,
                help,
                value,
            );
        }
    }

    fn write_endpoint_metrics(&self, text: &mut MetricsText) {
        let reads = u64::from(self.election.should_poll(self.last_input));
        let help = "Whether it reads the platform's list";
        text.metric(
            "sandtrack_control_reads_list",
            MetricKind::Gauge,
            help,
            reads,
        );
        let help = "Term of the reader of the list";
        text.metric(
            "sandtrack_control_reader_term",
            MetricKind::Gauge,
            help,
            self.election.lease().term,
        );
        let help = "Whole readings of the list that it knows of";
        text.metric(
            "sandtrack_control_list_round",
            MetricKind::Counter,
            help,
            self.upstreams.last_poll(),
        );
        const UPSTREAMS: &str = "sandtrack_control_upstreams";
        text.family(
            UPSTREAMS,
            MetricKind::Gauge,
            "Upstreams on the list by service and state",
        );
        for (service, (listed, draining)) in self.upstreams.counts() {
            text.sample(
                UPSTREAMS,
                &[("service", service), ("state", "listed")],
                listed,
            );
            text.sample(
                UPSTREAMS,
                &[("service", service), ("state", "draining")],
                draining,
            );
        }
    }
}
