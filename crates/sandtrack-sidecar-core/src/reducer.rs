//! The reducer: all state of the sidecar and every change of it, by concern in the files of `reducer/`. It takes inputs
//! with the time, drives the decision module and asks for effects; each table entry, timer and descriptor count is given
//! back in one place here. It must never do I/O, read a clock, or decide what the module decides: which upstream, when,
//! and whether at all.
use crate::by_hand::{ByHand, Change};
use crate::catalog::{Catalog, Instance, Lifecycle};
use crate::message::{self, Flow, Head, Message};
use crate::metrics::{End, Figures};
use lists::Broken;
use sandtrack_balancer::interface::Idempotency as Repeats;
use sandtrack_balancer::interface::*;
use sandtrack_balancer::Balancer;
use sandtrack_settings::{identity, Checked, Names};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::net::{SocketAddr, SocketAddrV4};
use tables::*;

mod clients;
mod flows;
mod leaving;
mod links;
mod lists;
mod members;
mod staff;
mod tables;

pub use staff::ADMIN_MOST;

pub type ConnId = u64;
pub type CallId = u64;

/// Descriptors that are neither a client's nor an upstream's: standard streams, the poller's, signals, the
/// listener, the watch, and a reserve for what is accepted before room is made.
const RESERVE: usize = 16;
/// Beside its callers the second address needs a listener, a lock, and a file while it is read or replaced.
const STAFF_RESERVE: usize = 4;
/// Upstream connections may take this part of the others, so that clients always find room.
const LINKS_PART: f64 = 0.75;
/// An idle connection is retired at this part of the time after which its upstream may close it ...
const RETIRE: f64 = 0.5;
/// ... carries nothing unsafe to repeat from this part of it on ...
const DOUBTFUL: f64 = 0.25;
/// ... and where that time is not told it is taken for this.
const IDLE_UNTOLD: Millis = 20_000.0;
/// A connection carries nothing for this long after a request's answer: a second one may come some milliseconds behind it,
/// and would be read as the answer to what was written meanwhile. Come by then, it ends the idle connection. A probe's answer
/// has no such time: it is asked for right before a request, which goes on the same connection.
const SETTLE: Millis = 10.0;
/// A request's head is due this long after its connection was opened, or after its first byte on one that has been
/// served. A client that sends none is owed an end of it within 3 s, sweep included; an honest one may take 2 s ...
const REQUEST_PATIENCE: Millis = 2400.0;
/// ... and a body that is kept whole this long after that.
const BODY_PATIENCE: Millis = 2200.0;
/// A client's connection may stand idle this long ...
const REST_PATIENCE: Millis = 3000.0;
/// ... while those that do are no more than this part of the descriptors, half of what clients need at most: more of
/// them would leave clients that ask on a new connection each time, and keep the old one, without any.
const IDLE_PART: f64 = CLIENTS_PART / 2.0;
/// Clients need this part of the descriptors at most for their requests: what idles beyond it makes room first.
const CLIENTS_PART: f64 = 1.0 / 3.0;
/// Room is made ahead of need where less than this part of the descriptors is free.
const SPARE_PART: f64 = 0.125;
/// An id that was asked with is no other request's for this long at least.
const IDS_KEPT: Millis = 5000.0;
/// Where they are, a connection makes room on which nothing has come for this long: clients connect to ask at once.
const SILENCE: Millis = 50.0;
const SWEEP_EVERY: Millis = 250.0;
/// One refused for want of a descriptor may come again after this, where the settings allow that advice.
const COME_BACK: Millis = 100.0;
/// Lines on what is scarce are this far apart at least.
const SCARCE_EVERY: Millis = 1000.0;
/// The answer is due this much before the client stops waiting: it has to travel, and the client's time began
/// before its request was read.
const MARGIN: Millis = 3.0;
/// A watch has a line every 2 s (the protocol); one that says nothing for this long is broken. What it has to tell
/// counts as told after 6 s: there must be time to ask anew, and for discovery to come to that call.
const WATCH_SILENCE: Millis = 2600.0;
/// Its first line may take longer: discovery works through calls in turn.
const WATCH_FIRST: Millis = 4500.0;
/// After a reload it is asked for again sooner: what the new address has to tell counts as told after 4 s.
const WATCH_RELOADED: Millis = 2000.0;
/// A watch that ended may have ended in place of telling, and pushed lists count as told without one: it is opened
/// anew within this part of the time that a drain may take to be kept, and in this time at least and at most.
const REOPEN: f64 = 0.125;
const REOPEN_RANGE: [Millis; 2] = [25.0, 250.0];
/// Calls for a list that is asked for are apart by this part of the time that the settings let an asked list age: a discovery
/// that ends each watch behind its first line is asked as seldom as one that fails.
const CALLS_APART: f64 = 0.05;
/// An answer whose length is not told is passed on as it comes when it is not whole this long after its first part: it
/// may be a large one, which is timed by its first bytes.
const HOLD: Millis = 20.0;
/// A figure of a load report over this is none.
const REPORT_MOST: f64 = 1e9;
/// Where the settings tell no connect time-out.
const CONNECT_UNTOLD: Millis = 1000.0;
/// What idles of clients is closed this long after they were sent away: until then they are told with an answer, which no
/// request can cross.
const SOFT: Millis = 500.0;
/// After SIGTERM new connections are awaited for this long, and until none came for `QUIET` ...
const LAST_CALL: Millis = 600.0;
/// ... but no longer than this, however many still come: what is taken has to be answered before SIGKILL.
const LAST_CALL_MOST: Millis = 700.0;
/// SIGKILL may come the longest deadline and `LAST_CALL_MOST` after SIGTERM: what is taken late is answered this much before.
const KILL_MARGIN: Millis = 50.0;
/// An answer that was ordered is written this long after at the latest, if its client reads.
const FLUSH: Millis = 200.0;
/// Answers that flow are given this long after SIGTERM, where nobody kills the process before.
const FLOWS_MOST: Millis = 30_000.0;
const QUIET: Millis = 200.0;
const DRAIN_EVERY: Millis = 25.0;

