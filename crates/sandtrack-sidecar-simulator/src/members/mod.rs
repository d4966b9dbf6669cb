//! The fleet among itself: an emulated network of members that only tell each other who is there. It owns the network, the
//! faults and the observer's books, and must never look into a member: what one holds of another it says itself.
pub mod candidates;
pub mod study;

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub type Ms = u64;
type Micros = u64;

/// How one member holds another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    Unknown,
    /// Also one that is suspected: it still counts.
    There,
    Failed,
    Left,
}

/// One member under study, whatever protocol it speaks. Members are numbered; the number is the address.
pub trait Peer {
    fn start(&mut self, now: Ms);
    fn datagram(&mut self, from: usize, bytes: &[u8], now: Ms);
    fn tick(&mut self, now: Ms);
    fn due(&self) -> Option<Ms>;
    fn leave(&mut self, now: Ms);
    fn sent(&mut self) -> Vec<(usize, Vec<u8>)>;
    /// What it holds of others since it was asked last: changes in their order.
    fn changes(&mut self) -> Vec<(usize, Held)>;
    /// How often it had to say that it lives.
    fn refutations(&self) -> u64 {
        0
    }
    /// What it holds of one, in its own words, for a trace.
    fn describe(&self, _of: usize) -> String {
        String::new()
    }
    /// It knows that it can't trust what it holds; `None`: the protocol has no such idea.
    fn doubts_itself(&self) -> Option<bool> {
        None
    }
}

/// Makes a member: its number, how many there are, the numbers it is told to ask first, a seed that differs with each start.
pub type Maker = dyn Fn(usize, usize, &[usize], u64, Ms) -> Box<dyn Peer> + Sync;

#[derive(Clone, Debug)]
pub struct Net {
    /// Median one-way delay (ms) and its spread (sigma of a lognormal).
    pub delay: f64,
    pub spread: f64,
    /// Part of datagrams that are lost, and part that come twice.
    pub loss: f64,
    pub twice: f64,
    /// Part of which a copy comes a minute later.
    pub old: f64,
    /// Overhead of each datagram on the wire that figures include: IPv4 and UDP.
    pub overhead: usize,
}

impl Default for Net {
    fn default() -> Self {
        Net {
            delay: 0.4,
            spread: 0.6,
            loss: 0.0,
            twice: 0.0,
            old: 0.0,
            overhead: 28,
        }
    }
}

#[derive(Clone, Debug)]
pub enum Fault {
    Start(Vec<usize>),
    Kill(Vec<usize>),
    /// It says that it leaves, and ends a moment later.
    Leave(Vec<usize>),
    /// It stands still for so long; what comes waits in its socket, as much as that holds.
    Stop(Vec<usize>, Ms),
    /// Datagrams from the ones to the others are lost from now on; ended by `Mend`.
    Cut(Vec<usize>, Vec<usize>),
    Mend,
    Loss(f64),
    /// What these send and what is sent to them takes so much longer (ms).
    Slow(Vec<usize>, f64),
    /// Their clocks jump by so much (ms).
    Jump(Vec<usize>, i64),
}

struct Slot {
    peer: Option<Box<dyn Peer>>,
    epoch: u32,
    wake: Option<Micros>,
    stopped_until: Option<Micros>,
    inbox: VecDeque<(usize, Vec<u8>)>,
    slow: f64,
    /// How far its clock is ahead (ms).
    ahead: i64,
    seeds: Vec<usize>,
    starts: u64,
    alive_since: Micros,
}

enum Event {
    Arrives {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    Wake {
        slot: usize,
        epoch: u32,
    },
    Goes {
        slot: usize,
        epoch: u32,
    },
    Fault(Fault),
    End {
        slot: usize,
        epoch: u32,
    },
}

/// A change that the observer saw.
#[derive(Clone, Copy, Debug)]
pub struct Change {
    pub at: Ms,
    pub by: usize,
    pub of: usize,
    pub held: Held,
    /// What is so: that one lives and has for a second, whatever its network does.
    pub truly_there: bool,
}

const SEEDS_APART: u64 = 1_000_000_007;
const SLOTS_APART: u64 = 1009;

/// The seed of another member at its first start, by that of one.
pub fn seed_of(seed: u64, number: usize, other: usize) -> u64 {
    seed - number as u64 * SLOTS_APART + other as u64 * SLOTS_APART
}

/// A socket that nobody reads holds so many datagrams.
const INBOX: usize = 256;

pub struct World<'a> {
    pub net: Net,
    make: &'a Maker,
    slots: Vec<Slot>,
    cuts: Vec<(Vec<bool>, Vec<bool>)>,
    queue: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    order: u64,
    pub now: Micros,
    rng: Pcg64,
    seed: u64,
    pub changes: Vec<Change>,
    /// What is held now: by whom (row), of whom.
    held: Vec<Held>,
    /// Bytes and datagrams that each sent, overhead included.
    pub sent: Vec<(u64, u64)>,
    pub most_bytes: Vec<u64>,
}

