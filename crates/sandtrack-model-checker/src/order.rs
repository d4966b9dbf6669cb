//! What operators order in the model, what they are told, and configurations as texts.
use sandtrack_protocol::document::Document;

/// The zone that the orders of the model evacuate.
pub const ZONE: &str = "z";

/// What an operator orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Order {
    /// A configuration that builds on `based_on`; `mark` tells the bytes of two of one version apart.
    Change {
        based_on: u64,
        version: u64,
        mark: char,
    },
    /// The zone is evacuated, or is so no longer. Not conditional.
    Evacuate { begin: bool },
    /// The configuration is read back.
    Read,
}

/// What came of an order, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Told {
    /// 200.
    Taken,
    /// 412.
    OtherVersion,
    /// 400.
    Invalid,
    /// What was read.
    Read(Shown),
}

/// What a configuration looks like from outside.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Shown {
    pub version: u64,
    /// Of the configuration's bytes; a blank where there is none.
    pub mark: char,
}

/// A configuration's text.
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

/// The version and the mark of a configuration's text; a foreign text has the mark `?`.
pub(crate) fn shown_in(text: &str) -> Shown {
    let Ok(document) = Document::parse(text.as_bytes()) else {
        return Shown {
            version: 0,
            mark: '?',
        };
    };
    let name = document
        .list("routes")
        .and_then(|routes| routes.first())
        .map(|route| route.name.clone());
    let mark = name.and_then(|name| name.chars().next()).unwrap_or('?');
    Shown {
        version: document.version,
        mark,
    }
}