/// The memory that the sidecar may use where that is not told.
pub const MEMORY_MB: usize = 64;

/// How many messages a connection began to write, and how many it wrote to the last byte.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Written {
    pub begun: u32,
    pub whole: u32,
}

#[derive(Debug)]
pub enum Input {
    ClientOpened {
        conn: ConnId,
    },
    ClientRequest {
        conn: ConnId,
        at: Millis,
        message: Message,
    },
    /// The head of a request whose body is told as it comes; `length`: of that, where it is told.
    ClientFlows {
        conn: ConnId,
        at: Millis,
        head: Head,
        length: Option<usize>,
    },
    /// The next piece of its body, one by one as they are asked for; `last`: all has come.
    ClientPiece {
        conn: ConnId,
        at: Millis,
        bytes: Vec<u8>,
        last: bool,
    },
    /// Its body in chunks is over.
    ClientOver {
        conn: ConnId,
        at: Millis,
    },
    /// A part of a request has come; `head`: all of its head.
    ClientBegan {
        conn: ConnId,
        head: bool,
    },
    ClientBad {
        conn: ConnId,
        status: u16,
    },
    ClientClosed {
        conn: ConnId,
    },
    /// A piece of a streamed answer was written.
    ClientWrote {
        conn: ConnId,
    },
    UpstreamConnected {
        conn: ConnId,
    },
    UpstreamAnswered {
        conn: ConnId,
        at: Millis,
        message: Message,
    },
    /// A streamed answer has begun; its pieces follow one by one, as they are asked for.
    UpstreamBegan {
        conn: ConnId,
        at: Millis,
        head: Head,
        length: Option<usize>,
    },
    UpstreamPiece {
        conn: ConnId,
        bytes: Vec<u8>,
    },
    UpstreamOver {
        conn: ConnId,
        at: Millis,
        keep_alive: bool,
    },
    /// A part of an answer has come that is not whole yet; `open`: its length is not told.
    UpstreamPartly {
        conn: ConnId,
        open: bool,
    },
    /// What came for an answer can't be read.
    UpstreamSpoilt {
        conn: ConnId,
    },
    UpstreamClosed {
        conn: ConnId,
        written: Written,
    },
    WatchLine {
        call: CallId,
        catalog: Catalog,
    },
    WatchBeat {
        call: CallId,
    },
    WatchEnded {
        call: CallId,
    },
    /// A part of a request was written.
    UpstreamTook {
        conn: ConnId,
    },
    /// A message was written to its last byte.
    UpstreamWrote {
        conn: ConnId,
    },
    AdminOpened {
        conn: ConnId,
    },
    AdminCall {
        conn: ConnId,
        message: Message,
    },
    AdminBad {
        conn: ConnId,
        status: u16,
    },
    AdminClosed {
        conn: ConnId,
    },
    /// The change that a call asked for: what holds now, or why it could not be noted.
    Changed {
        conn: ConnId,
        noted: Result<ByHand, String>,
    },
    /// The other process noted another.
    ByHand(ByHand),
    /// Another process of this sidecar has come or gone.
    OtherLives(bool),
    /// The fleet's socket is open.
    FleetOpened,
    /// A datagram came there; `source`: whose address the network says that it is from.
    Datagram {
        source: SocketAddrV4,
        bytes: Vec<u8>,
    },
    AcceptFailed,
    AcceptStopped,
    Terminate,
    /// The configuration was read anew: what it names another of.
    Reload {
        discovery: Option<SocketAddr>,
        settings: Option<Box<Checked>>,
    },
    /// It could not be read, and nothing of it counts.
    ReloadFailed,
    /// Time has passed.
    Tick,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// `bad`: so was the request, and the connection has its next turn a little later.
    Answer {
        conn: ConnId,
        bytes: Vec<u8>,
        close: bool,
        bad: bool,
    },
    /// Pass on a piece of a streamed answer, and tell when it is written.
    Relay {
        conn: ConnId,
        bytes: Vec<u8>,
    },
    /// An answer whose length is not told is to be told as it comes.
    Begin {
        conn: ConnId,
    },
    /// The next piece of a streamed answer is wanted.
    More {
        conn: ConnId,
    },
    /// The rest of its answer, or of its request, is not to come.
    CloseClient {
        conn: ConnId,
    },
    /// Close it if it is between requests.
    RetireClient {
        conn: ConnId,
    },
    Connect {
        conn: ConnId,
        address: SocketAddr,
    },
    Write {
        conn: ConnId,
        bytes: Vec<u8>,
        streamed: bool,
        more: bool,
    },
    /// Pass on a piece of a request's body, and tell when it is written.
    Pass {
        conn: ConnId,
        bytes: Vec<u8>,
        last: bool,
    },
    /// The next piece of a request's body is wanted.
    MoreClient {
        conn: ConnId,
    },
    CloseUpstream {
        conn: ConnId,
    },
    /// The message that was ordered written last is not to be begun, if it has not been yet: its client has left.
    Withdraw {
        conn: ConnId,
    },
    Watch {
        call: CallId,
        address: SocketAddr,
        after: Option<u64>,
    },
    CloseWatch {
        call: CallId,
    },
    AnswerAdmin {
        conn: ConnId,
        bytes: Vec<u8>,
    },
    CloseAdmin {
        conn: ConnId,
    },
    /// Note it for all processes, and tell what came of that before anything else.
    Change {
        conn: ConnId,
        change: Change,
    },
    /// To another member of the fleet.
    Datagram {
        to: SocketAddrV4,
        bytes: Vec<u8>,
    },
    /// What is to be sent there has been ordered.
    CloseFleet,
    Accept,
    /// `leave`: what waits to be accepted is another process's.
    StopAccepting {
        leave: bool,
    },
    Exit,
}

