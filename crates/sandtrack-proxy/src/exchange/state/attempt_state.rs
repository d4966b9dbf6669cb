//! The progress of one attempt. No I/O.
use super::messages::HeadSummary;

/// The stages of an attempt, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum AttemptStage {
    Connecting,
    WritingRequest,
    AwaitingHead,
    /// The body is collected before it is sent to the client.
    CollectingBody(HeadSummary),
    AwaitingFirstChunk(HeadSummary),
    RelayingBody(HeadSummary),
}

/// One attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AttemptState {
    /// Index of the upstream.
    pub(super) upstream: usize,
    /// Whether its connection carried a response before.
    pub(super) reused_connection: bool,
    pub(super) stage: AttemptStage,
}

impl AttemptState {
    /// Whether the upstream may be executing the request, or have executed it.
    pub(super) fn may_have_executed(&self) -> bool {
        match self.stage {
            AttemptStage::Connecting => false,
            AttemptStage::WritingRequest | AttemptStage::AwaitingHead => true,
            AttemptStage::CollectingBody(head)
            | AttemptStage::AwaitingFirstChunk(head)
            | AttemptStage::RelayingBody(head) => !head.was_not_executed(),
        }
    }
}
