//! The file that two processes of one sidecar share keeps its bytes: they may be of different builds.
use sandtrack_sidecar::handover::Handover;
use sandtrack_sidecar_core::by_hand::{ByHand, Change};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const LISTEN: &str = "127.0.0.1:8000";
/// Name of the shared file for that address.
const FILE: &str = "sandtrack-127.0.0.1-8000.json";

fn fixture() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/handover.json")
}

/// A folder of this test alone, empty.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!(
        "sandtrack-handover-bytes-{}-{name}",
        std::process::id()
    ));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn open(folder: &Path) -> Handover {
    Handover::open(Some(folder), LISTEN.parse().expect("an address"))
}

/// What the fixture holds.
fn expected() -> ByHand {
    ByHand {
        drained: true,
        out: BTreeSet::from(["i-1".to_owned(), "i-2".to_owned()]),
        back: BTreeMap::from([("i-3".to_owned(), 1_700_000_000_000)]),
    }
}

#[test]
fn orders_are_written_as_in_the_fixture() {
    let folder = folder("written");
    let mut handover = open(&folder);
    let out = |id: &str| Change::Out(id.to_owned());
    let back = Change::Back {
        id: "i-3".to_owned(),
        at: 1_700_000_000_000,
    };
    for change in [out("i-2"), out("i-1"), out("i-3"), back, Change::Drain] {
        handover.change(change).expect("a change is noted");
    }
    let written = std::fs::read(folder.join(FILE)).expect("the file");
    if std::env::var_os("SANDTRACK_WRITE_FIXTURES").is_some() {
        std::fs::write(fixture(), &written).expect("a fixture can be written");
    }
    let bytes = std::fs::read(fixture()).expect("the fixture");
    assert_eq!(
        String::from_utf8_lossy(&written),
        String::from_utf8_lossy(&bytes)
    );
}

#[test]
fn the_fixture_is_read_and_written_again_as_it_was() {
    let folder = folder("read");
    let bytes = std::fs::read(fixture()).expect("the fixture");
    std::fs::write(folder.join(FILE), &bytes).expect("a copy");
    let mut handover = open(&folder);
    assert_eq!(handover.known(), &expected());
    handover.change(Change::Drain).expect("a change is noted");
    assert_eq!(std::fs::read(folder.join(FILE)).expect("the file"), bytes);
}
