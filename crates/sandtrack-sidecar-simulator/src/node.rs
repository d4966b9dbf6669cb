//! One instance under test: the decision module driven directly, the sidecar's reducer, or a baseline, all behind one form of
//! inputs and outputs. It owns what a front owes the module (attempt and probe time-outs, ids), and must never decide.
use crate::baseline::Baseline;
use crate::discovery::Change;
use crate::observer::Answer;
use crate::scenario::{Effect as ClassEffect, Policy, Scenario};
use crate::server::{millis, Micros};
use sandtrack_balancer::interface::*;
use sandtrack_balancer::Balancer;
use sandtrack_settings::{Checked, Document};
use sandtrack_sidecar_core::catalog::{Catalog, Instance, Lifecycle};
use sandtrack_sidecar_core::message::{Head, Headers, Message};
use sandtrack_sidecar_core::reducer::{ConnId, Effect, Input, Reducer, Written};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// How an attempt or a probe ended, as its sender sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    Ok(f64, f64),
    Full,
    Reset,
    NoConnect,
}

#[derive(Clone, Debug)]
pub struct Ask {
    pub request: u64,
    pub class: usize,
    pub patience: Millis,
    pub retry: bool,
}

#[derive(Clone, Debug)]
pub enum In {
    Start(u64, Vec<Change>),
    Request(Ask),
    Reply(u64, Reply),
    Connected(u64),
    ConnectionLost(u64),
    List {
        call: u64,
        generation: u64,
        whole: bool,
        changes: Vec<Change>,
    },
    CallFailed(u64),
    /// A watch that stands says that it does.
    Beat(u64),
    Wake,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum What {
    Attempt(u64),
    Probe,
}

#[derive(Clone, Debug)]
pub enum Out {
    /// `connection`: `None` where connections are not modelled.
    Send {
        token: u64,
        server: usize,
        what: What,
        connection: Option<u64>,
    },
    CallOff(u64),
    Connect {
        connection: u64,
        server: usize,
        port: u16,
    },
    Close(u64),
    Call {
        call: u64,
        after: Option<u64>,
    },
    HangUp(u64),
    Answer(u64, Answer),
    Wake(Millis),
}

/// What an instance is told of its deployment, in the settings' own form, so that it is read and checked as in service.
pub fn settings(scenario: &Scenario, me: usize) -> Result<Checked, String> {
    let classes: Vec<serde_json::Value> = scenario
        .classes
        .iter()
        .map(|class| {
            let effect = match class.effect {
                ClassEffect::Repeatable => "repeatable",
                ClassEffect::Keyed => "by_key",
                ClassEffect::Unsafe => "once",
            };
            serde_json::json!({"name": class.name, "aim": class.aim_ms, "deadline": class.deadline_ms, "effect": effect,
                "key-scope": "all", "window": class.window_ms, "value": class.worth})
        })
        .collect();
    let (allow, rules) = (&scenario.allow, &scenario.rules);
    let document = serde_json::json!({
        "classes": classes, "locality": scenario.zones[me % scenario.zones.len()], "me": me,
        "siblings": scenario.instances, "discovery": "on_request", "feedback": {"how": "on_probe"},
        "limits": {"cancel": allow.cancel, "probes": allow.probes, "parallel-tries": allow.second_copies,
            "max-attempts": allow.max_attempts, "retry-after": true, "max-retry-after": 750.0,
            "connect-timeout": CONNECT_TIMEOUT, "conn-idle": 60000.0},
        "penalties": {"probe": scenario.prices.probe, "cross-zone": scenario.prices.cross_zone, "waste": 0.02,
            "late-fail": 0.03},
        "rules": {"answer-slack": rules.answer_slack_ms, "ask-within": rules.ask_within_ms,
            "cold-share": scenario.server.cold_share, "cold": scenario.server.cold_s * 1000.0,
            "drain-grace": rules.drain_grace_ms, "fall": rules.fall_ms, "fall-multiple": rules.fall_multiple},
    });
    let document: Document =
        sandtrack_settings::read(document.to_string().as_bytes()).map_err(|f| f.to_string())?;
    document.checked().map_err(|fault| fault.to_string())
}

const CONNECT_TIMEOUT: Millis = 200.0;

pub type Truth<'a> = &'a dyn Fn(u32) -> f64;

pub enum Node {
    Direct(Box<Direct>),
    Sidecar(Box<Sidecar>),
}

impl Node {
    pub fn new(
        scenario: &Scenario,
        me: usize,
        seed: u64,
        now: Millis,
        zone_of: Vec<usize>,
    ) -> Result<Node, String> {
        let checked = settings(scenario, me)?;
        Ok(match scenario.policy {
            Policy::Sidecar => Node::Sidecar(Box::new(Sidecar::new(
                checked, scenario, seed, now, zone_of,
            ))),
            Policy::Module => Node::Direct(Box::new(Direct::new(
                Brain::Module(Box::new(Balancer::new(checked.settings, seed))),
                zone_of,
                me,
                scenario,
            ))),
            policy => {
                let brain =
                    Brain::Baseline(Box::new(Baseline::new(policy, checked.settings, seed)));
                Node::Direct(Box::new(Direct::new(brain, zone_of, me, scenario)))
            }
        })
    }

