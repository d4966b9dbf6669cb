//! The calls of the operators' interface (PROTOCOL.md), and what an answer to one says. Pure.
use crate::error::CliError;
use crate::Millis;
use sandtrack_protocol::codes::{self, Code};
use sandtrack_sidecar_core::message::{self, Message};
use simd_json::prelude::*;
use std::net::SocketAddr;

/// A second of silence is a failure ...
const SILENCE_MS: Millis = 1000.0;
/// ... and a large body may take a second more for so many bytes (ours).
const BYTES_PER_MS: f64 = 1000.0;
/// Evacuations are sent again only for so long: the least `acknowledge_ms` seen.
pub const ORDER_MS: Millis = 5000.0;
/// Configurations and reads are, unless the operator says otherwise (ours).
pub const REPEAT_MS: Millis = 15_000.0;

/// One call. It is repeated unchanged, to whatever address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    pub method: &'static str,
    pub target: String,
    /// Version that a configuration builds on.
    pub based_on: Option<u64>,
    pub body: Vec<u8>,
}

impl Call {
    /// The whole configuration of `body`, as it is.
    pub fn replace(based_on: u64, body: Vec<u8>) -> Call {
        Call {
            method: "POST",
            target: "/v1/configuration/replace".to_owned(),
            based_on: Some(based_on),
            body,
        }
    }

    /// The change of named items of `body`, as it is.
    pub fn update(based_on: u64, body: Vec<u8>) -> Call {
        Call {
            method: "POST",
            target: "/v1/configuration/update".to_owned(),
            based_on: Some(based_on),
            body,
        }
    }

    pub fn read() -> Call {
        Call::get("/v1/configuration/read")
    }

    pub fn status() -> Call {
        Call::get("/v1/status")
    }

    fn get(target: &str) -> Call {
        Call {
            method: "GET",
            target: target.to_owned(),
            based_on: None,
            body: Vec::new(),
        }
    }

    /// `zone` is a name that can stand in a path.
    pub fn evacuate(zone: &str, begin: bool) -> Call {
        let verb = if begin { "begin" } else { "finish" };
        Call {
            method: "POST",
            target: format!("/v1/evacuation/{zone}/{verb}"),
            based_on: None,
            body: Vec::new(),
        }
    }

    /// Whether it changes something.
    pub fn is_order(&self) -> bool {
        self.method == "POST"
    }

    /// For how long it may be sent again.
    pub fn repeat_for(&self, wanted: Option<Millis>) -> Millis {
        let is_configuration = self.based_on.is_some();
        match wanted {
            Some(wanted) if self.is_order() && !is_configuration => wanted.min(ORDER_MS),
            Some(wanted) => wanted,
            None if self.is_order() && !is_configuration => ORDER_MS,
            None => REPEAT_MS,
        }
    }

    /// How long an address may stay silent before another one is asked.
    pub fn silence(&self) -> Millis {
        SILENCE_MS + self.body.len() as f64 / BYTES_PER_MS
    }

    /// As it is written to `address`; `target` is another one where control sent the call on.
    pub fn bytes(&self, address: SocketAddr, target: &str) -> Vec<u8> {
        let host = address.to_string();
        let based_on = self.based_on.map(|version| version.to_string());
        let based_on = based_on
            .as_deref()
            .map(|version| ("Based-On-Version", version));
        let kind = (!self.body.is_empty()).then_some(("Content-Type", "application/json"));
        let headers = [("Host", host.as_str()), ("Connection", "close")].into_iter();
        message::request(
            self.method,
            target,
            headers.chain(based_on).chain(kind),
            &self.body,
        )
    }
}

/// Code, place and words of an answer that is no success; those of the table for the status where it tells none.
pub fn told(answer: &Message) -> CliError {
    let mut body = answer.body.clone();
    let value = simd_json::to_owned_value(&mut body).unwrap_or_default();
    let code = value
        .get_str("code")
        .and_then(|code| code.strip_prefix('E'))
        .and_then(|code| code.parse().ok());
    let text = |field: &str| value.get_str(field).map(str::to_owned);
    match code {
        Some(number) => {
            let code = Code(number);
            let what = text("what").unwrap_or_else(|| code.meaning().to_owned());
            CliError::Coded {
                code,
                place: text("place").unwrap_or_default(),
                what,
            }
        }
        None => {
            let status = answer.head.status;
            let code = match status {
                400 | 413 | 422 => codes::CONFIGURATION_UNREADABLE,
                409 | 412 => codes::ANOTHER_VERSION,
                500.. => codes::NOT_NOW,
                _ => codes::BAD_CALL,
            };
            CliError::coded(code, format!("status {status}"))
        }
    }
}

/// Whether the call of such an answer is surely not in force, and will not be.
pub fn surely_not(answer: &Message) -> bool {
    let not = |code: Code| matches!(code, codes::NOT_NOW | codes::WAL_FULL);
    matches!(answer.head.status, 408 | 429)
        || (300..500).contains(&answer.head.status)
        || matches!(told_code(answer), Some(code) if not(code))
}

/// The code that the answer itself names.
fn told_code(answer: &Message) -> Option<Code> {
    let mut body = answer.body.clone();
    let value = simd_json::to_owned_value(&mut body).ok()?;
    value
        .get_str("code")?
        .strip_prefix('E')?
        .parse()
        .ok()
        .map(Code)
}
