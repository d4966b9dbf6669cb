//! The control node: the parts put together. Inputs go in, effects come out; it is pure and deterministic, so that tests play
//! whole exchanges of several of them. It owns all state; it must never touch a socket, a file or a clock.
use crate::arrivals::Arrival;
use crate::contact::Contact;
use crate::control::{self, Reply};
use crate::control_state::{Command, ControlState};
use crate::directory;
use crate::knowledge::Knowledge;
use crate::membership::{Member, Membership};
use crate::operator_calls::{OperatorCalls, Step};
use crate::peers::{Heard, Hello, LinkOrder, PeerFrame, Peers, FORMAT};
use crate::reader::{self, Duty, PeerReport, Reader, HOLDER_SILENT_MS};
use crate::sessions::{News, SessionOrder, Sessions};
use crate::upstreams::{Excerpt, Upstreams};
use crate::Millis;
use sandtrack_core::message::{Head, Message};
use sandtrack_protocol::codes;
use sandtrack_protocol::frames::{self, ToControl, ToProxy};
use sandtrack_protocol::logs::escape;
use sandtrack_protocol::settings::{Settings, PEER_PORT, SESSION_PORT};
use sandtrack_replication::{self as replication, Address, Replica, Timings};
use std::collections::BTreeSet;

/// A voter that was heard within so many ms is there.
const VOTER_MS: Millis = 1000.0;
/// A repair of the chain may take so long, in ms, without a proxy having to look for another control node: it would find
/// the same there.
const REPAIR_MS: Millis = 2500.0;
/// After its start, in ms, it takes the proxies that have come for all that there are; sooner where another one knows.
const SETTLE_MS: Millis = 2500.0;
/// A process whose clock went on by more than this without it, in ms, was frozen.
const FROZEN_MS: Millis = 700.0;
/// It looks at what is due at least this often, in ms.
const LOOK_MS: Millis = 50.0;
/// Told to stop, it waits for the calls under way for this long, in ms.
const LEAVE_MS: Millis = 1200.0;
/// Told to stop, and needed by the others, it ends so many ms before the platform would kill it.
const LEAVE_MARGIN_MS: Millis = 1000.0;

/// What happened.
#[derive(Debug)]
pub enum Input {
    Tick,
    /// An operator's call was read whole.
    Call {
        call: u64,
        message: Message,
    },
    LinkOpened {
        link: u64,
    },
    LinkFrame {
        link: u64,
        frame: PeerFrame,
    },
    LinkClosed {
        link: u64,
    },
    SessionFrame {
        session: u64,
        frame: ToControl,
    },
    SessionClosed {
        session: u64,
    },
    Written {
        ticket: u64,
    },
    WriteFailed {
        ticket: u64,
    },
    /// A call to the platform is over.
    Called(reader::Call),
    /// The settings were read again.
    Reload(Box<Settings>),
    Terminate,
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    Reply {
        call: u64,
        reply: Reply,
    },
    Link(LinkOrder),
    Session(SessionOrder),
    Write {
        ticket: u64,
        records: Vec<Vec<u8>>,
    },
    Rewrite {
        ticket: u64,
        records: Vec<Vec<u8>>,
    },
    /// Call the platform for a page of its list.
    Fetch {
        token: Option<String>,
    },
    Exit,
}

/// What a process is given at its start besides its settings.
#[derive(Clone, Debug, Default)]
pub struct Start {
    /// Drawn at random.
    pub incarnation: u64,
    /// Records of its WAL.
    pub recovered: Vec<Vec<u8>>,
    /// There is a WAL to write to.
    pub disk: bool,
}

pub struct ControlNode {
    settings: Settings,
    replica: Replica<ControlState>,
    peers: Peers,
    contact: Contact,
    sessions: Sessions,
    membership: Membership,
    upstreams: Upstreams,
    duty: Duty,
    reader: Reader,
    calls: OperatorCalls,
    /// Clients that the directory has answered.
    turn: usize,
    /// How far the links were told of sessions and the list: where nothing is new they are not looked through.
    told: (u64, u64),
    /// When it was caught up last, in this stretch of running.
    caught_up: Option<Millis>,
    /// The last epoch in which the replica, in the chain, held all that was acknowledged.
    held_all_in: Option<u64>,
    started: Millis,
    /// It knows how many proxies there are: what holds over all of them may be shared out.
    settled: bool,
    last: Millis,
    leaving: Option<Millis>,
}

