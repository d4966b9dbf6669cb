//! What a configuration means: routes, services and limits, read and checked from a [`Document`].
use crate::codes;
use crate::document::{ConfigurationError, Document, Item};
use crate::json_fields::{number, texts};
use crate::priorities::{priority, Priorities};
use crate::tenants::{check_tenants, Tenants};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::{HashMap, HashSet};

/// The kind of a route's requests, which decides what may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent.
    ReadOnly,
    /// Must not run more than once.
    Mutating,
    /// Responds with a stream of events; idempotent where the route is resumable.
    Streaming,
}

/// Which requests go to which services, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name among the routes.
    pub name: String,
    /// Host of its requests, in lower case.
    pub host: String,
    /// Path prefix of its requests; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be retried.
    pub kind: RouteKind,
    /// Time-out of a request, in ms.
    pub timeout_ms: f64,
    /// Latency target (SLO) of a response, in ms.
    pub target_latency_ms: f64,
    /// 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights, of which one at least is above 0.
    pub split: Vec<(String, f64)>,
    /// Most upstreams that one request is sent to at a time (hedging).
    pub attempts: u32,
    /// Its requests need no API key.
    pub public: bool,
    /// Requests of a session go to one upstream (session affinity).
    pub sticky_sessions: bool,
    /// A broken stream may be resumed at another upstream.
    pub resumable: bool,
    /// Target for the interval between two events, in ms (`gap_aim_ms`); `None` where the route has none.
    pub event_gap_target_ms: Option<f64>,
    /// Regions whose upstreams are preferred; empty: any.
    pub home_regions: Vec<String>,
}

impl Route {
    /// Whether a request of this route may run more than once, and so be retried or hedged.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::ReadOnly => true,
            RouteKind::Mutating => false,
            RouteKind::Streaming => self.resumable,
        }
    }
}

/// The inference engine of a service's upstreams, where they serve a language model.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that one upstream decodes at the same time.
    pub slots: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_capacity_tokens: u64,
    /// Tokens in one event.
    pub stride: u32,
}

/// Upper bound of times, in ms (some four months); longer ones are clamped.
pub const MAX_TIME_MS: f64 = 1e10;
/// Upper bound of sizes, in bytes; larger ones are clamped.
pub const MAX_SIZE_BYTES: f64 = 1e9;

/// A group of interchangeable upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name among the services.
    pub name: String,
    /// Path of health checks.
    pub health_path: String,
    /// Most connections to one upstream from all proxies together.
    pub connection_limit: u32,
    /// Slow start: duration after the start of an upstream, in s (`cold_start_s`).
    pub slow_start_s: f64,
    /// Slow start: requests a second that the upstream takes meanwhile (`cold_rate_s`).
    pub slow_start_rate_per_s: f64,
    /// Its inference engine, where it serves a language model.
    pub engine: Option<Engine>,
}

/// Limits of clients' connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Longest head of a request, in bytes.
    pub header_size_bytes: usize,
    /// Longest body of a request, in bytes.
    pub body_size_bytes: usize,
    /// Longest time until the head was read, in ms.
    pub header_timeout_ms: f64,
    /// An idle connection is closed after this, in ms.
    pub idle_timeout_ms: f64,
}

/// A validated configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Configuration {
    /// Its version number.
    pub version: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// The tenants, one of whose API keys a request needs; `None` where there are none, and no key is needed.
    pub tenants: Option<Tenants>,
    /// The priorities of routes and tenants, by which upstreams are told those of requests.
    pub priorities: Priorities,
    /// Limits of connections.
    pub limits: Limits,
}

fn bad(list: &str, item: &Item, field: &str) -> ConfigurationError {
    ConfigurationError::new(
        codes::CONFIGURATION_FIELD,
        format!("{list} `{}`.{field}", item.name),
    )
}

/// A time in ms. The configuration says how long at most, and a process need not tell times that it does not live to see: the
/// largest numbers fit no clock.
fn time(value: &OwnedValue, field: &str) -> Option<f64> {
    number(value, field).map(|time| time.min(MAX_TIME_MS))
}

