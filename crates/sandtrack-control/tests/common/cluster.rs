//! A cluster of control nodes: several of them with links, disks, proxies, callers and a platform, all in one thread on a clock
//! that is only counted. What is asked of each is carried out after a delay.
use super::{message, settings, valid_configuration};
use sandtrack_control::endpoint_poller::{Page, PageResult};
use sandtrack_control::node::{ControlNode, Effect, Input, Start};
use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_control::operator_api::Reply;
use sandtrack_control::peers::{LinkAction, PeerFrame};
use sandtrack_control::sessions::SessionAction;
use sandtrack_protocol::frames::{self, ProxyInfo, ProxyState, ToControl, ToProxy, UpstreamEntry};
use std::collections::{BTreeMap, BTreeSet};

/// One way between two machines, to the disk and back, and to the platform and back, in ms.
const LINK_DELAY_MS: f64 = 5.0;
const DISK_DELAY_MS: f64 = 0.5;
const PLATFORM_DELAY_MS: f64 = 8.0;

enum Event {
    Input(usize, u64, Input),
    /// A link that was dialed comes up.
    Accept {
        from: usize,
        link: u64,
        to: usize,
    },
    /// A frame of a proxy, or the end of its session.
    Proxy(String, Option<ToControl>),
    ToProxy(String, u64, Option<ToProxy>),
    Answer(u64, Reply),
}

struct Machine {
    control_node: Option<ControlNode>,
    /// Rises with each start: what was meant for an earlier incarnation is not for this one.
    incarnation: u64,
    wal: Vec<Vec<u8>>,
    frozen: bool,
    exited: bool,
    /// Calls to the platform, by when they were made.
    fetches: Vec<f64>,
}

impl Machine {
    fn new(control_node: Option<ControlNode>, incarnation: u64, wal: Vec<Vec<u8>>) -> Machine {
        Machine {
            control_node,
            incarnation,
            wal,
            frozen: false,
            exited: false,
            fetches: Vec::new(),
        }
    }
}

/// A proxy as a test sees it: its session, and what came over it without the beats.
pub struct Proxy {
    info: ProxyInfo,
    state: ProxyState,
    pub machine: usize,
    session: Option<(u64, u64)>,
    /// It says nothing.
    pub silent: bool,
    pub frames: Vec<ToProxy>,
    pub attached: Option<bool>,
}

pub struct Cluster {
    pub now: f64,
    machines: BTreeMap<usize, Machine>,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    /// Pairs of link ends: (machine, incarnation, link).
    ends: BTreeMap<(usize, u64), (usize, u64)>,
    /// Ways, from and to, on which all is lost.
    cut: BTreeSet<(usize, usize)>,
    /// Ways on which frames take so many ms longer.
    slow: BTreeMap<(usize, usize), f64>,
    /// The epoch that the replica of each machine named last.
    pub epochs: BTreeMap<usize, u64>,
    /// What replicas said since a test cleared it: from, to, what.
    pub replica_messages: Vec<(usize, usize, String)>,
    /// Replicas' messages with these words from one machine to another are lost.
    pub dropped_messages: Vec<(usize, usize, &'static str)>,
    /// Calls that replicas handed on: when, from, to, what.
    pub forwarded_calls: Vec<(f64, usize, usize, String)>,
    pub proxies: BTreeMap<String, Proxy>,
    calls: BTreeMap<(usize, u64, u64), u64>,
    next_call: u64,
    /// When each call was made, and the answer with its time.
    pub answers: BTreeMap<u64, (f64, Option<(f64, Reply)>)>,
    /// Machines whose control node introduces itself as one of the program before there were versions of the rules.
    pub earlier_programs: BTreeSet<usize>,
    /// The platform's list; none: it is down.
    pub list: Option<Vec<UpstreamEntry>>,
    pub transcript: String,
}

impl Cluster {
    /// Control nodes 1 to `count` that start for the very first time.
    pub fn start(count: usize) -> Cluster {
        let mut cluster = Cluster {
            now: 0.0,
            machines: BTreeMap::new(),
            events: BTreeMap::new(),
            order: 0,
            ends: BTreeMap::new(),
            cut: BTreeSet::new(),
            slow: BTreeMap::new(),
            epochs: BTreeMap::new(),
            replica_messages: Vec::new(),
            dropped_messages: Vec::new(),
            forwarded_calls: Vec::new(),
            proxies: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            answers: BTreeMap::new(),
            earlier_programs: BTreeSet::new(),
            list: Some(Vec::new()),
            transcript: String::new(),
        };
        for number in 1..=count {
            cluster.boot(number, true);
        }
        cluster
    }

