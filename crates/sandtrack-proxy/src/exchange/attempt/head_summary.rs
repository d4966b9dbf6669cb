//! Extracts the parts of a response's head that the exchange depends on. No I/O.
use crate::exchange::state::{HeadSummary, MediaType, ResponseOwner};
use crate::policy::Policy;
use crate::upstream_connections::pool::idle_timeout;
use sandtrack_net::http::BodyDelimiter;
use sandtrack_sidecar_core::message::Head;

const EVENT_STREAM: &str = "text/event-stream";

/// Summarizes a response's head for the request with this id.
#[must_use]
pub fn summarize_head(head: &Head, request_id: &str, policy: &Policy) -> HeadSummary {
    HeadSummary {
        owner: match head.headers.get("request-id") {
            Some(id) if id == request_id => ResponseOwner::ThisRequest,
            Some(_) => ResponseOwner::OtherRequest,
            None => ResponseOwner::Unidentified,
        },
        status: head.status,
        not_executed: head.headers.get("not-executed").is_some(),
        sealed: head.headers.get("server-seal").is_some(),
        keep_alive: idle_timeout(head, policy).is_some(),
        delimiter: BodyDelimiter::of(head),
        media_type: media_type(head),
    }
}

fn media_type(head: &Head) -> MediaType {
    let Some(content_type) = head.headers.get("content-type") else {
        return MediaType::Unspecified;
    };
    let essence = content_type.split(';').next().unwrap_or_default();
    if essence.trim().eq_ignore_ascii_case(EVENT_STREAM) {
        MediaType::EventStream
    } else {
        MediaType::Other
    }
}
