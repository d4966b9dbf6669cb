//! The state of the links: what happens to bytes from one end to another, for every ordered pair, and which connections
//! there are. It decides nothing about sockets; the relay asks it.
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// One end of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    Machine(usize),
    /// All operators: they call `control` of every machine.
    Operator,
}

/// What becomes of the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Passage {
    #[default]
    Open,
    /// Silently held up, and passed on once it is open again: what a cut does to TCP. New connections hang.
    Held,
    /// Taken and thrown away: that direction of the connection says nothing any more.
    Lost,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Direction {
    pub passage: Passage,
    /// How long bytes are under way.
    pub delay: Duration,
}

struct Connection {
    ends: (End, End),
    /// Its receiver ends the connection when this is dropped.
    _alive: async_channel::Sender<()>,
}

#[derive(Default)]
pub struct Links {
    directions: BTreeMap<(End, End), Direction>,
    connections: BTreeMap<u64, Connection>,
    next: u64,
}

pub type SharedLinks = Rc<RefCell<Links>>;

impl Links {
    pub fn shared() -> SharedLinks {
        Rc::default()
    }

    /// What holds from one end to another now.
    pub fn direction(&self, from: End, to: End) -> Direction {
        self.directions
            .get(&(from, to))
            .copied()
            .unwrap_or_default()
    }

    /// Whether a connection between the two can come up: it takes both directions.
    pub fn is_passable(&self, one: End, other: End) -> bool {
        let held = |from, to| self.direction(from, to).passage == Passage::Held;
        !held(one, other) && !held(other, one)
    }

    pub fn set(&mut self, from: End, to: End, passage: Passage) {
        self.directions.entry((from, to)).or_default().passage = passage;
    }

    pub fn delay(&mut self, one: End, other: End, delay: Duration) {
        for direction in [(one, other), (other, one)] {
            self.directions.entry(direction).or_default().delay = delay;
        }
    }

    /// Holds up everything between one machine and the others, both ways.
    pub fn cut_off(&mut self, machine: usize, others: impl IntoIterator<Item = usize>) {
        let one = End::Machine(machine);
        for other in others
            .into_iter()
            .filter(|other| *other != machine)
            .map(End::Machine)
        {
            self.set(one, other, Passage::Held);
            self.set(other, one, Passage::Held);
        }
    }

    /// Everything is open again and without delay.
    pub fn mend(&mut self) {
        self.directions.clear();
    }

    /// Resets all connections between the two ends.
    pub fn reset(&mut self, one: End, other: End) {
        self.connections.retain(|_, connection| {
            connection.ends != (one, other) && connection.ends != (other, one)
        });
    }

    /// A connection came up. It is to end when the receiver says that it is closed.
    pub fn opened(&mut self, from: End, to: End) -> (u64, async_channel::Receiver<()>) {
        let (alive, ended) = async_channel::bounded(1);
        self.next += 1;
        self.connections.insert(
            self.next,
            Connection {
                ends: (from, to),
                _alive: alive,
            },
        );
        (self.next, ended)
    }

    pub fn closed(&mut self, connection: u64) {
        self.connections.remove(&connection);
    }
}