    /// Control nodes 1 to `count` that hold the configuration of version 7, with a platform that lists one upstream.
    ///
    /// # Panics
    /// Where the configuration is not taken.
    pub fn configured(count: usize) -> Cluster {
        let mut cluster = Cluster::start(count);
        cluster.list = Some(vec![upstream("i-1", false)]);
        cluster.run(1000.0);
        let call = cluster.call(
            2,
            "POST",
            "/v1/configuration/replace",
            0,
            &valid_configuration(7),
        );
        cluster.run(3000.0);
        assert_eq!(cluster.status(call), Some(200));
        cluster
    }

    /// Starts a control node with what its disk holds.
    pub fn boot(&mut self, number: usize, first_start: bool) {
        let mut settings = settings(number);
        settings.first_start = first_start;
        let before = self.machines.remove(&number);
        let (incarnation, wal) = before.map_or((1, Vec::new()), |before| {
            (before.incarnation + 1, before.wal)
        });
        let start = Start {
            incarnation: number as u64 * 1000 + incarnation,
            recovered: wal.clone(),
            disk: true,
        };
        let (control_node, effects) = ControlNode::new(settings, start, self.now);
        let machine = Machine::new(Some(control_node), incarnation, wal);
        self.machines.insert(number, machine);
        self.perform(number, effects);
    }

    /// Starts a control node on a machine whose disk holds these records.
    pub fn boot_on(&mut self, number: usize, wal: Vec<Vec<u8>>) {
        self.machines.insert(number, Machine::new(None, 1, wal));
        self.boot(number, false);
    }

    /// Ends a process at once. `quiet`: nobody is told, as at a loss of power; else its connections are reset.
    pub fn kill(&mut self, number: usize, quiet: bool) {
        let mine: Vec<((usize, u64), (usize, u64))> = self
            .ends
            .iter()
            .filter(|((machine, _), _)| *machine == number)
            .map(|(one, other)| (*one, *other))
            .collect();
        for (one, other) in mine {
            self.ends.remove(&one);
            self.ends.remove(&other);
            if !quiet {
                let incarnation = self.incarnation(other.0);
                self.later(
                    LINK_DELAY_MS,
                    Event::Input(other.0, incarnation, Input::LinkClosed { link: other.1 }),
                );
            }
        }
        let names: Vec<String> = self
            .proxies
            .iter()
            .filter(|(_, proxy)| proxy.machine == number && proxy.session.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            if let Some(proxy) = self.proxies.get_mut(&name) {
                proxy.session = None;
            }
        }
        if let Some(machine) = self.machines.get_mut(&number) {
            machine.control_node = None;
        }
    }

    /// The disk of a machine is empty from now on.
    pub fn wipe(&mut self, number: usize) {
        if let Some(machine) = self.machines.get_mut(&number) {
            machine.wal.clear();
        }
    }

    /// The records on the disk of a machine.
    pub fn wal(&self, number: usize) -> &[Vec<u8>] {
        self.machines
            .get(&number)
            .map_or(&[], |machine| &machine.wal)
    }

    /// Stops or goes on running a process; what comes meanwhile waits.
    pub fn freeze(&mut self, number: usize, frozen: bool) {
        if let Some(machine) = self.machines.get_mut(&number) {
            machine.frozen = frozen;
        }
    }

    /// Cuts two machines from each other, or joins them: what is under way between them is lost.
    pub fn cut(&mut self, one: usize, other: usize, cut: bool) {
        for pair in [(one, other), (other, one)] {
            if cut {
                self.cut.insert(pair);
            } else {
                self.cut.remove(&pair);
            }
        }
    }

