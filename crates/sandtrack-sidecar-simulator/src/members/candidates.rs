//! The protocols under study behind one form: this project's own, the registry's SWIM library, all-to-all heartbeats, and cut
//! detection by several observers. What is not this project's own is here to be measured against, and must never be used by
//! anything else.
use super::{Held, Ms, Peer};
use foca::{AccumulatingRuntime, BroadcastHandler, Foca, OwnedNotification, PostcardCodec, Timer};
use rand10::SeedableRng as _;
use sandtrack_membership::config::FORGET;
use sandtrack_membership::digest::{Fact, Load};
use sandtrack_membership::wire::{Record, State};
use sandtrack_membership::{Fleet, Identity, Note, View};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::num::{NonZeroU8, NonZeroUsize};
use std::rc::Rc;
use std::time::Duration;

const PORT: u16 = 7946;

pub fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0A00_0001 + number as u32), PORT)
}

fn number_at(address: SocketAddrV4) -> usize {
    u32::from(*address.ip()).wrapping_sub(0x0A00_0001) as usize
}

fn name(number: usize) -> String {
    format!("n{number}")
}

fn number_of(name: &str) -> usize {
    name.trim_start_matches('n').parse().unwrap_or(usize::MAX)
}

/// Three zones in turn.
pub fn zone(number: usize) -> String {
    format!("z{}", number % 3)
}

/// This project's own.
pub struct Own {
    pub fleet: Fleet,
    /// Begins with these, in place of asking.
    knows: Option<Rc<Vec<Record>>>,
    /// It tells its load once a second, as a sidecar does.
    tell_at: Ms,
}

impl Own {
    pub fn new(fleet: Fleet, now: Ms) -> Self {
        Own {
            fleet,
            knows: None,
            tell_at: now,
        }
    }
}

pub fn identity(number: usize, seeds: &[usize]) -> Identity {
    Identity {
        cluster: "lab".into(),
        name: name(number).into(),
        advertise: address(number),
        zone: zone(number).into(),
        region: "r".into(),
        seeds: seeds.iter().map(|seed| address(*seed)).collect(),
        datagram: 1200,
        forget: FORGET,
    }
}

pub fn own(number: usize, _size: usize, seeds: &[usize], seed: u64, now: Ms) -> Box<dyn Peer> {
    Box::new(Own::new(
        Fleet::new(identity(number, seeds), seed, now),
        now,
    ))
}

thread_local! {
    /// What all members of one run know from the beginning on; a run stays on one thread.
    static KNOWN: RefCell<(u64, Rc<Vec<Record>>)> = RefCell::new((u64::MAX, Rc::new(Vec::new())));
}

/// The same, for fleets so large that their start would take longer than what is looked at: each begins with all the others.
pub fn own_knowing(
    number: usize,
    size: usize,
    _seeds: &[usize],
    seed: u64,
    now: Ms,
) -> Box<dyn Peer> {
    let at = |other: usize| super::seed_of(seed, number, other);
    let make = |other: usize| Fleet::new(identity(other, &[]), at(other), now);
    let known = KNOWN.with_borrow_mut(|(of, known)| {
        if *of != at(0) {
            (*of, *known) = (
                at(0),
                Rc::new((0..size).map(|other| make(other).own_word()).collect()),
            );
        }
        known.clone()
    });
    Box::new(Own {
        knows: Some(known),
        ..Own::new(make(number), now)
    })
}

/// One that goes by the name of number 1, wherever it is: a mistake of staff.
pub fn own_named_twice(
    number: usize,
    size: usize,
    seeds: &[usize],
    seed: u64,
    now: Ms,
) -> Box<dyn Peer> {
    let mut identity = identity(number, seeds);
    if number + 1 == size {
        identity.name = name(1).into();
    }
    Box::new(Own::new(Fleet::new(identity, seed, now), now))
}