fn route(item: &Item) -> Result<Route, ConfigurationError> {
    let value = &item.value;
    let wrong = |field: &str| bad("routes", item, field);
    let text = |field: &str| {
        value
            .get_str(field)
            .map(str::to_owned)
            .ok_or_else(|| wrong(field))
    };
    let prefix = text("path_prefix")?;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(ConfigurationError::new(
            codes::BAD_PREFIX,
            format!("routes `{}`.path_prefix", item.name),
        ));
    }
    let timeout = time(value, "timeout_ms").ok_or_else(|| wrong("timeout_ms"))?;
    if timeout <= 0.0 {
        return Err(ConfigurationError::new(
            codes::NO_TIMEOUT,
            format!("routes `{}`.timeout_ms", item.name),
        ));
    }
    let kind = route_kind(value).ok_or_else(|| wrong("kind"))?;
    let split = weighted_split(item)?;
    Ok(Route {
        name: item.name.clone(),
        host: text("host")?.to_ascii_lowercase(),
        path_prefix: prefix,
        kind,
        timeout_ms: timeout,
        target_latency_ms: time(value, "target_latency_ms").unwrap_or(timeout),
        priority: priority(value),
        split,
        attempts: (number(value, "attempts").unwrap_or(1.0) as u32).max(1),
        public: value.get_bool("public").unwrap_or(false),
        sticky_sessions: value.get_bool("sticky_sessions").unwrap_or(false),
        resumable: value.get_bool("resumable").unwrap_or(false),
        event_gap_target_ms: time(value, "gap_aim_ms"),
        home_regions: texts(value, "home_regions").map(str::to_owned).collect(),
    })
}

/// An unknown kind is treated as the strictest one: its requests are never retried.
fn route_kind(value: &OwnedValue) -> Option<RouteKind> {
    match value.get_str("kind")? {
        "read_only" => Some(RouteKind::ReadOnly),
        "streaming" => Some(RouteKind::Streaming),
        _ => Some(RouteKind::Mutating),
    }
}

/// The services of a route with their weights: `weighted_split`, or `service` alone.
fn weighted_split(item: &Item) -> Result<Vec<(String, f64)>, ConfigurationError> {
    let value = &item.value;
    let wrong = |field: &str| bad("routes", item, field);
    let mut split = Vec::new();
    if let Some(parts) = value.get_array("weighted_split") {
        for part in parts.iter() {
            let service = part
                .get_str("service")
                .ok_or_else(|| wrong("weighted_split"))?;
            let weight = number(part, "weight").ok_or_else(|| wrong("weighted_split"))?;
            split.push((service.to_owned(), weight));
        }
    } else {
        let service = value.get_str("service").ok_or_else(|| wrong("service"))?;
        split.push((service.to_owned(), 1.0));
    }
    if split.iter().map(|(_, weight)| weight).sum::<f64>() <= 0.0 {
        return Err(ConfigurationError::new(
            codes::NO_WEIGHT,
            format!("routes `{}`.weighted_split", item.name),
        ));
    }
    Ok(split)
}

fn service(item: &Item) -> Result<Service, ConfigurationError> {
    let value = &item.value;
    let engine = value
        .get("engine")
        .filter(|engine| engine.as_object().is_some());
    Ok(Service {
        name: item.name.clone(),
        health_path: value
            .get_str("health_path")
            .ok_or_else(|| bad("services", item, "health_path"))?
            .to_owned(),
        connection_limit: number(value, "connection_limit").unwrap_or(100.0) as u32,
        slow_start_s: number(value, "cold_start_s").unwrap_or(0.0),
        slow_start_rate_per_s: number(value, "cold_rate_s").unwrap_or(0.0),
        engine: engine.map(|engine| Engine {
            slots: number(engine, "slots").unwrap_or(1.0) as u32,
            cache_capacity_tokens: number(engine, "cache_capacity_tokens").unwrap_or(0.0) as u64,
            stride: number(engine, "stride").unwrap_or(1.0) as u32,
        }),
    })
}

