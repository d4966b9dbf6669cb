//! The world: one queue of events over clients, instances, upstreams, discovery and failures. It owns time and every random
//! draw, and must never decide for an instance. Events at one instant happen in the order in which they were scheduled.
use crate::discovery::{Change, Discovery, Ticket, Told};
use crate::node::{Ask, In, Node, Out, Reply, What};
use crate::observer::{Answer, Observer};
use crate::report::{Report, Tally};
use crate::scenario::{Dist, Failure, Kind, Policy, Scenario};
use crate::server::{micros, millis, Full, Job, Micros, Server, State};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, StandardNormal};
use rand_pcg::Pcg64;
use sandtrack_balancer::interface::Readiness;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};

#[derive(Debug)]
enum Event {
    /// The next request of an instance's client comes, if the phase lets it.
    Arrive(usize),
    /// A client tries again.
    Again(u64),
    AtServer(u64),
    Done {
        server: usize,
        token: u64,
        epoch: u32,
    },
    Back(u64, Reply),
    CalledOff {
        server: usize,
        token: u64,
    },
    ConnectAt {
        instance: usize,
        epoch: u32,
        connection: u64,
        server: usize,
        port: u16,
    },
    Connected {
        instance: usize,
        epoch: u32,
        connection: u64,
        up: bool,
    },
    Wake(usize, Micros),
    CallAt {
        instance: usize,
        epoch: u32,
        call: u64,
        after: Option<u64>,
    },
    DiscoveryDone(u32),
    Overdue,
    Told(Box<Told>, u32),
    CallFailed {
        instance: usize,
        epoch: u32,
        call: u64,
    },
    Beat {
        instance: usize,
        epoch: u32,
        call: u64,
    },
    Learn(Vec<Change>),
    Fail(usize),
    Mend(usize, Vec<usize>),
    Replaced {
        old: usize,
    },
    Gone(usize),
    /// The measured time begins, and ends.
    Begin,
    End,
    Second,
}

