//! The WAL on a real folder: what is written is read, and nothing else is.
use std::path::PathBuf;

use assert_matches::assert_matches;
use sandtrack_wal::{Report, Wal, WalError};

/// A folder of this test alone, empty.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("sandtrack-wal-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn records(count: u8) -> Vec<Vec<u8>> {
    (0..count)
        .map(|number| vec![number; usize::from(number) * 3])
        .collect()
}

/// Three appends of two records each, and the ends of the frames.
fn written(folder: &std::path::Path) -> (Vec<u8>, Vec<u64>) {
    let (mut wal, found, report) = Wal::open(folder, "a").unwrap();
    assert_eq!((found.len(), report), (0, Report::default()));
    let mut ends = vec![wal.length()];
    for pair in records(6).chunks(2) {
        wal.append(pair).unwrap();
        ends.push(wal.length());
    }
    (std::fs::read(folder.join("a")).unwrap(), ends)
}

#[test]
fn what_was_appended_is_read_and_appended_to() {
    let folder = folder("append");
    written(&folder);
    let (mut wal, found, report) = Wal::open(&folder, "a").unwrap();
    assert_eq!((found, report), (records(6), Report::default()));
    wal.append(&[b"more".to_vec()]).unwrap();
    drop(wal);
    let (_, found, _) = Wal::open(&folder, "a").unwrap();
    assert_eq!(found.last().unwrap(), b"more");
}

#[test]
fn a_rewrite_replaces_all_and_is_appended_to() {
    let folder = folder("rewrite");
    written(&folder);
    let (mut wal, _, _) = Wal::open(&folder, "a").unwrap();
    wal.rewrite(&[b"one".to_vec()]).unwrap();
    wal.append(&[b"two".to_vec()]).unwrap();
    drop(wal);
    let (_, found, _) = Wal::open(&folder, "a").unwrap();
    assert_eq!(found, [b"one".to_vec(), b"two".to_vec()]);
}

#[test]
fn every_truncation_gives_the_complete_frames_before_it_and_is_cut_there() {
    let folder = folder("truncate");
    let (bytes, ends) = written(&folder);
    for length in 0..=bytes.len() {
        std::fs::write(folder.join("a"), &bytes[..length]).unwrap();
        let (mut wal, found, report) = Wal::open(&folder, "a").unwrap();
        let whole = ends.iter().filter(|end| **end <= length as u64).count();
        let kept = if whole == 0 { 0 } else { ends[whole - 1] };
        assert_eq!(
            found,
            records(6)[..whole.saturating_sub(1) * 2],
            "cut at {length}"
        );
        let expected = Report {
            dropped_bytes: length as u64 - kept,
            set_aside: None,
        };
        assert_eq!(report, expected, "cut at {length}");
        wal.append(&[b"next".to_vec()]).unwrap();
        drop(wal);
        let (_, again, report) = Wal::open(&folder, "a").unwrap();
        assert_eq!(again.len(), found.len() + 1, "cut at {length}");
        assert_eq!(report, Report::default(), "cut at {length}");
    }
}

/// A bit flips in the last frame: it can't be told from an append that was never synced, and is cut off. Before it, or in
/// the head: synced data were lost, so nothing of the file is relied on.
#[test]
fn every_flipped_bit_before_the_last_frame_sets_the_file_aside() {
    let folder = folder("flip");
    let (bytes, ends) = written(&folder);
    let last = ends[ends.len() - 2] as usize;
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut flipped = bytes.clone();
            flipped[at] ^= 1 << bit;
            std::fs::write(folder.join("a"), &flipped).unwrap();
            let (_, found, report) = Wal::open(&folder, "a").unwrap();
            let expected = if at < last { Vec::new() } else { records(4) };
            assert_eq!(found, expected, "bit {bit} of {at}");
            assert_eq!(report.set_aside.is_some(), at < last, "bit {bit} of {at}");
            if let Some(aside) = report.set_aside {
                assert_eq!(
                    std::fs::read(&aside).unwrap(),
                    flipped,
                    "moved, not deleted"
                );
                std::fs::remove_file(aside).unwrap();
            }
        }
    }
}

#[test]
fn a_later_format_is_refused_and_left_as_it_is() {
    let folder = folder("newer");
    let (mut bytes, _) = written(&folder);
    bytes[8] = 2;
    let sum = crc32fast::hash(&bytes[..12]);
    bytes[12..16].copy_from_slice(&sum.to_le_bytes());
    std::fs::write(folder.join("a"), &bytes).unwrap();
    let error = Wal::open(&folder, "a").err().unwrap();
    assert_matches!(error, WalError::Newer(2));
    assert!(error.to_string().starts_with("L4 "), "{error}");
    assert_eq!(std::fs::read(folder.join("a")).unwrap(), bytes);
    assert_eq!(std::fs::read_dir(&folder).unwrap().count(), 1);
}

#[test]
fn a_second_foreign_file_does_not_replace_the_first_set_aside() {
    let folder = folder("foreign");
    for text in ["first", "second"] {
        std::fs::write(folder.join("a"), text.repeat(9)).unwrap();
        let (_, found, report) = Wal::open(&folder, "a").unwrap();
        assert!(found.is_empty() && report.set_aside.is_some());
    }
    assert_eq!(
        std::fs::read_to_string(folder.join("a.aside.1")).unwrap(),
        "first".repeat(9)
    );
    assert_eq!(
        std::fs::read_to_string(folder.join("a.aside.2")).unwrap(),
        "second".repeat(9)
    );
}

#[test]
fn a_folder_that_is_not_there_is_an_error_with_its_code() {
    let error = Wal::open(&folder("none").join("no/such"), "a")
        .err()
        .unwrap();
    assert!(error.to_string().starts_with("L3 "), "{error}");
}
