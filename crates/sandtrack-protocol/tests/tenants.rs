//! Tenants and their keys in a document.
use sandtrack_protocol::codes;
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::Document;
use sandtrack_protocol::tenants::check_tenants;

fn document(tenants: &str) -> Document {
    let text = format!(r#"{{"version_number":1,"routes":[],"services":[],"tenants":{tenants}}}"#);
    Document::parse(text.as_bytes()).expect("a document")
}

/// The tenant that has the key, where the configuration has tenants.
fn holder(tenants: &str, key: &str) -> Option<String> {
    let configuration = Configuration::read(&document(tenants)).expect("a configuration");
    let tenants = configuration.tenants.expect("it has tenants");
    tenants.holder(key).map(|tenant| tenant.name.clone())
}

#[test]
fn each_key_names_its_tenant_and_no_other_text_does() {
    let tenants =
        r#"[{"name":"a","api_keys":["k1","k2"]},{"name":"b","api_keys":["k3"]},{"name":"c"}]"#;
    for (key, tenant) in [("k1", "a"), ("k2", "a"), ("k3", "b")] {
        assert_eq!(holder(tenants, key).as_deref(), Some(tenant));
    }
    for key in ["", "k", "K1", "k1 ", "a", "k1,k2"] {
        assert_eq!(holder(tenants, key), None, "{key:?}");
    }
    assert_eq!(check_tenants(&document(tenants)), Ok(()));
}

#[test]
fn a_key_in_the_text_of_a_configuration_is_in_none_of_its_debug_output() {
    let tenants = r#"[{"name":"a","api_keys":["secret-key"]}]"#;
    let configuration = Configuration::read(&document(tenants)).expect("a configuration");
    assert!(!format!("{configuration:?}").contains("secret"));
}

/// No new configuration may have such tenants; where an earlier program has accepted one, nobody is let in by them.
#[test]
fn invalid_tenants_are_refused_and_let_nobody_in() {
    let cases = [
        (
            r#"[{"name":"a","api_keys":["k"]},{"name":"b","api_keys":["k"]}]"#,
            codes::SHARED_KEY,
        ),
        (
            r#"[{"name":"a","api_keys":"k"}]"#,
            codes::CONFIGURATION_FIELD,
        ),
        (
            r#"[{"name":"a","api_keys":[["k"]]}]"#,
            codes::CONFIGURATION_FIELD,
        ),
        (
            r#"[{"name":"a\r\nX: 1","api_keys":["k"]}]"#,
            codes::CONFIGURATION_FIELD,
        ),
        (r#"{"a":["k"]}"#, codes::CONFIGURATION_FIELD),
        (r#"["k"]"#, codes::CONFIGURATION_FIELD),
    ];
    for (tenants, code) in cases {
        let invalid = check_tenants(&document(tenants)).expect_err(tenants);
        assert_eq!(invalid.code, code, "{tenants}");
        assert!(!invalid.place.contains("`k`"), "{invalid}");
        assert_eq!(holder(tenants, "k"), None, "{tenants}");
    }
}

#[test]
fn a_key_twice_in_one_tenant_is_its_key() {
    let tenants = r#"[{"name":"a","api_keys":["k","k"]}]"#;
    assert_eq!(check_tenants(&document(tenants)), Ok(()));
    assert_eq!(holder(tenants, "k").as_deref(), Some("a"));
}
