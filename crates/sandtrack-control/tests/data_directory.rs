//! A later build opens the data directory of an earlier one. The one in `fixtures/data` is of a control node that saw two
//! configurations, evacuations begun and ended, and two changes of the view.
mod common;
use common::cluster::{upstream, Cluster};
use common::{settings, valid_configuration};
use sandtrack_control::node::{ControlNode, Start};
use sandtrack_control::state_machine::ControlState;
use sandtrack_control::wal_writer;
use sandtrack_replication::StateMachine;
use sandtrack_wal::Wal;
use std::path::{Path, PathBuf};

/// The state that it holds, as a snapshot of format 2.
const SNAPSHOT: &str = "snapshot-2.borsh";
/// The file in a data directory.
const WAL: &str = "control.ledger";
/// The machine whose disk it is.
const MACHINE: usize = 1;
const UPDATE: &str = r#"{"version_number":9,"remove_names":{"services":["lm"]}}"#;
/// What the disk holds at the end.
const EPOCH: u64 = 3;
const VERSION: u64 = 9;
const EVACUATED: [&str; 1] = ["kita-hall"];

fn fixtures() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures")
}

fn fixture() -> PathBuf {
    fixtures().join("data")
}

/// A folder of this test alone, empty.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sandtrack-data-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Three control nodes: one is killed and comes back, which makes two views, between the operators' orders.
fn records() -> Vec<Vec<u8>> {
    let mut cluster = Cluster::start(3);
    cluster.list = Some(vec![upstream("i-1", false)]);
    cluster.run(1000.0);
    cluster.submit_until_accepted(
        &[1, 2],
        "/v1/configuration/replace",
        0,
        &valid_configuration(7),
    );
    cluster.submit_until_accepted(&[1, 2], "/v1/evacuation/odori-hall/begin", 0, "");
    cluster.kill(3, false);
    assert!(
        cluster.run_until_epoch(MACHINE, EPOCH - 1, 5000.0),
        "a view without the third"
    );
    cluster.submit_until_accepted(&[1, 2], "/v1/configuration/update", 7, UPDATE);
    cluster.submit_until_accepted(&[1, 2], "/v1/evacuation/kita-hall/begin", 0, "");
    cluster.boot(3, false);
    assert!(
        cluster.run_until_epoch(MACHINE, EPOCH, 8000.0),
        "a view with the third"
    );
    cluster.submit_until_accepted(&[1, 2], "/v1/evacuation/odori-hall/finish", 0, "");
    cluster.run(3000.0);
    cluster.wal(MACHINE).to_vec()
}

#[test]
fn the_same_orders_write_the_same_data_directory() {
    let folder = folder("written");
    let (mut wal, _, _) = Wal::open(&folder, WAL).expect("a WAL");
    for record in records() {
        wal.append(&[record]).expect("an append");
    }
    let written = std::fs::read(folder.join(WAL)).expect("the file");
    if std::env::var_os("SANDTRACK_WRITE_FIXTURES").is_some() {
        std::fs::create_dir_all(fixture()).expect("a folder");
        std::fs::write(fixture().join(WAL), &written).expect("a fixture can be written");
    }
    assert_eq!(
        written,
        std::fs::read(fixture().join(WAL)).expect("the fixture")
    );
}

/// A control node that starts on a copy of the fixture, as the program does.
fn started(name: &str) -> ControlNode {
    let folder = folder(name);
    std::fs::copy(fixture().join(WAL), folder.join(WAL)).expect("a copy");
    let (_wal, recovered) = wal_writer::open(folder.to_str().expect("a path")).expect("a WAL");
    assert_eq!(
        std::fs::read_dir(&folder).expect("the folder").count(),
        1,
        "nothing was set aside"
    );
    let mut settings = settings(MACHINE);
    settings.first_start = false;
    let (node, _) = ControlNode::new(
        settings,
        Start {
            incarnation: 1,
            recovered,
            disk: true,
        },
        0.0,
    );
    node
}

#[test]
fn the_data_directory_is_opened_with_all_that_it_holds() {
    let node = started("opened");
    let state = node.control_state();
    assert_eq!(state.version(), VERSION);
    assert_eq!(state.evacuated_zones().collect::<Vec<_>>(), EVACUATED);
    let figures = node.metrics_text(0.0);
    assert!(
        figures.contains(&format!("\nsandtrack_control_view_epoch {EPOCH}\n")),
        "{figures}"
    );
}

#[test]
fn a_snapshot_of_that_state_keeps_its_bytes() {
    let snapshot = started("snapshot").control_state().snapshot();
    if std::env::var_os("SANDTRACK_WRITE_FIXTURES").is_some() {
        std::fs::write(fixtures().join(SNAPSHOT), &snapshot).expect("a fixture can be written");
    }
    let fixture = std::fs::read(fixtures().join(SNAPSHOT)).expect("the fixture");
    assert_eq!(snapshot, fixture);
    let mut restored = ControlState::default();
    assert!(restored.restore(&fixture));
    assert_eq!(restored.snapshot(), fixture);
}