impl Peer for Own {
    fn start(&mut self, now: Ms) {
        match &self.knows {
            Some(known) => self.fleet.start_knowing(known.iter(), now),
            None => self.fleet.start(now),
        }
    }
    fn datagram(&mut self, from: usize, bytes: &[u8], now: Ms) {
        self.fleet.datagram(address(from), bytes, now);
    }
    fn tick(&mut self, now: Ms) {
        if now >= self.tell_at {
            self.tell_at = now + 1000;
            self.fleet.tell(
                &Fact::Load(Load {
                    open: (now / 7 % 50) as u32,
                    per_second: 30,
                }),
                now,
            );
        }
        self.fleet.tick(now);
    }
    fn due(&self) -> Option<Ms> {
        self.fleet
            .next_due()
            .into_iter()
            .chain([self.tell_at])
            .min()
    }
    fn leave(&mut self, now: Ms) {
        self.fleet.leave(now);
    }
    fn sent(&mut self) -> Vec<(usize, Vec<u8>)> {
        self.fleet
            .take_datagrams()
            .into_iter()
            .map(|(to, bytes)| (number_at(to), bytes))
            .collect()
    }
    fn changes(&mut self) -> Vec<(usize, Held)> {
        let change = |note: Note| match note {
            Note::Member { name, to, .. } => Some((
                number_of(&name),
                match to {
                    State::Failed => Held::Failed,
                    State::Left => Held::Left,
                    _ => Held::There,
                },
            )),
            _ => None,
        };
        self.fleet
            .take_notes()
            .into_iter()
            .filter_map(change)
            .collect()
    }
    fn refutations(&self) -> u64 {
        self.fleet.counts().refutations
    }
    fn describe(&self, of: usize) -> String {
        let seen = self.fleet.members();
        let seen = seen.iter().find(|seen| seen.name == name(of));
        let view = self.fleet.view();
        seen.map_or_else(String::new, |seen| {
            format!(
                "{} incarnation {} for {} ms, view {} ({})",
                seen.state.word(),
                seen.incarnation,
                seen.since,
                view.0.word(),
                view.1
            )
        })
    }
    fn doubts_itself(&self) -> Option<bool> {
        Some(self.fleet.view().0 != View::Whole)
    }
}

/// Who a member of the library's protocol is: a name, and which life of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    name: u32,
    at: u32,
    bump: u32,
    draw: u32,
}

impl foca::Identity for Id {
    type Addr = u32;
    fn renew(&self) -> Option<Self> {
        Some(Id {
            bump: self.bump + 1,
            ..self.clone()
        })
    }
    fn addr(&self) -> u32 {
        self.name
    }
    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.bump, self.draw) > (other.bump, other.draw)
    }
}

pub struct NoBroadcast;

impl BroadcastHandler<Id> for NoBroadcast {
    type Key = NoKey;
    type Error = std::convert::Infallible;
    fn receive_item(&mut self, _: &[u8], _: Option<&Id>) -> Result<Option<NoKey>, Self::Error> {
        Ok(None)
    }
}

pub struct NoKey;

impl foca::Invalidates for NoKey {
    fn invalidates(&self, _: &Self) -> bool {
        false
    }
}

type Library = Foca<Id, PostcardCodec, rand10::rngs::SmallRng, NoBroadcast>;

/// The registry's SWIM library (foca), at the pace of this project's own, with all of its extensions on.
pub struct Swim {
    foca: Library,
    seeds: Vec<usize>,
    timers: BinaryHeap<Reverse<(Ms, u64)>>,
    waiting: BTreeMap<u64, Timer<Id>>,
    order: u64,
    sent: Vec<(usize, Vec<u8>)>,
    changes: Vec<(usize, Held)>,
    joined: bool,
    join_at: Option<Ms>,
}

fn swim_config(size: usize) -> foca::Config {
    let lan = u32::try_from(size)
        .ok()
        .and_then(std::num::NonZeroU32::new)
        .unwrap_or(std::num::NonZeroU32::MIN);
    let some = |ms: u64, members: usize| {
        let num_members = NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN);
        Some(foca::PeriodicParams {
            frequency: Duration::from_millis(ms),
            num_members,
        })
    };
    let mut config = foca::Config::new_lan(lan);
    config.probe_period = Duration::from_millis(1000);
    config.probe_rtt = Duration::from_millis(300);
    config.suspect_to_down_after =
        Duration::from_millis(sandtrack_membership::timing::suspicion_least(size));
    config.max_transmissions = u8::try_from(sandtrack_membership::timing::retell(size))
        .ok()
        .and_then(NonZeroU8::new)
        .unwrap_or(NonZeroU8::MIN);
    config.max_packet_size = NonZeroUsize::new(1200).unwrap_or(NonZeroUsize::MIN);
    config.notify_down_members = true;
    config.remove_down_after = Some(Duration::from_secs(3600));
    config.periodic_gossip = some(200, 3);
    config.periodic_announce = some(10_000, 1);
    config.periodic_announce_to_down_members = some(1000, 1);
    config
}