pub struct Reducer {
    balancer: Balancer,
    settings: Settings,
    classes: Vec<String>,
    tenants: Vec<String>,
    zones: Names,
    kinds: Names,
    /// The number of each upstream that is listed, or gone and still referred to. A number is never used again.
    numbers: HashMap<String, u32>,
    next_server: u32,
    conn_idle: Millis,
    connect_timeout: Millis,
    /// Sockets that clients and upstreams may hold together, and upstreams alone.
    sockets: usize,
    links_most: usize,
    /// Wall time (Unix, ms) at the clock's zero.
    epoch: Millis,
    now: Millis,
    servers: BTreeMap<u32, Server>,
    clients: BTreeMap<ConnId, Client>,
    links: BTreeMap<ConnId, Link>,
    requests: BTreeMap<RequestId, Request>,
    ids: Ids,
    /// Clients without an open request, and idle links.
    waits: Ages<Wait>,
    idle: Ages<()>,
    timers: Timers,
    /// What the module is still to be told, in order.
    events: VecDeque<Event>,
    effects: Vec<Effect>,
    next_conn: ConnId,
    next_request: u64,
    next_call: CallId,
    /// Until the first request comes: upstreams whose probe was answered, and is to be repeated then.
    unserving: Option<Vec<u32>>,
    /// Upstreams whose probe waits for a descriptor.
    waiting: VecDeque<u32>,
    discovery: SocketAddr,
    watch: Option<CallId>,
    /// When it was called for.
    watch_called: Millis,
    /// The watch has told something, if no more than that it lives.
    watch_heard: bool,
    /// Lists are pushed to an agent, which is asked all the same.
    pushed: bool,
    /// The version of the list that this discovery gave last.
    generation: Option<u64>,
    /// When SIGTERM came, when the last connection did, and whether the listener is closed.
    draining: Option<Millis>,
    last_opened: Millis,
    /// When an answer was ordered last.
    last_answer: Millis,
    scarce_said: Millis,
    stopped: bool,
    exiting: bool,
    ways: Ways,
    descriptors: usize,
    callers: BTreeMap<ConnId, staff::Caller>,
    figures: Figures,
    by_hand: ByHand,
    /// When staff sent clients away.
    drained: Option<Millis>,
    other_lives: bool,
    ready: bool,
    accepting: bool,
    /// The fleet that it is a member of.
    members: Option<members::Members>,
}

