//! One member's part in the protocol, by concern in the files of `fleet/`. It owns all of that state, and must never read a
//! clock, touch a socket or act on what it learns: it says so in notes and datagrams.
//!
//! The ground is SWIM (Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group membership
//! protocol", 2002) with Lifeguard's doubt about oneself; what was added is in docs/fleet.md.
use crate::config::Identity;
use crate::digest::{Fact, Health, HEALTH};
use crate::doubt::{Doubt, PAUSE};
use crate::rumours::Rumours;
use crate::table::{bucket, rank, Member, News, Suspicion, Table, CONFIRM};
use crate::timing::{self, Pace};
use crate::view::{Sight, Standing, View};
use crate::wire::{
    self, cluster_tag, name_tag, Message, Place, Process, Record, Refused, Sender, State, Told,
    Writer, BUCKETS, FACT_AGE_MOST, INCARNATION_MOST, SPEAKS,
};
use crate::Ms;
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg32;
use smol_str::SmolStr;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

mod exchange;
mod incoming;
mod joining;
mod probing;
mod sending;

/// Something that staff or a consumer may want to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A member is in another state, as far as this one knows. `from`: `None` for one that is new here; `alone`: by this
    /// member's judgement at a time when it doubts itself, and nobody else is told.
    Member {
        name: SmolStr,
        address: SocketAddrV4,
        from: Option<State>,
        to: State,
        alone: bool,
    },
    /// It is forgotten: its time is over.
    Forgotten { name: SmolStr },
    View {
        from: View,
        to: View,
        reason: &'static str,
    },
    /// It has been told who is there.
    Joined { members: usize },
    /// Others suspected this member, or held it for failed; it told them otherwise.
    Refuted { held: State, incarnation: u64 },
    /// Another live process has this member's name: this one stands down and stays out of the fleet.
    NameTaken { address: SocketAddrV4 },
    /// Another process goes by this member's name, and is told so.
    NameShared { address: SocketAddrV4 },
    /// One name, two live processes, neither of them this one.
    NameDoubled {
        name: SmolStr,
        first: SocketAddrV4,
        second: SocketAddrV4,
    },
    /// The other one with its name is gone: it joins again.
    NameFree,
    /// It was stopped, or its clock jumped, for this long (ms).
    Paused { lasted: Ms },
    /// Datagrams that were of no use, since the last such note.
    Refused {
        garbage: u64,
        foreign: u64,
        later: u64,
        over: u64,
        last: SocketAddrV4,
    },
}

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub refused: u64,
    /// Sends that were left out, as too many were due at once.
    pub held_back: u64,
    pub probes: u64,
    pub probes_failed: u64,
    pub suspicions: u64,
    pub failures: u64,
    pub refutations: u64,
    pub pauses: u64,
}

/// One member as it is seen.
#[derive(Clone, Debug)]
pub struct Seen<'a> {
    pub name: &'a str,
    pub place: &'a Place,
    pub state: State,
    pub incarnation: u64,
    /// How long it has been in that state (ms).
    pub since: Ms,
    /// What it told of itself, and how long ago (ms).
    pub facts: Vec<(Fact, Ms)>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timer {
    Probe,
    Gossip,
    Compare,
    Join,
    Judge,
    Look,
    Piece,
    Sweep,
    Claim,
}
const TIMERS: [Timer; 9] = [
    Timer::Probe,
    Timer::Gossip,
    Timer::Compare,
    Timer::Join,
    Timer::Judge,
    Timer::Look,
    Timer::Piece,
    Timer::Sweep,
    Timer::Claim,
];

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Why {
    /// Its turn in the round, or in the ring.
    Round,
    Ring,
    /// Another suspects it.
    Opinion,
    /// It failed: it may be back, or a cut healed.
    Reach,
    /// Its time as a suspect is nearly over.
    LastWord,
}

impl Why {
    /// One ping, and nobody else is asked: nothing follows from silence.
    fn is_single(self) -> bool {
        matches!(self, Why::Reach | Why::LastWord)
    }
}

