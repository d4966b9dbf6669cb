//! What may happen in the model, one step each, and its line in a trace.
use std::fmt::{self, Display, Formatter};
use std::str::FromStr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// The event at this place of the queue happens: a message or a call arrives, or a write ends.
    Deliver(usize),
    /// It is put aside, and may be released at any later time, or never.
    Hold(usize),
    /// It happens, and a copy is put aside.
    Duplicate(usize),
    /// What was put aside at this place happens.
    Release(usize),
    /// All clocks go on by one tick, and all processes that are awake look at what is due.
    Tick,
    /// The clock of one machine goes on by one tick.
    TickOne(usize),
    /// A process ends; the write under way is kept or lost.
    Crash {
        node: usize,
        kept: bool,
    },
    /// All machines lose power at once.
    PowerLoss {
        kept: bool,
    },
    Restart(usize),
    /// A machine loses its disk.
    Wipe(usize),
    /// A machine is removed with its disk, and a spare one starts at another address.
    Replace(usize),
    Freeze(usize),
    Wake(usize),
    /// Nothing gets from one machine to another.
    Cut {
        from: usize,
        to: usize,
    },
    /// Nothing gets to or from a machine.
    Isolate(usize),
    /// All cuts end.
    Heal,
    /// An operator's order is put into a machine's socket.
    Send {
        order: usize,
        node: usize,
    },
}

impl Display for Action {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let fate = |kept: &bool| if *kept { "kept" } else { "lost" };
        match self {
            Self::Deliver(at) => write!(f, "deliver {at}"),
            Self::Hold(at) => write!(f, "hold {at}"),
            Self::Duplicate(at) => write!(f, "duplicate {at}"),
            Self::Release(at) => write!(f, "release {at}"),
            Self::Tick => write!(f, "tick"),
            Self::TickOne(node) => write!(f, "tick-one {node}"),
            Self::Crash { node, kept } => write!(f, "crash {node} {}", fate(kept)),
            Self::PowerLoss { kept } => write!(f, "power-loss {}", fate(kept)),
            Self::Restart(node) => write!(f, "restart {node}"),
            Self::Wipe(node) => write!(f, "wipe {node}"),
            Self::Replace(node) => write!(f, "replace {node}"),
            Self::Freeze(node) => write!(f, "freeze {node}"),
            Self::Wake(node) => write!(f, "wake {node}"),
            Self::Cut { from, to } => write!(f, "cut {from} {to}"),
            Self::Isolate(node) => write!(f, "isolate {node}"),
            Self::Heal => write!(f, "heal"),
            Self::Send { order, node } => write!(f, "send {order} {node}"),
        }
    }
}

/// A line that is no action.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an action: {0}")]
pub struct NotAnAction(String);

impl FromStr for Action {
    type Err = NotAnAction;

    fn from_str(line: &str) -> Result<Self, NotAnAction> {
        let words: Vec<&str> = line.split_whitespace().collect();
        let error = || NotAnAction(line.to_owned());
        let number = |at: usize| {
            words
                .get(at)
                .and_then(|word| word.parse().ok())
                .ok_or_else(error)
        };
        let kept = |at: usize| match words.get(at) {
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
                kept: kept(2)?,
            },
            "power-loss" => Self::PowerLoss { kept: kept(1)? },
            "restart" => Self::Restart(number(1)?),
            "wipe" => Self::Wipe(number(1)?),
            "replace" => Self::Replace(number(1)?),
            "freeze" => Self::Freeze(number(1)?),
            "wake" => Self::Wake(number(1)?),
            "cut" => Self::Cut {
                from: number(1)?,
                to: number(2)?,
            },
            "isolate" => Self::Isolate(number(1)?),
            "heal" => Self::Heal,
            "send" => Self::Send {
                order: number(1)?,
                node: number(2)?,
            },
            _ => return Err(error()),
        })
    }
}
