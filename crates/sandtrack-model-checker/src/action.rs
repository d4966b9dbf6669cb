//! The actions of the model, one step each, and their lines in a trace.
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

/// An action of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The queued event at this index happens: a message or a call arrives, or a write completes.
    Deliver(usize),
    /// The queued event at this index is delayed: it may be released at any later time, or never.
    Hold(usize),
    /// The queued event at this index happens, and a copy of it is delayed.
    Duplicate(usize),
    /// The delayed event at this index happens.
    Release(usize),
    /// All clocks advance by one tick, and all processes that run handle what is due.
    Tick,
    /// The clock of one machine advances by one tick.
    TickOne(usize),
    /// A process crashes; the write under way is completed or lost.
    Crash {
        /// The index of the machine.
        node: usize,
        /// Whether the write under way is completed.
        write_completed: bool,
    },
    /// All machines lose power at once.
    PowerLoss {
        /// Whether the writes under way are completed.
        write_completed: bool,
    },
    /// A process starts again with its disk.
    Restart(usize),
    /// A machine loses its disk.
    Wipe(usize),
    /// A machine is removed with its disk, and a spare one starts at another address.
    Replace(usize),
    /// A process stops to take steps; its connections stay open.
    Freeze(usize),
    /// A frozen process is resumed.
    Wake(usize),
    /// A one-way partition between two machines.
    Partition {
        /// The sender.
        from: usize,
        /// The receiver.
        to: usize,
    },
    /// A partition between a machine and all others.
    Isolate(usize),
    /// All partitions end.
    Heal,
    /// An operator sends an operation to a machine.
    Send {
        /// The index of the operation in the script.
        operation: usize,
        /// The index of the machine.
        node: usize,
    },
}

impl Display for Action {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let fate = |write_completed: &bool| if *write_completed { "kept" } else { "lost" };
        match self {
            Self::Deliver(at) => write!(f, "deliver {at}"),
            Self::Hold(at) => write!(f, "hold {at}"),
            Self::Duplicate(at) => write!(f, "duplicate {at}"),
            Self::Release(at) => write!(f, "release {at}"),
            Self::Tick => write!(f, "tick"),
            Self::TickOne(node) => write!(f, "tick-one {node}"),
            Self::Crash {
                node,
                write_completed,
            } => write!(f, "crash {node} {}", fate(write_completed)),
            Self::PowerLoss { write_completed } => {
                write!(f, "power-loss {}", fate(write_completed))
            }
            Self::Restart(node) => write!(f, "restart {node}"),
            Self::Wipe(node) => write!(f, "wipe {node}"),
            Self::Replace(node) => write!(f, "replace {node}"),
            Self::Freeze(node) => write!(f, "freeze {node}"),
            Self::Wake(node) => write!(f, "wake {node}"),
            Self::Partition { from, to } => write!(f, "cut {from} {to}"),
            Self::Isolate(node) => write!(f, "isolate {node}"),
            Self::Heal => write!(f, "heal"),
            Self::Send { operation, node } => write!(f, "send {operation} {node}"),
        }
    }
}

/// A line of a trace that is not an action.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an action: {0}")]
pub struct ParseActionError(String);

impl FromStr for Action {
    type Err = ParseActionError;

    fn from_str(line: &str) -> Result<Self, ParseActionError> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let error = || ParseActionError(line.to_owned());
        let number = |at: usize| {
            words
                .get(at)
                .and_then(|word| word.parse().ok())
                .ok_or_else(error)
        };
        let write_completed = |at: usize| match words.get(at) {
            Some(&"kept") => Ok(true),
            Some(&"lost") => Ok(false),
            _ => Err(error()),
        };
        Ok(match words.first().copied().unwrap_or_default() {
            "deliver" => Self::Deliver(number(1)?),
            "hold" => Self::Hold(number(1)?),
            "duplicate" => Self::Duplicate(number(1)?),
            "release" => Self::Release(number(1)?),
            "tick" => Self::Tick,
            "tick-one" => Self::TickOne(number(1)?),
            "crash" => Self::Crash {
                node: number(1)?,
                write_completed: write_completed(2)?,
            },
            "power-loss" => Self::PowerLoss {
                write_completed: write_completed(1)?,
            },
            "restart" => Self::Restart(number(1)?),
            "wipe" => Self::Wipe(number(1)?),
            "replace" => Self::Replace(number(1)?),
            "freeze" => Self::Freeze(number(1)?),
            "wake" => Self::Wake(number(1)?),
            "cut" => Self::Partition {
                from: number(1)?,
                to: number(2)?,
            },
            "isolate" => Self::Isolate(number(1)?),
            "heal" => Self::Heal,
            "send" => Self::Send {
                operation: number(1)?,
                node: number(2)?,
            },
            _ => return Err(error()),
        })
    }
}