fn ms(at: Micros) -> Ms {
    at / 1000
}

/// Clocks begin there: they may jump back.
const EPOCH: Ms = 100_000_000;
const LATE: Micros = 60_000_000;

impl<'a> World<'a> {
    /// `size` places for members, none of which runs yet. The first `seeds` are the ones that all are told to ask.
    pub fn new(size: usize, seeds: usize, net: Net, seed: u64, make: &'a Maker) -> Self {
        let slot = |_| Slot {
            peer: None,
            epoch: 0,
            wake: None,
            stopped_until: None,
            inbox: VecDeque::new(),
            slow: 0.0,
            ahead: 0,
            seeds: (0..seeds.min(size)).collect(),
            starts: 0,
            alive_since: 0,
        };
        World {
            net,
            make,
            slots: (0..size).map(slot).collect(),
            cuts: Vec::new(),
            queue: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            order: 0,
            now: 0,
            rng: Pcg64::seed_from_u64(seed),
            seed,
            changes: Vec::new(),
            held: vec![Held::Unknown; size * size],
            sent: vec![(0, 0); size],
            most_bytes: vec![0; size],
        }
    }

    pub fn size(&self) -> usize {
        self.slots.len()
    }

    pub fn runs(&self, slot: usize) -> bool {
        self.slots[slot].peer.is_some()
    }

    pub fn peer(&self, slot: usize) -> Option<&dyn Peer> {
        self.slots[slot].peer.as_deref()
    }

    pub fn held(&self, by: usize, of: usize) -> Held {
        self.held[by * self.slots.len() + of]
    }

    /// What a member's clock shows.
    fn clock(&self, slot: usize) -> Ms {
        (EPOCH + ms(self.now)).saturating_add_signed(self.slots[slot].ahead)
    }

    fn schedule(&mut self, at: Micros, event: Event) {
        let place = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[place] = Some(event);
        self.order += 1;
        self.queue.push(Reverse((at, self.order, place)));
    }

    /// From this time on neither hears the other.
    pub fn cut_both(&mut self, at: Ms, ones: &[usize], others: &[usize]) {
        self.at(at, Fault::Cut(ones.to_vec(), others.to_vec()));
        self.at(at, Fault::Cut(others.to_vec(), ones.to_vec()));
    }

    /// A fault at this time (ms since the beginning).
    pub fn at(&mut self, time: Ms, fault: Fault) {
        self.schedule(time * 1000, Event::Fault(fault));
    }

