//! What a process gives to a replica and gets from it.
use crate::{Address, Message, View};

/// The state that commands change. Deterministic: the same commands in the same order give the same state,
/// the same outcomes and the same snapshot on every machine.
pub trait StateMachine {
    /// Applies the committed command `number` (from 1, without gaps); the outcome is told to its caller.
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8>;
    /// Answers a question from the state as it stands.
    fn query(&self, question: &[u8]) -> Vec<u8>;
    fn snapshot(&self) -> Vec<u8>;
    /// Takes the state of a snapshot; false (and no change) when it can't be read.
    fn restore(&mut self, snapshot: &[u8]) -> bool;
}

/// What a replica is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    pub me: Address,
    pub zone: String,
    /// The incarnation to take when the WAL was found empty: random, not 0.
    pub incarnation_if_new: u64,
    /// The very first start of the whole system.
    pub first_start: bool,
    /// Links of the seeds, in the order that all were given.
    pub seeds: Vec<Address>,
    /// Whether there is a disk to write to. Without one a process only learns and passes calls on.
    pub disk: bool,
    /// How many machines may be lost at one time.
    pub machines_borne: usize,
    /// How many zones may be lost at one time.
    pub zones_borne: usize,
    /// For jitter and the names of calls; another one at each start of the process.
    pub seed: u64,
    pub timings: Timings,
}

impl Settings {
    /// Settings of a process with a disk that bears the loss of one machine.
    pub fn new(me: &str, seeds: &[&str]) -> Self {
        Self {
            me: me.to_string(),
            zone: String::new(),
            incarnation_if_new: 1,
            first_start: true,
            seeds: seeds.iter().map(|seed| seed.to_string()).collect(),
            disk: true,
            machines_borne: 1,
            zones_borne: 0,
            seed: 1,
            timings: Timings::default(),
        }
    }
}

/// Spans in milliseconds.
#[derive(Clone, Debug)]
pub struct Timings {
    /// Between looks at what is due.
    pub tick: f64,
    /// Between two statuses to the other members.
    pub pulse: f64,
    /// Silence after which a member is suspected.
    pub silence: f64,
    /// A write that takes longer means that the disk is stalled.
    pub stall: f64,
    /// A repeat of what was not answered: passes, alignments, calls.
    pub repeat: f64,
    /// Between the proposals of two voters of neighbouring rank.
    pub stagger: f64,
    /// A proposal that found no majority is given up.
    pub proposal: f64,
    /// A voter outside the chain that was silent for so long may be replaced.
    pub replace: f64,
    /// A call that found no answer is refused, and not tried any more: as long as its caller waits.
    pub call: f64,
    /// A full disk is tried again.
    pub disk_again: f64,
}

impl Default for Timings {
    fn default() -> Self {
        Self {
            tick: 50.0,
            pulse: 200.0,
            silence: 900.0,
            stall: 1200.0,
            repeat: 250.0,
            stagger: 150.0,
            proposal: 800.0,
            replace: 2500.0,
            call: 4000.0,
            disk_again: 500.0,
        }
    }
}

/// What happened to a process.
#[derive(Clone, Debug)]
pub enum Input {
    Received {
        from: Address,
        message: Message,
    },
    /// All of the write is durable.
    Written {
        ticket: u64,
    },
    /// Nothing of the write is in the WAL, nor will be. A process that can't be sure of that stops.
    WriteFailed {
        ticket: u64,
    },
    /// A command of a caller; answered once under `call`.
    Submit {
        call: u64,
        command: Vec<u8>,
    },
    /// A question of a caller; answered once under `call`.
    Read {
        call: u64,
        question: Vec<u8>,
    },
    /// The process was told to stop: the others are to go on without it as soon as they can. It ends once
    /// `Replica::is_needed` is false.
    Leave,
    Tick,
}

/// What a process has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// May be lost, delayed or doubled.
    Send { to: Address, message: Message },
    /// Append all, sync, then `Input::Written`. At most one write or rewrite is under way.
    Write { ticket: u64, records: Vec<Vec<u8>> },
    /// Replace the WAL's content; durable before `Input::Written`.
    Rewrite { ticket: u64, records: Vec<Vec<u8>> },
    /// Committed; in order, each once.
    Applied {
        number: u64,
        command: Vec<u8>,
        outcome: Vec<u8>,
    },
    /// The machine's state jumped to the one after command `number`, by a snapshot or at the start.
    Restored { number: u64 },
    /// The outcome of a submit, or the answer of a read.
    Answer {
        call: u64,
        result: Result<Vec<u8>, Refusal>,
    },
    /// A later view than the one told before is known.
    ViewIs(View),
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// Surely not in force.
    #[error("R1 no chain could be reached")]
    NoMajority,
    /// May or may not be in force, now or later.
    #[error("R2 no answer in time")]
    TimedOut,
    /// Surely not in force.
    #[error("R3 the disk takes no more")]
    Full,
}
