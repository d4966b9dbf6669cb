//! The operator's configuration as a document of named items, kept as they were sent: lists of items by name, and other
//! fields. Replacing, updating and reading it back work on this; what it means is in `configuration`.
use crate::codes::{self, Code};
use crate::frames::ItemChange;
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// JSON of a list without items.
const EMPTY_LIST: &str = "[]";

/// Why a configuration is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} {place}: {what}")]
pub struct ConfigurationError {
    /// Result code.
    pub code: Code,
    /// For people: the list, the item and the field.
    pub place: String,
    /// For people: what is wrong there.
    pub what: String,
}

impl ConfigurationError {
    /// An error whose message is the code's meaning.
    pub fn new(code: Code, place: impl Into<String>) -> ConfigurationError {
        ConfigurationError {
            code,
            place: place.into(),
            what: code.meaning().to_owned(),
        }
    }
}

/// One named item of a list.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Its name, unique in the list.
    pub name: String,
    /// The JSON object, with its name.
    pub value: OwnedValue,
}

/// A complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Its version; 0 for the empty document before the first configuration.
    pub version: u64,
    /// Lists of named items in the order in which they were sent.
    pub lists: Vec<(String, Vec<Item>)>,
    /// All other fields but the version.
    pub fields: Vec<(String, OwnedValue)>,
}

/// A change of named items.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Version of the updated document.
    pub version: u64,
    /// Items to add or replace, by list.
    pub set: Vec<(String, Vec<Item>)>,
    /// Names of items to remove, by list.
    pub remove: Vec<(String, Vec<String>)>,
    /// Fields to set.
    pub fields: Vec<(String, OwnedValue)>,
}

fn parse(text: &[u8]) -> Result<OwnedValue, ConfigurationError> {
    let mut bytes = text.to_vec();
    simd_json::to_owned_value(&mut bytes).map_err(|error| ConfigurationError {
        code: codes::CONFIGURATION_UNREADABLE,
        place: "document".to_owned(),
        what: error.to_string(),
    })
}

fn version(value: &OwnedValue) -> Result<u64, ConfigurationError> {
    let bad = || ConfigurationError::new(codes::CONFIGURATION_FIELD, "version_number");
    value
        .get_u64("version_number")
        .filter(|version| *version > 0)
        .ok_or_else(bad)
}

fn items(list: &str, value: &OwnedValue) -> Result<Vec<Item>, ConfigurationError> {
    let array = value
        .as_array()
        .ok_or_else(|| ConfigurationError::new(codes::CONFIGURATION_FIELD, list))?;
    let mut items: Vec<Item> = Vec::with_capacity(array.len());
    let mut names = std::collections::HashSet::new();
    for (at, value) in array.iter().enumerate() {
        let name = value.get_str("name").filter(|name| !name.is_empty());
        let name =
            name.ok_or_else(|| ConfigurationError::new(codes::SAME_NAME, format!("{list}[{at}]")))?;
        if !names.insert(name.to_owned()) {
            return Err(ConfigurationError::new(
                codes::SAME_NAME,
                format!("{list} `{name}`"),
            ));
        }
        items.push(Item {
            name: name.to_owned(),
            value: value.clone(),
        });
    }
    Ok(items)
}

impl Document {
    /// Reads a whole configuration.
    ///
    /// # Errors
    /// Where it can't be read whole, or items have no names of their own.
    pub fn parse(text: &[u8]) -> Result<Document, ConfigurationError> {
        let value = parse(text)?;
        let object = value.as_object();
        let object = object
            .ok_or_else(|| ConfigurationError::new(codes::CONFIGURATION_UNREADABLE, "document"))?;
        let mut document = Document {
            version: version(&value)?,
            ..Document::default()
        };
        for (key, value) in object.iter().filter(|(key, _)| *key != "version_number") {
            // A list whose items are objects is one of named items.
            if value
                .as_array()
                .is_some_and(|array| array.iter().all(|item| item.as_object().is_some()))
            {
                document.lists.push((key.clone(), items(key, value)?));
            } else {
                document.fields.push((key.clone(), value.clone()));
            }
        }
        for required in ["routes", "services"] {
            if document.list(required).is_none() {
                return Err(ConfigurationError::new(
                    codes::CONFIGURATION_UNREADABLE,
                    required,
                ));
            }
        }
        Ok(document)
    }

