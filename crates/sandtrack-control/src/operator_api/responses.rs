//! Responses to operators' calls.
use crate::state_machine::{Outcome, QueryResult};
use sandtrack_protocol::codes::{self, Code};
use sandtrack_protocol::document::ConfigurationError;
use sandtrack_protocol::logs::escape;
use sandtrack_replication::CallError;
use sandtrack_sidecar_core::message;

/// Callers repeat the call at the given location, twice at most (RFC 9110, section 15.4.8).
const TEMPORARY_REDIRECT: u16 = 307;
/// Pause before a caller retries after a 503, in s.
const RETRY_AFTER_S: &str = "0.2";

/// A response of the operators' API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON text.
    pub body: String,
    /// Result code; none for a success.
    pub code: Option<Code>,
    /// Where the caller repeats the call.
    pub location: Option<String>,
}

impl Reply {
    /// A success with this JSON text.
    pub fn success(body: String) -> Reply {
        Reply {
            status: 200,
            body,
            code: None,
            location: None,
        }
    }

    /// An error with a result code and the place that it is about; the message is the code's meaning.
    pub fn error(status: u16, code: Code, place: &str) -> Reply {
        Reply::with_message(status, code, place, code.meaning())
    }

    /// An error with a message of its own.
    pub(super) fn with_message(status: u16, code: Code, place: &str, message: &str) -> Reply {
        let (place, message) = (escape(place), escape(message));
        let body = format!("{{\"code\":\"{code}\",\"place\":\"{place}\",\"what\":\"{message}\"}}");
        Reply {
            status,
            body,
            code: Some(code),
            location: None,
        }
    }

    /// The same response as a redirect. Left to itself, a caller pauses and then picks a control node, which may be the very
    /// one that does not respond.
    pub fn redirected_to(self, location: String) -> Reply {
        Reply {
            status: TEMPORARY_REDIRECT,
            location: Some(location),
            ..self
        }
    }

    /// The response as HTTP/1.1; `close`: it is the last one on its connection.
    pub fn bytes(&self, close: bool) -> Vec<u8> {
        let content_type = [("Content-Type", "application/json")].into_iter();
        let retry_after = (self.status == 503).then_some(("Retry-After", RETRY_AFTER_S));
        let location = self
            .location
            .as_deref()
            .map(|location| ("Location", location));
        message::response(
            self.status,
            content_type.chain(retry_after).chain(location),
            self.body.as_bytes(),
            close,
        )
    }
}

/// The response to a command with this result.
pub fn command_result(result: Result<Outcome, CallError>) -> Reply {
    match result {
        Ok(Outcome::Accepted { version }) => {
            Reply::success(format!("{{\"version_number\":{version}}}"))
        }
        Ok(Outcome::VersionConflict { current }) => version_conflict(current),
        Ok(Outcome::Invalid { code, place, what }) => {
            Reply::with_message(400, Code(code), &place, &what)
        }
        Ok(Outcome::Superseded { number }) => {
            Reply::error(503, codes::OVERTAKEN, &format!("by number {number}"))
        }
        Ok(Outcome::Unknown) => unacknowledged(),
        Err(refusal) => refused(refusal),
    }
}

/// The response to a change that is based on another version than the current one.
pub fn version_conflict(current: u64) -> Reply {
    Reply::error(412, codes::ANOTHER_VERSION, &format!("current {current}"))
}

/// The response to a configuration that is invalid.
pub fn invalid(invalid: &ConfigurationError) -> Reply {
    Reply::with_message(400, invalid.code, &invalid.place, &invalid.what)
}

/// The response to a read with this result.
pub fn query_result(result: Result<QueryResult, CallError>) -> Reply {
    match result {
        Ok(Some(document)) => Reply::success(document),
        Ok(None) => Reply::error(404, codes::NO_CONFIGURATION, "configuration"),
        Err(refusal) => refused(refusal),
    }
}

/// The response to an evacuation of a zone that does not exist. Only for after a read of the chain: until then this node may
/// not have heard of the zone.
pub fn unknown_zone(zone: &str) -> Reply {
    Reply::error(404, codes::UNKNOWN_ZONE, zone)
}

/// The response to a call that may be so old that its caller has repeated it elsewhere.
pub fn too_old() -> Reply {
    Reply::error(503, codes::TOO_LATE, "control")
}

/// The response to a call that the replica refused.
pub fn refused(refusal: CallError) -> Reply {
    match refusal {
        CallError::NoMajority => Reply::error(503, codes::NOT_NOW, "control"),
        CallError::Full => Reply::error(503, codes::WAL_FULL, "disk"),
        CallError::TimedOut => unacknowledged(),
    }
}

/// The response to a call that was not acknowledged in time: it may or may not be in force.
pub fn unacknowledged() -> Reply {
    Reply::error(503, codes::UNSURE, "control")
}