/// What the platform gives this process beside its clients.
#[derive(Clone, Copy, Debug)]
pub struct Ways {
    /// There is a second address.
    pub admin: bool,
    /// The clients' listening socket is shared with other processes.
    pub inherited: bool,
    /// Memory in bytes for all processes of the sidecar.
    pub memory: usize,
}

impl Default for Ways {
    fn default() -> Self {
        Ways {
            admin: false,
            inherited: false,
            memory: MEMORY_MB << 20,
        }
    }
}

/// What sockets make of the settings; how long a connection may be idle, how long it may take to come up, and whether lists
/// are pushed.
fn on_sockets(checked: &mut Checked) -> (Millis, Millis, bool) {
    // On sockets discovery tells only who asks, whatever the settings say of it.
    let pushed = !std::mem::replace(&mut checked.settings.discovery_on_request, true);
    let connect = Some(checked.settings.limits.connect_timeout).filter(|time| *time > 0.0);
    (
        checked.conn_idle.unwrap_or(IDLE_UNTOLD),
        connect.unwrap_or(CONNECT_UNTOLD),
        pushed,
    )
}

/// The name of an upstream, for the log.
fn name(servers: &BTreeMap<u32, Server>, server: u32) -> Option<&String> {
    servers.get(&server).map(|server| &server.name)
}

impl Reducer {
    /// `epoch`: wall time in Unix milliseconds at the clock's zero, read once.
    pub fn new(
        mut checked: Checked,
        discovery: SocketAddr,
        seed: u64,
        descriptors: usize,
        epoch: Millis,
        now: Millis,
    ) -> Self {
        let (conn_idle, connect_timeout, pushed) = on_sockets(&mut checked);
        let mut reducer = Reducer {
            balancer: Balancer::new(checked.settings.clone(), seed),
            connect_timeout,
            conn_idle,
            settings: checked.settings,
            classes: checked.classes,
            tenants: checked.tenants,
            zones: checked.zones,
            kinds: Names::default(),
            numbers: HashMap::new(),
            next_server: 0,
            sockets: 0,
            links_most: 0,
            epoch,
            now,
            servers: BTreeMap::new(),
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            requests: BTreeMap::new(),
            ids: Ids::default(),
            waits: Ages::new(),
            idle: Ages::new(),
            timers: Timers::default(),
            events: VecDeque::new(),
            effects: Vec::new(),
            next_conn: 0,
            next_request: 0,
            next_call: 0,
            unserving: Some(Vec::new()),
            waiting: VecDeque::new(),
            discovery,
            watch: None,
            watch_called: Millis::NEG_INFINITY,
            watch_heard: false,
            pushed,
            generation: None,
            draining: None,
            last_opened: now,
            last_answer: now,
            scarce_said: f64::NEG_INFINITY,
            stopped: false,
            exiting: false,
            ways: Ways::default(),
            descriptors,
            callers: BTreeMap::new(),
            figures: Figures::default(),
            by_hand: ByHand::default(),
            drained: None,
            other_lives: false,
            ready: false,
            accepting: false,
            members: None,
        };
        reducer.share_sockets();
        reducer
    }

    /// Two processes of one sidecar have a half each.
    fn share_sockets(&mut self) {
        let own = if self.other_lives {
            self.descriptors / 2
        } else {
            self.descriptors
        };
        let staff = if self.ways.admin {
            ADMIN_MOST + STAFF_RESERVE
        } else {
            0
        };
        self.sockets = own.saturating_sub(RESERVE + staff).max(2);
        self.links_most = ((self.sockets as f64 * LINKS_PART) as usize).max(1);
        self.give_way();
    }

