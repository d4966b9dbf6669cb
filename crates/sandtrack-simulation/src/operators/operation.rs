//! The operations of operators, and their requests.
use super::zone_name;
use crate::documents;
use crate::plan::{Millis, RequestKind};
use sandtrack_protocol::document::Document;
use sandtrack_sidecar_core::message::Message;

/// What an operation asks for.
#[derive(Clone, Debug)]
pub(super) enum OperationKind {
    Change {
        based_on: u64,
        document: Option<Document>,
        replaces: bool,
        body: String,
    },
    Evacuate {
        zone: usize,
        begin: bool,
    },
    Read {
        at_least: u64,
    },
}

impl OperationKind {
    pub(super) fn request_kind(&self) -> RequestKind {
        match self {
            OperationKind::Change { .. } => RequestKind::Change,
            OperationKind::Evacuate { .. } => RequestKind::Evacuation,
            OperationKind::Read { .. } => RequestKind::Read,
        }
    }
}

/// What an operator asks for, until the response is definite.
#[derive(Clone, Debug)]
pub(super) struct Operation {
    pub(super) kind: OperationKind,
    /// The acknowledged operation that this one submits once more.
    pub(super) resubmits: Option<usize>,
    pub(super) began_at: Millis,
    pub(super) attempts: u32,
    /// The call in flight, and when it was sent.
    pub(super) call: Option<(u64, Millis)>,
    pub(super) retry_at: Millis,
}

/// The request of an operation, and its description for the log.
pub(super) fn message(kind: &OperationKind) -> (Message, String) {
    match kind {
        OperationKind::Change {
            based_on,
            replaces,
            body,
            document,
        } => {
            let verb = if *replaces { "replace" } else { "update" };
            let target = format!("/v1/configuration/{verb}");
            let version = document.as_ref().map(|document| document.version);
            (
                documents::request("POST", &target, *based_on, body),
                format!("{verb} {based_on} by {version:?}"),
            )
        }
        OperationKind::Evacuate { zone, begin } => {
            let verb = if *begin { "begin" } else { "finish" };
            let target = format!("/v1/evacuation/{}/{verb}", zone_name(*zone));
            (documents::request("POST", &target, 0, ""), target)
        }
        OperationKind::Read { .. } => (
            documents::request("GET", "/v1/configuration/read", 0, ""),
            "read".to_owned(),
        ),
    }
}
