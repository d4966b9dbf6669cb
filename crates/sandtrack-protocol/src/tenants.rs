//! The tenants of a configuration, and the API keys by which their requests are told apart. Keys are held as digests only.
use crate::codes;
use crate::document::{ConfigurationError, Document};
use crate::json_fields::texts;
use crate::priorities::priority;
use sha2::{Digest as _, Sha256};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::HashMap;
use std::sync::Arc;

/// The list of tenants in a document.
pub const TENANTS_LIST: &str = "tenants";
const API_KEYS_FIELD: &str = "api_keys";
const HOME_REGIONS_FIELD: &str = "home_regions";

/// Who sends requests, told by an API key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tenant {
    /// Its name among the tenants.
    pub name: String,
    /// 0 is the most urgent; it comes before the route's.
    pub priority: u32,
    /// Regions whose upstreams may serve its requests; empty: any.
    pub home_regions: Vec<String>,
}

/// SHA-256 of an API key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct KeyDigest([u8; 32]);

impl KeyDigest {
    fn of(key: &str) -> KeyDigest {
        KeyDigest(Sha256::digest(key.as_bytes()).into())
    }
}

/// Whose a key is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum KeyHolder {
    One(Arc<Tenant>),
    /// Several tenants have the key, so that it tells none of them apart. No new configuration may have such a key, but one
    /// that an earlier program has accepted may.
    Several,
}

/// All tenants, by their keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tenants {
    by_key: HashMap<KeyDigest, KeyHolder>,
}

impl Tenants {
    /// Reads the tenants of a document; `None` where it has no such list, and requests need no key. What is not as it should
    /// be names no key, so that nobody is let in by it.
    pub fn read(document: &Document) -> Option<Tenants> {
        let Some(items) = document.list(TENANTS_LIST) else {
            return document.field(TENANTS_LIST).map(|_| Tenants::default());
        };
        let mut tenants = Tenants::default();
        for item in items.iter().filter(|item| is_header_value(&item.name)) {
            let tenant = Arc::new(Tenant {
                name: item.name.clone(),
                priority: priority(&item.value),
                home_regions: texts(&item.value, HOME_REGIONS_FIELD)
                    .map(str::to_owned)
                    .collect(),
            });
            for key in texts(&item.value, API_KEYS_FIELD) {
                tenants.add_key(KeyDigest::of(key), &tenant);
            }
        }
        Some(tenants)
    }

    fn add_key(&mut self, key: KeyDigest, tenant: &Arc<Tenant>) {
        let holder = self
            .by_key
            .entry(key)
            .or_insert_with(|| KeyHolder::One(tenant.clone()));
        if !matches!(holder, KeyHolder::One(known) if known.name == tenant.name) {
            *holder = KeyHolder::Several;
        }
    }

    /// The tenant that has this key.
    pub fn holder(&self, key: &str) -> Option<&Arc<Tenant>> {
        match self.by_key.get(&KeyDigest::of(key))? {
            KeyHolder::One(tenant) => Some(tenant),
            KeyHolder::Several => None,
        }
    }
}

/// Checks the tenants of a document that is to become the configuration. Documents that were accepted before are not checked
/// again: what an earlier program has accepted stays.
///
/// # Errors
/// Where two tenants share a key, the keys of one can't be read, or a name can't be told to upstreams.
pub fn check_tenants(document: &Document) -> Result<(), ConfigurationError> {
    if document.field(TENANTS_LIST).is_some() {
        return Err(invalid_field(TENANTS_LIST.to_owned()));
    }
    let mut holders: HashMap<&str, &str> = HashMap::new();
    for item in document.list(TENANTS_LIST).unwrap_or_default() {
        let place = |field: &str| format!("{TENANTS_LIST} `{}`.{field}", item.name);
        if !is_header_value(&item.name) {
            return Err(invalid_field(place("name")));
        }
        if !has_readable_keys(&item.value) {
            return Err(invalid_field(place(API_KEYS_FIELD)));
        }
        for key in texts(&item.value, API_KEYS_FIELD) {
            let holder = holders.insert(key, &item.name);
            if holder.is_some_and(|holder| holder != item.name) {
                let place = format!("{TENANTS_LIST} `{}`", item.name);
                return Err(ConfigurationError::new(codes::SHARED_KEY, place));
            }
        }
    }
    Ok(())
}

/// Whether a name can be told in a header (RFC 9110, 5.5).
fn is_header_value(name: &str) -> bool {
    !name.chars().any(|letter| letter.is_ascii_control())
}

/// Whether the keys of a tenant are a list of texts; without the field it has none.
fn has_readable_keys(tenant: &OwnedValue) -> bool {
    let Some(keys) = tenant.get(API_KEYS_FIELD) else {
        return true;
    };
    keys.as_array()
        .is_some_and(|keys| keys.iter().all(|key| key.as_str().is_some()))
}

fn invalid_field(place: String) -> ConfigurationError {
    ConfigurationError::new(codes::CONFIGURATION_FIELD, place)
}
