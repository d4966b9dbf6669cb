//! A cluster of control nodes: several of them with links, disks, proxies, callers and a platform, all in one thread on a clock
//! that is only counted. What is asked of each is carried out after a delay.
use super::{good, message, settings};
use sandtrack_control::endpoint_poller::{Page, PageResult};
use sandtrack_control::node::{ControlNode, Effect, Input, Start};
use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_control::operator_api::Reply;
use sandtrack_control::peers::{LinkAction, PeerFrame};
use sandtrack_control::sessions::SessionAction;
use sandtrack_protocol::frames::{self, ProxyInfo, ProxyState, ToControl, ToProxy, UpstreamEntry};
use std::collections::{BTreeMap, BTreeSet};

/// One way between two machines, to the disk and back, and to the platform and back, in ms.
const WAY: f64 = 5.0;
const DISK: f64 = 0.5;
const PLATFORM: f64 = 8.0;

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

struct House {
    control_node: Option<ControlNode>,
    /// Rises with each start: what was meant for an earlier life is not for this one.
    life: u64,
    wal: Vec<Vec<u8>>,
    frozen: bool,
    exited: bool,
    /// Calls to the platform, by when they were made.
    fetches: Vec<f64>,
}

/// A proxy as a test sees it: its session, and what came over it without the beats.
pub struct Proxy {
    info: ProxyInfo,
    state: ProxyState,
    pub house: usize,
    session: Option<(u64, u64)>,
    /// It says nothing.
    pub silent: bool,
    pub frames: Vec<ToProxy>,
    pub attached: Option<bool>,
}

pub struct Cluster {
    pub now: f64,
    houses: BTreeMap<usize, House>,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    /// Pairs of link ends: (house, life, link).
    ends: BTreeMap<(usize, u64), (usize, u64)>,
    /// Ways, from and to, on which all is lost.
    cut: BTreeSet<(usize, usize)>,
    /// Ways on which frames take so many ms longer.
    slow: BTreeMap<(usize, usize), f64>,
    /// The epoch that the replica of each house named last.
    pub epochs: BTreeMap<usize, u64>,
    /// What replicas said since a test cleared it: from, to, what.
    pub said: Vec<(usize, usize, String)>,
    /// Replicas' messages with these words from one house to another are lost.
    pub lost_words: Vec<(usize, usize, &'static str)>,
    /// Calls that replicas handed on: when, from, to, what.
    pub submits: Vec<(f64, usize, usize, String)>,
    pub proxies: BTreeMap<String, Proxy>,
    calls: BTreeMap<(usize, u64, u64), u64>,
    next_call: u64,
    /// When each call was made, and the answer with its time.
    pub answers: BTreeMap<u64, (f64, Option<(f64, Reply)>)>,
    /// The platform's list; none: it is down.
    pub list: Option<Vec<UpstreamEntry>>,
    pub transcript: String,
}

impl Cluster {
    /// Control nodes 1 to `count` that start for the very first time.
    pub fn start(count: usize) -> Cluster {
        let mut cluster = Cluster {
            now: 0.0,
            houses: BTreeMap::new(),
            events: BTreeMap::new(),
            order: 0,
            ends: BTreeMap::new(),
            cut: BTreeSet::new(),
            slow: BTreeMap::new(),
            epochs: BTreeMap::new(),
            said: Vec::new(),
            lost_words: Vec::new(),
            submits: Vec::new(),
            proxies: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            answers: BTreeMap::new(),
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
        let call = cluster.call(2, "POST", "/v1/configuration/replace", 0, &good(7));
        cluster.run(3000.0);
        assert_eq!(cluster.status(call), Some(200));
        cluster
    }

    /// Starts a control node with what its disk holds.
    pub fn boot(&mut self, number: usize, first_start: bool) {
        let mut settings = settings(number);
        settings.first_start = first_start;
        let before = self.houses.remove(&number);
        let (life, wal) = before.map_or((1, Vec::new()), |before| (before.life + 1, before.wal));
        let start = Start {
            incarnation: number as u64 * 1000 + life,
            recovered: wal.clone(),
            disk: true,
        };
        let (control_node, effects) = ControlNode::new(settings, start, self.now);
        let house = House {
            control_node: Some(control_node),
            life,
            wal,
            frozen: false,
            exited: false,
            fetches: Vec::new(),
        };
        self.houses.insert(number, house);
        self.perform(number, effects);
    }

    /// Ends a process at once. `quiet`: nobody is told, as at a loss of power; else its connections are reset.
    pub fn kill(&mut self, number: usize, quiet: bool) {
        let mine: Vec<((usize, u64), (usize, u64))> = self
            .ends
            .iter()
            .filter(|((house, _), _)| *house == number)
            .map(|(one, other)| (*one, *other))
            .collect();
        for (one, other) in mine {
            self.ends.remove(&one);
            self.ends.remove(&other);
            if !quiet {
                let life = self.life(other.0);
                self.later(
                    WAY,
                    Event::Input(other.0, life, Input::LinkClosed { link: other.1 }),
                );
            }
        }
        let names: Vec<String> = self
            .proxies
            .iter()
            .filter(|(_, proxy)| proxy.house == number && proxy.session.is_some())
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            if let Some(proxy) = self.proxies.get_mut(&name) {
                proxy.session = None;
            }
        }
        if let Some(house) = self.houses.get_mut(&number) {
            house.control_node = None;
        }
    }

