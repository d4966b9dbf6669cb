//! Which messages are long enough to be fragmented, and what identifies them.

use borsh::BorshSerialize;

use crate::log_sync::MAX_BATCH_BYTES;
use crate::message::{Body, CallId, Entry, LogPosition, SyncBatch};

/// Bytes of entries, or of a command, up to which a message is sent as one.
const MAX_UNFRAGMENTED_BYTES: usize = MAX_BATCH_BYTES;

/// Identifies the content of a long message: one that is already queued is not added again.
#[derive(Clone, Debug, PartialEq, BorshSerialize)]
pub(super) enum MessageKey {
    /// Entries of the log, first to last. They belong to one epoch.
    Forward {
        first: LogPosition,
        last: LogPosition,
    },
    /// As above, for a member that is synchronised.
    SyncBatch {
        first: LogPosition,
        last: LogPosition,
    },
    /// Committed entries for an observer.
    CommittedEntries {
        first: LogPosition,
        last: LogPosition,
    },
    Submit(CallId),
    /// An answer, or a question.
    Other(CallId),
}

impl MessageKey {
    pub(super) fn is_epoch_bound(&self) -> bool {
        matches!(self, Self::Forward { .. } | Self::SyncBatch { .. })
    }
}

impl Body {
    /// The key of a message that is long enough to be fragmented; `None` for all others.
    pub(super) fn fragmentation_key(&self) -> Option<MessageKey> {
        let span = |entries: &[Entry]| Some((entries.first()?.position, entries.last()?.position));
        let is_long = |entries: &[Entry]| {
            entries.iter().map(Entry::size).sum::<usize>() > MAX_UNFRAGMENTED_BYTES
        };
        match self {
            Self::Forward { entries } if is_long(entries) => {
                span(entries).map(|(first, last)| MessageKey::Forward { first, last })
            }
            Self::SyncBatch(SyncBatch { entries, .. }) if is_long(entries) => {
                span(entries).map(|(first, last)| MessageKey::SyncBatch { first, last })
            }
            Self::CommittedEntries { entries, .. } if is_long(entries) => {
                span(entries).map(|(first, last)| MessageKey::CommittedEntries { first, last })
            }
            Self::Submit { call, command, .. } if command.len() > MAX_UNFRAGMENTED_BYTES => {
                Some(MessageKey::Submit(call.clone()))
            }
            Self::Read {
                call, query: bytes, ..
            }
            | Self::ForwardRead {
                call, query: bytes, ..
            }
            | Self::ReadOutcome {
                call,
                answer: bytes,
            }
            | Self::Outcome {
                call,
                outcome: bytes,
            } if bytes.len() > MAX_UNFRAGMENTED_BYTES => Some(MessageKey::Other(call.clone())),
            _ => None,
        }
    }
}
