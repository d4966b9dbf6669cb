//! The file of the WAL keeps its bytes: a later build opens what an earlier one wrote.
use sandtrack_wal::{Report, Wal};
use std::path::{Path, PathBuf};

/// Two appends, the second of two records.
const APPENDED: &str = "appended.wal";
/// A rewrite with one record, and an append.
const REWRITTEN: &str = "rewritten.wal";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/fixtures")
        .join(name)
}

/// A folder of this test alone, empty.
fn folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("sandtrack-wal-bytes-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn record(text: &str) -> Vec<u8> {
    text.as_bytes().to_vec()
}

/// Compares a file to its fixture, opens a copy of the fixture and appends nothing: its bytes stay.
fn compare(name: &str, folder: &Path, expected: &[Vec<u8>]) {
    let written = std::fs::read(folder.join(name)).expect("the file");
    if std::env::var_os("SANDTRACK_WRITE_FIXTURES").is_some() {
        std::fs::write(fixture(name), &written).expect("a fixture can be written");
    }
    let bytes = std::fs::read(fixture(name)).expect("the fixture");
    assert_eq!(written, bytes, "{name}");
    std::fs::write(folder.join("copy"), &bytes).expect("a copy");
    let (wal, records, report) = Wal::open(folder, "copy").expect("a WAL");
    assert_eq!((records.as_slice(), report), (expected, Report::default()));
    assert_eq!(wal.length(), bytes.len() as u64);
    drop(wal);
    assert_eq!(std::fs::read(folder.join("copy")).expect("the copy"), bytes);
}

#[test]
fn appended_records_keep_their_bytes() {
    let folder = folder("append");
    let (mut wal, _, _) = Wal::open(&folder, APPENDED).expect("a WAL");
    let records = [record("one"), record(""), record("three")];
    wal.append(&records[..1]).expect("an append");
    wal.append(&records[1..]).expect("an append");
    compare(APPENDED, &folder, &records);
}

#[test]
fn a_rewritten_file_keeps_its_bytes() {
    let folder = folder("rewrite");
    let (mut wal, _, _) = Wal::open(&folder, REWRITTEN).expect("a WAL");
    wal.append(&[record("before")]).expect("an append");
    wal.rewrite(&[record("snapshot")]).expect("a rewrite");
    wal.append(&[record("after")]).expect("an append");
    compare(REWRITTEN, &folder, &[record("snapshot"), record("after")]);
}
