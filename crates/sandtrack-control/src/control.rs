//! The operators' interface: a call is decoded into an order, which is carried out elsewhere, and what came of it is
//! written as an answer. It is pure; PROTOCOL.md says what is spoken, docs/system/codes.md what the codes mean.
use crate::control_state::{Answer, Command, ControlState, Form, Outcome};
use sandtrack_protocol::codes::{self, Code};
use sandtrack_protocol::logs::escape;
use sandtrack_replication::CallError;
use sandtrack_sidecar_core::message::{self, Message};

/// A body may be this long, in bytes.
pub const BODY_MAX: usize = 16 << 20;
/// A call that found no acknowledgement is answered after this long, in ms: its caller moves on after a second.
pub const PATIENCE_MS: f64 = 850.0;
/// The same for an order for a zone, in ms: its caller may be in another region, where connecting, asking and the answer take two
/// round trips of the second, and is sent on in time only if the answer is not late itself.
pub const ORDER_PATIENCE_MS: f64 = 700.0;
/// Callers follow it, with the same call, twice.
const TEMPORARY_REDIRECT: u16 = 307;
/// When a caller is to come again, in s.
const AGAIN_S: &str = "0.2";

/// What a call wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Through the replica, acknowledged when it is committed.
    Configure(Command),
    /// The same, once it is stamped with what is known of the zone.
    Evacuate { zone: String, begin: bool },
    /// The newest configuration, through the replica.
    Read,
    /// What this control node knows of itself and the others.
    Status,
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// JSON text.
    pub body: String,
    /// Why it is no success.
    pub code: Option<Code>,
    /// Where its caller is to go with the same call.
    pub location: Option<String>,
}

impl Reply {
    /// A success.
    pub fn success(body: String) -> Reply {
        Reply {
            status: 200,
            body,
            code: None,
            location: None,
        }
    }

    /// A refusal with a numbered code, at a place, in the words of the table.
    pub fn error(status: u16, code: Code, place: &str) -> Reply {
        Reply::told(status, code, place, code.meaning())
    }

    fn told(status: u16, code: Code, place: &str, what: &str) -> Reply {
        let (place, what) = (escape(place), escape(what));
        let body = format!("{{\"code\":\"{code}\",\"place\":\"{place}\",\"what\":\"{what}\"}}");
        Reply {
            status,
            body,
            code: Some(code),
            location: None,
        }
    }

    /// The same, but its caller is to go on at another control node at once, and not to pick one after a pause: that may be
    /// the very one that does not answer.
    pub fn sent_on(self, location: String) -> Reply {
        Reply {
            status: TEMPORARY_REDIRECT,
            location: Some(location),
            ..self
        }
    }

    /// The answer as it is written; `close`: it is the connection's last.
    pub fn bytes(&self, close: bool) -> Vec<u8> {
        let kind = [("Content-Type", "application/json")].into_iter();
        let again = (self.status == 503).then_some(("Retry-After", AGAIN_S));
        let location = self
            .location
            .as_deref()
            .map(|location| ("Location", location));
        message::response(
            self.status,
            kind.chain(again).chain(location),
            self.body.as_bytes(),
            close,
        )
    }
}

/// The order of a call.
///
/// # Errors
/// The answer to a call that orders nothing. It rests on the call alone.
pub fn decode(call: &Message) -> Result<Order, Reply> {
    let target = message::origin_form(&call.head.target);
    let path = target.split('?').next().unwrap_or_default();
    let words: Vec<&str> = path.split('/').skip(1).collect();
    let wants = |method: &str, order: Result<Order, Reply>| {
        if call.head.method == method {
            return order;
        }
        Err(Reply::error(
            405,
            codes::BAD_CALL,
            &format!("{} {path}: {method} is meant", call.head.method),
        ))
    };
    let based_on = || {
        let version = call
            .head
            .headers
            .get("based-on-version")
            .and_then(|version| version.parse().ok());
        version.ok_or_else(|| Reply::error(400, codes::BAD_CALL, "Based-On-Version"))
    };
    match words.as_slice() {
        ["v1", "configuration", "replace"] => wants(
            "POST",
            based_on().and_then(|based_on| {
                // It can be told at once, and without the others.
                ControlState::check(&call.body).map_err(|invalid| {
                    Reply::told(400, invalid.code, &invalid.place, &invalid.what)
                })?;
                Ok(configure(Form::Replace, based_on, &call.body))
            }),
        ),
        ["v1", "configuration", "update"] => wants(
            "POST",
            based_on().map(|based_on| configure(Form::Update, based_on, &call.body)),
        ),
        ["v1", "configuration", "read"] => wants("GET", Ok(Order::Read)),
        ["v1", "status"] => wants("GET", Ok(Order::Status)),
        ["v1", "evacuation", zone, verb @ ("begin" | "finish")] => wants(
            "POST",
            Ok(Order::Evacuate {
                zone: (*zone).to_owned(),
                begin: *verb == "begin",
            }),
        ),
        _ => Err(Reply::error(404, codes::BAD_CALL, path)),
    }
}

fn configure(form: Form, based_on: u64, body: &[u8]) -> Order {
    Order::Configure(Command::Configure {
        form,
        based_on,
        body: body.to_vec(),
    })
}

/// The answer to an order for what came of it.
pub fn outcome(result: Result<Outcome, CallError>) -> Reply {
    match result {
        Ok(Outcome::Taken { version }) => {
            Reply::success(format!("{{\"version_number\":{version}}}"))
        }
        Ok(Outcome::Other { current }) => {
            Reply::error(412, codes::ANOTHER_VERSION, &format!("current {current}"))
        }
        Ok(Outcome::Invalid { code, place, what }) => Reply::told(400, Code(code), &place, &what),
        Ok(Outcome::Superseded { number }) => {
            Reply::error(503, codes::OVERTAKEN, &format!("by number {number}"))
        }
        Ok(Outcome::Forgotten) => unsure(),
        Err(refusal) => refused(refusal),
    }
}

/// The answer to an order for a zone that nothing names, the chain having just answered.
pub fn unknown_zone(zone: &str) -> Reply {
    Reply::error(404, codes::UNKNOWN_ZONE, zone)
}

/// The answer to a call that may have waited for so long that its caller has sent it elsewhere.
pub fn too_late() -> Reply {
    Reply::error(503, codes::TOO_LATE, "control")
}

/// The answer to a read.
pub fn answer(result: Result<Answer, CallError>) -> Reply {
    match result {
        Ok(Some(document)) => Reply::success(document),
        Ok(None) => Reply::error(404, codes::NO_CONFIGURATION, "configuration"),
        Err(refusal) => refused(refusal),
    }
}

/// The answer to a call that the replica refused.
pub fn refused(refusal: CallError) -> Reply {
    match refusal {
        CallError::NoMajority => Reply::error(503, codes::NOT_NOW, "control"),
        CallError::Full => Reply::error(503, codes::WAL_FULL, "disk"),
        CallError::TimedOut => unsure(),
    }
}

/// The answer to a call that was not acknowledged in time.
pub fn unsure() -> Reply {
    Reply::error(503, codes::UNSURE, "control")
}