    /// The items of a list.
    pub fn list(&self, name: &str) -> Option<&[Item]> {
        self.lists
            .iter()
            .find(|(list, _)| list == name)
            .map(|(_, items)| items.as_slice())
    }

    /// The value of a field that is no list of items.
    pub fn field(&self, name: &str) -> Option<&OwnedValue> {
        self.fields
            .iter()
            .find(|(field, _)| field == name)
            .map(|(_, value)| value)
    }

    /// The document as JSON text.
    pub fn to_json(&self) -> String {
        let mut text = format!("{{\"version_number\":{}", self.version);
        for (name, items) in &self.lists {
            text.push_str(&format!(",{}:[", OwnedValue::from(name.as_str()).encode()));
            for (at, item) in items.iter().enumerate() {
                text.push_str(if at > 0 { "," } else { "" });
                text.push_str(&item.value.encode());
            }
            text.push(']');
        }
        for (name, value) in &self.fields {
            text.push_str(&format!(
                ",{}:{}",
                OwnedValue::from(name.as_str()).encode(),
                value.encode()
            ));
        }
        text.push('}');
        text
    }

    /// The document with the update applied. Items named for removal that are not there are no error.
    #[must_use]
    pub fn updated(&self, update: &Update) -> Document {
        let mut next = self.clone();
        next.version = update.version;
        for (list, names) in &update.remove {
            if let Some((_, items)) = next.lists.iter_mut().find(|(name, _)| name == list) {
                items.retain(|item| !names.contains(&item.name));
            }
        }
        for (list, items) in &update.set {
            for item in items {
                next.set(list, item.clone());
            }
        }
        for (name, value) in &update.fields {
            next.set_field(name, value.clone());
        }
        next
    }

    fn set(&mut self, list: &str, item: Item) {
        self.fields.retain(|(field, _)| field != list);
        let at = self.lists.iter().position(|(name, _)| name == list);
        if at.is_none() {
            self.lists.push((list.to_owned(), Vec::new()));
        }
        let at = at.unwrap_or(self.lists.len() - 1);
        let items = &mut self.lists[at].1;
        match items.iter_mut().find(|known| known.name == item.name) {
            Some(known) => *known = item,
            None => items.push(item),
        }
    }

    fn set_empty_list(&mut self, name: &str) {
        self.fields.retain(|(field, _)| field != name);
        match self.lists.iter_mut().find(|(list, _)| list == name) {
            Some((_, items)) => items.clear(),
            None => self.lists.push((name.to_owned(), Vec::new())),
        }
    }

    fn set_field(&mut self, name: &str, value: OwnedValue) {
        self.lists.retain(|(list, _)| list != name);
        match self.fields.iter_mut().find(|(field, _)| field == name) {
            Some((_, known)) => *known = value,
            None => self.fields.push((name.to_owned(), value)),
        }
    }

    /// The items and fields that lead from `self` to `next`; a list or field that is no longer there has an empty text.
    pub fn changes(&self, next: &Document) -> (Vec<ItemChange>, Vec<(String, String)>) {
        let mut changes = Vec::new();
        for (list, items) in &next.lists {
            let known: std::collections::HashMap<&str, &OwnedValue> = self
                .list(list)
                .unwrap_or_default()
                .iter()
                .map(|item| (item.name.as_str(), &item.value))
                .collect();
            // What stays keeps its order, and what is new comes last; from where that is another order than the wanted
            // one, items are taken out and put in again.
            let wanted: std::collections::HashSet<&str> =
                items.iter().map(|item| item.name.as_str()).collect();
            let stays = self
                .list(list)
                .unwrap_or_default()
                .iter()
                .map(|item| item.name.as_str());
            let comes = items
                .iter()
                .map(|item| item.name.as_str())
                .filter(|name| !known.contains_key(name));
            let order = stays.filter(|name| wanted.contains(name)).chain(comes);
            let same = items
                .iter()
                .zip(order)
                .take_while(|(item, name)| item.name == *name)
                .count();
            for (at, item) in items.iter().enumerate() {
                let before = known.get(item.name.as_str());
                let mut push = |json| {
                    changes.push(ItemChange {
                        list: list.clone(),
                        name: item.name.clone(),
                        json,
                    });
                };
                if at >= same && before.is_some() {
                    push(None);
                }
                if at >= same || before != Some(&&item.value) {
                    push(Some(item.value.encode()));
                }
            }
        }
        for (list, items) in &self.lists {
            let kept: std::collections::HashSet<&str> = next
                .list(list)
                .unwrap_or_default()
                .iter()
                .map(|item| item.name.as_str())
                .collect();
            for item in items
                .iter()
                .filter(|item| !kept.contains(item.name.as_str()))
            {
                changes.push(ItemChange {
                    list: list.clone(),
                    name: item.name.clone(),
                    json: None,
                });
            }
        }
        (changes, self.field_changes(next))
    }

