//! The messages between replicas.
//!
//! Their borsh form is the wire format: the order of variants and of fields is fixed.
use borsh::{BorshDeserialize, BorshSerialize};

use crate::{Address, Member, View};

/// Approximate size of an entry without its command.
const ENTRY_OVERHEAD_BYTES: usize = 64;

/// One message from a replica to another. Its content is private to this crate.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct Message {
    /// The incarnation of the sender's disk.
    pub(crate) incarnation: u64,
    /// The start number of the sender's process, which differs at each start.
    pub(crate) start: u64,
    /// Epoch of the view on the sender's disk, to which the body refers.
    pub(crate) epoch: u64,
    /// The latest epoch whose view the sender knows, or accepted on its disk. That view may have been decided, so the
    /// sender speaks for no earlier one.
    pub(crate) highest_epoch: u64,
    /// When it was sent, in microseconds of the sender's monotonic clock. Only comparable within one start.
    pub(crate) sent: u64,
    pub(crate) body: Box<Body>,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) enum Body {
    /// The heartbeat.
    Status(Status),
    /// A decided view.
    NewView(View),
    /// Paxos phase 1a, on the view after `epoch`.
    Prepare { ballot: Ballot },
    /// Paxos phase 1b.
    Promise {
        ballot: Ballot,
        accepted: Option<(Ballot, View)>,
    },
    /// Paxos phase 2a.
    Accept { ballot: Ballot, view: View },
    /// Paxos phase 2b.
    Accepted { ballot: Ballot },
    /// Negative acknowledgement: the voter has promised a higher ballot.
    Preempted { ballot: Ballot, promised: Ballot },
    /// To the predecessor: asks for the entries that this log lacks.
    SyncRequest {
        /// The last position of each epoch in the sender's log.
        epoch_ends: Vec<LogPosition>,
        /// Position of the sender's applied state.
        applied: LogPosition,
    },
    /// To the successor: the answer to a `SyncRequest`.
    SyncBatch(SyncBatch),
    /// Down the chain: new entries.
    Forward { entries: Vec<Entry> },
    /// Up the chain.
    Ack {
        /// The end of the log on the sender's disk.
        durable_end: u64,
        /// What all of the chain have on their disks.
        committed: u64,
    },
    /// Towards the head: a command.
    Submit {
        call: CallId,
        command: Vec<u8>,
        hops: u8,
    },
    /// Back to the origin of a call: the outcome of its command.
    Outcome { call: CallId, outcome: Vec<u8> },
    /// The head could not write the command, which is in no log.
    DiskFull { call: CallId, head: Member },
    /// Towards the head: a query.
    Read {
        call: CallId,
        query: Vec<u8>,
        hops: u8,
    },
    /// Down the chain: a query, which needs no write.
    ForwardRead {
        call: CallId,
        query: Vec<u8>,
        reply_to: Address,
    },
    /// Back to the origin of a call: the answer to its query.
    ReadOutcome { call: CallId, answer: Vec<u8> },
    /// Committed entries for an observer.
    CommittedEntries {
        entries: Vec<Entry>,
        /// Others follow once the observer's status reports these.
        more: bool,
    },
    /// The receiver lacks entries that the sender's log no longer holds: it can fetch this snapshot.
    SnapshotOffer(SnapshotId),
    /// Asks for the chunk of a snapshot at an offset; an offset equal to its length reports completion.
    SnapshotFetch { id: SnapshotId, offset: u64 },
    /// A part of a snapshot.
    SnapshotChunk {
        id: SnapshotId,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// A part of the sender's long message `id`, which has `length` bytes.
    Fragment {
        id: u64,
        length: u64,
        offset: u64,
        bytes: Vec<u8>,
    },
    /// All of a long message up to this byte was received.
    FragmentAck { id: u64, received: u64 },
}

/// Log entries from the predecessor for a member that is not in sync with it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) struct SyncBatch {
    /// The position that the entries follow.
    pub(crate) after: LogPosition,
    /// `after` is the receiver's applied state, which replaces its log; otherwise it is a position in its log.
    pub(crate) after_applied_state: bool,
    pub(crate) entries: Vec<Entry>,
    /// The predecessor's log has more entries after these.
    pub(crate) more: bool,
}

/// Identifies a snapshot: the same on every member that takes one at that position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(crate) struct SnapshotId {
    pub(crate) position: LogPosition,
    /// Bytes of the state.
    pub(crate) length: u64,
    /// CRC-32 of the state.
    pub(crate) digest: u32,
}

/// What a replica reports in each heartbeat.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) struct Status {
    pub(crate) zone: String,
    pub(crate) disk: DiskHealth,
    /// The last epoch in which the sender's log was in sync with its predecessor's.
    pub(crate) in_sync_epoch: u64,
    /// The end of the log on its disk.
    pub(crate) durable_end: u64,
    /// Where the log on its disk begins: who has applied less needs a snapshot.
    pub(crate) log_start: u64,
    /// What it has applied, from its log or as an observer.
    pub(crate) applied: u64,
    /// What of its log is known to be committed by all of the chain of `epoch`, confirmed in this epoch. What it
    /// applied as an observer is not included: that may be of a later epoch, and differ from the log.
    pub(crate) confirmed: u64,
    /// Whom it heard from recently.
    pub(crate) heard_from: Vec<Address>,
    /// From whom it wants committed entries.
    pub(crate) source: Option<Address>,
}

/// Whether a member can write, as reported in its heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub(crate) enum DiskHealth {
    /// Writes succeed.
    Healthy,
    /// A write has been in flight for too long.
    Stalled,
    /// The last write failed.
    Full,
    /// There is no disk.
    Absent,
    /// The disk works, but the state is not there yet: outside the chain, the process needs a snapshot from its
    /// source; in the chain, its log synchronisation makes no progress.
    CatchingUp,
    /// The process is about to end.
    Leaving,
}

/// A Paxos ballot number. Ballots are totally ordered, and no two proposals share one, also when a proposer restarts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub(crate) struct Ballot {
    pub(crate) round: u64,
    pub(crate) proposer: Member,
    /// Start number of the proposer's process.
    pub(crate) start: u64,
}

/// Identifies a call across retries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub(crate) struct CallId {
    /// The process that the caller is connected to.
    pub(crate) origin: Address,
    /// Start number of that process.
    pub(crate) start: u64,
    pub(crate) number: u64,
}

/// A position in the log. Entry number and epoch together identify an entry and all entries before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub(crate) struct LogPosition {
    /// Number of the entry, from 1 without gaps; 0 is the position before the first.
    pub(crate) number: u64,
    /// The epoch in which the head appended the entry.
    pub(crate) epoch: u64,
}

impl LogPosition {
    /// The position before the first entry.
    pub(crate) const ZERO: Self = Self {
        number: 0,
        epoch: 0,
    };
}

/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) struct Entry {
    pub(crate) position: LogPosition,
    pub(crate) call: CallId,
    pub(crate) command: Vec<u8>,
}

impl Entry {
    /// Approximate bytes that it takes in a message.
    pub(crate) fn size(&self) -> usize {
        self.command.len() + ENTRY_OVERHEAD_BYTES
    }
}

/// The state after the entry at `position`, in place of all entries up to it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub(crate) struct Snapshot {
    pub(crate) position: LogPosition,
    pub(crate) state: Vec<u8>,
}