struct Scheduled {
    at: Micros,
    order: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Scheduled {}
impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Scheduled {
    /// The heap gives its greatest: the earliest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

struct Slot {
    node: Option<Node>,
    zone: usize,
    epoch: u32,
    /// Wakes asked for that are still to come: each is kept, as an instance may have several clocks of its own.
    wakes: BTreeSet<Micros>,
    /// The call whose news it takes.
    call: u64,
    rate: f64,
    rng: Pcg64,
}

/// What is out: an attempt or a probe, with whom it belongs to.
struct Sent {
    instance: usize,
    epoch: u32,
    token: u64,
    server: usize,
    what: What,
    connection: Option<u64>,
}

struct First {
    instance: usize,
    class: usize,
    work: f64,
    began: Micros,
    tries: u32,
}

pub struct World<'a> {
    scenario: &'a Scenario,
    now: Micros,
    order: u64,
    events: BinaryHeap<Scheduled>,
    servers: Vec<Server>,
    zone_of: Vec<usize>,
    slots: Vec<Slot>,
    discovery: Discovery,
    /// Counts its falls: a piece of work begun before one is void.
    discovery_epoch: u32,
    observer: Observer,
    sent: HashMap<u64, Sent>,
    /// What is out, by instance, its epoch and its own token.
    by_token: HashMap<(usize, u32, u64), u64>,
    connections: BTreeMap<(usize, u64), usize>,
    firsts: HashMap<u64, First>,
    /// The first try that a request belongs to.
    tries: HashMap<u64, u64>,
    next_token: u64,
    next_request: u64,
    partitions: Vec<usize>,
    rng: Pcg64,
    tally: Tally,
    processed: u64,
    fault: Option<String>,
}

/// Runs a scenario to its end; the same scenario and seed give the same report, byte for byte.
pub fn run(scenario: &Scenario, seed: u64) -> Result<Report, String> {
    let mut world = World::new(scenario, seed)?;
    world.play();
    if let Some(fault) = world.fault.take() {
        return Err(fault);
    }
    Ok(world.report(seed))
}

/// One way to discovery.
const DISCOVERY_MS: f64 = 0.2;
const BEAT: Micros = 2_000_000;
/// A replaced upstream drains this long before it goes.
const DRAIN: Micros = 2_000_000;
const SECOND: Micros = 1_000_000;

impl<'a> World<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Result<Self, String> {
        let s = scenario;
        let mut servers = Vec::new();
        for pool in &s.pools {
            for _ in 0..pool.count {
                servers.push(server(
                    s,
                    s.zone(&pool.zone).unwrap_or_default(),
                    pool.speed,
                ));
            }
        }
        let listed = (0..servers.len()).map(|server| Change {
            server,
            standing: Readiness::Ready,
            since: None,
        });
        let d = &s.discovery;
        let discovery = Discovery::new(
            d.call_ms,
            d.line_ms,
            micros(d.timeout_s * 1000.0),
            listed.collect(),
        );
        let mut world = World {
            scenario,
            now: 0,
            order: 0,
            events: BinaryHeap::new(),
            zone_of: servers.iter().map(|server| server.zone).collect(),
            servers,
            slots: Vec::new(),
            discovery,
            discovery_epoch: 0,
            observer: Observer::new(s),
            sent: HashMap::new(),
            by_token: HashMap::new(),
            connections: BTreeMap::new(),
            firsts: HashMap::new(),
            tries: HashMap::new(),
            next_token: 0,
            next_request: 0,
            partitions: Vec::new(),
            rng: Pcg64::seed_from_u64(seed),
            tally: Tally::new(s),
            processed: 0,
            fault: None,
        };
        for instance in 0..s.instances as usize {
            // Each client draws from a stream of its own, so that policies are compared on the same requests.
            let mut rng = Pcg64::new(u128::from(seed) + 1, instance as u128 * 2 + 1);
            let draw: f64 = StandardNormal.sample(&mut rng);
            let spread = s.client.spread;
            let rate = s.client.rps * (spread * draw - spread * spread / 2.0).exp();
            let zone = instance % s.zones.len();
            world.slots.push(Slot {
                node: None,
                zone,
                epoch: 0,
                wakes: BTreeSet::new(),
                call: 0,
                rate,
                rng,
            });
        }
        world.at(micros(s.warmup_s * 1000.0), Event::Begin);
        for instance in 0..world.slots.len() {
            world.start(instance);
            world.next_arrival(instance);
        }
        for (n, failure) in s.failures.iter().enumerate() {
            world.at(micros(failure.at_s * 1000.0), Event::Fail(n));
        }
        world.at(SECOND, Event::Second);
        world.at(world.end(), Event::End);
        Ok(world)
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.order += 1;
        self.events.push(Scheduled {
            at: at.max(self.now),
            order: self.order,
            event,
        });
    }

    fn after(&mut self, ms: f64, event: Event) {
        self.at(self.now + micros(ms), event);
    }

    fn end(&self) -> Micros {
        micros(self.scenario.duration_s * 1000.0)
    }

    fn play(&mut self) {
        // What was asked by the end is played out; the rules count there too.
        let last = self
            .scenario
            .classes
            .iter()
            .map(|class| class.deadline_ms)
            .fold(0.0, f64::max);
        let over = self.end() + micros(2.0 * last) + SECOND;
        while let Some(Scheduled { at, event, .. }) = self.events.pop() {
            if at > over || self.fault.is_some() {
                break;
            }
            self.now = at;
            self.processed += 1;
            self.happen(event);
        }
        self.now = over;
        self.observer.over(over);
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrive(instance) => self.arrive(instance),
            Event::Again(first) => self.attempt(first, true),
            Event::AtServer(id) => self.at_server(id),
            Event::Done {
                server,
                token,
                epoch,
            } => self.done(server, token, epoch),
            Event::Back(id, reply) => self.back(id, reply),
            Event::CalledOff { server, token } => {
                let frees = self.scenario.server.cancel_frees;
                if self.servers[server].call_off(self.now, token, frees) {
                    self.next_job(server);
                }
            }
            Event::ConnectAt {
                instance,
                epoch,
                connection,
                server,
                port,
            } => {
                self.connect_at(instance, epoch, connection, (server, port));
            }
            Event::Connected {
                instance,
                epoch,
                connection,
                up,
            } => {
                if self.slots[instance].epoch == epoch {
                    let input = if up {
                        In::Connected(connection)
                    } else {
                        In::ConnectionLost(connection)
                    };
                    self.feed(instance, input);
                }
            }
            Event::Wake(instance, at) => {
                if self.slots[instance].wakes.remove(&at) {
                    self.feed(instance, In::Wake);
                }
            }
            Event::CallAt {
                instance,
                epoch,
                call,
                after,
            } => self.call_at(instance, epoch, call, after),
            Event::DiscoveryDone(epoch) if epoch == self.discovery_epoch => {
                if let Some(told) = self.discovery.finish() {
                    let epoch = self.slots[told.ticket.instance].epoch;
                    self.after(DISCOVERY_MS, Event::Told(Box::new(told), epoch));
                }
                self.discover();
            }
            Event::DiscoveryDone(_) => {}
            Event::Overdue => {
                for ticket in self.discovery.overdue(self.now) {
                    self.fail_call(ticket.instance, ticket.call);
                }
            }
            Event::Told(told, epoch) => self.told(*told, epoch),
            Event::CallFailed {
                instance,
                epoch,
                call,
            } => {
                let slot = &self.slots[instance];
                if slot.epoch == epoch && slot.call == call {
                    self.tally.second(self.now).calls_failed += 1;
                    self.feed(instance, In::CallFailed(call));
                }
            }
            Event::Beat {
                instance,
                epoch,
                call,
            } => {
                if self.slots[instance].epoch == epoch
                    && self.slots[instance].call == call
                    && !self.discovery.down
                {
                    self.feed(instance, In::Beat(call));
                    self.at(
                        self.now + BEAT,
                        Event::Beat {
                            instance,
                            epoch,
                            call,
                        },
                    );
                }
            }
            Event::Learn(changes) => {
                self.discovery.learn(self.now, &changes);
                self.discover();
            }
            Event::Fail(n) => self.fail(n),
            Event::Mend(n, whom) => self.mend(n, &whom),
            Event::Replaced { old } => self.replace(old),
            Event::Gone(server) => {
                self.kill_server(server);
                self.learn_later(vec![Change {
                    server,
                    standing: Readiness::Removed,
                    since: None,
                }]);
            }
            Event::Begin => {
                let now = self.now;
                self.servers.iter_mut().for_each(|server| server.begin(now));
                self.tally.begin(now);
            }
            Event::Second => {
                self.observer.over(self.now);
                if self.now < self.end() {
                    self.at(self.now + SECOND, Event::Second);
                }
            }
            Event::End => {
                let now = self.now;
                self.servers
                    .iter_mut()
                    .for_each(|server| server.settle(now));
                self.tally.freeze(now, &self.servers);
            }
        }
    }

    // Instances.

    fn start(&mut self, instance: usize) {
        let seed = self.rng.gen();
        let node = Node::new(
            self.scenario,
            instance,
            seed,
            millis(self.now),
            self.zone_of.clone(),
        );
        match node {
            Ok(node) => self.slots[instance].node = Some(node),
            Err(fault) => return self.fault = Some(fault),
        }
        // A restarted one has the list that it was born with: it may be old.
        let initial: u32 = self.scenario.pools.iter().map(|pool| pool.count).sum();
        let known = (0..initial as usize).map(|server| Change {
            server,
            standing: Readiness::Ready,
            since: None,
        });
        self.feed(instance, In::Start(0, known.collect()));
    }

    fn feed(&mut self, instance: usize, input: In) {
        let Some(mut node) = self.slots[instance].node.take() else {
            return;
        };
        node.know(&self.zone_of);
        let mut out = Vec::new();
        let (servers, now) = (&self.servers, self.now);
        // The oracle's sight: how long an answer from there would take, work set aside.
        let truth = |server: u32| {
            let server = &servers[server as usize];
            match server.state {
                State::Up => (server.held() as f64 + 1.0) / (server.capacity(now) * server.slow),
                _ => f64::INFINITY,
            }
        };
        node.handle(millis(now), input, &truth, &mut out);
        self.slots[instance].node = Some(node);
        for out in out {
            self.carry_out(instance, out);
        }
    }

    fn carry_out(&mut self, instance: usize, out: Out) {
        let epoch = self.slots[instance].epoch;
        match out {
            Out::Send {
                token,
                server,
                what,
                connection,
            } => {
                self.next_token += 1;
                let id = self.next_token;
                match what {
                    What::Attempt(request) => {
                        self.observer.sent(self.now, instance, request, server);
                        self.tally.second(self.now).attempts += 1;
                        let cross = self.slots[instance].zone != self.zone_of[server];
                        self.tally.second(self.now).crossings += u32::from(cross);
                    }
                    What::Probe => self.tally.second(self.now).probes += 1,
                }
                self.sent.insert(
                    id,
                    Sent {
                        instance,
                        epoch,
                        token,
                        server,
                        what,
                        connection,
                    },
                );
                self.by_token.insert((instance, epoch, token), id);
                if let Some(delay) = self.delay(instance, server) {
                    self.after(delay, Event::AtServer(id));
                }
            }
            Out::CallOff(token) => {
                if let Some(id) = self.by_token.remove(&(instance, epoch, token)) {
                    if let Some(sent) = self.sent.get(&id) {
                        let server = sent.server;
                        self.sent.remove(&id);
                        if let Some(delay) = self.delay(instance, server) {
                            self.after(delay, Event::CalledOff { server, token: id });
                        }
                    }
                }
            }
            Out::Connect {
                connection,
                server,
                port,
            } => {
                self.tally.second(self.now).connects += 1;
                if let Some(delay) = self.delay(instance, server) {
                    self.after(
                        delay,
                        Event::ConnectAt {
                            instance,
                            epoch,
                            connection,
                            server,
                            port,
                        },
                    );
                }
            }
            Out::Close(connection) => {
                if let Some(server) = self.connections.remove(&(instance, connection)) {
                    let server = &mut self.servers[server];
                    server.connections = server.connections.saturating_sub(1);
                }
            }
            Out::Call { call, after } => {
                self.slots[instance].call = call;
                self.tally.second(self.now).calls += 1;
                self.after(
                    DISCOVERY_MS,
                    Event::CallAt {
                        instance,
                        epoch,
                        call,
                        after,
                    },
                );
            }
            Out::HangUp(call) => {
                if self.slots[instance].call == call {
                    self.slots[instance].call = 0;
                    self.discovery.hang_up(instance);
                }
            }
            Out::Answer(request, answer) => self.answered(request, answer),
            Out::Wake(at) => {
                let at = ((at * 1000.0).ceil().max(0.0) as Micros).max(self.now + 1);
                if self.slots[instance].wakes.insert(at) {
                    self.at(at, Event::Wake(instance, at));
                }
            }
        }
    }

    /// One way between an instance and an upstream; `None` when they are cut off from each other.
    fn delay(&self, instance: usize, server: usize) -> Option<f64> {
        let (here, there) = (self.slots[instance].zone, self.zone_of[server]);
        let cut =
            here != there && (self.partitions.contains(&here) || self.partitions.contains(&there));
        let net = &self.scenario.net;
        Some(if here == there {
            net.same_ms
        } else {
            net.cross_ms
        })
        .filter(|_| !cut)
    }

    // Clients.

    fn next_arrival(&mut self, instance: usize) {
        let most = self
            .scenario
            .client
            .phases
            .iter()
            .map(|phase| phase[1])
            .fold(1.0, f64::max);
        let slot = &mut self.slots[instance];
        let rate = slot.rate * most;
        if rate > 0.0 {
            let gap: f64 = Exp1.sample(&mut slot.rng);
            let at = self.now + micros(gap * 1000.0 / rate).max(1);
            if at < self.end() {
                self.at(at, Event::Arrive(instance));
            }
        }
    }

    fn arrive(&mut self, instance: usize) {
        let phases = &self.scenario.client.phases;
        let most = phases.iter().map(|phase| phase[1]).fold(1.0, f64::max);
        let seconds = millis(self.now) / 1000.0;
        let factor = phases
            .iter()
            .rev()
            .find(|phase| phase[0] <= seconds)
            .map_or(1.0, |phase| phase[1]);
        let slot = &mut self.slots[instance];
        // All is drawn whether it is used or not, so that the stream stays the same.
        let (luck, pick): (f64, f64) = (slot.rng.gen(), slot.rng.gen());
        let mut sum = 0.0;
        let classes = &self.scenario.classes;
        let class = classes.iter().position(|class| {
            sum += class.share;
            pick < sum
        });
        let class = class.unwrap_or(classes.len() - 1);
        let of = &classes[class];
        let work = match of.dist {
            Dist::Constant => of.work_ms,
            Dist::Exponential => of.work_ms * Distribution::<f64>::sample(&Exp1, &mut slot.rng),
            Dist::Lognormal => {
                let sigma2 = (1.0 + of.cv * of.cv).ln();
                LogNormal::new(of.work_ms.ln() - sigma2 / 2.0, sigma2.sqrt())
                    .map_or(of.work_ms, |dist| dist.sample(&mut slot.rng))
            }
        };
        if luck * most < factor && slot.node.is_some() {
            self.next_request += 1;
            let id = self.next_request;
            self.firsts.insert(
                id,
                First {
                    instance,
                    class,
                    work,
                    began: self.now,
                    tries: 0,
                },
            );
            self.tally.asked(self.now, class);
            self.attempt(id, false);
        }
        self.next_arrival(instance);
    }

    fn attempt(&mut self, id: u64, retry: bool) {
        let Some(first) = self.firsts.get_mut(&id) else {
            return;
        };
        first.tries += 1;
        let class = &self.scenario.classes[first.class];
        let left = class.deadline_ms - millis(self.now - first.began);
        let patience = (class.deadline_ms * self.scenario.client.try_share)
            .min(left)
            .floor();
        let (instance, class) = (first.instance, first.class);
        if patience < 1.0 || self.slots[instance].node.is_none() {
            self.firsts.remove(&id);
            return;
        }
        let request = if retry {
            self.next_request += 1;
            self.next_request
        } else {
            id
        };
        self.tries.insert(request, id);
        self.observer
            .taken(instance, request, class, self.now + micros(patience));
        self.tally.second(self.now).tries += 1;
        let retry = retry && self.scenario.client.marks_retries;
        self.feed(
            instance,
            In::Request(Ask {
                request,
                class,
                patience,
                retry,
            }),
        );
    }

    fn answered(&mut self, request: u64, answer: Answer) {
        self.observer.answered(self.now, request, answer);
        let Some(id) = self.tries.remove(&request) else {
            return;
        };
        let Some(first) = self.firsts.get(&id) else {
            return;
        };
        let second = self.tally.second(self.now);
        match answer {
            Answer::Served => {
                let took = self.now - first.began;
                self.tally.served(first.began, first.class, took);
                self.firsts.remove(&id);
            }
            Answer::Refused | Answer::Failed => {
                *(if answer == Answer::Refused {
                    &mut second.refused
                } else {
                    &mut second.failed
                }) += 1;
                let (client, class) = (&self.scenario.client, &self.scenario.classes[first.class]);
                let again = self.now + micros(client.backoff_ms).max(1);
                let due = first.began + micros(class.deadline_ms);
                if first.tries <= client.retries && again < due {
                    self.at(again, Event::Again(id));
                } else {
                    self.firsts.remove(&id);
                }
            }
        }
    }

    // Upstreams.

    fn at_server(&mut self, id: u64) {
        let Some(sent) = self.sent.get(&id) else {
            return;
        };
        let (index, what, instance) = (sent.server, sent.what, sent.instance);
        let connected = sent
            .connection
            .is_none_or(|c| self.connections.contains_key(&(instance, c)));
        let now = self.now;
        let server = &mut self.servers[index];
        if server.state == State::Dead {
            if connected {
                self.reply(id, Reply::NoConnect);
            }
            return;
        }
        let request = match what {
            What::Probe => {
                if server.state != State::Silent {
                    server.probes += 1;
                    server.probe_work += self.scenario.server.probe_ms / server.speed;
                    let (held, waiting) = (server.held() as f64, server.waiting.len() as f64);
                    self.reply(id, Reply::Ok(held, waiting));
                }
                return;
            }
            What::Attempt(request) => request,
        };
        let first = self
            .tries
            .get(&request)
            .and_then(|first| self.firsts.get(first));
        let Some(work) = first.map(|first| first.work) else {
            return;
        };
        let warm = server.warmth(now);
        let job = Job {
            token: id,
            instance,
            request,
            work,
            came: now,
        };
        match server.offer(now, job) {
            Err(Full) => self.reply(id, Reply::Full),
            Ok(begun) => {
                let capacity = server.capacity(now);
                if let Some(begun) = begun {
                    self.begun(index, begun);
                }
                if warm < 1.0 && self.observer.cold_work(now, index, work, capacity) {
                    self.servers[index].fallen = true;
                    self.kill_server(index);
                }
            }
        }
    }

    fn begun(&mut self, index: usize, (job, takes): (Job, Micros)) {
        self.observer.ran(self.now, job.request, index);
        let server = &self.servers[index];
        if server.state != State::Silent {
            let epoch = server.epoch;
            self.at(
                self.now + takes,
                Event::Done {
                    server: index,
                    token: job.token,
                    epoch,
                },
            );
        }
    }

    fn next_job(&mut self, index: usize) {
        if let Some(begun) = self.servers[index].next(self.now) {
            self.begun(index, begun);
        }
    }

    fn done(&mut self, index: usize, token: u64, epoch: u32) {
        if self.servers[index].epoch != epoch || self.servers[index].state == State::Silent {
            return;
        }
        if self.servers[index].done(self.now, token).is_some() {
            self.reply(token, Reply::Ok(0.0, 0.0));
            self.next_job(index);
        }
    }

    fn reply(&mut self, id: u64, reply: Reply) {
        let Some(sent) = self.sent.get(&id) else {
            return;
        };
        if let Some(delay) = self.delay(sent.instance, sent.server) {
            self.after(delay, Event::Back(id, reply));
        }
    }

    fn back(&mut self, id: u64, reply: Reply) {
        let Some(sent) = self.sent.remove(&id) else {
            return;
        };
        self.by_token
            .remove(&(sent.instance, sent.epoch, sent.token));
        if self.slots[sent.instance].epoch == sent.epoch {
            self.feed(sent.instance, In::Reply(sent.token, reply));
        }
    }

    fn connect_at(
        &mut self,
        instance: usize,
        epoch: u32,
        connection: u64,
        (index, port): (usize, u16),
    ) {
        if self.slots[instance].epoch != epoch {
            return;
        }
        let server = &mut self.servers[index];
        let full = server.connections >= self.scenario.server.connections;
        let up = server.state != State::Dead && !full && port == crate::node::port(server.since);
        if up {
            server.connections += 1;
            server.most_connections = server.most_connections.max(server.connections);
            server.handshake_work += self.scenario.server.handshake_ms / server.speed;
            self.connections.insert((instance, connection), index);
        }
        if let Some(delay) = self.delay(instance, index) {
            let wait = delay
                + if up {
                    self.scenario.server.handshake_ms
                } else {
                    0.0
                };
            self.after(
                wait,
                Event::Connected {
                    instance,
                    epoch,
                    connection,
                    up,
                },
            );
        }
    }

    fn kill_server(&mut self, index: usize) {
        let lost = self.servers[index].die(self.now);
        for job in lost {
            let direct = self
                .sent
                .get(&job.token)
                .is_some_and(|sent| sent.connection.is_none());
            if direct {
                self.reply(job.token, Reply::Reset);
            }
        }
        let broken: Vec<(usize, u64)> = self
            .connections
            .iter()
            .filter(|(_, server)| **server == index)
            .map(|(key, _)| *key)
            .collect();
        for (instance, connection) in broken {
            self.connections.remove(&(instance, connection));
            if let Some(delay) = self.delay(instance, index) {
                let epoch = self.slots[instance].epoch;
                self.after(
                    delay,
                    Event::Connected {
                        instance,
                        epoch,
                        connection,
                        up: false,
                    },
                );
            }
        }
    }

    // Discovery.

    fn call_at(&mut self, instance: usize, epoch: u32, call: u64, after: Option<u64>) {
        let slot = &self.slots[instance];
        if slot.epoch != epoch || slot.call != call {
            return;
        }
        let ticket = Ticket {
            instance,
            call,
            after,
            came: self.now,
            news: false,
        };
        if self.discovery.call(ticket) {
            self.after(self.scenario.discovery.timeout_s * 1000.0, Event::Overdue);
            self.discover();
        } else {
            self.fail_call(instance, call);
        }
    }

    fn fail_call(&mut self, instance: usize, call: u64) {
        let epoch = self.slots[instance].epoch;
        self.after(
            DISCOVERY_MS,
            Event::CallFailed {
                instance,
                epoch,
                call,
            },
        );
    }

    fn discover(&mut self) {
        if let Some(takes) = self.discovery.begin() {
            self.after(takes, Event::DiscoveryDone(self.discovery_epoch));
        }
    }

    fn told(&mut self, told: Told, epoch: u32) {
        let Ticket {
            instance,
            call,
            news,
            ..
        } = told.ticket;
        let slot = &self.slots[instance];
        if slot.epoch != epoch || slot.call != call {
            return;
        }
        for change in &told.changes {
            self.observer
                .told(self.now, instance, change.server, change.standing);
        }
        self.tally.second(self.now).lists += 1;
        let (generation, whole, changes) = (told.generation, told.whole, told.changes);
        self.feed(
            instance,
            In::List {
                call,
                generation,
                whole,
                changes,
            },
        );
        if !news && self.scenario.policy == Policy::Sidecar {
            self.at(
                self.now + BEAT,
                Event::Beat {
                    instance,
                    epoch,
                    call,
                },
            );
        }
    }

    fn learn_later(&mut self, changes: Vec<Change>) {
        self.after(
            self.scenario.discovery.news_s * 1000.0,
            Event::Learn(changes),
        );
    }

    // Failures.

    /// Draws the share of what there is, in a stable order.
    fn draw(&mut self, mut from: Vec<usize>, share: f64) -> Vec<usize> {
        let count = ((from.len() as f64 * share).round() as usize).min(from.len());
        for n in 0..count {
            let other = self.rng.gen_range(n..from.len());
            from.swap(n, other);
        }
        from.truncate(count);
        from.sort_unstable();
        from
    }

    fn fail(&mut self, n: usize) {
        let Failure {
            kind,
            share,
            factor,
            for_s,
            ..
        } = self.scenario.failures[n];
        let zone = self.scenario.failures[n]
            .zone
            .as_ref()
            .and_then(|name| self.scenario.zone(name));
        let here = |of: usize| zone.is_none_or(|zone| zone == of);
        let up = |world: &Self| -> Vec<usize> {
            let fit = |n: &usize| world.servers[*n].state == State::Up && here(world.zone_of[*n]);
            (0..world.servers.len()).filter(fit).collect()
        };
        let whom = match kind {
            Kind::Restart => {
                let all = (0..self.slots.len())
                    .filter(|n| here(self.slots[*n].zone))
                    .collect();
                self.draw(all, share)
            }
            Kind::DiscoveryDown | Kind::Partition => Vec::new(),
            _ => {
                let all = up(self);
                self.draw(all, share)
            }
        };
        for &one in &whom {
            match kind {
                Kind::Crash | Kind::ZoneLoss => {
                    self.kill_server(one);
                    self.learn_later(vec![Change {
                        server: one,
                        standing: Readiness::Removed,
                        since: None,
                    }]);
                }
                Kind::Silence => self.servers[one].state = State::Silent,
                Kind::Slow => self.servers[one].slow = factor,
                Kind::Replace => {
                    let wait = self.rng.gen::<f64>() * for_s * 1000.0;
                    self.after(wait, Event::Replaced { old: one });
                }
                Kind::Restart => self.kill_instance(one),
                Kind::DiscoveryDown | Kind::Partition => {}
            }
        }
        match (kind, zone) {
            (Kind::DiscoveryDown, _) => {
                self.discovery_epoch += 1;
                for (instance, call) in self.discovery.go_down() {
                    self.fail_call(instance, call);
                }
            }
            (Kind::Partition, Some(zone)) => self.partitions.push(zone),
            _ => {}
        }
        if kind != Kind::Replace {
            self.after(for_s * 1000.0, Event::Mend(n, whom));
        }
    }

    fn mend(&mut self, n: usize, whom: &[usize]) {
        let failure = &self.scenario.failures[n];
        match failure.kind {
            Kind::Crash | Kind::ZoneLoss => {
                let mut changes = Vec::new();
                for &server in whom {
                    if self.servers[server].fallen {
                        continue;
                    }
                    self.servers[server].start(self.now);
                    changes.push(Change {
                        server,
                        standing: Readiness::Ready,
                        since: Some(self.now),
                    });
                }
                self.learn_later(changes);
            }
            Kind::Silence => {
                for &index in whom {
                    let server = &mut self.servers[index];
                    if server.state != State::Silent {
                        continue;
                    }
                    server.state = State::Up;
                    // What it had begun goes on from here.
                    let (epoch, running) = (server.epoch, server.running.clone());
                    for job in running {
                        self.after(
                            job.work,
                            Event::Done {
                                server: index,
                                token: job.token,
                                epoch,
                            },
                        );
                    }
                }
            }
            Kind::Slow => whom
                .iter()
                .for_each(|server| self.servers[*server].slow = 1.0),
            Kind::Restart => whom.iter().for_each(|instance| self.start(*instance)),
            Kind::DiscoveryDown => self.discovery.down = false,
            Kind::Partition => {
                let zone = failure
                    .zone
                    .as_ref()
                    .and_then(|name| self.scenario.zone(name));
                self.partitions.retain(|cut| Some(*cut) != zone);
            }
            Kind::Replace => {}
        }
    }

    /// It drains and goes; one like it comes, cold, under a new id.
    fn replace(&mut self, old: usize) {
        if self.servers[old].state != State::Up {
            return;
        }
        self.servers[old].state = State::Draining;
        let mut new = server(self.scenario, self.zone_of[old], self.servers[old].speed);
        new.settle(self.now);
        new.since = Some(self.now);
        let index = self.servers.len();
        self.zone_of.push(new.zone);
        self.servers.push(new);
        let since = self.servers[old].since;
        self.learn_later(vec![
            Change {
                server: old,
                standing: Readiness::Draining,
                since,
            },
            Change {
                server: index,
                standing: Readiness::Ready,
                since: Some(self.now),
            },
        ]);
        self.at(self.now + DRAIN, Event::Gone(old));
    }

    /// It dies with all it held; its clients' requests are lost with it and count for nothing.
    fn kill_instance(&mut self, instance: usize) {
        let slot = &mut self.slots[instance];
        slot.node = None;
        slot.epoch += 1;
        slot.wakes.clear();
        slot.call = 0;
        self.observer.killed(instance);
        self.discovery.hang_up(instance);
        let mut lost: Vec<u64> = self
            .firsts
            .iter()
            .filter(|(_, first)| first.instance == instance)
            .map(|(id, _)| *id)
            .collect();
        lost.sort_unstable();
        for id in lost {
            if let Some(first) = self.firsts.remove(&id) {
                self.tally.lost(first.began, first.class);
            }
        }
        let broken: Vec<(usize, u64)> = self
            .connections
            .range((instance, 0)..(instance + 1, 0))
            .map(|(key, _)| *key)
            .collect();
        for key in broken {
            if let Some(server) = self.connections.remove(&key) {
                self.servers[server].connections =
                    self.servers[server].connections.saturating_sub(1);
            }
        }
        let mut out: Vec<(u64, usize)> = self
            .sent
            .iter()
            .filter(|(_, sent)| sent.instance == instance)
            .map(|(id, s)| (*id, s.server))
            .collect();
        out.sort_unstable();
        for (token, server) in out {
            self.sent.remove(&token);
            self.after(
                self.scenario.net.same_ms,
                Event::CalledOff { server, token },
            );
        }
        self.by_token.retain(|(owner, ..), _| *owner != instance);
    }

    fn report(self, seed: u64) -> Report {
        Report::new(
            self.scenario,
            seed,
            self.tally,
            self.observer,
            &self.discovery,
            self.processed,
        )
    }
}

fn server(s: &Scenario, zone: usize, speed: f64) -> Server {
    let cold = micros(s.server.cold_s * 1000.0);
    Server::new(
        zone,
        s.server.cores as usize,
        s.server.queue as usize,
        speed,
        s.server.cold_share,
        cold,
    )
}