    /// What one machine sends to another is lost, or is not any more.
    pub fn cut_one_way(&mut self, from: usize, to: usize, cut: bool) {
        if cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    /// What is sent from one machine to another from now on takes so many ms longer.
    pub fn slow(&mut self, from: usize, to: usize, ms: f64) {
        self.slow.insert((from, to), ms);
    }

    /// The evacuated zones as each control node that runs knows them.
    pub fn evacuated(&self) -> Vec<Vec<String>> {
        let nodes = self
            .machines
            .values()
            .filter_map(|machine| machine.control_node.as_ref());
        nodes
            .map(|node| {
                node.control_state()
                    .evacuated_zones()
                    .map(str::to_owned)
                    .collect()
            })
            .collect()
    }

    /// An order that is sent again until it is acknowledged, as operators do; to the given control nodes in turn.
    pub fn submit_until_accepted(
        &mut self,
        machines: &[usize],
        target: &str,
        based_on: u64,
        body: &str,
    ) {
        for machine in machines.iter().cycle().take(20) {
            let call = self.call(*machine, "POST", target, based_on, body);
            self.run(300.0);
            match self.answer(call).map(|(_, reply)| reply.status) {
                Some(200) => return,
                Some(503) | None => {}
                Some(other) => panic!("{target} at {machine}: {other}"),
            }
        }
        panic!("{target} was never acknowledged");
    }

    /// SIGTERM.
    pub fn terminate(&mut self, number: usize) {
        self.input(number, Input::Terminate);
    }

    pub fn is_up(&self, number: usize) -> bool {
        self.machines
            .get(&number)
            .is_some_and(|machine| machine.control_node.is_some())
    }

    pub fn has_exited(&self, number: usize) -> bool {
        self.machines
            .get(&number)
            .is_some_and(|machine| machine.exited)
    }

    /// When a control node called the platform since `at`, in count.
    pub fn fetches_since(&self, number: usize, at: f64) -> usize {
        self.machines.get(&number).map_or(0, |machine| {
            machine.fetches.iter().filter(|made| **made >= at).count()
        })
    }

    pub fn control_node(&mut self, number: usize) -> &mut ControlNode {
        let machine = self
            .machines
            .get_mut(&number)
            .and_then(|machine| machine.control_node.as_mut());
        machine.expect("a control node that runs")
    }

    fn incarnation(&self, number: usize) -> u64 {
        self.machines
            .get(&number)
            .map_or(0, |machine| machine.incarnation)
    }

    fn later(&mut self, ms: f64, event: Event) {
        self.order += 1;
        self.events
            .insert((((self.now + ms) * 1000.0) as u64, self.order), event);
    }

    fn input(&mut self, number: usize, input: Input) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&number) else {
            return;
        };
        let Some(control_node) = machine.control_node.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        control_node.handle(now, input, &mut effects);
        self.perform(number, effects);
    }