/// The numbers of those of the name 1: where one is named twice, the last goes by it too.
fn swim_of(number: usize, size: usize, seeds: &[usize], seed: u64, called: usize) -> Box<dyn Peer> {
    let draw = (seed ^ (seed >> 32)) as u32;
    let id = Id {
        name: called as u32,
        at: number as u32,
        bump: 0,
        draw,
    };
    let rng = rand10::rngs::SmallRng::seed_from_u64(seed);
    let foca = Foca::with_custom_broadcast(id, swim_config(size), rng, PostcardCodec, NoBroadcast);
    let seeds = seeds
        .iter()
        .copied()
        .filter(|seed| *seed != number)
        .collect();
    Box::new(Swim {
        foca,
        seeds,
        timers: BinaryHeap::new(),
        waiting: BTreeMap::new(),
        order: 0,
        sent: Vec::new(),
        changes: Vec::new(),
        joined: false,
        join_at: None,
    })
}

pub fn swim(number: usize, size: usize, seeds: &[usize], seed: u64, _now: Ms) -> Box<dyn Peer> {
    swim_of(number, size, seeds, seed, number)
}

pub fn swim_named_twice(
    number: usize,
    size: usize,
    seeds: &[usize],
    seed: u64,
    _now: Ms,
) -> Box<dyn Peer> {
    swim_of(
        number,
        size,
        seeds,
        seed,
        if number + 1 == size { 1 } else { number },
    )
}

impl Swim {
    fn drive(&mut self, now: Ms, call: impl FnOnce(&mut Library, &mut AccumulatingRuntime<Id>)) {
        let mut runtime = AccumulatingRuntime::new();
        call(&mut self.foca, &mut runtime);
        while let Some((to, bytes)) = runtime.to_send() {
            self.sent.push((to.at as usize, bytes.to_vec()));
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.order += 1;
            self.timers
                .push(Reverse((now + after.as_millis() as Ms, self.order)));
            self.waiting.insert(self.order, timer);
        }
        while let Some(note) = runtime.to_notify() {
            match note {
                OwnedNotification::MemberUp(id) => {
                    self.changes.push((id.name as usize, Held::There));
                }
                OwnedNotification::Rename(_, id) => {
                    self.changes.push((id.name as usize, Held::There));
                }
                OwnedNotification::MemberDown(id) => {
                    self.changes.push((id.name as usize, Held::Failed));
                }
                OwnedNotification::Active => self.joined = true,
                OwnedNotification::Idle => self.joined = false,
                _ => {}
            }
        }
    }

    fn join(&mut self, now: Ms) {
        if self.joined || self.seeds.is_empty() {
            self.join_at = None;
            return;
        }
        self.join_at = Some(now + 1000);
        for seed in self.seeds.clone().into_iter().take(3) {
            let id = Id {
                name: seed as u32,
                at: seed as u32,
                bump: 0,
                draw: 0,
            };
            // Whoever has that address answers to an announcement that is meant for any life of it.
            self.drive(now, |foca, runtime| drop(foca.announce(id, runtime)));
        }
    }
}

impl Peer for Swim {
    fn start(&mut self, now: Ms) {
        self.join(now);
    }
    fn datagram(&mut self, _from: usize, bytes: &[u8], now: Ms) {
        self.drive(now, |foca, runtime| drop(foca.handle_data(bytes, runtime)));
    }
    fn tick(&mut self, now: Ms) {
        if self.join_at.is_some_and(|at| at <= now) {
            self.join(now);
        }
        while let Some(&Reverse((at, order))) = self.timers.peek() {
            if at > now {
                break;
            }
            self.timers.pop();
            if let Some(timer) = self.waiting.remove(&order) {
                self.drive(now, |foca, runtime| drop(foca.handle_timer(timer, runtime)));
            }
        }
    }
    fn due(&self) -> Option<Ms> {
        let timer = self.timers.peek().map(|due| due.0 .0);
        timer.into_iter().chain(self.join_at).min()
    }
    fn leave(&mut self, now: Ms) {
        self.drive(now, |foca, runtime| drop(foca.leave_cluster(runtime)));
    }
    fn sent(&mut self) -> Vec<(usize, Vec<u8>)> {
        std::mem::take(&mut self.sent)
    }
    fn changes(&mut self) -> Vec<(usize, Held)> {
        std::mem::take(&mut self.changes)
    }
}

