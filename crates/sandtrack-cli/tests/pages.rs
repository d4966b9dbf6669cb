//! The operators' pages against the code: their commands parse, and their log events stand in the sources.
use sandtrack_cli::cli::parser;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).expect(path)
}

/// Texts in backticks.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

fn parses(words: &[&str]) -> bool {
    parser().run_inner(words).is_ok()
}

#[test]
fn documented_commands_parse() {
    let mut commands = Vec::new();
    for path in ["docs/system/operations.md", "examples/system/README.md"] {
        let page = page(path);
        for line in page.lines().filter(|line| line.starts_with("    ")) {
            let line = line.split('#').next().unwrap_or_default().trim();
            let line = line.strip_prefix("target/release/").unwrap_or(line);
            commands.extend(line.strip_prefix("sandtrackctl ").map(str::to_owned));
        }
        commands.extend(
            quoted(&page)
                .filter_map(|text| text.strip_prefix("sandtrackctl "))
                .map(str::to_owned),
        );
    }
    commands.sort_unstable();
    commands.dedup();
    assert!(commands.len() > 15, "{commands:?}");
    for command in commands {
        let words: Vec<&str> = command
            .split(';')
            .next()
            .unwrap_or_default()
            .split_whitespace()
            .collect();
        assert!(parses(&words), "sandtrackctl {command}");
    }
    assert!(!parses(&["configuration", "write", "FILE"]));
}

/// The constant parts of a documented event: all but placeholders (single capitals) and result codes.
fn fragments(event: &str) -> Vec<String> {
    let mut fragments = vec![String::new()];
    for word in event.split_inclusive([' ', ':']) {
        let bare = word.trim_end_matches([' ', ':']);
        let is_placeholder =
            bare.len() == 1 && bare.chars().all(|character| character.is_ascii_uppercase());
        let is_code = bare
            .strip_prefix('E')
            .is_some_and(|code| code.len() == 3 && code.parse::<u16>().is_ok());
        if is_placeholder || is_code {
            fragments.push(word[bare.len()..].to_owned());
        } else if let Some(last) = fragments.last_mut() {
            last.push_str(word);
        }
    }
    fragments.retain(|fragment| fragment.trim().len() > 1);
    fragments
}

/// The text of all files below a directory.
fn read_all(directory: &Path) -> String {
    let mut text = String::new();
    for entry in std::fs::read_dir(directory).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            text.push_str(&read_all(&path));
        } else {
            text.push_str(&std::fs::read_to_string(&path).expect("a source"));
        }
    }
    text
}

#[test]
fn documented_log_events_are_in_the_sources() {
    let sources = |package: &str| read_all(&root().join(format!("crates/sandtrack-{package}/src")));
    let sources = ["control", "proxy", "invariants", "protocol"]
        .map(sources)
        .concat();
    let page = page("docs/system/operations.md");
    let rows = page
        .lines()
        .skip_while(|line| !line.starts_with("| event |"))
        .skip(2);
    let mut events = 0;
    for row in rows.take_while(|line| line.starts_with('|')) {
        for event in quoted(row.split('|').nth(1).unwrap_or_default()) {
            events += 1;
            let fragments = fragments(event);
            assert!(!fragments.is_empty(), "{event}");
            for fragment in fragments {
                assert!(
                    sources.contains(&fragment),
                    "`{event}`: `{fragment}` is logged nowhere"
                );
            }
        }
    }
    assert!(events > 15, "{events} events");
    assert_eq!(fragments("view N: chain A B C"), ["view ", ": chain "]);
    assert_eq!(fragments("E502: it starts anew"), [": it starts anew"]);
}
