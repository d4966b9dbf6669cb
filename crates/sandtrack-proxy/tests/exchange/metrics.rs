//! The metrics of a proxy keep their names, labels and order: scrapers read them.
use crate::stage::Stage;

const FIXTURE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/metrics.txt");

/// The text of the metrics without their values, some of which differ from run to run.
fn without_values(answer: &str) -> String {
    let (_, text) = answer.split_once("\r\n\r\n").expect("a head and a body");
    let without_value = |line: &str| match line.strip_prefix('#') {
        Some(_) => format!("{line}\n"),
        None => format!("{}\n", line.rsplit_once(' ').map_or(line, |(name, _)| name)),
    };
    text.lines().map(without_value).collect()
}

#[test]
fn the_metrics_keep_their_names_labels_and_order() {
    let stage = Stage::serving("the_metrics_keep_their_names", 2);
    let mut client = stage.client();
    client.get("/slips/a", "r1");
    stage.asked().answer("whole");
    assert_eq!(client.answer().text(), "whole");
    stage.until_figure("sandtrack_proxy_requests_open", 0);
    let text = without_values(&stage.figures());
    if std::env::var_os("SANDTRACK_WRITE_FIXTURES").is_some() {
        std::fs::write(FIXTURE, &text).expect("a fixture can be written");
    }
    assert_eq!(text, std::fs::read_to_string(FIXTURE).expect("the fixture"));
    stage.finish_unwritten();
}
