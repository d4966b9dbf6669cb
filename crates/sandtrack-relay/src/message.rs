//! What relays say to each other.
use borsh::{BorshDeserialize, BorshSerialize};

/// One message from a relay to another; its fields are the relays' own affair.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Message {}