/// Heartbeats of all to all, each judged by how unlikely its silence is (Hayashibara and others, "The phi accrual failure
/// detector", 2004). Who belongs to the fleet is given to it: it has no way of its own to find that out.
pub struct Heartbeats {
    me: usize,
    seen: Vec<Option<Arrivals>>,
    next_beat: Ms,
    next_look: Ms,
    sent: Vec<(usize, Vec<u8>)>,
    changes: Vec<(usize, Held)>,
}

#[derive(Clone)]
struct Arrivals {
    last: Ms,
    mean: f64,
    variance: f64,
    held: Held,
}

const BEAT: Ms = 1000;
/// One silence in a hundred million is taken for a failure by mistake, if arrivals are normal.
const PHI: f64 = 8.0;
/// The least deviation that is believed.
const DEVIATION: f64 = 250.0;

pub fn heartbeats(
    number: usize,
    size: usize,
    _seeds: &[usize],
    seed: u64,
    now: Ms,
) -> Box<dyn Peer> {
    let first = now + seed % BEAT;
    Box::new(Heartbeats {
        me: number,
        seen: vec![None; size],
        next_beat: first,
        next_look: now + 100,
        sent: Vec::new(),
        changes: Vec::new(),
    })
}

impl Peer for Heartbeats {
    fn start(&mut self, now: Ms) {
        self.tick(now);
    }
    fn datagram(&mut self, from: usize, _bytes: &[u8], now: Ms) {
        let seen = &mut self.seen[from];
        match seen {
            Some(arrivals) if arrivals.held == Held::There => {
                let gap = now.saturating_sub(arrivals.last) as f64;
                arrivals.variance += 0.05 * ((gap - arrivals.mean).powi(2) - arrivals.variance);
                arrivals.mean += 0.05 * (gap - arrivals.mean);
                arrivals.last = now;
            }
            _ => {
                *seen = Some(Arrivals {
                    last: now,
                    mean: BEAT as f64,
                    variance: 0.0,
                    held: Held::There,
                });
                self.changes.push((from, Held::There));
            }
        }
    }
    fn tick(&mut self, now: Ms) {
        if now >= self.next_beat {
            self.next_beat = now + BEAT;
            let others = (0..self.seen.len()).filter(|other| *other != self.me);
            self.sent.extend(others.map(|other| (other, vec![0; 16])));
        }
        if now >= self.next_look {
            self.next_look = now + 100;
            for (of, seen) in self.seen.iter_mut().enumerate() {
                let Some(arrivals) = seen
                    .as_mut()
                    .filter(|arrivals| arrivals.held == Held::There)
                else {
                    continue;
                };
                let late = now.saturating_sub(arrivals.last) as f64 - arrivals.mean;
                let y = late / arrivals.variance.sqrt().max(DEVIATION);
                // The logistic approximation of the normal tail.
                let tail = (-y * (1.5976 + 0.070566 * y * y)).exp();
                let phi = -(tail / (1.0 + tail)).max(1e-300).log10();
                if late > 0.0 && phi > PHI {
                    arrivals.held = Held::Failed;
                    self.changes.push((of, Held::Failed));
                }
            }
        }
    }
    fn due(&self) -> Option<Ms> {
        Some(self.next_beat.min(self.next_look))
    }
    fn leave(&mut self, _now: Ms) {}
    fn sent(&mut self) -> Vec<(usize, Vec<u8>)> {
        std::mem::take(&mut self.sent)
    }
    fn changes(&mut self) -> Vec<(usize, Held)> {
        std::mem::take(&mut self.changes)
    }
}

/// Cut detection by several observers and one agreed change of the view (Suresh and others, "Stable and consistent membership
/// at scale with Rapid", 2018), without its joins: who belongs to the fleet is given to it.
pub struct Cuts {
    me: usize,
    size: usize,
    subjects: Vec<usize>,
    /// Probes in a row without an answer, by subject.
    missed: BTreeMap<usize, u32>,
    alerted: BTreeSet<usize>,
    reports: BTreeMap<usize, BTreeSet<usize>>,
    votes: BTreeMap<Vec<usize>, BTreeSet<usize>>,
    voted: bool,
    members: BTreeSet<usize>,
    next_probe: Ms,
    sent: Vec<(usize, Vec<u8>)>,
    changes: Vec<(usize, Held)>,
    known: bool,
}

/// Observers of each member; so many reports settle that it is cut, and under so many are noise.
const OBSERVERS: usize = 10;
const HIGH: usize = 9;
const LOW: usize = 3;
const MISSED: u32 = 3;

#[derive(Serialize, Deserialize)]
enum Cut {
    Ping,
    Pong,
    Alert(u32),
    Vote(Vec<u32>),
}

