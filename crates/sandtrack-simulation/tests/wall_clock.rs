//! Steps of the time of day can't reach what the worlds play: no input of theirs holds it, and no source of the processes
//! reads it. The one use of `SystemTime` is the age of the settings file, which is only compared for being another one.
use std::fs;
use std::path::{Path, PathBuf};

/// What control nodes and proxies are built from.
const PARTS: [&str; 8] = [
    "control",
    "sidecar-core",
    "net",
    "protocol",
    "proxy",
    "replication",
    "settings",
    "wal",
];
/// Ways to the time of day, in the standard library and in others.
const WAYS: [&str; 9] = [
    "SystemTime::now",
    "UNIX_EPOCH",
    "Utc::now",
    "Local::now",
    "OffsetDateTime",
    "humantime",
    "gettimeofday",
    "CLOCK_REALTIME",
    "clock_gettime",
];
/// The file that looks whether the settings file is another one.
const WATCHES_SETTINGS: &str = "sandtrack-net/src/file_change.rs";

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Path and text of all sources.
fn texts() -> Vec<(String, String)> {
    let crates = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("the folder of crates");
    let mut found = Vec::new();
    for part in PARTS {
        sources(&crates.join(format!("sandtrack-{part}/src")), &mut found);
    }
    let text = |path: &PathBuf| fs::read_to_string(path).expect("a text");
    found
        .iter()
        .map(|path| (path.display().to_string(), text(path)))
        .collect()
}

#[test]
fn no_source_reads_the_time_of_day() {
    let texts = texts();
    assert!(texts.len() > PARTS.len(), "{} sources", texts.len());
    for (path, text) in &texts {
        for way in WAYS {
            assert!(!text.contains(way), "{path} names {way}");
        }
    }
}

#[test]
fn system_time_is_only_the_age_of_the_settings_file() {
    let texts = texts();
    let named: Vec<&(String, String)> = texts
        .iter()
        .filter(|(_, text)| text.contains("SystemTime"))
        .collect();
    let [(path, text)] = named.as_slice() else {
        panic!("{} sources name it", named.len())
    };
    assert!(path.ends_with(WATCHES_SETTINGS), "{path}");
    let uses: Vec<&str> = text
        .lines()
        .map(str::trim)
        .filter(|line| line.contains("SystemTime"))
        .collect();
    assert_eq!(
        uses,
        [
            "use std::time::SystemTime;",
            "type Stamp = (SystemTime, u64);"
        ],
        "{path}"
    );
}
