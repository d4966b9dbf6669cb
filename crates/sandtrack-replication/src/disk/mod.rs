//! The disk: one write at a time, which combines all that is to be written. What to write is decided on the durable state
//! alone, so a failed write needs no undo.
mod invariants;
mod records;
mod writes;

use borsh::BorshSerialize;

use crate::durable_state::WalRecord;
use crate::message::{Ballot, CallId, DiskHealth};
use crate::{Address, View};

/// A committed index that nothing else carries is written after this calm, in milliseconds.
const IDLE_COMMIT_DELAY_MS: f64 = 500.0;

/// What happens once a write is durable.
#[derive(Clone, Debug, BorshSerialize)]
pub(crate) enum OnDurable {
    Promised { to: Address, ballot: Ballot },
    Accepted { to: Address, ballot: Ballot },
    Entered,
}

#[derive(Clone, BorshSerialize)]
struct WriteInFlight {
    ticket: u64,
    records: Vec<WalRecord>,
    after: Vec<OnDurable>,
    /// Calls whose commands are in it, as the head.
    calls: Vec<CallId>,
    since: f64,
    bytes: usize,
    rewrite: bool,
}

#[derive(Clone, BorshSerialize)]
pub(crate) struct DiskState {
    present: bool,
    in_flight: Option<WriteInFlight>,
    next_ticket: u64,
    full: bool,
    retry_at: f64,
    last_write: f64,
    /// Bytes written since the last rewrite, and by it.
    appended: usize,
    rewritten: usize,
    /// A promise and an acceptance that were asked for.
    pub(crate) promise: Option<(Address, Ballot)>,
    pub(crate) accept: Option<(Address, Ballot, View)>,
}

impl DiskState {
    /// `appended`: the bytes of records that were found.
    pub(crate) fn new(present: bool, appended: usize) -> Self {
        Self {
            present,
            in_flight: None,
            next_ticket: 1,
            full: false,
            retry_at: f64::NEG_INFINITY,
            last_write: f64::NEG_INFINITY,
            appended,
            rewritten: 0,
            promise: None,
            accept: None,
        }
    }

    pub(crate) fn health(&self, now: f64, stall: f64) -> DiskHealth {
        match &self.in_flight {
            _ if !self.present => DiskHealth::Absent,
            _ if self.full => DiskHealth::Full,
            Some(write) if now - write.since > stall => DiskHealth::Stalled,
            _ => DiskHealth::Healthy,
        }
    }

    pub(crate) fn request_promise(&mut self, to: Address, ballot: Ballot) {
        if self
            .promise
            .as_ref()
            .is_none_or(|(_, wanted)| *wanted < ballot)
        {
            self.promise = Some((to, ballot));
        }
    }

    pub(crate) fn request_accept(&mut self, to: Address, ballot: Ballot, view: View) {
        if self
            .accept
            .as_ref()
            .is_none_or(|(_, wanted, _)| *wanted < ballot)
        {
            self.accept = Some((to, ballot, view));
        }
    }

    /// What was wanted in an epoch that is over.
    pub(crate) fn drop_requested(&mut self) {
        self.promise = None;
        self.accept = None;
    }

    /// Whether the log is being written.
    pub(crate) fn is_writing_log(&self) -> bool {
        let of_log = |record: &WalRecord| {
            matches!(record, WalRecord::Entry { .. } | WalRecord::Truncate { .. })
        };
        self.in_flight
            .as_ref()
            .is_some_and(|write| write.records.iter().any(of_log))
    }

    /// Whether a call's command is being written.
    pub(crate) fn is_writing(&self, call: &CallId) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|write| write.calls.contains(call))
    }
}
