//! The lines of logs.
use sandtrack_protocol::logs;

#[test]
fn an_escaped_message_is_one_line_of_json() {
    let text = "a \"quote\", a \\ and\na line\u{1}";
    let line = format!("{{\"event\":\"{}\"}}", logs::escape(text));
    assert!(!line.contains('\n'));
    let value = simd_json::to_owned_value(&mut line.into_bytes()).expect("JSON");
    assert_eq!(value["event"], text);
}
