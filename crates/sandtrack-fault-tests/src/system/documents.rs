//! The operator's documents: configurations and changes that can be told apart when they are read back.
use sandtrack_cli::call::Call;
use serde_json::{json, Value};

/// The host of all routes.
pub const HOST: &str = "shop.example";
/// The service behind all routes.
pub const SERVICE: &str = "greeter";
/// Where it says whether it is well.
pub const HEALTH: &str = "/health";

/// What a route's requests are (PROTOCOL.md, "Requests").
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    ReadOnly,
    Mutating,
    Stream,
    ResumableStream,
}

impl Kind {
    pub const ALL: [Kind; 4] = [
        Kind::ReadOnly,
        Kind::Mutating,
        Kind::Stream,
        Kind::ResumableStream,
    ];

    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream | Kind::ResumableStream)
    }

    /// Whether it may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Kind::ReadOnly | Kind::ResumableStream)
    }

    /// The first part of its paths.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::ReadOnly => "read",
            Kind::Mutating => "write",
            Kind::Stream => "stream",
            Kind::ResumableStream => "resume",
        }
    }

    fn name(self) -> &'static str {
        match self {
            Kind::ReadOnly => "read_only",
            Kind::Mutating => "mutating",
            Kind::Stream | Kind::ResumableStream => "streaming",
        }
    }
}

/// A route whose paths begin with `/PREFIX/`; it is named by that.
pub fn route(prefix: &str, kind: Kind) -> Value {
    let mut route = json!({"name": prefix, "host": HOST, "path_prefix": format!("/{prefix}/"), "kind": kind.name(),
        "timeout_ms": 1500, "target_latency_ms": 300, "priority": 1, "service": SERVICE, "attempts": 3,
        "home_regions": []});
    if kind.is_stream() {
        route["resumable"] = json!(kind == Kind::ResumableStream);
        route["gap_aim_ms"] = json!(400);
    }
    route
}

/// A whole configuration with these routes.
pub fn configuration(version: u64, routes: &[Value]) -> Value {
    json!({"version_number": version, "routes": routes,
        "services": [{"name": SERVICE, "health_path": HEALTH, "connection_limit": 500, "cold_start_s": 0,
            "cold_rate_s": 0}],
        "limits": {"header_size_bytes": 16384, "body_size_bytes": 4_194_304, "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000}})
}

/// The order that puts a whole configuration in place of version `based_on`.
pub fn replace(based_on: u64, document: &Value) -> Call {
    Call::replace(based_on, document.to_string().into_bytes())
}

/// Changes on top of each other, each of which adds a route: what is read back shows all that were taken.
#[derive(Clone, Debug)]
pub struct History {
    version: u64,
    routes: Vec<String>,
}

impl History {
    /// The history that begins with a configuration of one route, and that configuration.
    pub fn begin() -> (History, Value) {
        let document = configuration(1, &[route("first", Kind::ReadOnly)]);
        (
            History {
                version: 1,
                routes: vec!["first".to_owned()],
            },
            document,
        )
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    /// The next change; it counts as taken, as the scenario ends when it is not.
    pub fn change(&mut self) -> Call {
        let (based_on, version) = (self.version, self.version + 1 + self.version % 2);
        let name = format!("change-{version}");
        let change = json!({"version_number": version, "set_items": {"routes": [route(&name, Kind::ReadOnly)]}});
        self.version = version;
        self.routes.push(name);
        Call::update(based_on, change.to_string().into_bytes())
    }

    /// What of this history a document that was read back lacks.
    pub fn missing(&self, document: &Value) -> Option<String> {
        let version = document["version_number"].as_u64().unwrap_or(0);
        if version != self.version {
            return Some(format!("version {version} in place of {}", self.version));
        }
        let routes = document["routes"].as_array().cloned().unwrap_or_default();
        let has = |name: &String| routes.iter().any(|route| route["name"] == name.as_str());
        self.routes
            .iter()
            .find(|name| !has(name))
            .map(|name| format!("route {name} is missing"))
    }
}
