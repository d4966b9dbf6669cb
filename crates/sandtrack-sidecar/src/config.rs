//! What the sidecar is told when it starts and at each reload: one JSON file, and the variables that name it. It owns
//! the file's form, checks and defaults, and must never apply anything by itself: what a reload brings is an input.
use sandtrack_membership::config::{DATAGRAM_MOST, FORGET};
use sandtrack_membership::Identity;
use sandtrack_settings::{Checked, Document, Fault};
use sandtrack_sidecar_core::catalog::Catalog;
use sandtrack_sidecar_core::reducer::MEMORY_MB;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::PathBuf;

#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    admin: Option<SocketAddr>,
    seed: Seed,
    #[serde(default)]
    limits: Limits,
    known: Option<Catalog>,
    settings: Document,
    fleet: Option<Section>,
}

/// The keys of the file; another is nobody's, and is warned of.
const KEYS: [&str; 9] = [
    "name",
    "listen",
    "discovery",
    "admin",
    "seed",
    "limits",
    "known",
    "settings",
    FLEET,
];

/// The fleet that the sidecar is a member of. A slip of the pen here could split a fleet: unknown keys are faults.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Section {
    cluster: String,
    listen: SocketAddrV4,
    advertise: Option<SocketAddrV4>,
    #[serde(default)]
    seeds: Vec<SocketAddrV4>,
    #[serde(default)]
    region: String,
    #[serde(default = "datagram_bytes")]
    datagram_bytes: usize,
    #[serde(default = "forget_s")]
    forget_s: u64,
}

fn datagram_bytes() -> usize {
    DATAGRAM_MOST
}

fn forget_s() -> u64 {
    FORGET / 1000
}

/// Where the sidecar talks to others of its fleet, and as whom.
#[derive(Clone, Debug)]
pub struct FleetConfig {
    pub listen: SocketAddrV4,
    pub identity: Identity,
}

impl Section {
    fn checked(self, name: &str, zone: &str) -> Result<FleetConfig, Fault> {
        let identity = Identity {
            cluster: self.cluster.into(),
            name: name.into(),
            advertise: self.advertise.unwrap_or(self.listen),
            zone: zone.into(),
            region: self.region.into(),
            seeds: self.seeds,
            datagram: self.datagram_bytes,
            forget: self.forget_s.saturating_mul(1000),
        };
        let at = |key: &str| match key {
            // They are told elsewhere.
            "name" => "name".to_owned(),
            "zone" => "settings.locality".to_owned(),
            key => format!("{FLEET}.{key}"),
        };
        identity
            .check()
            .map_err(|fault| wrong(&at(fault.key), fault.wrong))?;
        if self.listen.port() == 0 {
            return Err(wrong(
                "fleet.listen",
                "port 0 is none that others could be told".to_owned(),
            ));
        }
        Ok(FleetConfig {
            listen: self.listen,
            identity,
        })
    }
}

/// A number, or hex digits.
#[derive(Deserialize)]
#[serde(untagged)]
enum Seed {
    Number(u64),
    Digits(String),
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: 1024,
            memory_mb: MEMORY_MB as f64,
        }
    }
}

pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The second address, for staff; there is none unless it is told.
    pub admin: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds that.
    pub socket: Option<u32>,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub descriptors: usize,
    /// Memory that all its processes may use.
    pub memory_mb: usize,
    /// The list as this sidecar last had it; it may be old.
    pub known: Option<Catalog>,
    pub checked: Checked,
    /// The fleet that it is a member of; it is in none unless it is told.
    pub fleet: Option<FleetConfig>,
}

/// What a reload looks at for changes: the settings, which it brings, and keys that are read at the start alone.
const SETTINGS: &str = "settings";
const FLEET: &str = "fleet";
const WATCHED: [&str; 6] = ["listen", "admin", "limits", "name", FLEET, SETTINGS];

/// The file as it was last read, to be read again at a reload.
pub struct Source {
    path: PathBuf,
    /// As the file has it: a variable went before it at the start, but a reload's is newer than any variable.
    discovery: SocketAddr,
    said: [serde_json::Value; WATCHED.len()],
    /// What goes before the file.
    name: Option<String>,
    fleet: Option<PathBuf>,
}

/// What a reload brings.
pub struct Reload {
    /// The new address of discovery, if the file now has another.
    pub discovery: Option<SocketAddr>,
    /// The settings, if the file now says something else of them.
    pub settings: Option<Checked>,
    /// Keys that changed and wait for the next start.
    pub waiting: Vec<&'static str>,
}

fn said(text: &[u8]) -> [serde_json::Value; WATCHED.len()] {
    let mut whole: serde_json::Value = serde_json::from_slice(text).unwrap_or_default();
    WATCHED.map(|key| {
        whole
            .get_mut(key)
            .map(serde_json::Value::take)
            .unwrap_or_default()
    })
}

impl Source {
    /// Reads and checks the whole file again. What is wrong with it is told, and nothing of it is taken.
    pub fn again(&mut self) -> Result<Reload, Fault> {
        let text = text("NODE_CONFIG", &self.path)?;
        let (name, fleet) = (
            self.name.clone(),
            self.fleet.as_deref().map(section).transpose()?,
        );
        let Config {
            discovery: found,
            checked,
            ..
        } = with_fleet(&text, name, fleet)?;
        let before = std::mem::replace(&mut self.discovery, found);
        let kept = std::mem::replace(&mut self.said, said(&text));
        let changed = WATCHED.into_iter().zip(kept.iter().zip(&self.said));
        let changed = changed
            .filter(|(_, (before, now))| before != now)
            .map(|(key, _)| key);
        let (settings, waiting): (Vec<_>, Vec<_>) = changed.partition(|key| *key == SETTINGS);
        let settings = Some(checked).filter(|_| !settings.is_empty());
        Ok(Reload {
            discovery: Some(found).filter(|found| *found != before),
            settings,
            waiting,
        })
    }
}