    fn perform(&mut self, number: usize, effects: Vec<Effect>) {
        let incarnation = self.incarnation(number);
        for effect in effects {
            match effect {
                Effect::Reply { call, reply } => {
                    if let Some(call) = self.calls.remove(&(number, incarnation, call)) {
                        self.later(LINK_DELAY_MS, Event::Answer(call, reply));
                    }
                }
                Effect::Link(order) => self.link_order(number, order),
                Effect::Session(SessionAction::Send { session, bytes }) => {
                    let mut at = 0;
                    while let Some((frame, length)) =
                        frames::decode::<ToProxy>(&bytes[at..]).expect("frames")
                    {
                        at += length;
                        if let Some(name) = self.proxy_of(number, session) {
                            self.later(LINK_DELAY_MS, Event::ToProxy(name, session, Some(frame)));
                        }
                    }
                }
                Effect::Session(SessionAction::Close { session }) => {
                    if let Some(name) = self.proxy_of(number, session) {
                        self.later(LINK_DELAY_MS, Event::ToProxy(name, session, None));
                    }
                }
                Effect::Write { ticket, records } => {
                    if let Some(machine) = self.machines.get_mut(&number) {
                        machine.wal.extend(records);
                    }
                    self.later(
                        DISK_DELAY_MS,
                        Event::Input(number, incarnation, Input::Written { ticket }),
                    );
                }
                Effect::Rewrite { ticket, records } => {
                    if let Some(machine) = self.machines.get_mut(&number) {
                        machine.wal = records;
                    }
                    self.later(
                        DISK_DELAY_MS,
                        Event::Input(number, incarnation, Input::Written { ticket }),
                    );
                }
                Effect::Fetch { .. } => {
                    if let Some(machine) = self.machines.get_mut(&number) {
                        machine.fetches.push(self.now);
                    }
                    let call = match &self.list {
                        Some(list) => PageResult::Page(Page {
                            entries: list.clone(),
                            next_token: None,
                        }),
                        None => PageResult::Failed("down".to_owned()),
                    };
                    self.later(
                        PLATFORM_DELAY_MS,
                        Event::Input(number, incarnation, Input::PageFetched(call)),
                    );
                }
                Effect::Exit => {
                    if let Some(machine) = self.machines.get_mut(&number) {
                        machine.exited = true;
                    }
                    self.kill(number, false);
                }
            }
        }
    }

    fn link_order(&mut self, number: usize, order: LinkAction) {
        let incarnation = self.incarnation(number);
        match order {
            LinkAction::Dial { link, address } => {
                let to: usize = address
                    .split('.')
                    .nth(1)
                    .and_then(|part| part.parse().ok())
                    .unwrap_or(0);
                if self.cut.contains(&(number, to)) {
                    // Nothing is heard of it; the dialing end gives up by itself.
                } else if self.is_up(to) {
                    self.later(
                        2.0 * LINK_DELAY_MS,
                        Event::Accept {
                            from: number,
                            link,
                            to,
                        },
                    );
                } else {
                    self.later(
                        LINK_DELAY_MS,
                        Event::Input(number, incarnation, Input::LinkClosed { link }),
                    );
                }
            }
            LinkAction::Send { link, mut frame } => {
                if let PeerFrame::Hello(hello) = &mut frame {
                    if self.earlier_programs.contains(&number) {
                        hello.features = format!("10.{number}.0.1:8164");
                    }
                }
                if let Some((to, end)) = self.ends.get(&(number, link)).copied() {
                    if let PeerFrame::Replication(message) = &frame {
                        let said = message.to_string();
                        self.note_epoch(number, &said);
                        self.replica_messages.push((number, to, said.clone()));
                        if self.is_lost(number, to, &said) {
                            return;
                        }
                        if said.contains(" submit ") {
                            self.forwarded_calls.push((self.now, number, to, said));
                        }
                    }
                    if !self.cut.contains(&(number, to)) {
                        // As it goes over the wire.
                        let bytes = frames::encode(&frame);
                        let (frame, _) = frames::decode::<PeerFrame>(&bytes)
                            .expect("a frame")
                            .expect("a whole frame");
                        let incarnation = self.incarnation(to);
                        let ms =
                            LINK_DELAY_MS + self.slow.get(&(number, to)).copied().unwrap_or(0.0);
                        self.later(
                            ms,
                            Event::Input(to, incarnation, Input::LinkFrame { link: end, frame }),
                        );
                    }
                }
            }
            LinkAction::Close { link } => {
                if let Some((to, end)) = self.ends.remove(&(number, link)) {
                    self.ends.remove(&(to, end));
                    if !self.cut.contains(&(number, to)) {
                        let incarnation = self.incarnation(to);
                        self.later(
                            LINK_DELAY_MS,
                            Event::Input(to, incarnation, Input::LinkClosed { link: end }),
                        );
                    }
                }
            }
        }
    }

    /// A message begins with the epoch of its sender.
    fn note_epoch(&mut self, number: usize, said: &str) {
        let named = said
            .strip_prefix('e')
            .and_then(|rest| rest.split(' ').next());
        if let Some(epoch) = named.and_then(|epoch| epoch.parse().ok()) {
            self.epochs.insert(number, epoch);
        }
    }

