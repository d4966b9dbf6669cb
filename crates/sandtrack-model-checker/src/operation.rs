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
    /// The evacuation of [`ZONE`] begins or ends, unconditionally.
    Evacuate {
        /// Whether it begins.
        begin: bool,
    },
    /// The configuration is read back.
    Read,
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

/// The version and the mark of a document; the mark of an unknown one is `?`.
pub(crate) fn visible_configuration_in(text: &str) -> VisibleConfiguration {
    let Ok(document) = Document::parse(text.as_bytes()) else {
        return VisibleConfiguration {
            version: 0,
            mark: '?',
        };
    };
    let name = document
        .list("routes")
        .and_then(|routes| routes.first())
        .map(|route| route.name.clone());
    let mark = name.and_then(|name| name.chars().next()).unwrap_or('?');
    VisibleConfiguration {
        version: document.version,
        mark,
    }
}
