//! Simulated TCP between machines. Frames of a connection keep their order; they are delayed by partitions (also of one
//! direction), by bandwidth and by earlier frames. Connections break by resets, by the end of a process, and by time-out.
use crate::plan::Millis;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// A process closes a connection whose bytes were not acknowledged for this long, in ms (`TCP_USER_TIMEOUT` of control).
const USER_TIMEOUT_MS: Millis = 1500.0;
/// Frames that a partition blocked are retransmitted this long after it heals, in ms.
const RETRANSMIT_DELAY_MS: Millis = 200.0;
/// Bytes of a packet's headers.
const PACKET_OVERHEAD_BYTES: usize = 60;

/// The service that a connection is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Port {
    /// Replication links between control nodes.
    Peer,
    /// Sessions of proxies with control nodes.
    Session,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Process {
    Control,
    Proxy,
}

/// One end of a connection. Side 0 dialed it, side 1 accepted it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    pub machine: usize,
    pub process: Process,
    /// The generation of the process: it changes with each start and each kill.
    pub generation: u64,
    /// The process's own identifier of the connection; `None` before it was accepted.
    pub local_id: Option<u64>,
    open: bool,
}

/// What is transmitted over a connection.
#[derive(Clone, Debug)]
pub enum Item {
    Frame(Rc<[u8]>),
    Fin,
}

#[derive(Clone, Debug, Default)]
struct DirectionState {
    blocked: VecDeque<Item>,
    last_arrival: Millis,
    /// Since when something that was sent has not been acknowledged.
    unacknowledged_since: Option<Millis>,
}

#[derive(Clone, Debug)]
pub struct Connection {
    pub port: Port,
    pub ends: [Endpoint; 2],
    directions: [DirectionState; 2],
}

/// The arrival of an item at the other end; `from` is the side that sent it.
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
    /// Partitioned directed pairs of machines, each with the number of faults that partition it.
    partitions: BTreeMap<(usize, usize), u32>,
    /// Machines without power.
    powered_off: BTreeSet<usize>,
    /// Each machine's outgoing link: bytes per ms, and the time until which it is busy.
    links: BTreeMap<usize, (f64, Millis)>,
    /// Machines in the remote region.
    remote_region: BTreeSet<usize>,
    zones: BTreeMap<usize, usize>,
    pending_arrivals: Vec<Arrival>,
}

const WITHIN_ZONE_DELAY_MS: Millis = 0.2;
const CROSS_ZONE_DELAY_MS: Millis = 0.9;
const CROSS_REGION_DELAY_MS: Millis = 55.0;

impl Network {
    pub fn add_machine(&mut self, machine: usize, zone: usize, remote_region: bool, mbps: f64) {
        self.zones.insert(machine, zone);
        self.set_link(machine, mbps);
        if remote_region {
            self.remote_region.insert(machine);
        }
    }

    pub fn set_link(&mut self, machine: usize, mbps: f64) {
        let link = self.links.entry(machine).or_insert((0.0, 0.0));
        link.0 = mbps * 1000.0 / 8.0;
    }

    /// The one-way delay between two machines, in ms.
    pub fn delay(&self, from: usize, to: usize) -> Millis {
        if self.remote_region.contains(&from) != self.remote_region.contains(&to) {
            CROSS_REGION_DELAY_MS
        } else if self.zones.get(&from) != self.zones.get(&to) {
            CROSS_ZONE_DELAY_MS
        } else {
            WITHIN_ZONE_DELAY_MS
        }
    }

    pub fn is_reachable(&self, from: usize, to: usize) -> bool {
        let powered_off = self.powered_off.contains(&from) || self.powered_off.contains(&to);
        !powered_off && (from == to || !self.partitions.contains_key(&(from, to)))
    }

    pub fn is_powered_off(&self, machine: usize) -> bool {
        self.powered_off.contains(&machine)
    }

    pub fn partition(&mut self, directions: &[(usize, usize)]) {
        for direction in directions {
            *self.partitions.entry(*direction).or_default() += 1;
        }
    }

    pub fn heal(&mut self, now: Millis, directions: &[(usize, usize)]) {
        for direction in directions {
            if let Some(count) = self.partitions.get_mut(direction) {
                *count -= 1;
                if *count == 0 {
                    self.partitions.remove(direction);
                }
            }
        }
        self.release_blocked(now);
    }

    pub fn set_powered_off(&mut self, now: Millis, machine: usize, powered_off: bool) {
        if powered_off {
            self.powered_off.insert(machine);
        } else {
            self.powered_off.remove(&machine);
            self.release_blocked(now);
        }
    }

    /// Retransmits the blocked items of all connections whose path is open again.
    fn release_blocked(&mut self, now: Millis) {
        let numbers: Vec<u64> = self.connections.keys().copied().collect();
        for local_id in numbers {
            for side in 0..2 {
                let connection = &self.connections[&local_id];
                let (from, to) = (
                    connection.ends[side].machine,
                    connection.ends[1 - side].machine,
                );
                if !self.is_reachable(from, to) {
                    continue;
                }
                let both = self.is_reachable(to, from);
                let Some(connection) = self.connections.get_mut(&local_id) else {
                    continue;
                };
                let blocked = std::mem::take(&mut connection.directions[side].blocked);
                if both {
                    connection.directions[side].unacknowledged_since = None;
                }
                for item in blocked {
                    self.transmit(now + RETRANSMIT_DELAY_MS, local_id, side, item);
                }
            }
        }
    }

