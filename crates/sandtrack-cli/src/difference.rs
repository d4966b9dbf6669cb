//! How one configuration differs from another, item by item. Pure.
use sandtrack_protocol::document::Document;
use sandtrack_protocol::logs::escape;
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// One difference: at a place, from one JSON text to another; `None` where it is not there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// As errors name it: ``routes `r-1`.timeout_ms``.
    pub place: String,
    pub from: Option<String>,
    pub to: Option<String>,
}

impl Difference {
    pub fn to_json(&self) -> String {
        let side = |side: &Option<String>| side.clone().unwrap_or_else(|| "null".to_owned());
        format!(
            "{{\"place\":\"{}\",\"from\":{},\"to\":{}}}",
            escape(&self.place),
            side(&self.from),
            side(&self.to)
        )
    }
}

impl std::fmt::Display for Difference {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match (&self.from, &self.to) {
            (None, Some(to)) => write!(out, "+ {} {to}", self.place),
            (Some(_), None) => write!(out, "- {}", self.place),
            (from, to) => {
                let side = |side: &Option<String>| side.clone().unwrap_or_default();
                write!(out, "~ {}: {} -> {}", self.place, side(from), side(to))
            }
        }
    }
}

/// What leads from one configuration to another, in the order of the new one; what is removed comes last.
pub fn differences(from: &Document, to: &Document) -> Vec<Difference> {
    let mut all = Vec::new();
    for (list, items) in &to.lists {
        let known = from.list(list).unwrap_or_default();
        for item in items {
            let place = format!("{list} `{}`", item.name);
            match known.iter().find(|known| known.name == item.name) {
                None => all.push(added(place, &item.value)),
                Some(known) => inside(&place, &known.value, &item.value, &mut all),
            }
        }
    }
    for (name, value) in &to.fields {
        match from.field(name) {
            None => all.push(added(name.clone(), value)),
            Some(known) => inside(name, known, value, &mut all),
        }
    }
    for (list, items) in &from.lists {
        let kept = to.list(list).unwrap_or_default();
        for item in items
            .iter()
            .filter(|item| !kept.iter().any(|kept| kept.name == item.name))
        {
            all.push(removed(format!("{list} `{}`", item.name), &item.value));
        }
    }
    for (name, value) in from
        .fields
        .iter()
        .filter(|(name, _)| to.field(name).is_none())
    {
        all.push(removed(name.clone(), value));
    }
    all
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

/// Objects field by field; anything else as a whole.
fn inside(place: &str, from: &OwnedValue, to: &OwnedValue, all: &mut Vec<Difference>) {
    if from == to {
        return;
    }
    let (Some(old), Some(new)) = (from.as_object(), to.as_object()) else {
        let (from, to) = (Some(from.encode()), Some(to.encode()));
        return all.push(Difference {
            place: place.to_owned(),
            from,
            to,
        });
    };
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let place = format!("{place}.{name}");
        match (old.get(name), new.get(name)) {
            (Some(from), Some(to)) => inside(&place, from, to, all),
            (None, Some(to)) => all.push(added(place, to)),
            (Some(from), None) => all.push(removed(place, from)),
            (None, None) => {}
        }
    }
}
