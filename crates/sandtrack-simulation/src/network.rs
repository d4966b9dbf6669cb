//! Simulated TCP between machines: ordered for each connection, held up by cuts (also of one way), by bandwidth and by
//! larger frames before; broken by resets, by ends of processes, and by what nobody acknowledges.
use crate::plan::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A process gives a connection up whose bytes were not taken for so long, in ms (`TCP_USER_TIMEOUT` of control).
const UNTAKEN_MS: Millis = 1500.0;
/// What a cut held up comes so long after it healed, in ms: the sender repeats it.
const REPEAT_MS: Millis = 200.0;
/// Bytes of a packet beside its content.
const OVERHEAD: usize = 60;

/// What a machine's process listens for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Port {
    /// Of control nodes, for each other.
    Peer,
    /// Of control nodes, for proxies.
    Session,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    Control,
    Proxy,
}

/// One end of a connection. Side 0 opened it.
#[derive(Clone, Debug)]
pub struct End {
    pub machine: usize,
    pub process: Process,
    /// Which life of the process.
    pub life: u64,
    /// What the process calls it; none before it was accepted.
    pub number: Option<u64>,
    open: bool,
}

/// What travels.
#[derive(Clone, Debug)]
pub enum Item {
    Frame(Rc<[u8]>),
    End,
}

#[derive(Clone, Debug, Default)]
struct Way {
    held: VecDeque<Item>,
    last_arrival: Millis,
    /// Since when something sent is not acknowledged.
    untaken: Option<Millis>,
}

#[derive(Clone, Debug)]
pub struct Connection {
    pub port: Port,
    pub ends: [End; 2],
    ways: [Way; 2],
}

/// An item that comes at the other end at a time: `from` is the side that sent it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Millis,
    pub connection: u64,
    pub from: usize,
    pub item: Item,
}

#[derive(Debug, Default)]
pub struct Network {
    pub connections: BTreeMap<u64, Connection>,
    next: u64,
    /// Cut ways between machines; several cuts of one way end each by itself.
    cuts: BTreeMap<(usize, usize), u32>,
    /// Machines without power.
    dark: BTreeSet<usize>,
    /// Bytes per ms that a machine's link carries, and until when it is busy.
    links: BTreeMap<usize, (f64, Millis)>,
    /// Machines in the far zone.
    far: BTreeSet<usize>,
    zones: BTreeMap<usize, usize>,
    arrivals: Vec<Arrival>,
}

const IN_ZONE_MS: Millis = 0.2;
const ACROSS_ZONES_MS: Millis = 0.9;
const ACROSS_REGIONS_MS: Millis = 55.0;

impl Network {
    pub fn add_machine(&mut self, machine: usize, zone: usize, far: bool, mbps: f64) {
        self.zones.insert(machine, zone);
        self.set_link(machine, mbps);
        if far {
            self.far.insert(machine);
        }
    }

    pub fn set_link(&mut self, machine: usize, mbps: f64) {
        let link = self.links.entry(machine).or_insert((0.0, 0.0));
        link.0 = mbps * 1000.0 / 8.0;
    }

    /// One way between two machines, in ms.
    pub fn delay(&self, from: usize, to: usize) -> Millis {
        if self.far.contains(&from) != self.far.contains(&to) {
            ACROSS_REGIONS_MS
        } else if self.zones.get(&from) != self.zones.get(&to) {
            ACROSS_ZONES_MS
        } else {
            IN_ZONE_MS
        }
    }

    pub fn is_open(&self, from: usize, to: usize) -> bool {
        let dark = self.dark.contains(&from) || self.dark.contains(&to);
        !dark && (from == to || !self.cuts.contains_key(&(from, to)))
    }

    pub fn is_dark(&self, machine: usize) -> bool {
        self.dark.contains(&machine)
    }

    pub fn cut(&mut self, ways: &[(usize, usize)]) {
        for way in ways {
            *self.cuts.entry(*way).or_default() += 1;
        }
    }

    pub fn join(&mut self, now: Millis, ways: &[(usize, usize)]) {
        for way in ways {
            if let Some(count) = self.cuts.get_mut(way) {
                *count -= 1;
                if *count == 0 {
                    self.cuts.remove(way);
                }
            }
        }
        self.release(now);
    }

    pub fn set_dark(&mut self, now: Millis, machine: usize, dark: bool) {
        if dark {
            self.dark.insert(machine);
        } else {
            self.dark.remove(&machine);
            self.release(now);
        }
    }

    /// Sends on what was held up and can go now.
    fn release(&mut self, now: Millis) {
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for number in numbers {
            for side in 0..2 {
                let connection = &self.connections[&number];
                let (from, to) = (
                    connection.ends[side].machine,
                    connection.ends[1 - side].machine,
                );
                if !self.is_open(from, to) {
                    continue;
                }
                let both = self.is_open(to, from);
                let Some(connection) = self.connections.get_mut(&number) else {
                    continue;
                };
                let held = std::mem::take(&mut connection.ways[side].held);
                if both {
                    connection.ways[side].untaken = None;
                }
                for item in held {
                    self.travel(now + REPEAT_MS, number, side, item);
                }
            }
        }
    }