/// Names the descriptor of the clients' listening socket.
pub const SOCKET_FD: &str = "NODE_SOCKET_FD";

/// The fewest descriptors with which anything can be served.
const DESCRIPTORS_LEAST: usize = 24;

/// Keys of the file that nobody reads.
pub fn unread(text: &[u8]) -> Vec<String> {
    let whole: BTreeMap<String, IgnoredAny> = serde_json::from_slice(text).unwrap_or_default();
    whole
        .into_keys()
        .filter(|key| !KEYS.contains(&key.as_str()))
        .collect()
}

/// Reads the configuration's text.
pub fn parse(text: &[u8]) -> Result<Config, Fault> {
    with_fleet(text, None, None)
}

/// The same; `name` and `fleet` go before what the file says of them.
fn with_fleet(text: &[u8], name: Option<String>, fleet: Option<Section>) -> Result<Config, Fault> {
    let file: File = sandtrack_settings::read(text)?;
    let name = name.unwrap_or(file.name);
    let seed = match file.seed {
        Seed::Number(seed) => seed,
        Seed::Digits(digits) => u64::from_str_radix(&digits, 16).map_err(|_| Fault {
            key: "seed".to_owned(),
            wrong: format!("{digits:?} is not a number of up to 16 hex digits"),
        })?,
    };
    if file.limits.sockets < DESCRIPTORS_LEAST {
        let wrong = format!(
            "{} are too few: {DESCRIPTORS_LEAST} are needed",
            file.limits.sockets
        );
        return Err(Fault {
            key: "limits.sockets".to_owned(),
            wrong,
        });
    }
    // Not a number at all, or none that a machine could have.
    if !(1.0..1e9).contains(&file.limits.memory_mb) {
        return Err(wrong(
            "limits.memory_mb",
            format!("{} is no memory in MB", file.limits.memory_mb),
        ));
    }
    let checked = file
        .settings
        .words()
        .and_then(|()| file.settings.checked())
        .map_err(|fault| Fault {
            key: format!("settings.{}", fault.key),
            wrong: fault.wrong,
        })?;
    let zone = checked.zones.name(checked.settings.zone.0);
    let fleet = fleet
        .or(file.fleet)
        .map(|section| section.checked(&name, zone))
        .transpose()?;
    Ok(Config {
        name,
        listen: file.listen,
        discovery: file.discovery,
        admin: file.admin,
        socket: None,
        seed,
        descriptors: file.limits.sockets,
        memory_mb: file.limits.memory_mb as usize,
        known: file.known,
        checked,
        fleet,
    })
}

pub fn wrong(key: &str, wrong: String) -> Fault {
    Fault {
        key: key.to_owned(),
        wrong,
    }
}

fn text(key: &str, path: &std::path::Path) -> Result<Vec<u8>, Fault> {
    std::fs::read(path).map_err(|error| wrong(key, error.to_string()))
}

/// Names a file that holds the section `fleet`, where the configuration is not for its owner to write.
const FLEET_FILE: &str = "NODE_FLEET";

fn section(path: &std::path::Path) -> Result<Section, Fault> {
    let read = sandtrack_settings::read(&text(FLEET_FILE, path)?);
    read.map_err(|fault| wrong(&format!("{FLEET_FILE}: {FLEET}.{}", fault.key), fault.wrong))
}

/// Reads the file that `NODE_CONFIG` names; `NODE_NAME`, `NODE_LISTEN`, `NODE_DISCOVERY`, `NODE_ADMIN` and
/// `NODE_FLEET` go before it.
/// `NODE_SOCKET_FD` is no matter of the file.
pub fn load(var: impl Fn(&str) -> Option<String>) -> Result<(Config, Source), Fault> {
    let path = var("NODE_CONFIG").ok_or_else(|| wrong("NODE_CONFIG", "not set".to_owned()))?;
    let path = PathBuf::from(path);
    let text = text("NODE_CONFIG", &path)?;
    let (name, fleet) = (var("NODE_NAME"), var(FLEET_FILE).map(PathBuf::from));
    let told = fleet.as_deref().map(section).transpose()?;
    let mut config = with_fleet(&text, name.clone(), told)?;
    for key in unread(&text) {
        tracing::warn!(key, "a key of the configuration that nobody reads");
    }
    let source = Source {
        path,
        discovery: config.discovery,
        said: said(&text),
        name,
        fleet,
    };
    let address = |key: &str| -> Result<Option<SocketAddr>, Fault> {
        let read = |text: String| {
            text.parse()
                .map_err(|_| wrong(key, format!("{text:?} is not address:port")))
        };
        var(key).map(read).transpose()
    };
    config.listen = address("NODE_LISTEN")?.unwrap_or(config.listen);
    config.discovery = address("NODE_DISCOVERY")?.unwrap_or(config.discovery);
    config.admin = address("NODE_ADMIN")?.or(config.admin);
    let number = |text: String| {
        text.parse()
            .map_err(|_| wrong(SOCKET_FD, format!("{text:?} is no descriptor")))
    };
    config.socket = var(SOCKET_FD).map(number).transpose()?;
    Ok((config, source))
}