    /// The fields that lead from `self` to `next`. A new list without items is among them, as no item tells of it.
    fn field_changes(&self, next: &Document) -> Vec<(String, String)> {
        let changed = |(name, value): &&(String, OwnedValue)| self.field(name) != Some(value);
        let fields = next.fields.iter().filter(changed);
        let fields = fields.map(|(name, value)| (name.clone(), value.encode()));
        let is_new =
            |(name, items): &&(String, Vec<Item>)| items.is_empty() && self.list(name).is_none();
        let empty = next.lists.iter().filter(is_new);
        let empty = empty.map(|(name, _)| (name.clone(), EMPTY_LIST.to_owned()));
        let names = self.names();
        let gone = names.filter(|name| next.names().all(|kept| kept != *name));
        let gone = gone.map(|name| (name.to_owned(), String::new()));
        fields.chain(empty).chain(gone).collect()
    }

    /// Names of all lists and fields.
    fn names(&self) -> impl Iterator<Item = &str> {
        let lists = self.lists.iter().map(|(name, _)| name.as_str());
        let fields = self.fields.iter().map(|(name, _)| name.as_str());
        lists.chain(fields)
    }

    /// Applies what [`Document::changes`] gave.
    ///
    /// # Errors
    /// Where an item's text is no JSON: the document is then as it was.
    pub fn apply(
        &self,
        version: u64,
        items: &[ItemChange],
        fields: &[(String, String)],
    ) -> Result<Document, ConfigurationError> {
        let mut next = self.clone();
        next.version = version;
        for change in items {
            match &change.json {
                Some(json) => {
                    let item = Item {
                        name: change.name.clone(),
                        value: parse(json.as_bytes())?,
                    };
                    next.set(&change.list, item);
                }
                None => {
                    let list = next.lists.iter_mut().find(|(name, _)| *name == change.list);
                    if let Some((_, known)) = list {
                        known.retain(|item| item.name != change.name);
                    }
                }
            }
        }
        for (name, json) in fields {
            if json.is_empty() {
                next.fields.retain(|(field, _)| field != name);
                next.lists.retain(|(list, _)| list != name);
            } else if json == EMPTY_LIST {
                next.set_empty_list(name);
            } else {
                next.set_field(name, parse(json.as_bytes())?);
            }
        }
        Ok(next)
    }
}

impl Update {
    /// Whether it sets or removes items of the list, or sets a field of its name.
    #[must_use]
    pub fn touches(&self, list: &str) -> bool {
        self.set.iter().any(|(name, _)| name == list)
            || self.remove.iter().any(|(name, _)| name == list)
            || self.fields.iter().any(|(name, _)| name == list)
    }

    /// Reads a change of named items.
    ///
    /// # Errors
    /// Where it can't be read whole.
    pub fn parse(text: &[u8]) -> Result<Update, ConfigurationError> {
        let value = parse(text)?;
        let object = value.as_object();
        let object = object
            .ok_or_else(|| ConfigurationError::new(codes::CONFIGURATION_UNREADABLE, "document"))?;
        let mut update = Update {
            version: version(&value)?,
            ..Update::default()
        };
        let bad = |place: &str| ConfigurationError::new(codes::CONFIGURATION_FIELD, place);
        for (key, value) in object {
            match key.as_str() {
                "version_number" => {}
                "set_items" => {
                    for (list, value) in value.as_object().ok_or_else(|| bad("set_items"))? {
                        update.set.push((list.clone(), items(list, value)?));
                    }
                }
                "remove_names" => {
                    for (list, value) in value.as_object().ok_or_else(|| bad("remove_names"))? {
                        let names = value.as_array().ok_or_else(|| bad(list))?;
                        let names = names
                            .iter()
                            .map(|name| name.as_str().map(str::to_owned).ok_or_else(|| bad(list)));
                        update
                            .remove
                            .push((list.clone(), names.collect::<Result<_, _>>()?));
                    }
                }
                _ => update.fields.push((key.clone(), value.clone())),
            }
        }
        Ok(update)
    }
}