    /// Opens a connection; the other end is not there yet.
    pub fn dial(&mut self, from: (usize, Process, u64, u64), to: usize, port: Port) -> u64 {
        self.next += 1;
        let (machine, process, life, number) = from;
        let dialer = End {
            machine,
            process,
            life,
            number: Some(number),
            open: true,
        };
        let listener = End {
            machine: to,
            process: Process::Control,
            life: 0,
            number: None,
            open: false,
        };
        let ways = [Way::default(), Way::default()];
        self.connections.insert(
            self.next,
            Connection {
                port,
                ends: [dialer, listener],
                ways,
            },
        );
        self.next
    }

    /// The other end is there: what the process calls it comes with `accepted`.
    pub fn listen(&mut self, connection: u64, life: u64) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            (connection.ends[1].life, connection.ends[1].open) = (life, true);
        }
    }

    pub fn accepted(&mut self, connection: u64, number: u64) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.ends[1].number = Some(number);
        }
    }

    pub fn send(&mut self, now: Millis, connection: u64, side: usize, item: Item) {
        let Some(known) = self.connections.get(&connection) else {
            return;
        };
        let (from, to) = (known.ends[side].machine, known.ends[1 - side].machine);
        let (there, back) = (self.is_open(from, to), self.is_open(to, from));
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        if !known.ends[side].open {
            return;
        }
        let way = &mut known.ways[side];
        if !there || !back {
            way.untaken = way.untaken.or(Some(now));
        }
        if !there || !way.held.is_empty() {
            way.held.push_back(item);
        } else {
            self.travel(now, connection, side, item);
        }
    }

    fn travel(&mut self, now: Millis, connection: u64, side: usize, item: Item) {
        let Some(known) = self.connections.get(&connection) else {
            return;
        };
        let (from, to) = (known.ends[side].machine, known.ends[1 - side].machine);
        let delay = self.delay(from, to);
        let size = OVERHEAD
            + if let Item::Frame(bytes) = &item {
                bytes.len()
            } else {
                0
            };
        let (rate, busy) = self.links.entry(from).or_insert((1.0, 0.0));
        if from != to {
            *busy = busy.max(now) + size as f64 / *rate;
        }
        let leaves = if from == to { now } else { *busy };
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        let way = &mut known.ways[side];
        way.last_arrival = way.last_arrival.max(leaves + delay);
        self.arrivals.push(Arrival {
            at: way.last_arrival,
            connection,
            from: side,
            item,
        });
    }

    /// What was sent and is still to be planned.
    pub fn take_arrivals(&mut self) -> Vec<Arrival> {
        std::mem::take(&mut self.arrivals)
    }

    /// Whether an item gets to the other end now; what a cut holds up is kept, and what finds no connection is answered by
    /// a reset.
    pub fn arrive(&mut self, now: Millis, arrival: &Arrival) -> Option<End> {
        let known = self.connections.get(&arrival.connection)?;
        let (from, to) = (&known.ends[arrival.from], &known.ends[1 - arrival.from]);
        if !self.is_open(from.machine, to.machine) {
            let from_open = from.open;
            let known = self.connections.get_mut(&arrival.connection)?;
            if from_open {
                let way = &mut known.ways[arrival.from];
                way.untaken = way.untaken.or(Some(now));
                way.held.push_back(arrival.item.clone());
            }
            return None;
        }
        if !to.open {
            if from.open && matches!(arrival.item, Item::Frame(_)) {
                self.travel(now, arrival.connection, 1 - arrival.from, Item::End);
            }
            return None;
        }
        Some(to.clone())
    }

    /// An end is closed; the other one hears of it after what was sent before, unless it is `silent`.
    pub fn close(&mut self, now: Millis, connection: u64, side: usize, silent: bool) {
        if !silent {
            self.send(now, connection, side, Item::End);
        }
        if let Some(known) = self.connections.get_mut(&connection) {
            known.ends[side].open = false;
            if silent {
                known.ways[side].held.clear();
            }
            if known.ends.iter().all(|end| !end.open)
                && known.ways.iter().all(|way| way.held.is_empty())
            {
                self.connections.remove(&connection);
            }
        }
    }

    /// Connections of a process, with the side that is its.
    pub fn of(&self, machine: usize, process: Process) -> Vec<(u64, usize)> {
        let mine = |end: &End| end.open && end.machine == machine && end.process == process;
        let side = |(id, connection): (&u64, &Connection)| {
            Some((*id, connection.ends.iter().position(mine)?))
        };
        self.connections.iter().filter_map(side).collect()
    }

    /// Closes what was not acknowledged for too long; gives the ends whose processes are to hear of it.
    pub fn give_up(&mut self, now: Millis) -> Vec<(u64, usize)> {
        let mut given_up = Vec::new();
        for (id, connection) in &self.connections {
            for side in 0..2 {
                let late = connection.ways[side]
                    .untaken
                    .is_some_and(|since| now - since > UNTAKEN_MS);
                if late && connection.ends[side].open {
                    given_up.push((*id, side));
                }
            }
        }
        for (id, side) in &given_up {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.ways[*side].held.clear();
            }
        }
        given_up
    }
}