    /// Upstreams that were listed after the start, by their zones.
    pub fn know(&mut self, zone_of: &[usize]) {
        let known = match self {
            Node::Direct(node) => &mut node.zone_of,
            Node::Sidecar(node) => &mut node.zone_of,
        };
        known.extend(zone_of.iter().skip(known.len()));
    }

    pub fn handle(&mut self, now: Millis, input: In, truth: Truth<'_>, out: &mut Vec<Out>) {
        match self {
            Node::Direct(node) => node.handle(now, input, truth, out),
            Node::Sidecar(node) => node.handle(now, input, out),
        }
    }
}

enum Brain {
    Module(Box<Balancer>),
    Baseline(Box<Baseline>),
}

impl Brain {
    fn handle(&mut self, now: Millis, event: Event, truth: Truth<'_>, actions: &mut Vec<Action>) {
        match self {
            Brain::Module(balancer) => balancer.handle(now, event, actions),
            Brain::Baseline(baseline) => baseline.handle(now, event, truth, actions),
        }
    }
}

struct Open {
    answered: bool,
    not_after: Millis,
    /// Token, when it was sent, and whether it has ended.
    attempts: Vec<(u64, Millis, bool)>,
}

/// Drives the module, or a baseline, through its public interface.
pub struct Direct {
    brain: Brain,
    zone_of: Vec<usize>,
    zones: usize,
    open: HashMap<u64, Open>,
    /// What each token out belongs to: an attempt of a request, or a probe of an upstream since then.
    attempts: HashMap<u64, (u64, u32)>,
    probes: HashMap<u64, (u32, Millis)>,
    due: BinaryHeap<Reverse<(i64, u64, bool)>>,
    next_token: u64,
    next_call: u64,
    generation: Option<u64>,
    me_zone: usize,
}

impl Direct {
    fn new(brain: Brain, zone_of: Vec<usize>, me: usize, scenario: &Scenario) -> Self {
        Direct {
            brain,
            zone_of,
            zones: scenario.zones.len(),
            open: HashMap::new(),
            attempts: HashMap::new(),
            probes: HashMap::new(),
            due: BinaryHeap::new(),
            next_token: 0,
            next_call: 0,
            generation: None,
            me_zone: me % scenario.zones.len(),
        }
    }

    fn entries(&self, changes: Vec<Change>) -> Vec<Entry> {
        let entry = |change: Change| {
            // The instance's own zone is the number 0, as the settings' reader has it.
            let zone = self.zone_of.get(change.server).copied().unwrap_or_default();
            Entry {
                upstream: UpstreamId(change.server as u32),
                identity: change.server as u64,
                readiness: change.standing,
                cell: 0,
                machine_type: 0,
                scale: 1.0,
                zone: ZoneId(((zone + self.zones - self.me_zone) % self.zones) as u32),
                started_at: change.since.map(millis),
            }
        };
        changes.into_iter().map(entry).collect()
    }