    fn is_lost(&self, from: usize, to: usize, said: &str) -> bool {
        self.dropped_messages
            .iter()
            .any(|lost| (lost.0, lost.1) == (from, to) && said.contains(lost.2))
    }

    /// Runs until the replica of a machine names an epoch, for at most `ms`; whether it does.
    pub fn run_until_epoch(&mut self, machine: usize, epoch: u64, ms: f64) -> bool {
        let until = self.now + ms;
        while self.now < until && self.epochs.get(&machine) != Some(&epoch) {
            self.run(1.0);
        }
        self.epochs.get(&machine) == Some(&epoch)
    }

    /// Runs until a replica says these words to another, for at most `ms`; whether it does.
    pub fn run_until_said(&mut self, from: usize, to: usize, words: &str, ms: f64) -> bool {
        let until = self.now + ms;
        let is_it = |said: &(usize, usize, String)| {
            (said.0, said.1) == (from, to) && said.2.contains(words)
        };
        while self.now < until && !self.replica_messages.iter().any(is_it) {
            self.run(1.0);
        }
        self.replica_messages.iter().any(is_it)
    }

    fn proxy_of(&self, machine: usize, session: u64) -> Option<String> {
        let incarnation = self.incarnation(machine);
        let mine = |proxy: &&Proxy| {
            proxy.machine == machine && proxy.session == Some((incarnation, session))
        };
        self.proxies
            .values()
            .find(mine)
            .map(|proxy| proxy.info.node_name.clone())
    }

    /// A proxy opens a session with a control node; it may have had another before, which then ends.
    pub fn connect(&mut self, name: &str, zone: &str, region: &str, machine: usize) {
        self.disconnect(name);
        let now = self.now;
        let session = self.control_node(machine).session_accepted(now);
        let incarnation = self.incarnation(machine);
        let info = ProxyInfo {
            node_name: name.to_owned(),
            incarnation: 1,
            zone: zone.to_owned(),
            region: region.to_owned(),
            client_address: format!("{name}:8161"),
        };
        let state = ProxyState {
            ready: true,
            ..ProxyState::default()
        };
        let before = self.proxies.remove(name);
        let state = before.map_or(state, |before| before.state);
        let proxy = Proxy {
            info: info.clone(),
            state: state.clone(),
            machine,
            session: Some((incarnation, session)),
            silent: false,
            frames: Vec::new(),
            attached: None,
        };
        self.proxies.insert(name.to_owned(), proxy);
        let hello = ToControl::Hello {
            format: frames::FORMAT,
            info,
            state,
        };
        self.later(LINK_DELAY_MS, Event::Proxy(name.to_owned(), Some(hello)));
    }

    /// The proxy ends its session.
    pub fn disconnect(&mut self, name: &str) {
        let Some(proxy) = self.proxies.get_mut(name) else {
            return;
        };
        if let Some((incarnation, session)) = proxy.session.take() {
            let machine = proxy.machine;
            self.later(
                LINK_DELAY_MS,
                Event::Input(machine, incarnation, Input::SessionClosed { session }),
            );
        }
    }

    /// The proxy tells something of itself.
    pub fn state(&mut self, name: &str, change: impl FnOnce(&mut ProxyState)) {
        if let Some(proxy) = self.proxies.get_mut(name) {
            change(&mut proxy.state);
            let state = proxy.state.clone();
            self.later(
                0.0,
                Event::Proxy(name.to_owned(), Some(ToControl::State(state))),
            );
        }
    }

    /// A caller's call to a control node; its number, for the answer.
    pub fn call(
        &mut self,
        machine: usize,
        method: &str,
        target: &str,
        based_on: u64,
        body: &str,
    ) -> u64 {
        self.next_call += 1;
        let number = self.next_call;
        self.answers.insert(number, (self.now, None));
        if self.is_up(machine) {
            let based_on = based_on.to_string();
            let message = message(method, target, &[("Based-On-Version", &based_on)], body);
            let incarnation = self.incarnation(machine);
            let arrival = Arrival::at(self.now);
            let call = self.control_node(machine).call_begun(arrival);
            self.calls.insert((machine, incarnation, call), number);
            self.later(
                LINK_DELAY_MS,
                Event::Input(machine, incarnation, Input::Call { call, message }),
            );
        }
        number
    }