    /// The platform's ways, what staff have ordered so far, and whether another process of this sidecar lives.
    pub fn with(mut self, ways: Ways, by_hand: ByHand, other_lives: bool) -> Self {
        (self.ways, self.other_lives) = (ways, other_lives);
        self.share_sockets();
        self.follow(by_hand);
        self
    }

    /// The sidecar starts with the list it last had.
    pub fn start(&mut self, known: Option<Catalog>) -> Vec<Effect> {
        self.events.push_back(Event::Start);
        if let Some(known) = known {
            self.generation = Some(known.generation);
            self.list(ListKind::Stale, known.instances);
        }
        self.timers.set(Timer::Sweep, self.now + SWEEP_EVERY);
        self.timers
            .set(Timer::Ready, self.now + staff::READY_ANYWAY);
        self.accept();
        self.settle();
        std::mem::take(&mut self.effects)
    }

    /// An id for a connection that was just accepted.
    pub fn accepted(&mut self) -> ConnId {
        self.next_conn += 1;
        self.next_conn
    }

    /// When `Tick` is wanted at the latest.
    pub fn next_due(&self) -> Option<Millis> {
        self.timers.next()
    }

    /// How many upstreams it remembers, and what for each: numbers, entries.
    pub fn remembered(&self) -> [usize; 2] {
        [self.numbers.len(), self.servers.len()]
    }

    /// Whether nothing is held: no connection, request or timer of theirs.
    pub fn is_empty(&self) -> bool {
        let kept = |timer: &Timer| {
            let lists = [Timer::WatchSilent, Timer::Reopen];
            let own = [
                Timer::Wake,
                Timer::Ready,
                Timer::Sweep,
                Timer::Drain,
                Timer::Fleet,
            ];
            !own.contains(timer) && !lists.contains(timer)
        };
        let idle = self.servers.values().all(|server| server.idle.is_empty());
        let timers = !self.timers.set.keys().any(kept);
        let idle = idle && self.idle.order.is_empty() && self.waits.order.is_empty();
        self.clients.is_empty()
            && self.links.is_empty()
            && self.requests.is_empty()
            && timers
            && idle
    }

    /// Takes one input; what is due goes before it.
    pub fn handle(&mut self, now: Millis, input: Input) -> Vec<Effect> {
        self.now = now.max(self.now);
        while let Some(timer) = self.timers.due(self.now) {
            self.fire(timer);
            self.settle();
        }
        self.take(input);
        self.settle();
        std::mem::take(&mut self.effects)
    }

