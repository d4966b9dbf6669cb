//! The calls of the operators' interface (PROTOCOL.md), and how a response to one is interpreted.
use crate::error::CliError;
use crate::Millis;
use sandtrack_protocol::codes::{self, Code};
use sandtrack_sidecar_core::message::{self, Message};
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::net::SocketAddr;

/// Response time-out of a call with an empty body.
const RESPONSE_TIMEOUT_MS: Millis = 1000.0;
/// Lowest transfer rate that is expected: the body extends the time-out by its size at this rate.
const MIN_BODY_BYTES_PER_MS: f64 = 1000.0;
/// Longest time for which an evacuation is retried: the shortest `acknowledge_ms` of the known deployments.
pub const MAX_EVACUATION_RETRY_MS: Millis = 5000.0;
/// Time for which other calls are retried unless the operator chooses another one.
pub const DEFAULT_RETRY_MS: Millis = 15_000.0;

/// One call. All attempts send it unchanged, whichever control node they address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The HTTP method.
    pub method: &'static str,
    /// The request target: a path.
    pub target: String,
    /// Version that a configuration builds on; `None` for other calls.
    pub based_on: Option<u64>,
    /// The request body, JSON or empty.
    pub body: Vec<u8>,
}

impl Call {
    /// Replaces the configuration of version `based_on` by the complete one in `body`.
    pub fn replace(based_on: u64, body: Vec<u8>) -> Call {
        Call::configuration("/v1/configuration/replace", based_on, body)
    }

    /// Applies the change of named items in `body` to the configuration of version `based_on`.
    pub fn update(based_on: u64, body: Vec<u8>) -> Call {
        Call::configuration("/v1/configuration/update", based_on, body)
    }

    /// Reads the configuration in force.
    pub fn read() -> Call {
        Call::get("/v1/configuration/read")
    }

    /// Reads the status of a control node.
    pub fn status() -> Call {
        Call::get("/v1/status")
    }

    /// Begins or finishes the evacuation of a zone, whose name must consist of unreserved characters (RFC 3986, section
    /// 2.3).
    pub fn evacuate(zone: &str, begin: bool) -> Call {
        let verb = if begin { "begin" } else { "finish" };
        Call {
            method: "POST",
            target: format!("/v1/evacuation/{zone}/{verb}"),
            based_on: None,
            body: Vec::new(),
        }
    }

    fn configuration(target: &str, based_on: u64, body: Vec<u8>) -> Call {
        Call {
            method: "POST",
            target: target.to_owned(),
            based_on: Some(based_on),
            body,
        }
    }

    fn get(target: &str) -> Call {
        Call {
            method: "GET",
            target: target.to_owned(),
            based_on: None,
            body: Vec::new(),
        }
    }

    /// Whether the call changes the state of the system.
    pub fn is_mutating(&self) -> bool {
        self.method == "POST"
    }

    /// For how long the call may be retried; `requested` is the operator's choice.
    pub fn retry_period(&self, requested: Option<Millis>) -> Millis {
        let is_configuration = self.based_on.is_some();
        let is_evacuation = self.is_mutating() && !is_configuration;
        match requested {
            Some(requested) if is_evacuation => requested.min(MAX_EVACUATION_RETRY_MS),
            Some(requested) => requested,
            None if is_evacuation => MAX_EVACUATION_RETRY_MS,
            None => DEFAULT_RETRY_MS,
        }
    }

    /// How long an attempt waits without progress before it has failed.
    pub fn response_timeout(&self) -> Millis {
        RESPONSE_TIMEOUT_MS + self.body.len() as f64 / MIN_BODY_BYTES_PER_MS
    }

    /// The bytes of the request to `address`. `target` differs from that of the call after a redirect.
    pub fn encode(&self, address: SocketAddr, target: &str) -> Vec<u8> {
        let host = address.to_string();
        let version = self.based_on.map(|version| version.to_string());
        let based_on = version
            .as_deref()
            .map(|version| ("Based-On-Version", version));
        let content_type = (!self.body.is_empty()).then_some(("Content-Type", "application/json"));
        let headers = [("Host", host.as_str()), ("Connection", "close")].into_iter();
        message::request(
            self.method,
            target,
            headers.chain(based_on).chain(content_type),
            &self.body,
        )
    }
}

/// The error of a response that is no success: code, place and text of its body, or those of its status where the body
/// names no code.
pub fn error_from_response(response: &Message) -> CliError {
    let body = response_json(response).unwrap_or_default();
    let Some(code) = named_code(&body) else {
        let status = response.head.status;
        return CliError::coded(code_of_status(status), format!("status {status}"));
    };
    let text = |field: &str| body.get_str(field).map(str::to_owned);
    CliError::Coded {
        code,
        place: text("place").unwrap_or_default(),
        what: text("what").unwrap_or_else(|| code.meaning().to_owned()),
    }
}

/// Whether a response guarantees that its request was not applied and will not be.
pub fn is_definitely_not_applied(response: &Message) -> bool {
    let status = response.head.status;
    let code = response_json(response).as_ref().and_then(named_code);
    matches!(status, 408 | 429)
        || (300..500).contains(&status)
        || matches!(code, Some(codes::NOT_NOW | codes::WAL_FULL))
}

fn response_json(response: &Message) -> Option<OwnedValue> {
    // The parser works in place and overwrites its input.
    let mut scratch = response.body.clone();
    simd_json::to_owned_value(&mut scratch).ok()
}

/// The result code in a response body, in the form `E303`.
fn named_code(body: &OwnedValue) -> Option<Code> {
    let digits = body.get_str("code")?.strip_prefix('E')?;
    digits.parse().ok().map(Code)
}

/// The code of an error response whose body names none.
fn code_of_status(status: u16) -> Code {
    match status {
        400 | 413 | 422 => codes::CONFIGURATION_UNREADABLE,
        409 | 412 => codes::ANOTHER_VERSION,
        500.. => codes::NOT_NOW,
        _ => codes::BAD_CALL,
    }
}
