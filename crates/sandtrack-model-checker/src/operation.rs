//! The operations of operators in the model, their outcomes, and the documents of configurations.
use sandtrack_protocol::document::Document;

/// The zone that the operations of the model evacuate.
pub const ZONE: &str = "z";

/// What an operator asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Operation {
    /// A configuration based on version `based_on`; `mark` distinguishes documents of the same version.
    Change {
        /// The version that it replaces.
        based_on: u64,
        /// Its own version.
        version: u64,
        /// Distinguishes its document from others of the same version.
        mark: char,
    },
    /// An update that gives the one API key of the model to a tenant. It makes a configuration invalid in which another tenant
    /// has the key.
    GiveKey {
        /// The version that it updates.
        based_on: u64,
        /// The version that it makes.
        version: u64,
        /// Name of the tenant, and mark of the document that it makes.
        tenant: char,
    },
    /// The evacuation of [`ZONE`] begins or ends, unconditionally.
    Evacuate {
        /// Whether it begins.
        begin: bool,
    },
    /// The configuration is read back.
    Read,
}

impl Operation {
    /// The version that a change of the configuration builds on; `None` for other operations.
    pub fn based_on(self) -> Option<u64> {
        match self {
            Operation::Change { based_on, .. } | Operation::GiveKey { based_on, .. } => {
                Some(based_on)
            }
            Operation::Evacuate { .. } | Operation::Read => None,
        }
    }
}

/// The definite outcome of a call, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallOutcome {
    /// 200.
    Accepted,
    /// 412.
    VersionMismatch,
    /// 400.
    Invalid,
    /// What was read.
    Read(VisibleConfiguration),
}

/// A configuration as it is visible from outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct VisibleConfiguration {
    /// The version; 0 before the first configuration.
    pub version: u64,
    /// The mark of the document; a NUL character before the first configuration.
    pub mark: char,
}

/// The document of a configuration.
pub(crate) fn body(version: u64, mark: char) -> Vec<u8> {
    let limits =
        r#"{"header_size_bytes":1,"body_size_bytes":1,"header_timeout_ms":1,"idle_timeout_ms":1}"#;
    let route = format!(
        r#"{{"name":"{mark}","host":"h","path_prefix":"/","kind":"read_only","timeout_ms":1,"target_latency_ms":1,"priority":0,"attempts":1,"service":"s"}}"#
    );
    let service = r#"{"name":"s","health_path":"/","connection_limit":1,"cold_start_s":0.0,"cold_rate_s":0.0}"#;
    format!(r#"{{"version_number":{version},"routes":[{route}],"services":[{service}],"limits":{limits}}}"#)
        .into_bytes()
}

/// The update that gives the key to a tenant.
pub(crate) fn key_update(version: u64, tenant: char) -> Vec<u8> {
    let tenant = format!(r#"{{"name":"{tenant}","api_keys":["k"]}}"#);
    format!(r#"{{"version_number":{version},"set_items":{{"tenants":[{tenant}]}}}}"#).into_bytes()
}

/// The version and the mark of a document: its last tenant, else its first route; that of an unknown one is `?`.
pub(crate) fn visible_configuration_in(text: &str) -> VisibleConfiguration {
    let Ok(document) = Document::parse(text.as_bytes()) else {
        return VisibleConfiguration {
            version: 0,
            mark: '?',
        };
    };
    let tenant = document.list("tenants").and_then(|tenants| tenants.last());
    let route = document.list("routes").and_then(|routes| routes.first());
    let name = tenant.or(route).map(|item| item.name.clone());
    let mark = name.and_then(|name| name.chars().next()).unwrap_or('?');
    VisibleConfiguration {
        version: document.version,
        mark,
    }
}
