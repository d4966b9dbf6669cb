//! The interface of a replica: its settings, its inputs, its effects and the state machine that it replicates.
use crate::{Address, Message, View};

/// The replicated state machine.
///
/// It has to be deterministic: the same commands in the same order give the same state, the same outcomes and
/// the same snapshot on every machine.
pub trait StateMachine {
    /// Applies the committed command with this entry number (from 1, without gaps) and returns its outcome,
    /// which is sent to the caller.
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8>;
    /// Answers a query from the current state.
    fn query(&self, query: &[u8]) -> Vec<u8>;
    /// The whole state, serialized.
    fn snapshot(&self) -> Vec<u8>;
    /// Replaces the state by that of a snapshot. Returns false, and changes nothing, if it can't be decoded.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}

/// The settings that a replica is started with.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The address under which the other replicas reach this process.
    pub address: Address,
    /// The failure domain of this machine; empty if unknown.
    pub zone: String,
    /// The incarnation to take if the WAL was found empty: random, not 0.
    pub new_incarnation: u64,
    /// Whether this is the very first start of the whole system.
    pub first_start: bool,
    /// Addresses of the seeds, in the same order on every process.
    pub seeds: Vec<Address>,
    /// Whether there is a disk to write to. A process without one only observes and forwards calls.
    pub has_disk: bool,
    /// How many machines may be lost at the same time.
    pub tolerated_machine_losses: usize,
    /// How many zones may be lost at the same time.
    pub tolerated_zone_losses: usize,
    /// Seeds jitter and the process's start number; has to differ at each start of the process.
    pub random_seed: u64,
    /// Intervals and timeouts.
    pub timings: Timings,
}

impl Settings {
    /// Settings of a process with a disk in a system that tolerates the loss of one machine.
    pub fn new(address: &str, seeds: &[&str]) -> Self {
        Self {
            address: address.to_string(),
            zone: String::new(),
            new_incarnation: 1,
            first_start: true,
            seeds: seeds.iter().map(|seed| seed.to_string()).collect(),
            has_disk: true,
            tolerated_machine_losses: 1,
            tolerated_zone_losses: 0,
            random_seed: 1,
            timings: Timings::default(),
        }
    }
}

/// Intervals and timeouts, in milliseconds.
#[derive(Clone, Debug)]
pub struct Timings {
    /// Between two `Input::Tick`s.
    pub tick_interval: f64,
    /// Between two status messages to another member.
    pub heartbeat_interval: f64,
    /// A member that was not heard from for this long is suspected.
    pub failure_timeout: f64,
    /// A write that takes longer means that the disk is stalled.
    pub disk_stall_timeout: f64,
    /// After which an unacknowledged message is sent again.
    pub retry_interval: f64,
    /// Between the proposals of two voters of adjacent rank, so that they rarely compete.
    pub proposer_stagger: f64,
    /// After which a proposal without a majority is abandoned.
    pub proposal_timeout: f64,
    /// After which a silent voter outside the chain may be replaced.
    pub voter_replacement_timeout: f64,
    /// After which an unanswered call fails and is no longer retried: as long as its caller waits.
    pub call_timeout: f64,
    /// After which a write to a full disk is tried again.
    pub disk_retry_interval: f64,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            tick_interval: 50.0,
            heartbeat_interval: 200.0,
            failure_timeout: 900.0,
            disk_stall_timeout: 1200.0,
            retry_interval: 250.0,
            proposer_stagger: 150.0,
            proposal_timeout: 800.0,
            voter_replacement_timeout: 2500.0,
            call_timeout: 4000.0,
            disk_retry_interval: 500.0,
        }
    }
}

/// An event that a process passes to its replica.
#[derive(Clone, Debug)]
pub enum Input {
    /// A message from another replica arrived.
    Received {
        /// The sender.
        from: Address,
        /// What it sent.
        message: Message,
    },
    /// The whole write is durable.
    Written {
        /// Of the `Effect::Write` or `Effect::Rewrite`.
        ticket: u64,
    },
    /// Nothing of the write is in the WAL, nor will be. A process that can't be sure of that has to stop.
    WriteFailed {
        /// Of the `Effect::Write` or `Effect::Rewrite`.
        ticket: u64,
    },
    /// A command of a caller; answered once under `call`.
    Submit {
        /// The process's own number of the call.
        call: u64,
        /// For `StateMachine::apply`.
        command: Vec<u8>,
    },
    /// A query of a caller; answered once under `call`.
    Read {
        /// The process's own number of the call.
        call: u64,
        /// For `StateMachine::query`.
        query: Vec<u8>,
    },
    /// The process is shutting down: the others are to continue without it as soon as they can. It ends once
    /// `Replica::is_needed` is false.
    Leave,
    /// The time that `Replica::next_tick` asked for has come.
    Tick,
}

/// An action that a replica asks its process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a message, which may be lost, delayed or duplicated.
    Send {
        /// The receiver.
        to: Address,
        /// What to send.
        message: Message,
    },
    /// Append all records, sync, then pass `Input::Written`. At most one write or rewrite is in flight.
    Write {
        /// Identifies the write.
        ticket: u64,
        /// What to append.
        records: Vec<Vec<u8>>,
    },
    /// Replace the content of the WAL; durable before `Input::Written`.
    Rewrite {
        /// Identifies the write.
        ticket: u64,
        /// The new content.
        records: Vec<Vec<u8>>,
    },
    /// A command was committed and applied; in order, each once.
    Applied {
        /// Entry number of the command.
        number: u64,
        /// The command.
        command: Vec<u8>,
        /// What `StateMachine::apply` returned.
        outcome: Vec<u8>,
    },
    /// The state machine jumped to the state after this entry number, from a snapshot or at the start.
    Restored {
        /// Entry number of the last command in the state.
        number: u64,
    },
    /// The result of a call.
    Answer {
        /// As in `Input::Submit` or `Input::Read`.
        call: u64,
        /// The outcome of a submitted command, or the answer to a query.
        result: Result<Vec<u8>, CallError>,
    },
    /// A later view than the previous one is known.
    ViewChanged(View),
}

/// Why a call failed. The codes are listed in `docs/system/codes.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The command definitely was not, and will not be, applied.
    #[error("R1 no chain could be reached")]
    NoMajority,
    /// The command may or may not have been applied, or be applied later.
    #[error("R2 no answer in time")]
    TimedOut,
    /// The command definitely was not, and will not be, applied.
    #[error("R3 the disk takes no more")]
    Full,
}
