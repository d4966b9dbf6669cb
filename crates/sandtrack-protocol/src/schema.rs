//! What this program reads of the operator's configuration. A document is stored and passed on whole, so that a later program
//! finds all of it; what is in it beyond the fields listed here has no effect, and is reported by [`unread_fields`].
use crate::document::Document;
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeSet;

/// An object of the configuration, and the fields of it that are known.
struct ObjectSchema {
    /// Where it is: a list of items, a field, or an object within an item (`services.engine`).
    place: &'static str,
    /// Fields that are read.
    read: &'static [&'static str],
    /// Fields that need not be read: nothing that the programs do depends on them.
    descriptive: &'static [&'static str],
}

const OBJECTS: &[ObjectSchema] = &[
    ObjectSchema {
        place: "routes",
        read: &[
            "name",
            "host",
            "path_prefix",
            "kind",
            "timeout_ms",
            "target_latency_ms",
            "priority",
            "service",
            "weighted_split",
            "attempts",
            "public",
            "sticky_sessions",
            "resumable",
            "gap_aim_ms",
            "home_regions",
        ],
        descriptive: &[],
    },
    ObjectSchema {
        place: "tenants",
        read: &["name", "api_keys", "priority", "home_regions"],
        descriptive: &[],
    },
    ObjectSchema {
        place: "services",
        read: &[
            "name",
            "health_path",
            "connection_limit",
            "cold_start_s",
            "cold_rate_s",
            "engine",
        ],
        descriptive: &[],
    },
    ObjectSchema {
        place: "services.engine",
        read: &["slots", "cache_capacity_tokens", "stride"],
        descriptive: &["cache_token_bytes", "link_speed_mbps", "models"],
    },
    ObjectSchema {
        place: "limits",
        read: &[
            "header_size_bytes",
            "body_size_bytes",
            "header_timeout_ms",
            "idle_timeout_ms",
        ],
        descriptive: &[],
    },
];

/// Fields of which a single value is supported: the one given here, as JSON. Any other value counts as unread.
const SUPPORTED_VALUES: &[(&str, &str)] = &[
    ("services.protocol", "\"h1\""),
    ("services.transport_security", "false"),
];

/// The lists and fields of a document that have no effect, as paths without the names of items: `tenants`, `routes.public`.
#[must_use]
pub fn unread_fields(document: &Document) -> BTreeSet<String> {
    let mut unread = BTreeSet::new();
    for (list, items) in &document.lists {
        for item in items {
            collect_unread(list, &item.value, &mut unread);
        }
    }
    for (field, value) in &document.fields {
        collect_unread(field, value, &mut unread);
    }
    unread
}

fn collect_unread(place: &str, value: &OwnedValue, unread: &mut BTreeSet<String>) {
    let Some(schema) = OBJECTS.iter().find(|schema| schema.place == place) else {
        unread.insert(place.to_owned());
        return;
    };
    let fields = value
        .as_object()
        .into_iter()
        .flat_map(|object| object.iter());
    for (field, value) in fields {
        if schema.descriptive.contains(&field.as_str()) {
            continue;
        }
        let is_read = schema.read.contains(&field.as_str());
        if is_read && value.as_object().is_none() {
            continue;
        }
        let path = format!("{place}.{field}");
        if is_read {
            collect_unread(&path, value, unread);
        } else if !is_supported_value(&path, value) {
            unread.insert(path);
        }
    }
}

fn is_supported_value(path: &str, value: &OwnedValue) -> bool {
    let supported = SUPPORTED_VALUES.iter().find(|(known, _)| *known == path);
    supported.is_some_and(|(_, json)| value.encode() == *json)
}

/// The end of a log line about a configuration with these unread fields; empty where there are none.
#[must_use]
pub fn no_effect_text(unread: &BTreeSet<String>) -> String {
    if unread.is_empty() {
        return String::new();
    }
    let paths: Vec<&str> = unread.iter().map(String::as_str).collect();
    format!("; without effect: {}", paths.join(", "))
}