    /// Opens a connection; the listening end has not accepted it yet.
    pub fn dial(&mut self, from: (usize, Process, u64, u64), to: usize, port: Port) -> u64 {
        self.next += 1;
        let (machine, process, generation, local_id) = from;
        let dialer = Endpoint {
            machine,
            process,
            generation,
            local_id: Some(local_id),
            open: true,
        };
        let listener = Endpoint {
            machine: to,
            process: Process::Control,
            generation: 0,
            local_id: None,
            open: false,
        };
        let directions = [DirectionState::default(), DirectionState::default()];
        self.connections.insert(
            self.next,
            Connection {
                port,
                ends: [dialer, listener],
                directions,
            },
        );
        self.next
    }

    /// The listening process is there; it gives its identifier with [`Network::set_acceptor_id`].
    pub fn accept_pending(&mut self, connection: u64, generation: u64) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            (connection.ends[1].generation, connection.ends[1].open) = (generation, true);
        }
    }

    pub fn set_acceptor_id(&mut self, connection: u64, local_id: u64) {
        if let Some(connection) = self.connections.get_mut(&connection) {
            connection.ends[1].local_id = Some(local_id);
        }
    }

    pub fn send(&mut self, now: Millis, connection: u64, side: usize, item: Item) {
        let Some(known) = self.connections.get(&connection) else {
            return;
        };
        let (from, to) = (known.ends[side].machine, known.ends[1 - side].machine);
        let (there, back) = (self.is_reachable(from, to), self.is_reachable(to, from));
        let Some(known) = self.connections.get_mut(&connection) else {
            return;
        };
        if !known.ends[side].open {
            return;
        }
        let direction = &mut known.directions[side];
        if !there || !back {
            direction.unacknowledged_since = direction.unacknowledged_since.or(Some(now));
        }
        if !there || !direction.blocked.is_empty() {
            direction.blocked.push_back(item);
        } else {
            self.transmit(now, connection, side, item);
        }
    }

    fn transmit(&mut self, now: Millis, connection: u64, side: usize, item: Item) {
        let Some(known) = self.connections.get(&connection) else {
            return;
        };
        let (from, to) = (known.ends[side].machine, known.ends[1 - side].machine);
        let delay = self.delay(from, to);
        let size = PACKET_OVERHEAD_BYTES
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
        let direction = &mut known.directions[side];
        direction.last_arrival = direction.last_arrival.max(leaves + delay);
        self.pending_arrivals.push(Arrival {
            at: direction.last_arrival,
            connection,
            from: side,
            item,
        });
    }

    /// Takes the arrivals that have not been scheduled yet.
    pub fn drain_arrivals(&mut self) -> Vec<Arrival> {
        std::mem::take(&mut self.pending_arrivals)
    }

    /// The endpoint that an arriving item reaches now. A partition blocks the item; a closed endpoint answers with a reset.
    pub fn receive(&mut self, now: Millis, arrival: &Arrival) -> Option<Endpoint> {
        let known = self.connections.get(&arrival.connection)?;
        let (from, to) = (&known.ends[arrival.from], &known.ends[1 - arrival.from]);
        if !self.is_reachable(from.machine, to.machine) {
            let from_open = from.open;
            let known = self.connections.get_mut(&arrival.connection)?;
            if from_open {
                let direction = &mut known.directions[arrival.from];
                direction.unacknowledged_since = direction.unacknowledged_since.or(Some(now));
                direction.blocked.push_back(arrival.item.clone());
            }
            return None;
        }
        if !to.open {
            if from.open && matches!(arrival.item, Item::Frame(_)) {
                self.transmit(now, arrival.connection, 1 - arrival.from, Item::Fin);
            }
            return None;
        }
        Some(to.clone())
    }

    /// Closes one end; the other end is notified after what was sent before, unless `silent`.
    pub fn close(&mut self, now: Millis, connection: u64, side: usize, silent: bool) {
        if !silent {
            self.send(now, connection, side, Item::Fin);
        }
        if let Some(known) = self.connections.get_mut(&connection) {
            known.ends[side].open = false;
            if silent {
                known.directions[side].blocked.clear();
            }
            if known.ends.iter().all(|end| !end.open)
                && known
                    .directions
                    .iter()
                    .all(|direction| direction.blocked.is_empty())
            {
                self.connections.remove(&connection);
            }
        }
    }

    /// The open connections of a process, each with the process's side.
    pub fn connections_of(&self, machine: usize, process: Process) -> Vec<(u64, usize)> {
        let mine = |end: &Endpoint| end.open && end.machine == machine && end.process == process;
        let side = |(id, connection): (&u64, &Connection)| {
            Some((*id, connection.ends.iter().position(mine)?))
        };
        self.connections.iter().filter_map(side).collect()
    }

    /// The ends whose data was not acknowledged for [`USER_TIMEOUT_MS`]. What they had blocked is dropped.
    pub fn time_out(&mut self, now: Millis) -> Vec<(u64, usize)> {
        let mut timed_out = Vec::new();
        for (id, connection) in &self.connections {
            for side in 0..2 {
                let late = connection.directions[side]
                    .unacknowledged_since
                    .is_some_and(|since| now - since > USER_TIMEOUT_MS);
                if late && connection.ends[side].open {
                    timed_out.push((*id, side));
                }
            }
        }
        for (id, side) in &timed_out {
            if let Some(connection) = self.connections.get_mut(id) {
                connection.directions[*side].blocked.clear();
            }
        }
        timed_out
    }
}