    /// The disk of a machine is empty from now on.
    pub fn wipe(&mut self, number: usize) {
        if let Some(house) = self.houses.get_mut(&number) {
            house.wal.clear();
        }
    }

    /// The records on the disk of a machine.
    pub fn wal(&self, number: usize) -> &[Vec<u8>] {
        self.houses.get(&number).map_or(&[], |house| &house.wal)
    }

    /// Stops or goes on running a process; what comes meanwhile waits.
    pub fn freeze(&mut self, number: usize, frozen: bool) {
        if let Some(house) = self.houses.get_mut(&number) {
            house.frozen = frozen;
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
            .houses
            .values()
            .filter_map(|house| house.control_node.as_ref());
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
    pub fn insist(&mut self, houses: &[usize], target: &str, based_on: u64, body: &str) {
        for house in houses.iter().cycle().take(20) {
            let call = self.call(*house, "POST", target, based_on, body);
            self.run(300.0);
            match self.answer(call).map(|(_, reply)| reply.status) {
                Some(200) => return,
                Some(503) | None => {}
                Some(other) => panic!("{target} at {house}: {other}"),
            }
        }
        panic!("{target} was never acknowledged");
    }

    /// SIGTERM.
    pub fn terminate(&mut self, number: usize) {
        self.input(number, Input::Terminate);
    }

    pub fn is_up(&self, number: usize) -> bool {
        self.houses
            .get(&number)
            .is_some_and(|house| house.control_node.is_some())
    }

    pub fn has_exited(&self, number: usize) -> bool {
        self.houses.get(&number).is_some_and(|house| house.exited)
    }

    /// When a control node called the platform since `at`, in count.
    pub fn fetches_since(&self, number: usize, at: f64) -> usize {
        self.houses.get(&number).map_or(0, |house| {
            house.fetches.iter().filter(|made| **made >= at).count()
        })
    }

    pub fn control_node(&mut self, number: usize) -> &mut ControlNode {
        let house = self
            .houses
            .get_mut(&number)
            .and_then(|house| house.control_node.as_mut());
        house.expect("a control node that runs")
    }

    fn life(&self, number: usize) -> u64 {
        self.houses.get(&number).map_or(0, |house| house.life)
    }

    fn later(&mut self, ms: f64, event: Event) {
        self.order += 1;
        self.events
            .insert((((self.now + ms) * 1000.0) as u64, self.order), event);
    }

    fn input(&mut self, number: usize, input: Input) {
        let now = self.now;
        let Some(house) = self.houses.get_mut(&number) else {
            return;
        };
        let Some(control_node) = house.control_node.as_mut() else {
            return;
        };
        let mut effects = Vec::new();
        control_node.handle(now, input, &mut effects);
        self.perform(number, effects);
    }

    fn perform(&mut self, number: usize, effects: Vec<Effect>) {
        let life = self.life(number);
        for effect in effects {
            match effect {
                Effect::Reply { call, reply } => {
                    if let Some(call) = self.calls.remove(&(number, life, call)) {
                        self.later(WAY, Event::Answer(call, reply));
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
                            self.later(WAY, Event::ToProxy(name, session, Some(frame)));
                        }
                    }
                }
                Effect::Session(SessionAction::Close { session }) => {
                    if let Some(name) = self.proxy_of(number, session) {
                        self.later(WAY, Event::ToProxy(name, session, None));
                    }
                }
                Effect::Write { ticket, records } => {
                    if let Some(house) = self.houses.get_mut(&number) {
                        house.wal.extend(records);
                    }
                    self.later(DISK, Event::Input(number, life, Input::Written { ticket }));
                }
                Effect::Rewrite { ticket, records } => {
                    if let Some(house) = self.houses.get_mut(&number) {
                        house.wal = records;
                    }
                    self.later(DISK, Event::Input(number, life, Input::Written { ticket }));
                }
                Effect::Fetch { .. } => {
                    if let Some(house) = self.houses.get_mut(&number) {
                        house.fetches.push(self.now);
                    }
                    let call = match &self.list {
                        Some(list) => PageResult::Page(Page {
                            entries: list.clone(),
                            next_token: None,
                        }),
                        None => PageResult::Failed("down".to_owned()),
                    };
                    self.later(
                        PLATFORM,
                        Event::Input(number, life, Input::PageFetched(call)),
                    );
                }
                Effect::Exit => {
                    if let Some(house) = self.houses.get_mut(&number) {
                        house.exited = true;
                    }
                    self.kill(number, false);
                }
            }
        }
    }

    fn link_order(&mut self, number: usize, order: LinkAction) {
        let life = self.life(number);
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
                        2.0 * WAY,
                        Event::Accept {
                            from: number,
                            link,
                            to,
                        },
                    );
                } else {
                    self.later(WAY, Event::Input(number, life, Input::LinkClosed { link }));
                }
            }
            LinkAction::Send { link, frame } => {
                if let Some((to, end)) = self.ends.get(&(number, link)).copied() {
                    if let PeerFrame::Replication(message) = &frame {
                        let said = message.to_string();
                        self.note_epoch(number, &said);
                        self.said.push((number, to, said.clone()));
                        if self.is_lost(number, to, &said) {
                            return;
                        }
                        if said.contains(" submit ") {
                            self.submits.push((self.now, number, to, said));
                        }
                    }
                    if !self.cut.contains(&(number, to)) {
                        // As it goes over the wire.
                        let bytes = frames::encode(&frame);
                        let (frame, _) = frames::decode::<PeerFrame>(&bytes)
                            .expect("a frame")
                            .expect("a whole frame");
                        let life = self.life(to);
                        let ms = WAY + self.slow.get(&(number, to)).copied().unwrap_or(0.0);
                        self.later(
                            ms,
                            Event::Input(to, life, Input::LinkFrame { link: end, frame }),
                        );
                    }
                }
            }
            LinkAction::Close { link } => {
                if let Some((to, end)) = self.ends.remove(&(number, link)) {
                    self.ends.remove(&(to, end));
                    if !self.cut.contains(&(number, to)) {
                        let life = self.life(to);
                        self.later(WAY, Event::Input(to, life, Input::LinkClosed { link: end }));
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
        self.lost_words
            .iter()
            .any(|lost| (lost.0, lost.1) == (from, to) && said.contains(lost.2))
    }

    /// Runs until the replica of a house names an epoch, for at most `ms`; whether it does.
    pub fn run_until_epoch(&mut self, house: usize, epoch: u64, ms: f64) -> bool {
        let until = self.now + ms;
        while self.now < until && self.epochs.get(&house) != Some(&epoch) {
            self.run(1.0);
        }
        self.epochs.get(&house) == Some(&epoch)
    }

    /// Runs until a replica says these words to another, for at most `ms`; whether it does.
    pub fn run_until_said(&mut self, from: usize, to: usize, words: &str, ms: f64) -> bool {
        let until = self.now + ms;
        let is_it = |said: &(usize, usize, String)| {
            (said.0, said.1) == (from, to) && said.2.contains(words)
        };
        while self.now < until && !self.said.iter().any(is_it) {
            self.run(1.0);
        }
        self.said.iter().any(is_it)
    }

    fn proxy_of(&self, house: usize, session: u64) -> Option<String> {
        let life = self.life(house);
        let mine = |proxy: &&Proxy| proxy.house == house && proxy.session == Some((life, session));
        self.proxies
            .values()
            .find(mine)
            .map(|proxy| proxy.info.node_name.clone())
    }

    /// A proxy opens a session with a control node; it may have had another before, which then ends.
    pub fn connect(&mut self, name: &str, zone: &str, region: &str, house: usize) {
        self.disconnect(name);
        let now = self.now;
        let session = self.control_node(house).session_accepted(now);
        let life = self.life(house);
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
            house,
            session: Some((life, session)),
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
        self.later(WAY, Event::Proxy(name.to_owned(), Some(hello)));
    }

    /// The proxy ends its session.
    pub fn disconnect(&mut self, name: &str) {
        let Some(proxy) = self.proxies.get_mut(name) else {
            return;
        };
        if let Some((life, session)) = proxy.session.take() {
            let house = proxy.house;
            self.later(
                WAY,
                Event::Input(house, life, Input::SessionClosed { session }),
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
        house: usize,
        method: &str,
        target: &str,
        based_on: u64,
        body: &str,
    ) -> u64 {
        self.next_call += 1;
        let number = self.next_call;
        self.answers.insert(number, (self.now, None));
        if self.is_up(house) {
            let based_on = based_on.to_string();
            let message = message(method, target, &[("Based-On-Version", &based_on)], body);
            let life = self.life(house);
            let arrival = Arrival::at(self.now);
            let call = self.control_node(house).call_begun(arrival);
            self.calls.insert((house, life, call), number);
            self.later(
                WAY,
                Event::Input(house, life, Input::Call { call, message }),
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
    pub fn resolve(&mut self, house: usize, zone: &str) -> String {
        let now = self.now;
        let target = format!("/v1/resolution?name=x&zone={zone}&region=ishikari");
        let reply = self
            .control_node(house)
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
                        self.later(WAY, Event::Proxy(name, Some(state)));
                    }
                }
            }
            let ready: Vec<usize> = self
                .houses
                .iter()
                .filter(|(_, house)| {
                    let due = house.control_node.as_ref().map(ControlNode::next_due);
                    !house.frozen && due.is_some_and(|due| due <= self.now)
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
            Event::Input(number, life, input) => {
                let frozen = self.houses.get(&number).is_some_and(|house| house.frozen);
                if frozen {
                    self.later(1.0, Event::Input(number, life, input));
                } else if self.life(number) == life {
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
                let lives = (self.life(from), self.life(to));
                self.later(0.0, Event::Input(from, lives.0, Input::LinkOpened { link }));
                self.later(
                    0.0,
                    Event::Input(to, lives.1, Input::LinkOpened { link: end }),
                );
            }
            Event::Proxy(name, frame) => {
                let Some(proxy) = self.proxies.get(&name) else {
                    return;
                };
                let Some((life, session)) = proxy.session else {
                    return;
                };
                let house = proxy.house;
                let input = match frame {
                    Some(frame) => Input::SessionFrame { session, frame },
                    None => Input::SessionClosed { session },
                };
                self.later(0.0, Event::Input(house, life, input));
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
                (Some(_), Some(false)) => format!("at {}, detached", proxy.house),
                (Some(_), _) => format!("at {}", proxy.house),
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

    pub fn note_directory(&mut self, house: usize, zone: &str) {
        let answer = self.resolve(house, zone);
        self.note(&format!("directory of {house} for {zone} -> {answer}"));
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
