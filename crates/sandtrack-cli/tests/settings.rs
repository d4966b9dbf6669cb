//! The fields of the settings file: the documented table against what the programs read.
use assert_matches::assert_matches;
use sandtrack_cli::error::CliError;
use sandtrack_cli::settings::{
    check, value_at, CheckedSettings, Field, FieldKind, IfAbsent, FIELDS, IGNORED_FIELDS,
};
use sandtrack_protocol::codes;
use sandtrack_protocol::settings::Settings;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn json(text: &str) -> OwnedValue {
    let mut bytes = text.as_bytes().to_vec();
    simd_json::to_owned_value(&mut bytes).expect("JSON")
}

/// Settings with every field of a deployment, as the platform writes them.
fn complete_settings() -> OwnedValue {
    json(include_str!("files/settings.json"))
}

/// The settings with a field set, or removed.
fn with(path: &str, value: Option<OwnedValue>) -> OwnedValue {
    let mut settings = complete_settings();
    let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
    let within = if parent.is_empty() {
        &mut settings
    } else {
        settings.get_mut(parent).expect("an object")
    };
    match value {
        Some(value) => within.try_insert(name.to_owned(), value),
        None => within.try_remove(name),
    };
    settings
}

fn parsed(value: &OwnedValue) -> Settings {
    Settings::parse(value.encode().into_bytes()).expect("settings that can be read")
}

/// Another value of the same kind.
fn another(kind: FieldKind) -> OwnedValue {
    json(match kind {
        FieldKind::Text => "\"another\"",
        FieldKind::Address => "\"10.9.9.9:99\"",
        FieldKind::Flag => "false",
        FieldKind::Number(..) | FieldKind::Positive(_) => "77.0",
        FieldKind::Texts => "[\"10.9.9.9:99\"]",
        FieldKind::TextsByName => "{\"another\":\"10.9.9.9:99\"}",
        FieldKind::Ports => "[77,78]",
    })
}

#[test]
fn every_documented_field_is_read() {
    for Field { path, kind, .. } in FIELDS {
        assert!(
            value_at(&complete_settings(), path).is_some(),
            "`{path}` is in no deployment"
        );
        assert_ne!(
            parsed(&with(path, Some(another(*kind)))),
            parsed(&complete_settings()),
            "`{path}` is not read"
        );
    }
}

#[test]
fn missing_fields_have_the_documented_defaults() {
    for Field {
        path, if_absent, ..
    } in FIELDS
    {
        let missing = with(path, None);
        match if_absent {
            IfAbsent::Error => {
                let error = Settings::parse(missing.encode().into_bytes()).expect_err(path);
                assert_eq!(error.code(), codes::SETTINGS_FIELD);
                assert!(error.to_string().contains(&format!("`{path}`")), "{error}");
            }
            IfAbsent::Default(value) => {
                assert_eq!(
                    parsed(&missing),
                    parsed(&with(path, Some(json(value)))),
                    "`{path}`"
                );
            }
            IfAbsent::Unset => {
                assert_eq!(parsed(&missing).data_directory, None, "`{path}`");
            }
        }
    }
}

#[test]
fn every_other_field_of_a_deployment_is_ignored() {
    for path in IGNORED_FIELDS {
        assert!(
            value_at(&complete_settings(), path).is_some(),
            "`{path}` is in no deployment"
        );
        assert_eq!(
            parsed(&with(path, None)),
            parsed(&complete_settings()),
            "`{path}`"
        );
    }
    for (name, value) in complete_settings().as_object().expect("an object") {
        let read = |path: &str| {
            FIELDS.iter().any(|field| field.path == path) || IGNORED_FIELDS.contains(&path)
        };
        let inside = value
            .as_object()
            .into_iter()
            .flat_map(|object| object.keys());
        let mut inside = inside.map(|inner| format!("{name}.{inner}")).peekable();
        assert!(
            read(name) || inside.peek().is_some() && inside.all(|path| read(&path)),
            "`{name}` is neither in the table nor among those ignored"
        );
    }
}

