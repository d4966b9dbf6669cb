//! What of a configuration has no effect.
use sandtrack_protocol::document::Document;
use sandtrack_protocol::schema::{no_effect_text, unread_fields};

fn unread(text: &str) -> String {
    let document = Document::parse(text.as_bytes()).expect("a document");
    no_effect_text(&unread_fields(&document))
}

#[test]
fn a_configuration_that_is_read_whole_has_no_unread_fields() {
    let text = r#"{"version_number":1,"routes":[{"name":"r","host":"h"}],
        "services":[{"name":"s","protocol":"h1","transport_security":false,"engine":{"slots":4,"models":[{"name":"m"}]}}],
        "limits":{"idle_timeout_ms":1}}"#;
    assert_eq!(unread(text), "");
}

#[test]
fn unknown_lists_fields_and_values_are_named_without_the_names_of_items() {
    let text = r#"{"version_number":1,"routes":[{"name":"r","mirror":"x"},{"name":"q","mirror":"y"}],
        "services":[{"name":"s","protocol":"h2","transport_security":true,"engine":{"slots":4,"warm":1}}],
        "caches":[{"name":"c"}],"note":"x","limits":{"streams":1}}"#;
    assert_eq!(
        unread(text),
        "; without effect: caches, limits.streams, note, routes.mirror, services.engine.warm, services.protocol, \
         services.transport_security"
    );
}
