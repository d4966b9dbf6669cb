//! The table of codes, and the lines of logs.
use sandtrack_postmark::{codes, logs};
use std::collections::HashSet;

#[test]
fn each_code_is_there_once_and_in_order() {
    let numbers: Vec<u16> = codes::TABLE.iter().map(|(code, _, _)| code.0).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
    let names: HashSet<&str> = codes::TABLE.iter().map(|(_, name, _)| *name).collect();
    assert_eq!(names.len(), numbers.len());
    assert!(codes::TABLE.iter().all(|(_, _, text)| !text.is_empty()));
}

#[test]
fn what_is_logged_stays_one_line_of_json() {
    let text = "a \"quote\", a \\ and\na line\u{1}";
    let line = format!("{{\"event\":\"{}\"}}", logs::escape(text));
    assert!(!line.contains('\n'));
    let value = simd_json::to_owned_value(&mut line.into_bytes()).expect("JSON");
    assert_eq!(value["event"], text);
}
