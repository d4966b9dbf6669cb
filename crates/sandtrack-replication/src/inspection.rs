//! What a model checker needs of a replica besides its inputs and effects: its whole state as bytes, and the part of the
//! durable state on which properties are stated. Nothing here takes part in a decision.
use std::io::{Result, Write};

use borsh::BorshSerialize;

use crate::applied_state::AppliedState;
use crate::message::Body;
use crate::{Message, Replica, StateMachine, View};

/// What of a replica is durable, as far as properties speak of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DurableFacts {
    /// Epoch of the view on the disk.
    pub epoch: u64,
    /// The last epoch in which the log was synchronised.
    pub in_sync_epoch: u64,
    /// Number of the last entry in the log.
    pub end: u64,
    /// The view that was accepted to follow the one on the disk.
    pub accepted: Option<View>,
}

impl<M: StateMachine> Replica<M> {
    /// Writes all that the replica's further course depends on, except its settings. Equal bytes mean equal
    /// behaviour under equal inputs. Times are absolute milliseconds of the monotonic clock.
    ///
    /// # Errors
    /// Those of the writer; a hasher has none.
    pub fn write_state(&self, writer: &mut impl Write) -> Result<()> {
        self.serialize(writer)
    }

    /// The durable state, as far as properties are stated on it.
    pub fn durable_facts(&self) -> DurableFacts {
        DurableFacts {
            epoch: self.durable.view.epoch,
            in_sync_epoch: self.durable.in_sync_epoch,
            end: self.durable.last_position().number,
            accepted: self.durable.accepted.as_ref().map(|(_, view)| view.clone()),
        }
    }
}

impl Message {
    /// Whether it is a heartbeat: each replaces the one before it.
    pub fn is_status(&self) -> bool {
        matches!(*self.body, Body::Status(_))
    }
}

/// The state machine by its snapshot, beside the outcomes that are kept.
impl<M: StateMachine> BorshSerialize for AppliedState<M> {
    fn serialize<W: Write>(&self, writer: &mut W) -> Result<()> {
        self.snapshot().serialize(writer)
    }
}
