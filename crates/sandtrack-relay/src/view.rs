//! Who may take part: members, and the views that a majority of the former voters agreed upon.
use borsh::{BorshDeserialize, BorshSerialize};

/// "ip:port" of a postmaster's link to its peers.
pub type Address = String;

/// One postmaster for the life of its disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Member {
    pub address: Address,
    /// 0 for the seeds of the very first start, else drawn at random when the disk was found empty.
    pub incarnation: u64,
}

/// An agreed view. There is at most one for each epoch.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct View {
    pub epoch: u64,
    /// From the head to the tail.
    pub chain: Vec<Member>,
    /// Whose majority agrees on the next view.
    pub voters: Vec<Member>,
    /// For each of `chain`: the epoch since which it has been in the chain without a break.
    pub since: Vec<u64>,
    /// For each of `chain`: its zone; empty where it isn't known (the first view).
    pub zones: Vec<String>,
}
