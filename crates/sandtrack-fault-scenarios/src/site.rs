//! What a drawn day needs to know of a deployment, read from its site file.

use thiserror::Error;
use toml::{Table, Value};

/// Why a site file cannot be used.
#[derive(Debug, Error)]
pub enum SiteError {
    #[error("the site file is no TOML: {0}")]
    Syntax(#[from] toml::de::Error),
    #[error("the site file has no usable `{0}`")]
    Missing(&'static str),
}

/// The parts of a deployment that troubles refer to.
#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    pub name: String,
    pub zones: Vec<String>,
    pub services: Vec<String>,
    /// Kinds of requests.
    pub classes: Vec<String>,
    /// Parts of the rules in force; some kinds of trouble belong to one.
    pub contracts: Vec<String>,
    /// Length of an ordinary day, in seconds of traffic.
    pub length_s: f64,
    /// Seconds after its return for which a machine still counts as lost.
    pub catch_up_s: f64,
    /// Counted machines that may be lost at one time.
    pub tolerated_machines: u32,
}

impl Site {
    /// Reads the text of a site file.
    pub fn parse(text: &str) -> Result<Site, SiteError> {
        let table: Table = text.parse()?;
        Ok(Site {
            name: table
                .get("name")
                .and_then(Value::as_str)
                .ok_or(SiteError::Missing("name"))?
                .to_owned(),
            zones: names(&table, "zones")?,
            services: names(&table, "services")?,
            classes: names(&table, "classes")?,
            contracts: texts(&table, "contracts")?,
            length_s: number(table.get("length_s")).ok_or(SiteError::Missing("length_s"))?,
            catch_up_s: number(entry(&table, "timing", "catch_up_s"))
                .ok_or(SiteError::Missing("timing.catch_up_s"))?,
            tolerated_machines: number(entry(&table, "tolerate", "machines"))
                .ok_or(SiteError::Missing("tolerate.machines"))?
                as u32,
        })
    }
}

fn entry<'t>(table: &'t Table, section: &str, key: &str) -> Option<&'t Value> {
    table.get(section)?.get(key)
}

fn number(value: Option<&Value>) -> Option<f64> {
    let value = value?;
    value
        .as_float()
        .or_else(|| value.as_integer().map(|n| n as f64))
}

/// The `name` of each entry of an array of tables; an empty one is an error.
fn names(table: &Table, key: &'static str) -> Result<Vec<String>, SiteError> {
    let names: Vec<String> = table
        .get(key)
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .filter_map(|entry| Some(entry.get("name")?.as_str()?.to_owned()))
        .collect();
    if names.is_empty() {
        return Err(SiteError::Missing(key));
    }
    Ok(names)
}

/// An array of texts; it may be empty.
fn texts(table: &Table, key: &'static str) -> Result<Vec<String>, SiteError> {
    let array = table
        .get(key)
        .and_then(Value::as_array)
        .ok_or(SiteError::Missing(key))?;
    Ok(array
        .iter()
        .filter_map(Value::as_str)
        .map(str::to_owned)
        .collect())
}
