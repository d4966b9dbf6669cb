//! Parsing of operators' calls.
use super::responses::{self, Reply};
use crate::state_machine::{ChangeKind, Command, ControlState};
use sandtrack_protocol::codes;
use sandtrack_sidecar_core::message::{self, Message};

/// Longest body of a call, in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 20;
/// A call that is not acknowledged within this is answered as such, in ms: its caller gives up after a second.
pub const CALL_TIMEOUT_MS: f64 = 850.0;
/// The same for an evacuation, in ms. Its caller may be in another region, where the TCP handshake and the exchange take two
/// round trips of that second, and is redirected in time only if the response is early enough.
pub const EVACUATION_TIMEOUT_MS: f64 = 700.0;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Request {
    /// Replicate a configuration; acknowledged when it is committed.
    Configure(Command),
    /// Begin or finish the evacuation of a zone; the command gets the number of the zone's last order.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Begin; else finish.
        begin: bool,
    },
    /// Read the newest committed configuration.
    Read,
    /// Describe this control node and what it knows of the others.
    Status,
}

/// Parses a call.
///
/// # Errors
/// The response to a call that is malformed, or whose configuration is invalid by itself. It depends on the call alone.
pub fn parse(call: &Message) -> Result<Request, Reply> {
    let target = message::origin_form(&call.head.target);
    let path = target.split('?').next().unwrap_or_default();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let expect = |method: &str| match call.head.method == method {
        true => Ok(()),
        false => Err(wrong_method(call, path, method)),
    };
    match segments.as_slice() {
        ["v1", "configuration", "replace"] => {
            let replacement = parse_replacement(call);
            expect("POST").and(replacement)
        }
        ["v1", "configuration", "update"] => {
            let update = based_on_version(call)
                .map(|based_on| configure(ChangeKind::Update, based_on, &call.body));
            expect("POST").and(update)
        }
        ["v1", "configuration", "read"] => expect("GET").map(|()| Request::Read),
        ["v1", "status"] => expect("GET").map(|()| Request::Status),
        ["v1", "evacuation", zone, verb @ ("begin" | "finish")] => {
            expect("POST").map(|()| Request::Evacuate {
                zone: (*zone).to_owned(),
                begin: *verb == "begin",
            })
        }
        _ => Err(Reply::error(404, codes::BAD_CALL, path)),
    }
}

fn wrong_method(call: &Message, path: &str, expected: &str) -> Reply {
    let place = format!("{} {path}: {expected} is meant", call.head.method);
    Reply::error(405, codes::BAD_CALL, &place)
}

/// An invalid replacement is rejected here, without the other control nodes.
fn parse_replacement(call: &Message) -> Result<Request, Reply> {
    let based_on = based_on_version(call)?;
    ControlState::validate(&call.body).map_err(|invalid| responses::invalid(&invalid))?;
    Ok(configure(ChangeKind::Replace, based_on, &call.body))
}

fn based_on_version(call: &Message) -> Result<u64, Reply> {
    let header = call.head.headers.get("based-on-version");
    header
        .and_then(|version| version.parse().ok())
        .ok_or_else(|| Reply::error(400, codes::BAD_CALL, "Based-On-Version"))
}

fn configure(kind: ChangeKind, based_on: u64, body: &[u8]) -> Request {
    Request::Configure(Command::Configure {
        kind,
        based_on,
        body: body.to_vec(),
    })
}
