//! The differences between two configurations, item by item.
use crate::json::quote;
use sandtrack_protocol::document::Document;
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// One difference. Both sides are JSON text; `None` where the place does not exist on that side.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// The path of the value, in the form that errors use: ``routes `r-1`.timeout_ms``.
    pub place: String,
    /// The old value.
    pub from: Option<String>,
    /// The new value.
    pub to: Option<String>,
}

impl Difference {
    /// The difference as a JSON object.
    pub fn to_json(&self) -> String {
        format!(
            "{{\"place\":{},\"from\":{},\"to\":{}}}",
            quote(&self.place),
            self.from.as_deref().unwrap_or("null"),
            self.to.as_deref().unwrap_or("null")
        )
    }

    fn added(place: String, value: &OwnedValue) -> Difference {
        Difference {
            place,
            from: None,
            to: Some(value.encode()),
        }
    }

    fn removed(place: String, value: &OwnedValue) -> Difference {
        Difference {
            place,
            from: Some(value.encode()),
            to: None,
        }
    }

    fn replaced(place: String, from: &OwnedValue, to: &OwnedValue) -> Difference {
        Difference {
            place,
            from: Some(from.encode()),
            to: Some(to.encode()),
        }
    }
}

impl std::fmt::Display for Difference {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (&self.from, &self.to) {
            (None, Some(to)) => write!(out, "+ {} {to}", self.place),
            (Some(_), None) => write!(out, "- {}", self.place),
            (from, to) => {
                let from = from.as_deref().unwrap_or_default();
                let to = to.as_deref().unwrap_or_default();
                write!(out, "~ {}: {from} -> {to}", self.place)
            }
        }
    }
}

/// The differences that lead from one configuration to another, in the order of the new one; removals come last.
pub fn differences(from: &Document, to: &Document) -> Vec<Difference> {
    let mut differences = Vec::new();
    compare_items(from, to, &mut differences);
    compare_fields(from, to, &mut differences);
    collect_removed_items(from, to, &mut differences);
    collect_removed_fields(from, to, &mut differences);
    differences
}

/// Adds new and changed items.
fn compare_items(from: &Document, to: &Document, differences: &mut Vec<Difference>) {
    for (list, items) in &to.lists {
        let old_items = from.list(list).unwrap_or_default();
        for item in items {
            let place = format!("{list} `{}`", item.name);
            match old_items.iter().find(|old| old.name == item.name) {
                None => differences.push(Difference::added(place, &item.value)),
                Some(old) => compare_values(&place, &old.value, &item.value, differences),
            }
        }
    }
}

/// Adds new and changed fields of the top level.
fn compare_fields(from: &Document, to: &Document, differences: &mut Vec<Difference>) {
    for (name, value) in &to.fields {
        match from.field(name) {
            None => differences.push(Difference::added(name.clone(), value)),
            Some(old) => compare_values(name, old, value, differences),
        }
    }
}

fn collect_removed_items(from: &Document, to: &Document, differences: &mut Vec<Difference>) {
    for (list, items) in &from.lists {
        let new_items = to.list(list).unwrap_or_default();
        for item in items {
            if !new_items.iter().any(|new| new.name == item.name) {
                let place = format!("{list} `{}`", item.name);
                differences.push(Difference::removed(place, &item.value));
            }
        }
    }
}

fn collect_removed_fields(from: &Document, to: &Document, differences: &mut Vec<Difference>) {
    for (name, value) in &from.fields {
        if to.field(name).is_none() {
            differences.push(Difference::removed(name.clone(), value));
        }
    }
}

/// Compares objects field by field, and any other values as a whole.
fn compare_values(
    place: &str,
    from: &OwnedValue,
    to: &OwnedValue,
    differences: &mut Vec<Difference>,
) {
    if from == to {
        return;
    }
    let (Some(old), Some(new)) = (from.as_object(), to.as_object()) else {
        differences.push(Difference::replaced(place.to_owned(), from, to));
        return;
    };
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let place = format!("{place}.{name}");
        match (old.get(name), new.get(name)) {
            (Some(from), Some(to)) => compare_values(&place, from, to, differences),
            (None, Some(to)) => differences.push(Difference::added(place, to)),
            (Some(from), None) => differences.push(Difference::removed(place, from)),
            (None, None) => {}
        }
    }
}