impl Configuration {
    /// Reads a document that is to become the configuration. Its checks include those that a document in force may fail, as
    /// an earlier program did not make them.
    ///
    /// # Errors
    /// The first thing that makes it invalid, with its place.
    pub fn read_new(document: &Document) -> Result<Configuration, ConfigurationError> {
        let configuration = Configuration::read(document)?;
        check_tenants(document)?;
        Ok(configuration)
    }

    /// Reads and checks a document. All control nodes must agree on what is invalid, whatever their program: a new check
    /// belongs into [`Configuration::read_new`].
    ///
    /// # Errors
    /// The first thing that makes it invalid (PROTOCOL.md), with its place.
    pub fn read(document: &Document) -> Result<Configuration, ConfigurationError> {
        let routes: Vec<Route> = document
            .list("routes")
            .unwrap_or_default()
            .iter()
            .map(route)
            .collect::<Result<_, _>>()?;
        let services: Vec<Service> = document
            .list("services")
            .unwrap_or_default()
            .iter()
            .map(service)
            .collect::<Result<_, _>>()?;
        let known: HashSet<&str> = services
            .iter()
            .map(|service| service.name.as_str())
            .collect();
        let mut places: HashMap<(&str, &str), &str> = HashMap::new();
        for route in &routes {
            if let Some((missing, _)) = route
                .split
                .iter()
                .find(|(service, _)| !known.contains(service.as_str()))
            {
                let place = format!("routes `{}`: service `{missing}`", route.name);
                return Err(ConfigurationError::new(codes::UNKNOWN_SERVICE, place));
            }
            if let Some(other) = places.insert((&route.host, &route.path_prefix), &route.name) {
                return Err(ConfigurationError::new(
                    codes::SAME_PLACE,
                    format!("routes `{other}` and `{}`", route.name),
                ));
            }
        }
        shared_keys(document)?;
        let limits = document.field("limits");
        let limit = |field: &str, default: f64, most: f64| {
            limits
                .and_then(|limits| number(limits, field))
                .unwrap_or(default)
                .min(most)
        };
        Ok(Configuration {
            version: document.version,
            limits: Limits {
                header_size_bytes: limit("header_size_bytes", 16384.0, MAX_SIZE_BYTES) as usize,
                body_size_bytes: limit("body_size_bytes", 4_194_304.0, MAX_SIZE_BYTES) as usize,
                header_timeout_ms: limit("header_timeout_ms", 3000.0, MAX_TIME_MS),
                idle_timeout_ms: limit("idle_timeout_ms", 15000.0, MAX_TIME_MS),
            },
            tenants: Tenants::read(document),
            priorities: Priorities::read(document),
            routes,
            services,
        })
    }

    /// The route of a host and path: the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.to_ascii_lowercase();
        let matching = self
            .routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.path_prefix));
        matching.max_by_key(|route| route.path_prefix.len())
    }

    /// The route of a request by its `Host` header, with or without a port, and its target, with or without a query.
    pub fn route_of_request(&self, host_header: &str, target: &str) -> Option<&Route> {
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let with_port = host_header
            .rsplit_once(':')
            .filter(|(_, port)| port.bytes().all(|byte| byte.is_ascii_digit()));
        let host = with_port.map_or(host_header, |(name, _)| name);
        self.route(host, path)
    }

    /// The service of this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|service| service.name == name)
    }
}

/// No two items of a list may have a key in common (`key`, `keys`).
fn shared_keys(document: &Document) -> Result<(), ConfigurationError> {
    for (list, items) in &document.lists {
        let mut keys = HashSet::new();
        for item in items {
            let many = item
                .value
                .get_array("keys")
                .map(|keys| keys.iter())
                .into_iter()
                .flatten();
            for key in item
                .value
                .get("key")
                .into_iter()
                .chain(many)
                .filter_map(|key| key.as_str())
            {
                if !keys.insert(key.to_owned()) {
                    return Err(ConfigurationError::new(
                        codes::SHARED_KEY,
                        format!("{list} `{}`", item.name),
                    ));
                }
            }
        }
    }
    Ok(())
}