    fn handle(&mut self, now: Millis, input: In, truth: Truth<'_>, out: &mut Vec<Out>) {
        let mut events = VecDeque::new();
        // What is due goes first: an attempt's time-out is told before the module's own timer.
        while let Some(&Reverse((at, token, probe))) = self
            .due
            .peek()
            .filter(|due| due.0 .0 as f64 <= now * 1000.0)
        {
            self.due.pop();
            if probe {
                if let Some((upstream, sent)) = self.probes.remove(&token) {
                    let upstream = UpstreamId(upstream);
                    events.push_back(Event::Probed {
                        upstream,
                        elapsed: now - sent,
                        ok: false,
                        report: None,
                    });
                    out.push(Out::CallOff(token));
                }
            } else {
                self.deadline(now, at, token, &mut events, out);
            }
        }
        match input {
            In::Start(generation, changes) => {
                self.generation = Some(generation);
                events.push_back(Event::Start);
                events.push_back(Event::List {
                    kind: ListKind::Stale,
                    entries: self.entries(changes),
                });
            }
            In::Request(ask) => {
                let not_after = now + ask.patience;
                let open = Open {
                    answered: false,
                    not_after,
                    attempts: Vec::new(),
                };
                self.open.insert(ask.request, open);
                self.due
                    .push(Reverse(((not_after * 1000.0) as i64, ask.request, false)));
                events.push_back(Event::Request(Arrival {
                    request: RequestId(ask.request),
                    class: ClassId(ask.class),
                    tenant: None,
                    not_after,
                    retry: ask.retry,
                    key: None,
                    cost: None,
                }));
            }
            In::Reply(token, reply) => self.reply(now, token, reply, &mut events, out),
            In::List {
                generation,
                whole,
                changes,
                ..
            } => {
                self.generation = Some(generation);
                let kind = if whole {
                    ListKind::Whole
                } else {
                    ListKind::Patch
                };
                events.push_back(Event::List {
                    kind,
                    entries: self.entries(changes),
                });
            }
            In::CallFailed(_) => events.push_back(Event::ListFailed),
            In::Wake => events.push_back(Event::Wake),
            In::Connected(_) | In::ConnectionLost(_) | In::Beat(_) => {}
        }
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.brain.handle(now, event, truth, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.carry_out(now, action, &mut events, out);
            }
        }
        if let Some(Reverse((at, ..))) = self.due.peek() {
            out.push(Out::Wake(*at as f64 / 1000.0));
        }
    }

    fn deadline(
        &mut self,
        now: Millis,
        at: i64,
        request: u64,
        events: &mut VecDeque<Event>,
        out: &mut Vec<Out>,
    ) {
        let Some(open) = self
            .open
            .get_mut(&request)
            .filter(|open| (open.not_after * 1000.0) as i64 <= at)
        else {
            return;
        };
        let closed = open.answered;
        for (n, (token, sent, ended)) in open.attempts.iter_mut().enumerate().filter(|(_, a)| !a.2)
        {
            *ended = true;
            self.attempts.remove(token);
            out.push(Out::CallOff(*token));
            let (attempt, elapsed) = (n as u32, now - *sent);
            events.push_back(Event::Finished(Finished {
                request: RequestId(request),
                attempt,
                outcome: Outcome::Timeout,
                elapsed,
                closed,
                report: None,
            }));
        }
        events.push_back(Event::Wake);
        if closed {
            self.open.remove(&request);
        }
    }

    fn reply(
        &mut self,
        now: Millis,
        token: u64,
        reply: Reply,
        events: &mut VecDeque<Event>,
        out: &mut Vec<Out>,
    ) {
        if let Some((upstream, sent)) = self.probes.remove(&token) {
            let report = match reply {
                Reply::Ok(active, waiting) => Some(Report {
                    active: Some(active),
                    waiting: Some(waiting),
                    cpu: None,
                    service: None,
                }),
                _ => None,
            };
            let (upstream, ok) = (UpstreamId(upstream), report.is_some());
            return events.push_back(Event::Probed {
                upstream,
                elapsed: now - sent,
                ok,
                report,
            });
        }
        let Some((request, n)) = self.attempts.remove(&token) else {
            return;
        };
        let Some(open) = self.open.get_mut(&request) else {
            return;
        };
        let Some(attempt) = open.attempts.get_mut(n as usize).filter(|a| !a.2) else {
            return;
        };
        attempt.2 = true;
        let elapsed = now - attempt.1;
        let outcome = match reply {
            Reply::Ok(..) => Outcome::Ok,
            Reply::Full => Outcome::Full,
            Reply::Reset => Outcome::Reset,
            Reply::NoConnect => Outcome::ConnectFailed,
        };
        if outcome == Outcome::Ok && !open.answered {
            open.answered = true;
            out.push(Out::Answer(request, Answer::Served));
        }
        let closed = open.answered;
        let finished = Finished {
            request: RequestId(request),
            attempt: n,
            outcome,
            elapsed,
            closed,
            report: None,
        };
        events.push_back(Event::Finished(finished));
        self.forget(request);
    }

