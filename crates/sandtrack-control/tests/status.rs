//! The status and the metrics of a control node keep their names, and the order of their fields: operators' programs and
//! scrapers read them.
mod common;
use common::assert_transcript;
use common::cluster::{upstream, Cluster};

/// Three control nodes with a configuration, an evacuation, two proxies and two upstreams.
fn busy_cluster() -> Cluster {
    let mut cluster = Cluster::configured(3);
    cluster.list = Some(vec![upstream("i-1", false), upstream("i-2", true)]);
    cluster.connect("front-1", "odori-hall", "ishikari", 1);
    cluster.connect("front-2", "kita-hall", "ishikari", 2);
    cluster.submit_until_accepted(&[1, 2], "/v1/evacuation/kita-hall/begin", 0, "");
    cluster.run(5000.0);
    cluster
}

#[test]
fn the_status_keeps_its_fields() {
    let mut cluster = busy_cluster();
    let call = cluster.call(1, "GET", "/v1/status", 0, "");
    cluster.run(500.0);
    cluster.note_answer("GET /v1/status", call);
    assert_transcript("status", &cluster.transcript);
}

#[test]
fn the_metrics_keep_their_names() {
    let mut cluster = busy_cluster();
    let now = cluster.now;
    assert_transcript("metrics", &cluster.control_node(1).metrics_text(now));
}
