//! The fields of the settings file, as the page tells them and as the programs read them.
use assert_matches::assert_matches;
use sandtrack_cli::error::CliError;
use sandtrack_cli::settings::{
    check, value_at, Field, FieldKind, IfAbsent, FIELDS, IGNORED_FIELDS,
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
fn whole() -> OwnedValue {
    json(include_str!("files/settings.json"))
}

/// The settings with a field set, or removed.
fn with(path: &str, value: Option<OwnedValue>) -> OwnedValue {
    let mut whole = whole();
    let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
    let within = if parent.is_empty() {
        &mut whole
    } else {
        whole.get_mut(parent).expect("an object")
    };
    match value {
        Some(value) => within.try_insert(name.to_owned(), value),
        None => within.try_remove(name),
    };
    whole
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
fn every_field_of_the_page_is_read() {
    for Field { path, kind, .. } in FIELDS {
        assert!(
            value_at(&whole(), path).is_some(),
            "`{path}` is in no deployment"
        );
        assert_ne!(
            parsed(&with(path, Some(another(*kind)))),
            parsed(&whole()),
            "`{path}` is not read"
        );
    }
}

#[test]
fn what_a_missing_field_stands_for_is_as_the_page_says() {
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
            value_at(&whole(), path).is_some(),
            "`{path}` is in no deployment"
        );
        assert_eq!(parsed(&with(path, None)), parsed(&whole()), "`{path}`");
    }
    for (name, value) in whole().as_object().expect("an object") {
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
fn a_value_of_another_type_or_out_of_range_is_told() {
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
                Ok((_, notes)) => {
                    let told = notes.iter().any(|note| note.contains(&format!("`{path}`")));
                    assert!(told, "`{path}`: {value}: {notes:?}");
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
    let (_, notes) = check(whole().encode().into_bytes()).expect("good settings");
    assert_eq!(notes, [""; 0]);
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
fn the_page_has_the_table() {
    let page = std::fs::read_to_string(root().join("docs/system/settings.md")).expect("the page");
    let table = table();
    assert!(
        page.contains(&table),
        "docs/system/settings.md should have:\n{table}"
    );
}

#[test]
fn the_examples_can_be_used() {
    let folder = root().join("examples/system");
    let mut names: Vec<String> = Vec::new();
    for file in std::fs::read_dir(&folder).expect("the folder") {
        let path = file.expect("a file").path();
        let name = path
            .file_name()
            .map(|name| name.to_string_lossy().into_owned())
            .unwrap_or_default();
        if name.ends_with(".settings.json") {
            let (settings, notes) = check(std::fs::read(&path).expect("a file")).expect(&name);
            assert_eq!(notes, [""; 0], "{name}");
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
        let path = folder.join(name);
        let words = ["configuration", "check", path.to_str().expect("text")].map(str::to_owned);
        let code = sandtrack_cli::program::run(
            &words,
            None,
            &mut sandtrack_cli::program::System::default(),
        );
        assert_eq!(code, 0, "{name}");
    }
}