    fn forget(&mut self, request: u64) {
        let over = |open: &Open| open.answered && open.attempts.iter().all(|a| a.2);
        if self.open.get(&request).is_some_and(over) {
            self.open.remove(&request);
        }
    }

    fn carry_out(
        &mut self,
        now: Millis,
        action: Action,
        events: &mut VecDeque<Event>,
        out: &mut Vec<Out>,
    ) {
        match action {
            Action::Send { request, upstream } => {
                let Some(open) = self.open.get_mut(&request.0).filter(|open| !open.answered) else {
                    return;
                };
                self.next_token += 1;
                self.attempts
                    .insert(self.next_token, (request.0, open.attempts.len() as u32));
                open.attempts.push((self.next_token, now, false));
                let what = What::Attempt(request.0);
                out.push(Out::Send {
                    token: self.next_token,
                    server: upstream.0 as usize,
                    what,
                    connection: None,
                });
            }
            Action::Probe { upstream } => {
                self.next_token += 1;
                self.probes.insert(self.next_token, (upstream.0, now));
                self.due.push(Reverse((
                    ((now + CONNECT_TIMEOUT) * 1000.0) as i64,
                    self.next_token,
                    true,
                )));
                let server = upstream.0 as usize;
                out.push(Out::Send {
                    token: self.next_token,
                    server,
                    what: What::Probe,
                    connection: None,
                });
            }
            Action::Cancel { request, attempt } => {
                let Some(open) = self.open.get_mut(&request.0) else {
                    return;
                };
                let closed = open.answered;
                let Some((token, sent, ended)) =
                    open.attempts.get_mut(attempt as usize).filter(|a| !a.2)
                else {
                    return;
                };
                *ended = true;
                let (token, elapsed) = (*token, now - *sent);
                self.attempts.remove(&token);
                out.push(Out::CallOff(token));
                let outcome = Outcome::Cancelled;
                events.push_back(Event::Finished(Finished {
                    request,
                    attempt,
                    outcome,
                    elapsed,
                    closed,
                    report: None,
                }));
                self.forget(request.0);
            }
            Action::Refuse { request, .. } | Action::Fail { request } => {
                let answer = if matches!(action, Action::Fail { .. }) {
                    Answer::Failed
                } else {
                    Answer::Refused
                };
                if let Some(open) = self.open.get_mut(&request.0).filter(|open| !open.answered) {
                    open.answered = true;
                    out.push(Out::Answer(request.0, answer));
                }
                self.forget(request.0);
            }
            Action::Subscribe => {
                self.next_call += 1;
                out.push(Out::Call {
                    call: self.next_call,
                    after: self.generation,
                });
            }
            Action::Wake { at } => out.push(Out::Wake(at)),
            Action::Log(_) => {}
        }
    }
}

/// Drives the sidecar's reducer: connections, budgets and list calls are its own.
pub struct Sidecar {
    reducer: Reducer,
    zone_of: Vec<usize>,
    zones: Vec<String>,
    names: Vec<(String, &'static str)>,
    /// Client connections by the request that they carry, and back.
    clients: HashMap<ConnId, u64>,
    /// Upstream connections: their server, messages ordered, and the token that is out.
    links: BTreeMap<ConnId, (usize, u32, Option<u64>)>,
    tokens: HashMap<u64, (ConnId, bool)>,
    next_token: u64,
    pending: VecDeque<Input>,
    effects: Vec<Effect>,
}

/// Each start of an upstream listens at a port of its own: an id that comes back is at another address.
pub fn port(since: Option<Micros>) -> u16 {
    since.map_or(8000, |since| 10_000 + (since / 1000 % 50_000) as u16)
}

fn address(server: usize, since: Option<Micros>) -> SocketAddr {
    let [_, a, b, c] = (server as u32).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, a, b, c)), port(since))
}

fn server_at(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => (u32::from_be_bytes(ip.octets()) & 0x00ff_ffff) as usize,
        IpAddr::V6(_) => 0,
    }
}

fn message(status: u16, headers: Vec<(String, String)>) -> Message {
    let head = Head {
        method: String::new(),
        target: String::new(),
        status,
        headers: Headers(headers),
        keep_alive: true,
        chunks: true,
    };
    Message {
        head,
        body: Vec::new(),
    }
}