/// A member that was pinged and has not answered.
#[derive(Clone, Debug)]
struct Probe {
    seq: u32,
    why: Why,
    target: Process,
    sent: Ms,
    /// When the next step is due, and whether helpers were asked, and how many said that they can't reach it either.
    due: Ms,
    asked: Option<usize>,
    nacks: usize,
}

/// A ping for another.
#[derive(Clone, Debug)]
struct Errand {
    seq: u32,
    target: Process,
    origin: SocketAddrV4,
    origin_seq: u32,
    due: Ms,
}

/// What is known goes to one member piece by piece.
#[derive(Debug)]
struct Exchange {
    to: SocketAddrV4,
    names: VecDeque<SmolStr>,
    message: Message,
    /// It has heard nobody yet.
    newcomer: bool,
}

/// How this member stands in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Own {
    Joining {
        since: Ms,
    },
    In,
    /// Another live process has its name; `silent`: pings to that one without an answer.
    Out {
        rival: Rival,
        silent: u32,
    },
    Left,
}

/// Another process that may have this member's name.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Rival {
    process: Process,
    address: SocketAddrV4,
    incarnation: u64,
    /// Pings that it was sent, and the numbers of the last ones: an answer may be late.
    pings: u32,
    seqs: VecDeque<u32>,
}

impl Rival {
    fn pinged(&mut self, seq: u32) {
        self.seqs.push_back(seq);
        if self.seqs.len() > timing::CLAIMS as usize {
            self.seqs.pop_front();
        }
    }
}

/// Who is cut off takes so many times as long to hold one for failed.
const CUT_OFF: Ms = 3;

pub struct Fleet {
    identity: Identity,
    cluster: u32,
    process: Process,
    place: Place,
    incarnation: u64,
    own: Own,
    own_since: Ms,
    /// What it tells of itself, and since when each is so.
    facts: Vec<(Told, Ms)>,
    table: Table,
    rumours: Rumours,
    doubt: Doubt,
    standing: Standing,
    rng: Pcg32,
    now: Ms,
    /// What the clock showed last, and how far it has jumped back in all: time goes on from where it was.
    clock: Ms,
    back: Ms,
    /// When anything came or was done last, and when anything of another member came.
    awake: Ms,
    heard: Ms,
    due: [Option<Ms>; TIMERS.len()],
    probes: Vec<Probe>,
    /// Pings whose answer came too late so far.
    late: VecDeque<(u32, Ms)>,
    order: Vec<SmolStr>,
    /// The next one in the ring, as of a version of the table, and whether it is its turn.
    ring: (u64, Option<Process>),
    ring_turn: bool,
    suspects: Vec<SmolStr>,
    errands: Vec<Errand>,
    exchanges: VecDeque<Exchange>,
    rival: Option<Rival>,
    next_seq: u32,
    /// Which member's facts go out next.
    cursor: usize,
    join_gap: Ms,
    compare_gap: Ms,
    /// Pieces of a first answer that came, of so many, and when it is taken for whole.
    welcome: Vec<bool>,
    out: Pace,
    into: Pace,
    strangers: Pace,
    datagrams: Vec<(SocketAddrV4, Vec<u8>)>,
    notes: Vec<Note>,
    counts: Counts,
    /// What was refused since it was said last, and when lines of each kind were written.
    refused: [u64; 4],
    refused_last: SocketAddrV4,
    said: [Option<Ms>; 3],
}

