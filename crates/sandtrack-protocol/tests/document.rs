//! Documents of the operator's configuration: what changes lead from one to the next.
use sandtrack_protocol::document::{Document, Update};

fn document(text: &str) -> Document {
    Document::parse(text.as_bytes()).expect("it is a configuration")
}

/// The changes between two documents, applied to the first, give the second.
fn leads(from: &str, to: &str) {
    let (from, to) = (document(from), document(to));
    let (items, fields) = from.changes(&to);
    let applied = from
        .apply(to.version, &items, &fields)
        .expect("changes are JSON");
    assert_eq!(applied.version, to.version);
    for list in ["routes", "services", "tenants"] {
        assert_eq!(
            applied.list(list).unwrap_or_default(),
            to.list(list).unwrap_or_default(),
            "{list}"
        );
    }
    for field in ["limits", "note"] {
        assert_eq!(applied.field(field), to.field(field), "{field}");
    }
}

#[test]
fn changes_lead_from_one_document_to_the_next() {
    let first = r#"{"version_number":1,"routes":[{"name":"a","x":1},{"name":"b"}],"services":[{"name":"s"}],"limits":{"l":1}}"#;
    for next in [
        r#"{"version_number":3,"routes":[{"name":"a","x":2},{"name":"b"}],"services":[{"name":"s"}],"limits":{"l":1}}"#,
        r#"{"version_number":3,"routes":[{"name":"b"}],"services":[{"name":"s"}],"limits":{"l":2}}"#,
        r#"{"version_number":3,"routes":[],"services":[],"tenants":[{"name":"t"}],"note":[1,2]}"#,
    ] {
        leads(first, next);
        leads(next, first);
    }
}

#[test]
fn a_field_that_a_replacement_leaves_out_is_gone_for_those_that_get_changes_too() {
    let with = document(r#"{"version_number":1,"routes":[],"services":[],"limits":{"l":1}}"#);
    let without = document(r#"{"version_number":2,"routes":[],"services":[]}"#);
    let (items, fields) = with.changes(&without);
    let applied = with.apply(2, &items, &fields).expect("changes are JSON");
    assert_eq!(applied.field("limits"), None);
}

#[test]
fn a_name_is_a_list_or_a_field_and_never_both() {
    let empty = document(r#"{"version_number":1,"routes":[],"services":[],"tags":[]}"#);
    let update = Update::parse(br#"{"version_number":2,"tags":["x"]}"#).expect("it is an update");
    let text = empty.updated(&update).to_json();
    assert_eq!(text.matches("\"tags\"").count(), 1, "{text}");
    let update = Update::parse(br#"{"version_number":3,"set_items":{"tags":[{"name":"y"}]}}"#);
    let next = document(&text)
        .updated(&update.expect("it is an update"))
        .to_json();
    assert_eq!(next.matches("\"tags\"").count(), 1, "{next}");
}

/// Keys are needed wherever there is a list of tenants: whoever gets changes has to know of an empty one.
#[test]
fn a_list_that_comes_or_goes_empty_reaches_those_that_get_changes() {
    let none = r#"{"version_number":1,"routes":[],"services":[]}"#;
    let empty = r#"{"version_number":2,"routes":[],"services":[],"tenants":[]}"#;
    let one = r#"{"version_number":3,"routes":[],"services":[],"tenants":[{"name":"t"}]}"#;
    let text = r#"{"version_number":4,"routes":[],"services":[],"tenants":"x"}"#;
    for from in [none, empty, one, text] {
        for to in [none, empty, one, text] {
            let (from, to) = (document(from), document(to));
            let (items, fields) = from.changes(&to);
            let applied = from
                .apply(to.version, &items, &fields)
                .expect("changes are JSON");
            assert_eq!(applied.list("tenants"), to.list("tenants"));
            assert_eq!(applied.field("tenants"), to.field("tenants"));
        }
    }
}
