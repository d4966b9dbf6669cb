//! What `sandtrackctl status` and `follow` tell of a status.
use sandtrack_cli::status::Status;

fn status(fault: &str) -> Status {
    let body = format!(
        r#"{{"node":"n","address":"a","attached":true,"caught_up":true,"version_number":7,"view":{{}},"configuration_fault":"{fault}"}}"#
    );
    Status::parse(body.as_bytes()).expect("a status")
}

/// An invalid configuration in force, which an earlier program has accepted, was told nowhere.
#[test]
fn an_invalid_configuration_in_force_is_told() {
    let invalid = status("E209 tenants `b`: two items share a key");
    let line = "invalid     E209 tenants `b`: two items share a key".to_owned();
    assert!(invalid.lines().contains(&line), "{:?}", invalid.lines());
    assert!(invalid.facts().contains_key("invalid"));
    let valid = status("");
    assert!(!valid.lines().iter().any(|line| line.starts_with("invalid")));
    assert!(!valid.facts().contains_key("invalid"));
}