    /// What a call was answered, and after how many ms.
    pub fn answer(&self, call: u64) -> Option<(f64, &Reply)> {
        let (made, answer) = self.answers.get(&call)?;
        answer.as_ref().map(|(at, reply)| (at - made, reply))
    }

    /// The status that a call was answered with; none where it has no answer yet.
    pub fn status(&self, call: u64) -> Option<u16> {
        self.answer(call).map(|(_, reply)| reply.status)
    }

    /// Asks a directory.
    pub fn resolve(&mut self, machine: usize, zone: &str) -> String {
        let now = self.now;
        let target = format!("/v1/resolution?name=x&zone={zone}&region=ishikari");
        let reply = self
            .control_node(machine)
            .resolve(now, &message("GET", &target, &[], "").head);
        format!("{} {}", reply.status, reply.body)
    }

    pub fn run(&mut self, ms: f64) {
        let until = self.now + ms;
        let mut next_state = self.now;
        while self.now < until {
            if self.now >= next_state {
                next_state = self.now + 250.0;
                let names: Vec<String> = self.proxies.keys().cloned().collect();
                for name in names {
                    let proxy = &self.proxies[&name];
                    if !proxy.silent && proxy.session.is_some() {
                        let state = ToControl::State(proxy.state.clone());
                        self.later(LINK_DELAY_MS, Event::Proxy(name, Some(state)));
                    }
                }
            }
            let ready: Vec<usize> = self
                .machines
                .iter()
                .filter(|(_, machine)| {
                    let due = machine.control_node.as_ref().map(ControlNode::next_due);
                    !machine.frozen && due.is_some_and(|due| due <= self.now)
                })
                .map(|(number, _)| *number)
                .collect();
            ready
                .into_iter()
                .for_each(|number| self.input(number, Input::Tick));
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 as f64 / 1000.0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.happen(event);
            }
            self.now += 1.0;
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Input(number, incarnation, input) => {
                let frozen = self
                    .machines
                    .get(&number)
                    .is_some_and(|machine| machine.frozen);
                if frozen {
                    self.later(1.0, Event::Input(number, incarnation, input));
                } else if self.incarnation(number) == incarnation {
                    self.input(number, input);
                }
            }
            Event::Accept { from, link, to } => {
                if !self.is_up(to) || !self.is_up(from) || self.cut.contains(&(from, to)) {
                    return;
                }
                let now = self.now;
                let end = self.control_node(to).link_accepted(now);
                self.ends.insert((from, link), (to, end));
                self.ends.insert((to, end), (from, link));
                let incarnations = (self.incarnation(from), self.incarnation(to));
                self.later(
                    0.0,
                    Event::Input(from, incarnations.0, Input::LinkOpened { link }),
                );
                self.later(
                    0.0,
                    Event::Input(to, incarnations.1, Input::LinkOpened { link: end }),
                );
            }
            Event::Proxy(name, frame) => {
                let Some(proxy) = self.proxies.get(&name) else {
                    return;
                };
                let Some((incarnation, session)) = proxy.session else {
                    return;
                };
                let machine = proxy.machine;
                let input = match frame {
                    Some(frame) => Input::SessionFrame { session, frame },
                    None => Input::SessionClosed { session },
                };
                self.later(0.0, Event::Input(machine, incarnation, input));
            }
            Event::ToProxy(name, session, frame) => {
                let Some(proxy) = self.proxies.get_mut(&name) else {
                    return;
                };
                if proxy.session.is_none_or(|(_, mine)| mine != session) {
                    return;
                }
                match frame {
                    Some(ToProxy::Heartbeat { attached }) => proxy.attached = Some(attached),
                    Some(frame) => {
                        if let ToProxy::Configuration { version, .. }
                        | ToProxy::Changes { version, .. } = &frame
                        {
                            proxy.state.version = *version;
                        }
                        proxy.frames.push(frame);
                    }
                    None => proxy.session = None,
                }
            }
            Event::Answer(call, reply) => {
                let now = self.now;
                if let Some((_, answer)) = self.answers.get_mut(&call) {
                    *answer = Some((now, reply));
                }
            }
        }
    }

    pub fn say(&mut self, what: &str) {
        self.transcript.push_str(&format!("# {what}\n"));
    }

    pub fn note(&mut self, what: &str) {
        self.transcript.push_str(&format!("{what}\n"));
    }

    /// Notes what came to the proxies since it was noted last, and where their sessions stand.
    pub fn note_proxies(&mut self) {
        let mut lines = String::new();
        for (name, proxy) in &mut self.proxies {
            let stands = match (proxy.session, proxy.attached) {
                (None, _) => "no session".to_owned(),
                (Some(_), Some(false)) => format!("at {}, detached", proxy.machine),
                (Some(_), _) => format!("at {}", proxy.machine),
            };
            lines.push_str(&format!("{name} ({stands})\n"));
            for frame in proxy.frames.drain(..) {
                lines.push_str(&format!("  {}\n", told(&frame)));
            }
        }
        self.transcript.push_str(&lines);
    }

    /// Notes the answer of a call.
    pub fn note_answer(&mut self, what: &str, call: u64) {
        let line = match self.answer(call) {
            Some((after, reply)) => {
                let late = if after > 1000.0 {
                    format!(" after {after:.0} ms: too late")
                } else {
                    String::new()
                };
                format!("{what} -> {} {}{late}", reply.status, reply.body)
            }
            None => format!("{what} -> silence"),
        };
        self.note(&line);
    }

    pub fn note_directory(&mut self, machine: usize, zone: &str) {
        let answer = self.resolve(machine, zone);
        self.note(&format!("directory of {machine} for {zone} -> {answer}"));
    }
}