/// The links of the control nodes that the settings name, in their order.
fn seeds(settings: &Settings) -> Vec<Address> {
    let link = |seed: &String| settings.internal_address(Settings::ip_of(seed), PEER_PORT);
    settings.seed_nodes.iter().map(link).collect()
}

fn hello(settings: &Settings, incarnation: u64) -> Hello {
    let listen = |name: &str| settings.listen.get(name).cloned().unwrap_or_default();
    Hello {
        format: FORMAT,
        address: settings.internal_address(&settings.ip_address, PEER_PORT),
        incarnation,
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        control: listen("control"),
        directory: listen("directory"),
        session: settings.internal_address(&settings.ip_address, SESSION_PORT),
    }
}

fn excerpt_frame(excerpt: Excerpt) -> PeerFrame {
    let Excerpt { whole, round, entries, gone } = excerpt;
    PeerFrame::List { whole, round, entries, gone }
}

impl ControlNode {
    pub fn new(settings: Settings, start: Start, now: Millis) -> (ControlNode, Vec<Effect>) {
        let me = hello(&settings, start.incarnation);
        let replica_settings = replication::Settings {
            zone: settings.zone.clone(),
            incarnation_if_new: start.incarnation.max(1),
            first_start: settings.first_start,
            seeds: seeds(&settings),
            disk: start.disk,
            machines_borne: settings.machines_borne,
            zones_borne: settings.zones_borne,
            seed: start.incarnation,
            // Nobody waits for longer: what is tried on after that could only come late.
            timings: Timings { call: control::PATIENCE_MS, ..Timings::default() },
            ..replication::Settings::new(&me.address, &[])
        };
        let (replica, effects) =
            Replica::new(replica_settings, start.recovered, ControlState::default(), now);
        let mut control_node = ControlNode {
            duty: Duty::new(&me.address, now),
            peers: Peers::new(me, now),
            settings,
            replica,
            contact: Contact::default(),
            sessions: Sessions::default(),
            membership: Membership::default(),
            upstreams: Upstreams::default(),
            reader: Reader::default(),
            calls: OperatorCalls::new(now),
            turn: 0,
            told: (0, 0),
            caught_up: None,
            held_all_in: None,
            started: now,
            settled: false,
            last: now,
            leaving: None,
        };
        let mut out = Vec::new();
        control_node.carry_out(now, effects, &mut out);
        control_node.look(now, &mut out);
        (control_node, out)
    }

    /// A number for a link that was accepted.
    pub fn link_accepted(&mut self, now: Millis) -> u64 {
        self.peers.accepted(now)
    }

    /// A number for a session that was accepted.
    pub fn session_accepted(&mut self, now: Millis) -> u64 {
        self.sessions.accepted(now)
    }

    /// A number for an operator's call that was read whole.
    pub fn call_begun(&mut self, arrival: Arrival) -> u64 {
        self.calls.begin(arrival)
    }

    /// Since when this process has run without being held up.
    pub fn awake_since(&self) -> Millis {
        self.calls.awake_since()
    }

    /// Answers a client that asks where to go.
    pub fn resolve(&mut self, now: Millis, head: &Head) -> Reply {
        let place = match directory::decode(head) {
            Ok(place) => place,
            Err(reply) => return reply,
        };
        self.turn = self.turn.wrapping_add(1);
        let ready = self.membership.ready(now);
        let zones = self.settings.zones.len();
        let regions = self.settings.zones.values().collect::<BTreeSet<_>>().len();
        directory::reply(&directory::choose(&place, &ready, zones, regions, self.turn))
    }

    /// When it has to look at what is due.
    pub fn next_due(&self) -> Millis {
        let calls = self.calls.next_due().into_iter();
        let reader = self.reader.next_due().filter(|_| self.duty.reads(self.last));
        let due = calls.chain(reader).fold(self.last + LOOK_MS, Millis::min);
        due.min(self.replica.next_tick()).max(self.last)
    }