impl Sidecar {
    fn new(
        checked: Checked,
        scenario: &Scenario,
        seed: u64,
        now: Millis,
        zone_of: Vec<usize>,
    ) -> Self {
        let discovery = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8500);
        // The clock's zero is the world's, and Unix time's: `startedAtMs` of 0 says long ago, so all is put off by a second.
        let reducer = Reducer::new(checked, discovery, seed, 4096, EPOCH, now);
        let names = scenario.classes.iter().map(|class| {
            let method = if class.effect == ClassEffect::Repeatable {
                "GET"
            } else {
                "POST"
            };
            let kind = if class.effect == ClassEffect::Keyed {
                "keyed"
            } else {
                method
            };
            (class.name.clone(), kind)
        });
        Sidecar {
            reducer,
            zone_of,
            zones: scenario.zones.clone(),
            names: names.collect(),
            clients: HashMap::new(),
            links: BTreeMap::new(),
            tokens: HashMap::new(),
            next_token: 0,
            pending: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    fn catalog(&self, generation: u64, reset: bool, changes: Vec<Change>) -> Catalog {
        let instance = |change: Change| Instance {
            instance_id: format!("u{}", change.server),
            host_port: address(change.server, change.since).to_string(),
            zone: self.zones[self.zone_of.get(change.server).copied().unwrap_or_default()].clone(),
            machine_type: String::new(),
            cell: 0,
            lifecycle: match change.standing {
                Readiness::Ready => Lifecycle::Serving,
                Readiness::Draining => Lifecycle::Draining,
                Readiness::Removed => Lifecycle::Deleted,
            },
            weight: None,
            started_at_ms: change.since.map_or(0.0, |since| EPOCH + millis(since)),
        };
        Catalog {
            generation,
            reset,
            instances: changes.into_iter().map(instance).collect(),
        }
    }

    fn handle(&mut self, now: Millis, input: In, out: &mut Vec<Out>) {
        match input {
            In::Start(generation, changes) => {
                let known = self.catalog(generation, true, changes);
                self.effects = self.reducer.start(Some(known));
            }
            In::Request(ask) => self.ask(now, &ask),
            In::Reply(token, reply) => self.reply(now, token, reply),
            In::Connected(conn) => self.pending.push_back(Input::UpstreamConnected { conn }),
            In::ConnectionLost(conn) => {
                if let Some((_, ordered, token)) = self.links.remove(&conn) {
                    if let Some(token) = token {
                        self.tokens.remove(&token);
                    }
                    let written = Written {
                        begun: ordered,
                        whole: ordered,
                    };
                    self.pending
                        .push_back(Input::UpstreamClosed { conn, written });
                }
            }
            In::List {
                call,
                generation,
                whole,
                changes,
            } => {
                let catalog = self.catalog(generation, whole, changes);
                self.pending.push_back(Input::WatchLine { call, catalog });
            }
            In::CallFailed(call) => self.pending.push_back(Input::WatchEnded { call }),
            In::Beat(call) => self.pending.push_back(Input::WatchBeat { call }),
            In::Wake => self.pending.push_back(Input::Tick),
        }
        loop {
            for effect in std::mem::take(&mut self.effects) {
                self.perform(effect, out);
            }
            let Some(input) = self.pending.pop_front() else {
                break;
            };
            self.effects = self.reducer.handle(now, input);
        }
        out.extend(self.reducer.next_due().map(Out::Wake));
    }

    fn ask(&mut self, now: Millis, ask: &Ask) {
        let conn = self.reducer.accepted();
        self.clients.insert(conn, ask.request);
        let (name, kind) = &self.names[ask.class];
        let mut headers = vec![
            ("X-Call-Id".to_owned(), ask.request.to_string()),
            ("X-Call-Class".to_owned(), name.clone()),
            ("X-Budget-Ms".to_owned(), format!("{}", ask.patience as u64)),
        ];
        if ask.retry {
            headers.push(("X-Again".to_owned(), "1".to_owned()));
        }
        if *kind == "keyed" {
            headers.push(("Idempotency-Key".to_owned(), ask.request.to_string()));
        }
        let mut message = message(0, headers);
        message.head.method = if *kind == "GET" { "GET" } else { "POST" }.to_owned();
        message.head.target = "/".to_owned();
        message.head.keep_alive = false;
        self.pending.push_back(Input::ClientOpened { conn });
        self.pending.push_back(Input::ClientRequest {
            conn,
            at: now,
            message,
        });
    }

    fn reply(&mut self, now: Millis, token: u64, reply: Reply) {
        let Some((conn, probe)) = self.tokens.remove(&token) else {
            return;
        };
        let Some((_, ordered, out)) = self.links.get_mut(&conn) else {
            return;
        };
        *out = None;
        let whole = *ordered;
        let status = match reply {
            Reply::Ok(..) => 200,
            Reply::Full => 503,
            Reply::Reset | Reply::NoConnect => {
                self.links.remove(&conn);
                let whole = if reply == Reply::Reset { whole } else { 0 };
                let written = Written {
                    begun: whole,
                    whole,
                };
                return self
                    .pending
                    .push_back(Input::UpstreamClosed { conn, written });
            }
        };
        let mut headers = Vec::new();
        match reply {
            Reply::Ok(active, waiting) if probe => {
                headers.push((
                    "X-Load-Report".to_owned(),
                    format!("inflight={active},queue={waiting}"),
                ));
            }
            Reply::Full => headers.push(("X-Rejected".to_owned(), "1".to_owned())),
            _ => {}
        }
        self.pending.push_back(Input::UpstreamAnswered {
            conn,
            at: now,
            message: message(status, headers),
        });
    }

    fn perform(&mut self, effect: Effect, out: &mut Vec<Out>) {
        match effect {
            Effect::Connect { conn, address } => {
                let server = server_at(address);
                self.links.insert(conn, (server, 0, None));
                let port = address.port();
                out.push(Out::Connect {
                    connection: conn,
                    server,
                    port,
                });
            }
            Effect::Write { conn, bytes, .. } => {
                let Some((server, ordered, token)) = self.links.get_mut(&conn) else {
                    return;
                };
                self.next_token += 1;
                *ordered += 1;
                *token = Some(self.next_token);
                let text = String::from_utf8_lossy(&bytes);
                let id = text
                    .lines()
                    .find_map(|line| line.strip_prefix("X-Call-Id: "));
                let what = id
                    .and_then(|id| id.trim().parse().ok())
                    .map_or(What::Probe, What::Attempt);
                self.tokens
                    .insert(self.next_token, (conn, what == What::Probe));
                let (token, server) = (self.next_token, *server);
                out.push(Out::Send {
                    token,
                    server,
                    what,
                    connection: Some(conn),
                });
            }
            Effect::CloseUpstream { conn } => {
                let Some((_, ordered, token)) = self.links.remove(&conn) else {
                    return;
                };
                if let Some(token) = token {
                    self.tokens.remove(&token);
                    out.push(Out::CallOff(token));
                }
                out.push(Out::Close(conn));
                let written = Written {
                    begun: ordered,
                    whole: ordered,
                };
                self.pending
                    .push_back(Input::UpstreamClosed { conn, written });
            }
            Effect::Answer { conn, bytes, .. } => {
                if let Some(request) = self.clients.remove(&conn) {
                    let answer = match bytes.get(9..12) {
                        Some(b"200") => Answer::Served,
                        Some(b"503" | b"429") => Answer::Refused,
                        _ => Answer::Failed,
                    };
                    out.push(Out::Answer(request, answer));
                    self.pending.push_back(Input::ClientClosed { conn });
                }
            }
            Effect::RetireClient { conn } | Effect::CloseClient { conn } => {
                if self.clients.remove(&conn).is_some() {
                    self.pending.push_back(Input::ClientClosed { conn });
                }
            }
            Effect::Watch { call, after, .. } => out.push(Out::Call { call, after }),
            Effect::CloseWatch { call } => out.push(Out::HangUp(call)),
            // There is no second address here, nothing is streamed, and the node ends with its world.
            Effect::AnswerAdmin { .. } | Effect::CloseAdmin { .. } | Effect::Change { .. } => {}
            Effect::Relay { .. }
            | Effect::Begin { .. }
            | Effect::More { .. }
            | Effect::Pass { .. }
            | Effect::MoreClient { .. } => {}
            // A message is begun as it is ordered.
            Effect::Withdraw { .. } => {}
            Effect::Accept | Effect::StopAccepting { .. } | Effect::Exit => {}
            Effect::Datagram { .. } | Effect::CloseFleet => {}
        }
    }
}

/// Unix time at the world's zero, ms: any figure but 0, which stands for a start long ago.
const EPOCH: Millis = 1_000_000.0;