pub fn cuts(number: usize, size: usize, _seeds: &[usize], seed: u64, now: Ms) -> Box<dyn Peer> {
    // Rings as steps that are the same at all members.
    let step = |ring: usize| {
        1 + ring * size.saturating_sub(1).max(1) / OBSERVERS.min(size.saturating_sub(1).max(1))
    };
    let subjects: BTreeSet<usize> = (0..OBSERVERS.min(size - 1))
        .map(|ring| (number + step(ring)) % size)
        .collect();
    Box::new(Cuts {
        me: number,
        size,
        subjects: subjects
            .into_iter()
            .filter(|subject| *subject != number)
            .collect(),
        missed: BTreeMap::new(),
        alerted: BTreeSet::new(),
        reports: BTreeMap::new(),
        votes: BTreeMap::new(),
        voted: false,
        members: (0..size).collect(),
        next_probe: now + seed % BEAT,
        sent: Vec::new(),
        changes: Vec::new(),
        known: false,
    })
}

impl Cuts {
    fn say(&mut self, to: usize, message: &Cut) {
        self.sent
            .push((to, postcard::to_allocvec(message).unwrap_or_default()));
    }

    fn say_all(&mut self, message: &Cut) {
        let others: Vec<usize> = self
            .members
            .iter()
            .copied()
            .filter(|other| *other != self.me)
            .collect();
        others
            .into_iter()
            .for_each(|other| self.say(other, message));
    }

    fn alert(&mut self, by: usize, of: usize) {
        if !self.members.contains(&of) {
            return;
        }
        self.reports.entry(of).or_default().insert(by);
        let high = HIGH.min(self.size - 1);
        let stable = self
            .reports
            .values()
            .all(|by| by.len() >= high || by.len() < LOW);
        let cut: Vec<usize> = self
            .reports
            .iter()
            .filter(|(_, by)| by.len() >= high)
            .map(|(of, _)| *of)
            .collect();
        if stable && !cut.is_empty() && !self.voted {
            self.voted = true;
            let vote = Cut::Vote(cut.iter().map(|of| *of as u32).collect());
            self.say_all(&vote);
            self.vote(self.me, cut);
        }
    }

    fn vote(&mut self, by: usize, cut: Vec<usize>) {
        let votes = self.votes.entry(cut.clone()).or_default();
        votes.insert(by);
        if votes.len() * 4 >= self.members.len() * 3 {
            for of in cut {
                self.members.remove(&of);
                self.subjects.retain(|subject| *subject != of);
                self.changes.push((of, Held::Failed));
            }
            self.reports.clear();
            self.votes.clear();
            self.voted = false;
            self.alerted.clear();
        }
    }
}

impl Peer for Cuts {
    fn start(&mut self, now: Ms) {
        self.tick(now);
    }
    fn datagram(&mut self, from: usize, bytes: &[u8], _now: Ms) {
        match postcard::from_bytes(bytes) {
            Ok(Cut::Ping) => self.say(from, &Cut::Pong),
            Ok(Cut::Pong) => drop(self.missed.insert(from, 0)),
            Ok(Cut::Alert(of)) => self.alert(from, of as usize),
            Ok(Cut::Vote(cut)) => self.vote(from, cut.into_iter().map(|of| of as usize).collect()),
            Err(_) => {}
        }
    }
    fn tick(&mut self, now: Ms) {
        if !std::mem::replace(&mut self.known, true) {
            let others = (0..self.size).filter(|other| *other != self.me);
            self.changes
                .extend(others.map(|other| (other, Held::There)));
        }
        if now < self.next_probe {
            return;
        }
        self.next_probe = now + BEAT;
        for subject in self.subjects.clone() {
            self.say(subject, &Cut::Ping);
            // One that never answered has not started yet, and a report can't be taken back.
            let Some(missed) = self.missed.get_mut(&subject) else {
                continue;
            };
            *missed += 1;
            if *missed > MISSED && self.alerted.insert(subject) {
                self.say_all(&Cut::Alert(subject as u32));
                self.alert(self.me, subject);
            }
        }
    }
    fn due(&self) -> Option<Ms> {
        Some(self.next_probe)
    }
    fn leave(&mut self, _now: Ms) {}
    fn sent(&mut self) -> Vec<(usize, Vec<u8>)> {
        std::mem::take(&mut self.sent)
    }
    fn changes(&mut self) -> Vec<(usize, Held)> {
        std::mem::take(&mut self.changes)
    }
}