    /// Takes in what happened, and appends what is to be done.
    pub fn handle(&mut self, now: Millis, input: Input, out: &mut Vec<Effect>) {
        if now - self.last > FROZEN_MS {
            log::warn!("this process did not run for {:.0} ms", now - self.last);
            self.peers.woke(now);
            self.contact.woke(now);
            self.sessions.woke(now);
            self.caught_up = None;
            if now - self.last > HOLDER_SILENT_MS {
                self.duty.woke(now);
            }
        }
        self.last = now;
        for step in self.calls.look(now) {
            self.step(now, step, out);
        }
        match input {
            Input::Tick => self.look(now, out),
            Input::Call { call, message } => {
                self.look_at_calls(now, out, |calls, known| Some(calls.call(now, call, &message, known)));
            }
            Input::LinkOpened { link } => {
                let mut orders = Vec::new();
                self.peers.opened(now, link, &mut orders);
                out.extend(orders.into_iter().map(Effect::Link));
            }
            Input::LinkFrame { link, frame } => self.link_frame(now, link, frame, out),
            Input::LinkClosed { link } => {
                let heard = self.peers.closed(now, link);
                self.heard(now, heard, out);
            }
            Input::SessionFrame { session, frame } => self.session_frame(now, session, frame, out),
            Input::SessionClosed { session } => {
                if let Some(info) = self.sessions.closed(session) {
                    log::info!("the session of {} is over", info.node_name);
                    self.membership.gone(&info.node_name);
                }
            }
            Input::Written { ticket } => self.replica(now, replication::Input::Written { ticket }, out),
            Input::WriteFailed { ticket } => {
                log::warn!("the disk did not take a write");
                self.replica(now, replication::Input::WriteFailed { ticket }, out);
            }
            Input::Called(called) => {
                let alone = !self.duty.is_holder();
                if self.duty.reads(now) {
                    self.reader.done(now, alone, called, &mut self.upstreams);
                } else {
                    self.reader.stop();
                    self.reader.done(now, alone, called, &mut self.upstreams);
                }
                self.read(now, out);
            }
            Input::Reload(settings) => {
                log::info!("settings read again: seeds {:?}", settings.seed_nodes);
                self.settings.seed_nodes = settings.seed_nodes;
                self.settings.cloud_api = settings.cloud_api;
                self.settings.zones = settings.zones;
                self.look(now, out);
            }
            Input::Terminate => self.leave(now, out),
        }
        self.spread(now, out);
    }

    fn replica(&mut self, now: Millis, input: replication::Input, out: &mut Vec<Effect>) {
        let mut effects = Vec::new();
        let refused = self.replica.snapshots_refused();
        self.replica.handle(now, input, &mut effects);
        if self.replica.snapshots_refused() > refused {
            log::warn!("E{} a snapshot was refused: it is fetched anew", codes::SNAPSHOT_REFUSED.0);
        }
        self.carry_out(now, effects, out);
    }

    fn carry_out(&mut self, now: Millis, effects: Vec<replication::Effect>, out: &mut Vec<Effect>) {
        let mut answers = Vec::new();
        for effect in effects {
            match effect {
                replication::Effect::Send { to, message } => {
                    if let Some(link) = self.peers.link_to(&to) {
                        out.push(Effect::Link(LinkOrder::Send {
                            link,
                            frame: PeerFrame::Replication(message),
                        }));
                    }
                }
                replication::Effect::Write { ticket, records } => out.push(Effect::Write { ticket, records }),
                replication::Effect::Rewrite { ticket, records } => {
                    out.push(Effect::Rewrite { ticket, records })
                }
                replication::Effect::Applied { number, command, .. } => {
                    let version = self.replica.machine().version();
                    match borsh::from_slice::<Command>(&command) {
                        Ok(command) => log::info!("number {number}: version {version}, after {command}"),
                        Err(error) => log::warn!("number {number}: version {version}, unknown: {error}"),
                    }
                }
                replication::Effect::Restored { number } => {
                    log::info!("restored to number {number}: version {}", self.replica.machine().version());
                }
                replication::Effect::Answer { call, result } => answers.push((call, result)),
                replication::Effect::ViewIs(view) => {
                    let chain: Vec<&str> = view.chain.iter().map(|member| member.address.as_str()).collect();
                    log::info!("view {}: chain {}", view.epoch, chain.join(" "));
                    self.reach(now);
                }
            }
        }
        // What an answer leads to comes after all that came with it.
        for (call, result) in answers {
            self.look_at_calls(now, out, |calls, known| calls.answer(now, call, result, known));
        }
    }

