//! Discovery's list in its own form. It owns that form, and must never keep a list or judge an entry: the reducer and the
//! module do.
use serde::{Deserialize, Deserializer};

/// A list, or what changed in it.
#[derive(Clone, Debug, Deserialize)]
pub struct Catalog {
    pub generation: u64,
    /// The whole list, not changes.
    pub reset: bool,
    #[serde(deserialize_with = "readable")]
    pub instances: Vec<Instance>,
}

/// One entry that can't be read must not hide the others, nor end the watch again and again.
fn readable<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<Instance>, D::Error> {
    let entries: Vec<serde_json::Value> = Vec::deserialize(from)?;
    let read = |entry: serde_json::Value| match serde_json::from_value(entry) {
        Ok(instance) => Some(instance),
        Err(error) => {
            tracing::warn!(%error, "an entry of the list can't be read");
            None
        }
    };
    Ok(entries.into_iter().filter_map(read).collect())
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Instance {
    pub instance_id: String,
    #[serde(default)]
    pub host_port: String,
    #[serde(default)]
    pub zone: String,
    #[serde(default)]
    pub machine_type: String,
    #[serde(default)]
    pub cell: u32,
    pub lifecycle: Lifecycle,
    pub weight: Option<f64>,
    #[serde(default)]
    pub started_at_ms: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Lifecycle {
    Serving,
    Deleted,
    /// `DRAINING`, and any state not known here: it wants nothing new.
    #[serde(other)]
    Draining,
}
