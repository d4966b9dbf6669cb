//! What replicas say to each other.
use borsh::{BorshDeserialize, BorshSerialize};

use crate::{Address, Member, View};

/// Bytes of an entry besides its command, about.
const ENTRY_OVERHEAD: usize = 64;

/// One message from a replica to another; what it holds is the replicas' own affair.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// Of the sender's disk.
    pub(crate) incarnation: u64,
    /// Another one at each start of the sender's process.
    pub(crate) start: u64,
    /// Of the view that the sender has on its disk; the one that the body is about.
    pub(crate) epoch: u64,
    /// The latest epoch whose view the sender knows, or accepted on its disk. That view may have been decided, so the
    /// sender speaks for no earlier one.
    pub(crate) bound: u64,
    /// When it was sent, in microseconds of the sender's steady clock; it says nothing beside those of another start.
    pub(crate) sent: u64,
    pub(crate) body: Box<Body>,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) enum Body {
    Status(Status),
    /// An agreed view.
    NewView(View),
    /// Asks for a promise to take no lower ballot on the view after `epoch`.
    Prepare {
        ballot: Ballot,
    },
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
    },
    Accept {
        ballot: Ballot,
        view: View,
    },
    Accepted {
        ballot: Ballot,
    },
    /// A higher ballot was promised.
    Outbid {
        ballot: Ballot,
        promised: Ballot,
    },
    /// To the predecessor: bring me in line. `ends` are the last numbers of each epoch in the sender's log,
    /// `applied` is the position of its committed state.
    Align {
        ends: Vec<Position>,
        applied: Position,
    },
    /// To the successor: what follows `after` in the log. With `on_applied` it follows the receiver's committed
    /// state, which takes the place of its log; with `more` it does not go up to the end.
    InLine {
        after: Position,
        on_applied: bool,
        entries: Vec<Entry>,
        more: bool,
    },
    /// Down the chain.
    Pass {
        entries: Vec<Entry>,
    },
    /// Up the chain: `synced` by the sender, `committed` by all of the chain.
    Ack {
        synced: u64,
        committed: u64,
    },
    Submit {
        call: CallId,
        command: Vec<u8>,
        hops: u8,
    },
    Outcome {
        call: CallId,
        outcome: Vec<u8>,
    },
    /// The head could not write the command; it is nowhere.
    DiskFull {
        call: CallId,
        head: Member,
    },
    Read {
        call: CallId,
        question: Vec<u8>,
        hops: u8,
    },
    /// Down the chain, without a sync.
    ReadPass {
        call: CallId,
        question: Vec<u8>,
        reply_to: Address,
    },
    ReadOutcome {
        call: CallId,
        answer: Vec<u8>,
    },
    /// Committed entries for an observer; with `more` others follow once the observer's status tells of these.
    Learn {
        entries: Vec<Entry>,
        more: bool,
    },
    /// The receiver lacks more than the log holds: this snapshot can be fetched from the sender.
    Offer(SnapshotId),
    /// Asks for the piece of a snapshot at an offset; its length means that the snapshot is complete.
    Fetch {
        id: SnapshotId,
        offset: u64,
    },
    Piece {
        id: SnapshotId,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// A piece of the sender's long message `id`, which has `length` bytes.
    Fragment {
        id: u64,
        length: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// All pieces of a long message up to this byte came.
    FragmentTaken {
        id: u64,
        received: u64,
    },
}

/// Which snapshot it is: the same on every member that takes one at that position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(crate) struct SnapshotId {
    pub(crate) at: Position,
    /// Bytes of the state.
    pub(crate) length: u64,
    /// CRC-32 of the state.
    pub(crate) digest: u32,
}

/// What a replica tells of itself at each pulse.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) struct Status {
    pub(crate) zone: String,
    pub(crate) disk: DiskHealth,
    /// The last epoch in which the sender was brought in line.
    pub(crate) aligned: u64,
    /// The end of the log on its disk.
    pub(crate) synced: u64,
    /// Where the log on its disk begins: who has applied less needs a snapshot.
    pub(crate) base: u64,
    /// What it has applied, from its log or as an observer.
    pub(crate) applied: u64,
    /// What of its log is known to be committed by all of the chain of `epoch`, confirmed in this epoch. What it
    /// learned as an observer is not in it: that may be of a later epoch, and differ from the log.
    pub(crate) confirmed: u64,
    /// Whom it heard from of late.
    pub(crate) hears: Vec<Address>,
    /// Whom it wants to learn from.
    pub(crate) source: Option<Address>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(crate) enum DiskHealth {
    Well,
    /// A write has been under way for too long.
    Stalled,
    /// The last write was refused.
    Full,
    /// There is no disk.
    Absent,
    /// The disk works, but the state is not there yet: outside the chain, one that lacks more than the log of its
    /// source holds; in the chain, one that makes no progress on its way into line.
    CatchingUp,
    /// The process is about to end.
    Leaving,
}

/// Ordered; no two proposals share one, also when a proposer starts again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub(crate) struct Ballot {
    pub(crate) round: u64,
    pub(crate) proposer: Member,
    pub(crate) start: u64,
}

/// The name of a call, the same at each try.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub(crate) struct CallId {
    pub(crate) origin: Address,
    pub(crate) start: u64,
    pub(crate) number: u64,
}

/// Where an entry stands. The number and the epoch name an entry and all before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub(crate) struct Position {
    pub(crate) number: u64,
    pub(crate) epoch: u64,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) struct Entry {
    pub(crate) at: Position,
    pub(crate) call: CallId,
    pub(crate) command: Vec<u8>,
}

impl Entry {
    /// Bytes that it takes in a message, near enough.
    pub(crate) fn size(&self) -> usize {
        self.command.len() + ENTRY_OVERHEAD
    }
}

/// The state after the entry at `at`, in place of all entries up to it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) struct Snapshot {
    pub(crate) at: Position,
    pub(crate) state: Vec<u8>,
}