    /// Tells the module all that waits for it, and carries out what it answers.
    fn settle(&mut self) {
        let mut actions = Vec::new();
        while let Some(event) = self.events.pop_front() {
            self.balancer.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, upstream } => self.send(request, upstream.0),
            Action::Refuse {
                request,
                retry_after,
            } => {
                let seconds = retry_after.map(|wait| format!("{:.3}", wait / 1000.0));
                let headers = seconds
                    .iter()
                    .map(|seconds| ("Retry-After", seconds.as_str()));
                self.answer(request, 503, headers, b"");
            }
            Action::Fail { request } => self.answer(request, 502, std::iter::empty(), b""),
            Action::Cancel { request, attempt } => self.cancel(request, attempt),
            Action::Probe { upstream } => self.probe(upstream.0),
            Action::Subscribe => self.subscribe(),
            Action::Wake { at } => self.timers.set(Timer::Wake, at),
            Action::Log(text) => tracing::info!("{text}"),
        }
    }

    fn take(&mut self, input: Input) {
        match input {
            Input::ClientOpened { conn } => self.client_opened(conn),
            Input::ClientRequest { conn, at, message } => {
                self.client_request(conn, at, message, None);
            }
            Input::ClientFlows {
                conn,
                at,
                head,
                length,
            } => {
                let flow = length.map_or(Flow::Chunks, Flow::Length);
                self.client_request(
                    conn,
                    at,
                    Message {
                        head,
                        body: Vec::new(),
                    },
                    Some(flow),
                );
            }
            Input::ClientPiece {
                conn,
                at,
                bytes,
                last,
            } => self.client_piece(conn, at, &bytes, last),
            Input::ClientOver { conn, at } => self.client_over(conn, at),
            Input::ClientBegan { conn, head } => self.client_began(conn, head),
            Input::ClientBad { conn, status } => {
                tracing::debug!(conn, status, "bad request");
                match self.clients.get(&conn).and_then(|client| client.request) {
                    Some(id) => self.break_off(id, status),
                    None => self.plain(conn, status, true),
                }
            }
            Input::ClientClosed { conn } => self.client_closed(conn),
            Input::ClientWrote { conn } => self.client_wrote(conn),
            Input::UpstreamBegan {
                conn,
                at,
                head,
                length,
            } => self.began(conn, at, &head, length),
            Input::UpstreamPiece { conn, bytes } => self.piece(conn, &bytes),
            Input::UpstreamOver {
                conn,
                at,
                keep_alive,
            } => self.over(conn, at, keep_alive),
            Input::UpstreamConnected { conn } => self.connected(conn),
            Input::UpstreamAnswered { conn, at, message } => self.answered(conn, at, message),
            Input::UpstreamPartly { conn, open } => self.partly(conn, open),
            Input::UpstreamSpoilt { conn } => self.spoilt(conn),
            Input::UpstreamClosed { conn, written } => self.upstream_closed(conn, written),
            Input::WatchLine { call, catalog } => self.watch_line(call, catalog),
            Input::WatchBeat { call } => {
                if self.watch == Some(call) {
                    self.watch_heard();
                }
            }
            Input::WatchEnded { call } => self.watch_ended(call, Broken::Ended),
            Input::UpstreamTook { conn } => self.upstream_took(conn),
            Input::UpstreamWrote { conn } => self.upstream_wrote(conn),
            Input::AdminOpened { conn } => self.admin_opened(conn),
            Input::AdminCall { conn, message } => self.admin_call(conn, &message),
            Input::AdminBad { conn, status } => {
                self.admin_answer(conn, status, "no: it can't be read\n");
            }
            Input::AdminClosed { conn } => self.admin_closed(conn),
            Input::Changed { conn, noted } => self.changed(conn, noted),
            Input::ByHand(by_hand) => self.follow(by_hand),
            Input::OtherLives(lives) => self.other_lives(lives),
            Input::FleetOpened => self.fleet_opened(),
            Input::Datagram { source, bytes } => self.datagram(source, &bytes),
            Input::AcceptFailed => {
                self.scarce("accept failed");
                self.make_room();
            }
            Input::AcceptStopped => self.stopped = true,
            Input::Terminate => self.terminate(),
            Input::ReloadFailed => self.figures.config_reload_errors += 1,
            Input::Reload {
                discovery,
                settings,
            } => {
                self.figures.config_reloads += 1;
                settings
                    .into_iter()
                    .for_each(|settings| self.adopt(*settings));
                discovery
                    .into_iter()
                    .for_each(|discovery| self.reload(discovery));
            }
            Input::Tick => {}
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Connect(conn) | Timer::Answer(conn) => {
                let Some(link) = self.links.get(&conn) else {
                    return;
                };
                if matches!(link.stage, Stage::Busy(Job::Attempt(..))) {
                    // It has begun to answer and does not go on.
                    self.spoilt(conn);
                } else if let Stage::Connecting(job) | Stage::Busy(job) = link.stage {
                    let server = link.server;
                    self.hang_up(conn);
                    // Silence: its machine may be cut off or gone, and what stands idle there be as dead. Used when
                    // the machine is back, it would be reset with a request on it that may have run.
                    self.drop_idle(server);
                    self.job_failed(job, server, Outcome::ConnectFailed);
                }
            }
            Timer::Hold(conn) => self.effects.push(Effect::Begin { conn }),
            Timer::Deadline(request) => self.deadline(request),
            Timer::Wake => self.events.push_back(Event::Wake),
            Timer::WatchSilent => {
                if let Some(call) = self.watch {
                    self.effects.push(Effect::CloseWatch { call });
                    self.watch_ended(call, Broken::Silent);
                }
            }
            Timer::Reopen => self.subscribe(),
            Timer::Sweep => {
                self.sweep();
                self.timers.set(Timer::Sweep, self.now + SWEEP_EVERY);
            }
            Timer::Drain => self.drain(),
            Timer::Fleet => self.fleet_due(),
            Timer::Ready => self.now_ready(),
            Timer::Call(conn) => self.admin_answer(conn, 408, "no: it took too long\n"),
        }
    }
}

/// What of an upstream's headers the client gets.
fn answer_headers(head: &Head) -> impl Iterator<Item = (&str, &str)> {
    head.headers
        .end_to_end()
        .filter(|(name, _)| !name.eq_ignore_ascii_case("X-Load-Report"))
}