    /// Looks at the operators' calls with what is known here, and does what one of them needs next.
    fn look_at_calls(
        &mut self, now: Millis, out: &mut Vec<Effect>,
        next: impl FnOnce(&mut OperatorCalls, &Knowledge<'_>) -> Option<Step>,
    ) {
        let known = Knowledge {
            settings: &self.settings,
            control_state: self.replica.machine(),
            peers: &self.peers,
            membership: &self.membership,
            upstreams: &self.upstreams,
            leaving: self.leaving.is_some(),
        };
        if let Some(step) = next(&mut self.calls, &known) {
            self.step(now, step, out);
        }
    }

    /// Does what an operator's call needs next.
    fn step(&mut self, now: Millis, step: Step, out: &mut Vec<Effect>) {
        match step {
            Step::Reply { call, reply } => out.push(Effect::Reply { call, reply }),
            Step::Status { call } => out.push(Effect::Reply { call, reply: self.status(now) }),
            Step::Submit { call, command } => {
                let command = borsh::to_vec(&command).unwrap_or_default();
                self.replica(now, replication::Input::Submit { call, command }, out);
            }
            Step::Read { call, question } => {
                let question = borsh::to_vec(&question).unwrap_or_default();
                self.replica(now, replication::Input::Read { call, question }, out);
            }
        }
    }

    fn link_frame(&mut self, now: Millis, link: u64, frame: PeerFrame, out: &mut Vec<Effect>) {
        let peer = self.peers.heard(now, link);
        if let Some(peer) = &peer {
            self.contact.heard(now, peer, None);
        }
        let (peer, frame) = match (peer, frame) {
            (_, PeerFrame::Hello(hello)) => {
                let mut orders = Vec::new();
                let heard = self.peers.hello(now, link, hello, &mut orders);
                out.extend(orders.into_iter().map(Effect::Link));
                return self.heard(now, heard, out);
            }
            (Some(peer), frame) => (peer, frame),
            // Nothing counts before it is said from whom it is.
            (None, _) => return,
        };
        match frame {
            PeerFrame::Hello(_) => {}
            PeerFrame::Replication(message) => {
                let received = replication::Input::Received { from: peer.clone(), message };
                self.replica(now, received, out);
                self.contact.heard(now, &peer, self.replica.testimony_of(&peer));
            }
            PeerFrame::Sessions { whole, present, gone } => {
                self.membership.told(now, &peer, whole, present, &gone);
            }
            PeerFrame::WantSessions => {
                if let Some((sessions, _)) = self.peers.told(link) {
                    *sessions = None;
                }
                self.tell_peer(now, link, out);
            }
            PeerFrame::WantList => {
                if let Some((_, list)) = self.peers.told(link) {
                    *list = None;
                }
                self.tell_peer(now, link, out);
            }
            PeerFrame::List { whole, round, entries, gone } => {
                if !self.duty.is_holder() {
                    self.upstreams.take(now, Excerpt { whole, round, entries, gone });
                }
            }
            PeerFrame::Beat { claim, silent, sessions, list, leaving, settled } => {
                let held = self.duty.is_holder();
                self.duty.told(now, &peer, &claim);
                if held != self.duty.is_holder() {
                    log::info!("the platform's list is read by {}", self.duty.claim().holder);
                    self.reader.stop();
                }
                let from_holder = claim.holder == peer && *self.duty.claim() == claim;
                self.peers.report(&peer, PeerReport { claim, silent }, leaving, settled);
                if sessions != self.membership.digest_of(&peer) {
                    out.push(Effect::Link(LinkOrder::Send { link, frame: PeerFrame::WantSessions }));
                }
                if from_holder {
                    let (round, count, sum) = list;
                    if (count, sum) != self.upstreams.digest() {
                        out.push(Effect::Link(LinkOrder::Send { link, frame: PeerFrame::WantList }));
                    } else {
                        self.upstreams.turn(round);
                    }
                }
            }
        }
    }

    fn heard(&mut self, now: Millis, heard: Option<Heard>, out: &mut Vec<Effect>) {
        match heard {
            Some(Heard::Found(peer)) => {
                log::info!("linked with {peer}");
                self.contact.lost(&peer);
                self.sessions.census_again();
                self.beat_one(now, &peer, out);
            }
            Some(Heard::Lost(peer)) => {
                log::info!("the link with {peer} is lost");
                self.contact.lost(&peer);
                self.membership.lost(now, &peer);
                self.sessions.census_again();
            }
            None => {}
        }
    }

    fn session_frame(&mut self, now: Millis, session: u64, frame: ToControl, out: &mut Vec<Effect>) {
        match (self.sessions.heard(now, session), frame) {
            (_, ToControl::Hello { format, info, state }) => {
                let mut orders = Vec::new();
                if format != frames::FORMAT || self.leaving.is_some() {
                    log::warn!("a session of format {format} from {} is ended", info.node_name);
                    orders.push(SessionOrder::Close { session });
                    self.sessions.closed(session);
                } else {
                    log::info!("a session of {} at {}", info.node_name, info.front);
                    self.sessions.hello(session, info.clone(), &mut orders);
                    self.membership.set(Member { info, state });
                }
                out.extend(orders.into_iter().map(Effect::Session));
            }
            (Some(info), ToControl::State(state)) => self.membership.state(info, state),
            (Some(_), ToControl::WantConfiguration) => self.sessions.want_configuration(session),
            (None, _) => {}
        }
    }

    /// Looks at what is due.
    fn look(&mut self, now: Millis, out: &mut Vec<Effect>) {
        self.replica(now, replication::Input::Tick, out);
        if self.replica.is_caught_up() {
            self.caught_up = Some(now);
        }
        self.held_all_in = self.held_all_in.max(self.replica.holds_all_in());
        self.reach(now);
        let mut orders = Vec::new();
        let (lost, beat) = self.peers.tick(now, &mut orders);
        out.extend(orders.into_iter().map(Effect::Link));
        lost.into_iter().for_each(|lost| self.heard(now, Some(lost), out));
        self.take_duty(now);
        if beat {
            self.tell_peers(now, out);
            for (_, peer) in self.peers.linked() {
                self.beat_one(now, &peer, out);
            }
        }
        let attached = self.is_attached(now);
        if attached && !self.settled {
            self.settled = now - self.started >= SETTLE_MS || self.peers.is_any_settled();
            self.sessions.census_again();
        }
        let mut orders = Vec::new();
        for gone in self.sessions.tick(now, attached, &mut orders) {
            log::info!("{} fell silent", gone.node_name);
            self.membership.gone(&gone.node_name);
        }
        out.extend(orders.into_iter().map(Effect::Session));
        self.membership.tick(now);
        self.read(now, out);
        for step in self.calls.late(now) {
            self.step(now, step, out);
        }
        if self.leaving.is_some_and(|since| self.may_end(now - since)) {
            out.push(Effect::Exit);
        }
    }

    /// Whether it may end so many ms after it was told to stop: calls under way are finished, and the others hold what it
    /// holds; or its time is over.
    fn may_end(&self, span: Millis) -> bool {
        let calls_over = self.calls.is_empty() || span > LEAVE_MS;
        let time_over = span > self.settings.bounds.grace_s * 1000.0 - LEAVE_MARGIN_MS;
        calls_over && !self.replica.is_needed() || time_over
    }

    fn reach(&mut self, now: Millis) {
        let (seeds, known) = (seeds(&self.settings), self.replica.peers());
        self.peers.reach(now, seeds.iter().chain(&known).map(String::as_str));
    }

    /// Who may read the list, in turn: the chain first, then all others that are known of.
    fn order(&self) -> Vec<Address> {
        let view = self.replica.view();
        let mut order: Vec<Address> = view.chain.iter().map(|member| member.address.clone()).collect();
        order.extend(view.voters.iter().map(|member| member.address.clone()));
        if order.is_empty() {
            order = seeds(&self.settings);
        }
        let others: BTreeSet<&str> =
            self.peers.all().map(|(address, _, _)| address).chain([self.peers.me.address.as_str()]).collect();
        order.extend(others.into_iter().map(str::to_owned));
        let mut seen = BTreeSet::new();
        order.retain(|address| seen.insert(address.clone()));
        order
    }

    fn voters(&self) -> Vec<Address> {
        self.replica.view().voters.iter().map(|member| member.address.clone()).collect()
    }

    fn take_duty(&mut self, now: Millis) {
        if self.leaving.is_some() || !self.duty.is_silent(now) && self.duty.claim().term > 0 {
            return;
        }
        let (order, voters) = (self.order(), self.voters());
        let live = self.peers.live(now, HOLDER_SILENT_MS);
        if self.duty.tick(now, &order, &live, &voters) {
            log::info!("it reads the platform's list from now on, term {}", self.duty.claim().term);
        }
    }

    /// Calls for the next page of the list, if that is due here.
    fn read(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leaving.is_some() || self.settings.cloud_api.address.is_empty() || !self.duty.reads(now) {
            return;
        }
        let alone = !self.duty.is_holder();
        if let Some(token) = self.reader.due(now, alone, self.settings.cloud_api.rate_per_s) {
            out.push(Effect::Fetch { token });
        }
    }

    /// Whether it hears a majority of those that agree on the view, and has caught up, or had before a repair.
    pub fn is_attached(&self, now: Millis) -> bool {
        let voters = self.voters();
        let here = |one: &&Address| **one == self.peers.me.address || self.peers.is_heard(now, one, VOTER_MS);
        let heard = voters.iter().filter(here).count();
        let caught_up = self.caught_up.is_some_and(|at| now - at <= REPAIR_MS);
        2 * heard > voters.len() && (caught_up || self.replica.is_caught_up())
    }

    /// Whether sessions are given configurations and evacuations: the view was confirmed within the lease, and all that
    /// was acknowledged in it is known here.
    pub fn feeds(&self, now: Millis) -> bool {
        let voter = self.replica.testimony();
        let is_confirmed = self.contact.is_confirmed(now, &self.peers.me.address, voter, self.replica.view());
        self.is_attached(now) && is_confirmed && self.replica.holds_all(self.held_all_in)
    }

    fn beat_one(&mut self, now: Millis, peer: &str, out: &mut Vec<Effect>) {
        let Some(link) = self.peers.link_to(peer) else { return };
        self.tell_peer(now, link, out);
        let (count, sum) = self.upstreams.digest();
        let frame = PeerFrame::Beat {
            claim: self.duty.claim().clone(),
            silent: self.duty.is_silent(now),
            sessions: self.membership.digest(),
            list: (self.upstreams.round(), count, sum),
            leaving: self.leaving.is_some(),
            settled: self.settled,
        };
        out.push(Effect::Link(LinkOrder::Send { link, frame }));
    }

    /// Tells the other end of a link what changed of sessions here, and of the list if it is read here.
    fn tell_peer(&mut self, now: Millis, link: u64, out: &mut Vec<Effect>) {
        let (membership_end, list_end) = (self.membership.end(), self.upstreams.end());
        let tells_list = self.duty.is_holder() && self.upstreams.round() > 0;
        let Some((sessions, list)) = self.peers.told(link) else { return };
        if *sessions != Some(membership_end) {
            let frame = self.membership.frame_since(*sessions);
            *sessions = Some(membership_end);
            out.push(Effect::Link(LinkOrder::Send { link, frame }));
        }
        if tells_list && *list != Some(list_end) {
            let frame = excerpt_frame(self.upstreams.since(now, *list));
            *list = Some(list_end);
            out.push(Effect::Link(LinkOrder::Send { link, frame }));
        }
        if !tells_list {
            // Whoever reads tells it; what was told before may be something else by then.
            *list = None;
        }
    }

    fn tell_peers(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for (link, _) in self.peers.linked() {
            self.tell_peer(now, link, out);
        }
    }

    /// Tells the others and the proxies what is new.
    fn spread(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let ends = (self.membership.end(), self.upstreams.end());
        if std::mem::replace(&mut self.told, ends) != ends {
            self.tell_peers(now, out);
        }
        let mut news = News {
            control_state: self.replica.machine(),
            upstreams: &self.upstreams,
            membership: &self.membership,
            attached: false,
            feeds: self.sessions.is_holding_back() && self.feeds(now),
            settled: self.settled,
        };
        if !self.sessions.is_due(now, &news) {
            return;
        }
        (news.attached, news.feeds) = (self.is_attached(now), self.feeds(now));
        let others: Vec<&Hello> =
            self.peers.all().filter(|(_, linked, _)| *linked).filter_map(|(_, _, hello)| hello).collect();
        let mut orders = Vec::new();
        self.sessions.tell(now, &self.peers.me, &others, &news, &mut orders);
        out.extend(orders.into_iter().map(Effect::Session));
    }

    /// Told to stop: the duty goes to another, the proxies go elsewhere, and calls under way are finished.
    fn leave(&mut self, now: Millis, out: &mut Vec<Effect>) {
        if self.leaving.is_some() {
            return;
        }
        log::info!("told to stop");
        self.leaving = Some(now);
        self.replica(now, replication::Input::Leave, out);
        let (order, live) = (self.order(), self.peers.live(now, HOLDER_SILENT_MS));
        if self.duty.leave(&order, &live) {
            log::info!("the platform's list is read by {} from now on", self.duty.claim().holder);
            self.reader.stop();
        }
        for (_, peer) in self.peers.linked() {
            self.beat_one(now, &peer, out);
        }
        let mut orders = Vec::new();
        self.sessions.to_all(&ToProxy::Beat { attached: false }, &mut orders);
        self.sessions.close_all(&mut orders);
        out.extend(orders.into_iter().map(Effect::Session));
    }

    /// What it knows, for operators.
    fn status(&self, now: Millis) -> Reply {
        let quote = |text: &str| format!("\"{}\"", escape(text));
        let list = |items: Vec<String>| format!("[{}]", items.join(","));
        let view = self.replica.view();
        let addresses = |members: &[replication::Member]| {
            list(members.iter().map(|member| quote(&member.address)).collect())
        };
        let proxies = self.membership.members().into_iter().map(|(name, member)| {
            let Member { info, state } = member;
            format!(
                "{{\"node\":{},\"front\":{},\"zone\":{},\"version_number\":{},\"ready\":{},\"leaving\":{},\"open\":{},\"here\":{}}}",
                quote(name), quote(&info.front), quote(&info.zone), state.version, state.ready, state.leaving,
                state.open, self.membership.own().contains_key(name)
            )
        });
        let control_nodes = self.peers.all().map(|(address, linked, hello)| {
            let name = hello.map_or("", |hello| hello.node_name.as_str());
            format!("{{\"address\":{},\"node\":{},\"linked\":{linked}}}", quote(address), quote(name))
        });
        let services = self.upstreams.counts().into_iter().map(|(service, (count, draining))| {
            format!("{{\"service\":{},\"upstreams\":{count},\"draining\":{draining}}}", quote(service))
        });
        let control_state = self.replica.machine();
        let body = format!(
            "{{\"node\":{},\"address\":{},\"attached\":{},\"caught_up\":{},\"version_number\":{},\
             \"configuration_number\":{},\"evacuated\":{},\"view\":{{\"epoch\":{},\"chain\":{},\"voters\":{}}},\
             \"postmasters\":{},\"couriers\":{},\"reader\":{},\"readings\":{},\"services\":{}}}",
            quote(&self.settings.node_name),
            quote(&self.peers.me.address),
            self.is_attached(now),
            self.replica.is_caught_up(),
            control_state.version(),
            control_state.configuration_number(),
            list(control_state.evacuated().map(quote).collect()),
            view.epoch,
            addresses(&view.chain),
            addresses(&view.voters),
            list(control_nodes.collect()),
            list(proxies.collect()),
            quote(&self.duty.claim().holder),
            self.upstreams.round(),
            list(services.collect()),
        );
        Reply { status: 200, body }
    }

    /// The committed state as it is known here.
    pub fn control_state(&self) -> &ControlState {
        self.replica.machine()
    }

    /// The platform's list as it is known here.
    pub fn upstreams(&self) -> &Upstreams {
        &self.upstreams
    }
}