    pub fn run_until(&mut self, time: Ms) {
        let end = time * 1000;
        while let Some(&Reverse((at, _, place))) = self.queue.peek() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events[place].take() {
                self.free.push(place);
                self.event(event);
            }
        }
        self.now = end;
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Fault(fault) => self.fault(fault),
            Event::Wake { slot, epoch } => {
                let here = &mut self.slots[slot];
                if here.epoch == epoch
                    && here.stopped_until.is_none()
                    && here.wake.is_some_and(|at| at <= self.now)
                {
                    here.wake = None;
                    let now = self.clock(slot);
                    self.with(slot, |peer| peer.tick(now));
                }
            }
            Event::Arrives { to, from, bytes } => {
                let here = &mut self.slots[to];
                if here.stopped_until.is_some() {
                    if here.inbox.len() < INBOX {
                        here.inbox.push_back((from, bytes));
                    }
                } else {
                    let now = self.clock(to);
                    self.with(to, |peer| peer.datagram(from, &bytes, now));
                }
            }
            Event::Goes { slot, epoch } => {
                if self.slots[slot].epoch != epoch {
                    return;
                }
                // What was to wake it came while it stood still.
                (self.slots[slot].stopped_until, self.slots[slot].wake) = (None, None);
                // A real process's timers come due before it reads its socket, or after: here what is due goes first.
                let now = self.clock(slot);
                self.with(slot, |peer| peer.tick(now));
                while let Some((from, bytes)) = self.slots[slot].inbox.pop_front() {
                    self.with(slot, |peer| peer.datagram(from, &bytes, now));
                }
            }
            Event::End { slot, epoch } => {
                if self.slots[slot].epoch == epoch {
                    self.kill(slot);
                }
            }
        }
    }

    /// Calls a member and carries out what it wants.
    fn with(&mut self, slot: usize, call: impl FnOnce(&mut dyn Peer)) {
        let Some(mut peer) = self.slots[slot].peer.take() else {
            return;
        };
        call(&mut *peer);
        for (to, bytes) in peer.sent() {
            self.send(slot, to, bytes);
        }
        let size = self.slots.len();
        for (of, held) in peer.changes() {
            if of < size {
                self.held[slot * size + of] = held;
                let there = &self.slots[of];
                let lives = there.peer.is_some() || of == slot;
                let truly_there = lives && self.now >= there.alive_since + 1_000_000;
                self.changes.push(Change {
                    at: ms(self.now),
                    by: slot,
                    of,
                    held,
                    truly_there,
                });
            }
        }
        // Its timers run by its clock, which may have jumped since they were set.
        let clock = self.clock(slot);
        let due = peer
            .due()
            .map(|due| (self.now + due.saturating_sub(clock) * 1000).max(self.now + 1));
        let here = &mut self.slots[slot];
        here.peer = Some(peer);
        if let Some(due) = due {
            if here.wake.is_none_or(|wake| due < wake) {
                here.wake = Some(due);
                let epoch = here.epoch;
                self.schedule(due, Event::Wake { slot, epoch });
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let size = bytes.len() + self.net.overhead;
        self.sent[from].0 += size as u64;
        self.sent[from].1 += 1;
        let cut = self
            .cuts
            .iter()
            .any(|(ones, others)| ones[from] && others[to]);
        // Drawn whether it is lost or not: members meet the same network.
        let (lost, twice) = (
            self.rng.gen::<f64>() < self.net.loss,
            self.rng.gen::<f64>() < self.net.twice,
        );
        let old = self.rng.gen::<f64>() < self.net.old;
        if to >= self.slots.len() || cut || lost {
            return;
        }
        if old {
            self.schedule(
                self.now + LATE,
                Event::Arrives {
                    to,
                    from,
                    bytes: bytes.clone(),
                },
            );
        }
        for _ in 0..if twice { 2 } else { 1 } {
            let delay = self.delay() + self.slots[from].slow + self.slots[to].slow;
            let at = self.now + (delay * 1000.0) as Micros;
            self.schedule(
                at,
                Event::Arrives {
                    to,
                    from,
                    bytes: bytes.clone(),
                },
            );
        }
    }

    fn delay(&mut self) -> f64 {
        match LogNormal::new(self.net.delay.max(1e-3).ln(), self.net.spread) {
            Ok(delay) => delay.sample(&mut self.rng),
            Err(_) => self.net.delay,
        }
    }

    fn kill(&mut self, slot: usize) {
        let size = self.slots.len();
        let here = &mut self.slots[slot];
        here.peer = None;
        here.epoch += 1;
        (here.wake, here.stopped_until) = (None, None);
        here.inbox.clear();
        self.held[slot * size..(slot + 1) * size].fill(Held::Unknown);
    }

    fn start(&mut self, slot: usize) {
        self.kill(slot);
        let (size, now) = (self.slots.len(), self.clock(slot));
        let here = &mut self.slots[slot];
        here.starts += 1;
        here.alive_since = self.now;
        let seed = self.seed.wrapping_mul(SEEDS_APART) + slot as u64 * SLOTS_APART + here.starts;
        here.peer = Some((self.make)(slot, size, &here.seeds, seed, now));
        self.with(slot, |peer| peer.start(now));
    }

    fn mask(&self, slots: &[usize]) -> Vec<bool> {
        let mut mask = vec![false; self.slots.len()];
        slots.iter().for_each(|slot| mask[*slot] = true);
        mask
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Start(slots) => slots.into_iter().for_each(|slot| self.start(slot)),
            Fault::Kill(slots) => slots.into_iter().for_each(|slot| self.kill(slot)),
            Fault::Leave(slots) => {
                for slot in slots {
                    let (now, epoch) = (self.clock(slot), self.slots[slot].epoch);
                    self.with(slot, |peer| peer.leave(now));
                    self.schedule(self.now + 1000, Event::End { slot, epoch });
                }
            }
            Fault::Stop(slots, time) => {
                for slot in slots {
                    if self.slots[slot].peer.is_none() {
                        continue;
                    }
                    let (until, epoch) = (self.now + time * 1000, self.slots[slot].epoch);
                    self.slots[slot].stopped_until = Some(until);
                    self.schedule(until, Event::Goes { slot, epoch });
                }
            }
            Fault::Cut(ones, others) => self.cuts.push((self.mask(&ones), self.mask(&others))),
            Fault::Mend => self.cuts.clear(),
            Fault::Loss(loss) => self.net.loss = loss,
            Fault::Jump(slots, by) => {
                for slot in slots {
                    self.slots[slot].ahead += by;
                    let now = self.clock(slot);
                    self.slots[slot].wake = None;
                    self.with(slot, |peer| peer.tick(now));
                }
            }
            Fault::Slow(slots, time) => slots
                .into_iter()
                .for_each(|slot| self.slots[slot].slow = time),
        }
    }

    /// All know each other from the beginning: they say so by no change.
    pub fn assume_known(&mut self) {
        self.held.fill(Held::There);
    }

    /// Each that runs holds each other that runs as there, and nobody else.
    pub fn is_whole(&self) -> bool {
        self.unlike() == 0
    }

    /// Pairs of which one holds the other for something that it is not: there, or not.
    pub fn unlike(&self) -> usize {
        let size = self.slots.len();
        let runs: Vec<usize> = (0..size).filter(|slot| self.runs(*slot)).collect();
        let wrong = |by: usize| {
            let of =
                |of: &usize| *of != by && (self.held(by, *of) == Held::There) != self.runs(*of);
            (0..size).filter(of).count()
        };
        runs.iter().map(|by| wrong(*by)).sum()
    }
}
