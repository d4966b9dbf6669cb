//! The text of a process's figures, as scrapers read it.
use sandtrack_protocol::metrics::{MetricKind, MetricsText};

#[test]
fn a_family_has_its_help_its_type_and_a_line_for_each_figure() {
    let mut text = MetricsText::default();
    text.family(
        "sends_total",
        MetricKind::Counter,
        "Sends by how they ended",
    );
    text.sample("sends_total", &[("ended", "answered")], 7);
    text.sample("sends_total", &[("ended", "a \"quoted\" one")], 1);
    text.metric("ready", MetricKind::Gauge, "Whether it takes traffic", 1);
    let expected = "# HELP sends_total Sends by how they ended\n# TYPE sends_total counter\n\
        sends_total{ended=\"answered\"} 7\nsends_total{ended=\"a \\\"quoted\\\" one\"} 1\n\
        # HELP ready Whether it takes traffic\n# TYPE ready gauge\nready 1\n";
    assert_eq!(text.into_text(), expected);
}

#[test]
fn every_invariant_is_exported_with_its_count() {
    let mut text = MetricsText::default();
    text.invariant_violations();
    let text = text.into_text();
    assert!(
        text.contains("sandtrack_invariant_violations_total{invariant=\"runs_once\"} 0\n"),
        "{text}"
    );
}
