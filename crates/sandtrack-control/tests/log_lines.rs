//! The lines of the log keep their keys and the order of these: programs that gather logs read them.
use std::process::Command;

/// What stands before the time and after it in a line of a control node that finds no settings.
const BEGIN: &str = r#"{"at":"#;
const END: &str = r#","level":"ERROR","node":"","part":"sandtrack_control::program","event":""#;

#[test]
fn a_line_keeps_its_keys_and_their_order() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack-control"));
    command
        .arg("check")
        .env("SANDTRACK_BOOT", "/nonexistent/settings.json");
    let output = command.output().expect("an end");
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    let line = said
        .lines()
        .find(|line| line.starts_with(BEGIN))
        .expect("a line of the log");
    let rest = line[BEGIN.len()..]
        .trim_start_matches(|letter: char| letter.is_ascii_digit() || letter == '.');
    assert!(rest.starts_with(END) && rest.ends_with("\"}"), "{line}");
}
