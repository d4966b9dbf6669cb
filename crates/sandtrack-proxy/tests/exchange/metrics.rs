//! The metrics of a proxy keep their names, labels and order, which scrapers depend on.
use crate::harness::Harness;

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/metrics.txt");

/// The metrics without their values, some of which differ from run to run.
fn without_values(response: &str) -> String {
    let (_, text) = response.split_once("\r\n\r\n").expect("a head and a body");
    let without_value = |line: &str| match line.strip_prefix('#') {
        Some(_) => format!("{line}\n"),
        None => format!("{}\n", line.rsplit_once(' ').map_or(line, |(name, _)| name)),
    };
    text.lines().map(without_value).collect()
}

#[test]
fn the_metrics_keep_their_names_labels_and_order() {
    let harness = Harness::with_upstreams("the_metrics_keep_their_names_labels_and_order", 2);
    let mut client = harness.client();
    client.get("/slips/a", "r1");
    harness.next_upstream_request().respond("whole");
    assert_eq!(client.response().text(), "whole");
    harness.wait_for_metric("sandtrack_proxy_requests_open", 0);
    let text = without_values(&harness.fetch_metrics());
    if std::env::var_os("SANDTRACK_WRITE_FIXTURES").is_some() {
        std::fs::write(FIXTURE, &text).expect("a fixture can be written");
    }
    assert_eq!(text, std::fs::read_to_string(FIXTURE).expect("the fixture"));
    harness.finish();
}