/// A frame in words.
fn told(frame: &ToProxy) -> String {
    match frame {
        ToProxy::Welcome {
            control_node,
            attached,
            ..
        } => {
            format!("Welcome of {control_node}, attached {attached}")
        }
        ToProxy::Configuration {
            number,
            version,
            document,
        } => {
            format!(
                "Configuration {number}, version {version}: {} bytes",
                document.len()
            )
        }
        ToProxy::Changes {
            from_number,
            number,
            version,
            items,
            fields,
        } => {
            let items: Vec<String> = items
                .iter()
                .map(|item| {
                    let sign = if item.json.is_some() { '+' } else { '-' };
                    format!("{sign}{} {}", item.list, item.name)
                })
                .collect();
            let fields: Vec<&str> = fields.iter().map(|(name, _)| name.as_str()).collect();
            format!("Changes {from_number} to {number}, version {version}: {items:?} {fields:?}")
        }
        ToProxy::Evacuated { number, zones } => format!("Evacuated {number}: {zones:?}"),
        ToProxy::Upstreams {
            is_complete: whole,
            entries,
            removed: gone,
            ..
        } => {
            let entries: Vec<String> = entries
                .iter()
                .map(|entry| {
                    format!(
                        "{}{}",
                        entry.identifier,
                        if entry.draining { " draining" } else { "" }
                    )
                })
                .collect();
            let whole = if *whole { "whole: " } else { "" };
            format!("Upstreams {whole}{entries:?}, gone {gone:?}")
        }
        ToProxy::Census {
            control_nodes,
            proxies,
            rank,
        } => {
            format!(
                "Census: {proxies} proxies, rank {rank}, control nodes {}",
                control_nodes.join(" ")
            )
        }
        ToProxy::Heartbeat { attached } => format!("Beat {attached}"),
        ToProxy::PromptsSent(sent) => format!("PromptsSent {sent:?}"),
    }
}

/// An upstream of the platform's list.
pub fn upstream(identifier: &str, draining: bool) -> UpstreamEntry {
    UpstreamEntry {
        identifier: identifier.to_owned(),
        service: "print".to_owned(),
        address: format!("{identifier}:8080"),
        zone: "odori-hall".to_owned(),
        slots: 6,
        draining,
        ..UpstreamEntry::default()
    }
}