#[test]
fn values_of_another_type_or_out_of_range_are_reported() {
    for Field {
        path,
        kind,
        if_absent,
        ..
    } in FIELDS
    {
        let mut wrong = vec!["[[]]"];
        match kind {
            FieldKind::Number(_, least) => {
                assert_eq!(*least, 0.0);
                wrong.extend(["-1", "\"1\""]);
            }
            FieldKind::Positive(_) => wrong.extend(["0", "-1", "\"1\""]),
            FieldKind::Address => wrong.extend(["\"a\"", "\"host.example:80\"", "1"]),
            FieldKind::Ports => wrong.extend(["[78,77]", "[77,77]", "[0,9]"]),
            FieldKind::Text => wrong.push("1"),
            FieldKind::Flag => wrong.push("\"true\""),
            FieldKind::Texts => wrong.push("[1]"),
            FieldKind::TextsByName => wrong.push("{\"a\":1}"),
        }
        for value in wrong {
            let settings = with(path, Some(json(value)));
            match check(settings.encode().into_bytes()) {
                Ok(CheckedSettings { warnings, .. }) => {
                    let is_reported = warnings
                        .iter()
                        .any(|warning| warning.contains(&format!("`{path}`")));
                    assert!(is_reported, "`{path}`: {value}: {warnings:?}");
                }
                Err(error) => {
                    assert_eq!(*if_absent, IfAbsent::Error, "`{path}`: {value}: {error}");
                    assert_matches!(
                        error,
                        CliError::Coded {
                            code: codes::SETTINGS_FIELD,
                            ..
                        }
                    );
                }
            }
        }
    }
    let checked = check(complete_settings().encode().into_bytes()).expect("good settings");
    assert_eq!(checked.warnings, [""; 0]);
}

/// The table of the page.
fn table() -> String {
    let mut table =
        "| field | type, unit, range | without it | what it is for |\n| --- | --- | --- | --- |\n"
            .to_owned();
    for Field {
        path,
        kind,
        if_absent,
        meaning,
    } in FIELDS
    {
        let if_absent = match if_absent {
            IfAbsent::Error => "E102".to_owned(),
            IfAbsent::Default(value) => format!("`{value}`"),
            IfAbsent::Unset => "none".to_owned(),
        };
        table.push_str(&format!(
            "| `{path}` | {} | {if_absent} | {meaning} |\n",
            kind.description()
        ));
    }
    let ignored: Vec<String> = IGNORED_FIELDS
        .iter()
        .map(|path| format!("`{path}`"))
        .collect();
    format!("{table}\nNot read: {}.\n", ignored.join(", "))
}

#[test]
fn settings_page_contains_the_field_table() {
    let page = std::fs::read_to_string(root().join("docs/system/settings.md")).expect("the page");
    let table = table();
    assert!(
        page.contains(&table),
        "docs/system/settings.md should have:\n{table}"
    );
}

#[test]
fn example_files_are_valid() {
    let directory = root().join("examples/system");
    let mut names: Vec<String> = Vec::new();
    for file in std::fs::read_dir(&directory).expect("the directory") {
        let path = file.expect("a file").path();
        let name = path
            .file_name()
            .map(|name| name.to_string_lossy().into_owned())
            .unwrap_or_default();
        if name.ends_with(".settings.json") {
            let content = std::fs::read(&path).expect("a file");
            let CheckedSettings { settings, warnings } = check(content).expect(&name);
            assert_eq!(warnings, [""; 0], "{name}");
            assert_eq!(format!("{}.settings.json", settings.node_name), name);
            let addresses = settings.listen.values().chain(&settings.seed_nodes);
            for address in addresses.chain([&settings.cloud_api.address, &settings.ip_address]) {
                assert!(
                    address.starts_with("127."),
                    "{name}: {address} is no loopback"
                );
            }
            names.push(name);
        }
    }
    assert!(!names.is_empty());
    for name in ["configuration.json", "change.json"] {
        let path = directory.join(name);
        let words = ["configuration", "check", path.to_str().expect("text")].map(str::to_owned);
        let code = sandtrack_cli::program::run(
            &words,
            None,
            &mut sandtrack_cli::environment::SystemEnvironment::default(),
        );
        assert_eq!(code, 0, "{name}");
    }
}