impl Fleet {
    /// `identity` was checked. The seed makes its draws, and the number by which it differs from others of its name.
    pub fn new(identity: Identity, seed: u64, now: Ms) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed ^ u64::from(name_tag(&identity.name)));
        let process = Process {
            name: identity.name.clone(),
            nonce: rng.next_u32(),
        };
        let (zone, region) = (identity.zone.clone(), identity.region.clone());
        let place = Place::new(identity.advertise, zone, region);
        Fleet {
            cluster: cluster_tag(&identity.cluster),
            process,
            place,
            incarnation: 1,
            own: Own::Joining { since: now },
            own_since: now,
            facts: Vec::new(),
            table: Table::new(),
            rumours: Rumours::default(),
            doubt: Doubt::default(),
            standing: Standing::new(now),
            rng,
            now,
            clock: now,
            back: 0,
            awake: now,
            heard: now,
            due: [None; TIMERS.len()],
            probes: Vec::new(),
            late: VecDeque::new(),
            order: Vec::new(),
            ring: (u64::MAX, None),
            ring_turn: false,
            suspects: Vec::new(),
            errands: Vec::new(),
            exchanges: VecDeque::new(),
            rival: None,
            next_seq: 0,
            cursor: 0,
            join_gap: timing::JOIN,
            compare_gap: timing::COMPARE,
            welcome: Vec::new(),
            out: Pace::new(timing::OUT, now),
            into: Pace::new(timing::IN, now),
            strangers: Pace::new(timing::STRANGERS, now),
            datagrams: Vec::new(),
            notes: Vec::new(),
            counts: Counts::default(),
            refused: [0; 4],
            refused_last: identity.advertise,
            said: [None; 3],
            identity,
        }
    }

    /// Begins: asks its seeds who is there.
    pub fn start(&mut self, now: Ms) {
        self.advance(now);
        self.begin();
        if self.seeds().next().is_none() {
            self.joined();
        } else {
            self.set(Timer::Join, 0);
            self.fire();
        }
    }

    fn begin(&mut self) {
        for timer in [Timer::Probe, Timer::Look, Timer::Sweep] {
            let gap = match timer {
                Timer::Probe => timing::PROBE,
                Timer::Look => timing::LOOK,
                _ => timing::SWEEP,
            };
            let first = self.rng.gen_range(0..gap);
            self.set(timer, first);
        }
    }

    /// Begins with what is known already, in place of asking: it is in at once. Records of its own name are passed over.
    pub fn start_knowing<'a>(&mut self, records: impl Iterator<Item = &'a Record>, now: Ms) {
        self.advance(now);
        for record in records.filter(|record| record.process.name != self.process.name) {
            self.table
                .apply(record, self.now, self.identity.forget, false);
        }
        self.begin();
        self.joined();
        self.rumours.clear();
    }

    /// What others are told of it: who begins with this knows it.
    pub fn own_word(&self) -> Record {
        Record::new(
            self.process.clone(),
            self.incarnation,
            State::Alive,
            &self.place,
            SPEAKS,
        )
    }

    /// It says that it leaves; from then on it neither probes nor answers.
    pub fn leave(&mut self, now: Ms) {
        self.advance(now);
        if matches!(self.own, Own::Left) {
            return;
        }
        let was_in = !matches!(self.own, Own::Out { .. });
        self.own = Own::Left;
        self.own_since = self.now;
        (self.due, self.probes) = ([None; TIMERS.len()], Vec::new());
        self.exchanges.clear();
        if was_in {
            // Nobody answers this, and each may be lost: several are told, who tell it on.
            let told = self.draw(2 * timing::FANOUT, |member| member.state.is_present());
            for place in told {
                let to = self.table.members[place].place.address;
                let writer = self.writer(&Message::Gossip);
                self.send_with(to, writer, |fleet, writer| {
                    writer.record(&fleet.own_record());
                });
            }
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Ms) {
        self.advance(now);
        self.fire();
    }

    /// When it wants to be called again at the latest.
    pub fn next_due(&self) -> Option<Ms> {
        let timers = self.due.iter().flatten().copied();
        let probes = self.probes.iter().map(|probe| probe.due);
        let due = timers
            .chain(probes)
            .chain(self.errands.iter().map(|errand| errand.due))
            .min();
        due.map(|due| due.saturating_sub(self.back))
    }

    /// What is to be sent, in order.
    pub fn take_datagrams(&mut self) -> Vec<(SocketAddrV4, Vec<u8>)> {
        std::mem::take(&mut self.datagrams)
    }

    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Tells the others a fact about this member, in place of the last of its kind.
    pub fn tell(&mut self, fact: &Fact, now: Ms) {
        self.advance(now);
        self.keep(fact);
    }

    fn keep(&mut self, fact: &Fact) {
        let (kind, bytes) = (fact.kind(), fact.bytes());
        if bytes.len() > wire::FACT_MOST {
            return;
        }
        let teller = self.process.clone();
        match self.facts.iter_mut().find(|(told, _)| told.kind == kind) {
            Some((told, at)) => {
                (told.bytes, told.number) = (bytes, told.number.wrapping_add(1));
                *at = self.now;
            }
            None => self.facts.push((
                Told {
                    teller,
                    kind,
                    number: 1,
                    age: 0,
                    bytes,
                },
                self.now,
            )),
        }
    }

    pub fn view(&self) -> (View, &'static str, Ms) {
        (
            self.standing.view(),
            self.standing.reason(),
            self.now.saturating_sub(self.standing.since()),
        )
    }

    pub fn score(&self) -> u32 {
        self.doubt.score()
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub fn name(&self) -> &str {
        &self.identity.name
    }

    /// How many are there or may be, itself included: all that did not say that they leave.
    pub fn expected(&self) -> usize {
        1 + self.table.present() + self.table.count(State::Failed)
    }

    /// The state of a member by its name, if it is known.
    pub fn state_of(&self, name: &str) -> Option<State> {
        if name == self.identity.name {
            return Some(self.own_state());
        }
        self.table.get(name).map(|member| member.state)
    }

    /// So many are in the state, this one included.
    pub fn count(&self, state: State) -> usize {
        self.table.count(state) + usize::from(self.own_state() == state)
    }

    /// All members, itself first, the others by name.
    pub fn members(&self) -> Vec<Seen<'_>> {
        let own = Seen {
            name: &self.identity.name,
            place: &self.place,
            state: self.own_state(),
            incarnation: self.incarnation,
            since: self.now.saturating_sub(self.own_since),
            facts: self
                .facts
                .iter()
                .map(|(told, at)| {
                    (
                        Fact::read(told.kind, &told.bytes),
                        self.now.saturating_sub(*at),
                    )
                })
                .collect(),
        };
        let mut others: Vec<Seen<'_>> = self
            .table
            .members
            .iter()
            .map(|member| self.seen(member))
            .collect();
        others.sort_unstable_by(|a, b| a.name.cmp(b.name));
        std::iter::once(own).chain(others).collect()
    }

    fn seen<'a>(&self, member: &'a Member) -> Seen<'a> {
        let age = |told: Ms| self.now.saturating_sub(told);
        let facts = member
            .facts
            .iter()
            .map(|fact| (Fact::read(fact.kind, &fact.bytes), age(fact.told)));
        Seen {
            name: &member.process.name,
            place: &member.place,
            state: member.state,
            incarnation: member.incarnation,
            since: age(member.since),
            facts: facts.collect(),
        }
    }

    fn own_state(&self) -> State {
        match self.own {
            Own::Joining { .. } | Own::Out { .. } => State::Joining,
            Own::In => State::Alive,
            Own::Left => State::Left,
        }
    }

    fn own_record(&self) -> Record {
        Record::new(
            self.process.clone(),
            self.incarnation,
            self.own_state(),
            &self.place,
            SPEAKS,
        )
    }

    /// The clock goes on. What should have been done long ago tells that the process was stopped: then what it has not heard
    /// since is no evidence against anybody.
    fn advance(&mut self, now: Ms) {
        let due = self.next_due().map_or(self.now, |due| due + self.back);
        self.back += self.clock.saturating_sub(now);
        self.clock = now;
        self.now = now + self.back;
        let missed = self.now.saturating_sub(due.max(self.awake));
        self.awake = self.now;
        if missed < PAUSE {
            return;
        }
        self.counts.pauses += 1;
        self.notes.push(Note::Paused { lasted: missed });
        self.doubt.paused(self.now);
        self.heard += missed;
        // Who was asked for help may have answered, but nobody can tell any more: nothing comes of these.
        self.probes.clear();
        self.errands.clear();
        for name in &self.suspects {
            if let Some(place) = self.table.place(name) {
                self.table.members[place].suspicion().since += missed;
            }
        }
        self.look();
    }

    fn set(&mut self, timer: Timer, after: Ms) {
        self.due[timer as usize] = Some(self.now + after);
    }

    /// Sets it, unless it is due earlier already.
    fn bring(&mut self, timer: Timer, after: Ms) {
        let at = self.now + after;
        let due = &mut self.due[timer as usize];
        *due = Some(due.map_or(at, |due| due.min(at)));
    }

    /// A gap that differs from one member and one time to the next by a fifth at most.
    fn scattered(&mut self, gap: Ms) -> Ms {
        gap - gap / 10 + self.rng.gen_range(0..=gap / 5)
    }

    fn fire(&mut self) {
        for timer in TIMERS {
            if self.due[timer as usize].is_some_and(|at| at <= self.now) {
                self.due[timer as usize] = None;
                self.timer(timer);
            }
        }
        self.overdue();
    }

    fn timer(&mut self, timer: Timer) {
        match timer {
            Timer::Probe => {
                let gap = self.scattered(timing::PROBE);
                self.set(timer, gap);
                if matches!(self.own, Own::In) {
                    self.ring_turn = !self.ring_turn;
                    if self.ring_turn {
                        self.ring();
                    } else {
                        self.round();
                    }
                    self.reach_some();
                }
            }
            Timer::Gossip => self.gossip(),
            Timer::Compare => self.compare(),
            Timer::Join => self.join(),
            Timer::Judge => self.judge(),
            Timer::Look => {
                self.set(timer, timing::LOOK);
                self.look();
                self.own_up();
                self.say_refused();
            }
            Timer::Piece => self.piece(),
            Timer::Sweep => {
                self.set(timer, timing::SWEEP);
                let gone = self.table.sweep(self.now, self.identity.forget);
                self.notes.extend(
                    gone.into_iter()
                        .map(|process| Note::Forgotten { name: process.name }),
                );
            }
            Timer::Claim => self.claim(),
        }
    }

    fn note_member(
        &mut self,
        name: SmolStr,
        address: SocketAddrV4,
        from: Option<State>,
        to: State,
        alone: bool,
    ) {
        self.notes.push(Note::Member {
            name,
            address,
            from,
            to,
            alone,
        });
    }

    fn look(&mut self) {
        let expected = self.expected();
        let sight = Sight {
            expected,
            heard: 1 + self.table.count(State::Alive) + self.table.count(State::Joining),
            silent: self.now.saturating_sub(self.heard),
            unheard: self.doubt.is_unheard(),
            joined: !matches!(self.own, Own::Joining { .. }),
            joining: match self.own {
                Own::Joining { since } => self.now.saturating_sub(since),
                _ => 0,
            },
            name_taken: matches!(self.own, Own::Out { .. }),
            score: self.doubt.score(),
            quiet: self.doubt.is_quiet(self.now),
        };
        let changed = self.standing.look(&sight, self.now);
        let view = match self.standing.view() {
            View::Whole => 0,
            View::Doubtful => 1,
            View::CutOff => 2,
        };
        let rtt = self.doubt.usual().min(timing::ACK_MOST) as u16;
        self.keep(&Fact::Health(Health {
            view,
            score: self.doubt.score() as u8,
            rtt,
        }));
        if let Some(from) = changed {
            let (to, reason) = (self.standing.view(), self.standing.reason());
            self.notes.push(Note::View { from, to, reason });
            if to == View::CutOff && matches!(self.own, Own::In) {
                self.bring(Timer::Join, timing::JOIN);
            }
        }
    }
}
