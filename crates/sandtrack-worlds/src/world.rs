//! One world: machines, network, operators, platform and faults on a clock that is only counted. What the processes ask for
//! is carried out here as the programs do it.
use crate::checks::{Broken, Checks};
use crate::disk::Mode;
use crate::front::{Front, Wish};
use crate::machine::{machine_of, settings, Control, DiskOrder, Machine, WAL_NAME};
use crate::network::{Arrival, Item, Network, Port, Process};
use crate::operators::{Operators, Outgoing, ACKNOWLEDGE_MS};
use crate::plan::{Millis, Plan, ZONES};
use crate::{documents, log_lines};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sandtrack_control::arrivals::Arrival as CallArrival;
use sandtrack_control::node::{ControlNode, Effect, Input, Start};
use sandtrack_control::peers::{LinkOrder, PeerFrame};
use sandtrack_control::reader::{Call, Page};
use sandtrack_control::sessions::SessionOrder;
use sandtrack_core::message::Message;
use sandtrack_protocol::frames::{self, ToControl, ToProxy, UpstreamEntry};
use sandtrack_wal::{Wal, WalError};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// One way between an operator and a machine, and a call of the platform, in ms.
const CLIENT_MS: Millis = 3.0;
const PLATFORM_MS: Millis = 8.0;
/// A machine dials for so long; as in `program` of control.
const DIAL_MS: Millis = 900.0;
/// A process starts again after this, in ms.
pub const RESTART_MS: Millis = 300.0;
/// A disk that refuses to open the WAL is tried again after this, in ms.
const OPEN_AGAIN_MS: Millis = 300.0;
const LOOK_MS: Millis = 50.0;
/// The operators' list of machines lags by this, in ms.
const LIST_LAG_MS: Millis = 3000.0;
/// Bounds of the rules, in ms: `in_touch_ms`, `configuration_apply_ms`, `evacuation_ms`.
const IN_TOUCH_MS: Millis = 5000.0;
const CONFIGURATION_APPLY_MS: Millis = 3000.0;
const EVACUATION_MS: Millis = 5000.0;
/// A definite answer may rest on contact that is so old, in ms: silence is noticed, and the call waits, for as long.
const ALONE_MOST_MS: Millis = 1200.0;

#[derive(Debug)]
pub(crate) enum Event {
    Tick {
        machine: usize,
        life: u64,
    },
    ProxyTick {
        machine: usize,
        life: u64,
    },
    Look,
    /// A connection is asked for.
    Dialed {
        connection: u64,
    },
    /// The dialing end hears that it stands, or that there is nobody.
    Opened {
        connection: u64,
        stands: bool,
    },
    DialLate {
        connection: u64,
    },
    /// The process at the other end accepts.
    Accept {
        connection: u64,
        machine: usize,
        life: u64,
    },
    Arrive(Arrival),
    Deliver {
        machine: usize,
        process: Process,
        life: u64,
        connection: u64,
        side: usize,
        item: Item,
    },
    DiskDone {
        machine: usize,
        life: u64,
    },
    Called {
        machine: usize,
        life: u64,
        call: Call,
    },
    OperatorCall {
        machine: usize,
        call: u64,
        message: Message,
        /// When the machine's kernel had it; the process reads it when it runs.
        came: Option<Millis>,
    },
    Answer {
        call: u64,
        status: u16,
        body: String,
    },
    CallFailed {
        call: u64,
    },
    StartControl {
        machine: usize,
    },
    StartProxy {
        machine: usize,
    },
    /// A machine that left by plan is gone.
    Remove {
        machine: usize,
    },
    FaultBegins(usize),
    FaultEnds(usize),
    /// Whether proxies have a version, or evacuations, that were acknowledged at a time.
    Applied {
        version: u64,
        since: Millis,
    },
    Evacuated {
        zone: String,
        begun: bool,
        /// Tells this acknowledgement from a later one of the same.
        number: u64,
        since: Millis,
    },
}

/// What a world came to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// The first breach of each rule.
    pub broken: Vec<Broken>,
    /// Calls with a clear answer, changes acknowledged, the last epoch, frames delivered.
    pub calls: u64,
    pub changes: u64,
    pub views: u64,
    pub frames: u64,
}

pub struct World {
    pub(crate) now: Millis,
    pub(crate) plan: Plan,
    pub(crate) random: Pcg64Mcg,
    pub(crate) machines: Vec<Machine>,
    pub(crate) network: Network,
    pub(crate) operators: Operators,
    pub(crate) checks: Checks,
    events: BTreeMap<(u64, u64), Event>,
    order: u64,
    /// What waits at frozen machines.
    inboxes: BTreeMap<usize, VecDeque<Event>>,
    /// The machines that operators know, as they were at a time.
    listed: VecDeque<(Millis, Vec<usize>)>,
    pub(crate) platform_down: u32,
    pub(crate) answers_lost: u32,
    pub(crate) last_acknowledged: Option<usize>,
    /// When there was trouble last.
    pub(crate) troubled: Millis,
    pub(crate) active_faults: BTreeSet<usize>,
    /// The answer of a status call that is taken at once.
    status: Option<String>,
    frames: u64,
    incarnations: u64,
    /// What a fault struck, to be undone at its end.
    pub(crate) struck: BTreeMap<usize, crate::plan::Struck>,
    settled_seen: BTreeMap<String, (bool, u64)>,
    acknowledged_seen: u64,
    /// A call of the calm at the end, and its answer.
    direct: Option<(u64, Option<(u16, String)>)>,
    /// What the disks of frozen machines have done meanwhile, with the life that it is for.
    disk_waits: BTreeMap<usize, Vec<(u64, Input)>>,
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut world = World {
            now: 0.0,
            random: Pcg64Mcg::seed_from_u64(plan.seed ^ 0x776f_726c_6473),
            machines: Vec::new(),
            network: Network::default(),
            operators: Operators::new(plan.seed, plan.ballast, plan.pace_ms),
            checks: Checks::default(),
            events: BTreeMap::new(),
            order: 0,
            inboxes: BTreeMap::new(),
            listed: VecDeque::new(),
            platform_down: 0,
            answers_lost: 0,
            last_acknowledged: None,
            troubled: 0.0,
            active_faults: BTreeSet::new(),
            status: None,
            frames: 0,
            incarnations: plan.seed << 20,
            struck: BTreeMap::new(),
            settled_seen: BTreeMap::new(),
            acknowledged_seen: 0,
            direct: None,
            disk_waits: BTreeMap::new(),
            plan,
        };
        for number in 0..world.plan.core + world.plan.others {
            let core = number < world.plan.core;
            let machine = world.add_machine(number % ZONES, core, true);
            let after = world.random.gen_range(0.0..300.0);
            if core {
                world.later(after, Event::StartControl { machine });
            }
            world.later(after, Event::StartProxy { machine });
        }
        for fault in 0..world.plan.faults.len() {
            let at = world.plan.faults[fault].at;
            world.later(at, Event::FaultBegins(fault));
            let ends = world.plan.faults[fault].ends();
            world.later(ends, Event::FaultEnds(fault));
        }
        world.later(0.0, Event::Look);
        world
    }

    pub(crate) fn add_machine(&mut self, zone: usize, core: bool, first: bool) -> usize {
        let number = self.machines.len();
        self.machines.push(Machine::new(zone, core, first));
        let far = self.plan.far_zone && zone == 1;
        self.network.add_machine(number, zone, far, self.plan.link_mbps);
        number
    }

    /// Plays it to its end: the faults, a calm, and what has to hold after it.
    pub fn play(&mut self) -> Outcome {
        self.run(self.plan.span_ms);
        self.calm();
        Outcome {
            broken: self.checks.broken.clone(),
            calls: self.operators.answered,
            changes: self.operators.changes_acknowledged,
            views: self.newest_view().map_or(0, |(epoch, _)| epoch),
            frames: self.frames,
        }
    }

    fn calm(&mut self) {
        // Restarts and joiners of the last faults.
        self.run(IN_TOUCH_MS + 4000.0);
        self.operators.stopped = true;
        let until = self.now + 30_000.0;
        while !self.operators.are_idle() && self.now < until {
            self.run(100.0);
        }
        self.checks.versions_rise();
        self.checks.nothing_refused_in_force();
        for machine in self.running_core() {
            self.answers_in_calm(machine);
        }
        self.run(EVACUATION_MS);
        self.proxies_have(self.checks.newest_acknowledged(), CONFIGURATION_APPLY_MS);
        let settled: Vec<(String, bool)> =
            self.checks.settled_evacuations().map(|(zone, begun, _)| (zone.to_owned(), begun)).collect();
        for (zone, begun) in settled {
            self.proxies_evacuated(&zone, begun);
        }
        self.checks.versions_rise();
        self.checks.nothing_refused_in_force();
    }

    /// A read and a change through one machine, repeated there, within the time of an acknowledgement.
    fn answers_in_calm(&mut self, machine: usize) {
        let read = || documents::call("GET", "/v1/configuration/read", 0, "");
        let answer = self.ask_until(machine, &read());
        let status = answer.as_ref().map(|(status, _)| *status);
        let rule = format!("read at machine {machine}");
        self.checks.acknowledged_in_calm(&rule, status, ACKNOWLEDGE_MS);
        let Some((_, body)) = answer else { return };
        let Some(document) = documents::whole_in_force(&body) else { return };
        self.checks.read_back(document.version, &body);
        self.operators.believe(document);
        let (order, based_on, message) = self.operators.last_change(&mut self.checks);
        let status = self.ask_until(machine, &message).map(|(status, _)| status);
        self.checks.acknowledged_in_calm(&format!("change at machine {machine}"), status, ACKNOWLEDGE_MS);
        if status == Some(200) {
            self.checks.acknowledged(order, based_on);
        }
    }

    /// Calls one machine until the answer is clear, for as long as an acknowledgement may take.
    fn ask_until(&mut self, machine: usize, message: &Message) -> Option<(u16, String)> {
        let until = self.now + ACKNOWLEDGE_MS;
        let mut call = u64::MAX / 2;
        while self.now < until {
            call += 1;
            self.later(
                CLIENT_MS,
                Event::OperatorCall { machine, call, message: message.clone(), came: None },
            );
            let silence = (self.now + 1000.0).min(until);
            self.direct = Some((call, None));
            while self.now < silence && self.direct_answer().is_none() {
                self.run(5.0);
            }
            match self.direct_answer() {
                Some((status, body)) if status < 500 => return Some((status, body)),
                _ => self.run(100.0),
            }
        }
        None
    }

    pub fn run(&mut self, span: Millis) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry() {
            let at = entry.key().0 as f64 / 1000.0;
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let event = entry.remove();
            log_lines::set_time(self.now);
            self.happen(event);
        }
        self.now = self.now.max(end);
    }

    pub(crate) fn later(&mut self, after: Millis, event: Event) {
        self.order += 1;
        self.events.insert((((self.now + after.max(0.0)) * 1000.0) as u64, self.order), event);
    }

    pub(crate) fn say(&self, what: impl FnOnce() -> String) {
        log_lines::say(what);
    }

    /// Whether it waits for a frozen machine instead.
    fn waits(&mut self, machine: usize, event: Event) -> Option<Event> {
        if self.machines[machine].frozen {
            self.inboxes.entry(machine).or_default().push_back(event);
            return None;
        }
        Some(event)
    }

    pub(crate) fn thaw(&mut self, machine: usize) {
        self.machines[machine].frozen = false;
        self.machines[machine].runs_since = self.now;
        for event in self.inboxes.remove(&machine).unwrap_or_default() {
            self.happen(event);
        }
        let (control, proxy) = (self.machines[machine].control_life, self.machines[machine].proxy_life);
        for (life, input) in self.disk_waits.remove(&machine).unwrap_or_default() {
            if life == control {
                self.input(machine, input);
            }
        }
        self.later(0.0, Event::Tick { machine, life: control });
        self.later(0.0, Event::ProxyTick { machine, life: proxy });
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Tick { machine, life } => {
                let mine = &self.machines[machine];
                if mine.control_life == life && mine.is_running() {
                    self.input(machine, Input::Tick);
                }
            }
            Event::ProxyTick { machine, life } => self.proxy_tick(machine, life),
            Event::Look => self.look(),
            Event::Dialed { connection } => self.dialed(connection),
            Event::Opened { connection, stands } => self.opened(connection, stands),
            Event::DialLate { connection } => {
                let waits =
                    self.network.connections.get(&connection).is_some_and(|one| one.ends[1].life == 0);
                if waits {
                    self.opened(connection, false);
                }
            }
            Event::Accept { connection, machine, life } => {
                if let Some(Event::Accept { .. }) =
                    self.waits(machine, Event::Accept { connection, machine, life })
                {
                    self.accept(connection, machine, life);
                }
            }
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Deliver { machine, process, life, connection, side, item } => {
                let event = Event::Deliver { machine, process, life, connection, side, item };
                if let Some(Event::Deliver { item, .. }) = self.waits(machine, event) {
                    self.deliver(machine, process, life, connection, side, item);
                }
            }
            Event::DiskDone { machine, life } => self.disk_done(machine, life),
            Event::Called { machine, life, call } => {
                if let Some(Event::Called { call, .. }) =
                    self.waits(machine, Event::Called { machine, life, call })
                {
                    if self.machines[machine].control_life == life {
                        self.input(machine, Input::Called(call));
                    }
                }
            }
            Event::OperatorCall { machine, call, message, came } => {
                let came = came.unwrap_or(self.now);
                let event = Event::OperatorCall { machine, call, message, came: Some(came) };
                if let Some(Event::OperatorCall { message, .. }) = self.waits(machine, event) {
                    self.operator_call(machine, call, message, came);
                }
            }
            Event::Answer { call, status, body } => self.answer(call, status, &body),
            Event::CallFailed { call } => self.operators.failed(call),
            Event::StartControl { machine } => self.start_control(machine),
            Event::StartProxy { machine } => self.start_proxy(machine),
            Event::Remove { machine } => self.remove_left(machine),
            Event::FaultBegins(fault) => self.fault_begins(fault),
            Event::FaultEnds(fault) => self.fault_ends(fault),
            Event::Applied { version, since } => {
                if self.troubled < since - IN_TOUCH_MS {
                    self.proxies_have(version, CONFIGURATION_APPLY_MS);
                }
            }
            Event::Evacuated { zone, begun, number, since } => {
                let settled =
                    self.checks.settled_evacuations().any(|one| one == (zone.as_str(), begun, number));
                if settled && self.troubled < since - IN_TOUCH_MS {
                    self.proxies_evacuated(&zone, begun);
                }
            }
        }
    }

    // Processes.

    pub(crate) fn running_core(&self) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|machine| self.machines[*machine].core && self.machines[*machine].is_running())
            .collect()
    }

    fn core(&self) -> Vec<usize> {
        let there = |machine: &usize| self.machines[*machine].core && !self.machines[*machine].removed;
        (0..self.machines.len()).filter(there).collect()
    }

    fn seeds(&self) -> Vec<usize> {
        if self.now < 1000.0 {
            return (0..3).collect();
        }
        let listed = self.listed.front().map(|(_, machines)| machines.clone());
        listed.unwrap_or_else(|| self.core()).into_iter().take(3).collect()
    }

    fn start_control(&mut self, machine: usize) {
        let mine = &mut self.machines[machine];
        if mine.removed || mine.control.is_some() || self.network.is_dark(machine) {
            return;
        }
        if mine.frozen || mine.mode == Mode::Stalled {
            return self.later(OPEN_AGAIN_MS, Event::StartControl { machine });
        }
        let Ok((wal, recovered, _)) = Wal::open_in(mine.disk.clone(), WAL_NAME) else {
            return self.later(OPEN_AGAIN_MS, Event::StartControl { machine });
        };
        mine.control_life += 1;
        mine.runs_since = self.now;
        let (zone, first_start) = (mine.zone, std::mem::replace(&mut mine.first, false));
        let settings = settings(machine, zone, true, first_start, &self.seeds());
        self.incarnations += 1;
        let start = Start { incarnation: self.incarnations, recovered, disk: true };
        log_lines::set_machine(machine);
        let (node, effects) = ControlNode::new(settings, start, self.now);
        self.say(|| format!("machine {machine}: control starts"));
        self.machines[machine].control = Some(Control {
            node,
            wal,
            orders: VecDeque::new(),
            links: BTreeMap::new(),
            sessions: BTreeMap::new(),
            calls: BTreeMap::new(),
            tick_at: f64::INFINITY,
            seen: (0, 0),
        });
        self.perform(machine, effects);
        self.after_input(machine);
    }

    fn start_proxy(&mut self, machine: usize) {
        let mine = &self.machines[machine];
        if mine.removed || mine.proxy.is_some() || self.network.is_dark(machine) {
            return;
        }
        let settings = settings(machine, mine.zone, mine.core, false, &self.seeds());
        self.incarnations += 1;
        let front = Front::new(settings, self.incarnations, self.now);
        let mine = &mut self.machines[machine];
        mine.proxy = Some(front);
        mine.proxy_life += 1;
        mine.runs_since = self.now;
        let life = mine.proxy_life;
        self.later(0.0, Event::ProxyTick { machine, life });
    }

    /// A process ends at once. With `dark` nobody is told.
    pub(crate) fn kill_control(&mut self, machine: usize, dark: bool) {
        let Some(mut control) = self.machines[machine].control.take() else { return };
        self.machines[machine].control_life += 1;
        if let Some(order) = control.orders.pop_front() {
            // What the disk was doing is done up to some point.
            let mine = &self.machines[machine];
            mine.disk.stop_after(Some(self.random.gen_range(0..8)));
            let _ = if order.rewrites {
                control.wal.rewrite(&order.records)
            } else {
                control.wal.append(&order.records)
            };
            mine.disk.stop_after(None);
        }
        self.drop_connections(machine, Process::Control, dark);
        if !dark {
            for call in control.calls.into_values() {
                self.later(CLIENT_MS, Event::CallFailed { call });
            }
        }
        self.forget_inbox(machine, Process::Control);
    }

    pub(crate) fn kill_proxy(&mut self, machine: usize, dark: bool) {
        if self.machines[machine].proxy.take().is_some() {
            self.machines[machine].proxy_life += 1;
            self.machines[machine].proxy_connections.clear();
            self.drop_connections(machine, Process::Proxy, dark);
            self.forget_inbox(machine, Process::Proxy);
        }
    }

    fn forget_inbox(&mut self, machine: usize, dead: Process) {
        if let Some(inbox) = self.inboxes.get_mut(&machine) {
            inbox.retain(|event| match event {
                Event::Deliver { process, .. } => *process != dead,
                Event::Accept { .. } | Event::OperatorCall { .. } => dead != Process::Control,
                _ => true,
            });
        }
    }

    fn drop_connections(&mut self, machine: usize, process: Process, dark: bool) {
        for (connection, side) in self.network.of(machine, process) {
            self.network.close(self.now, connection, side, dark);
        }
        self.plan_arrivals();
    }

    pub(crate) fn plan_arrivals(&mut self) {
        for arrival in self.network.take_arrivals() {
            let after = arrival.at - self.now;
            self.later(after, Event::Arrive(arrival));
        }
    }

    // The control node.

    pub(crate) fn input(&mut self, machine: usize, input: Input) {
        let now = self.now;
        log_lines::set_machine(machine);
        let Some(control) = self.machines[machine].control.as_mut() else { return };
        let mut effects = Vec::new();
        control.node.handle(now, input, &mut effects);
        self.perform(machine, effects);
        self.after_input(machine);
    }

    /// Looks at what it shows now, and plans its next look.
    fn after_input(&mut self, machine: usize) {
        let now = self.now;
        let Some(control) = self.machines[machine].control.as_mut() else { return };
        let due = control.node.next_due();
        let plan = due < control.tick_at || control.tick_at <= now;
        if plan {
            control.tick_at = due.max(now + 0.1);
        }
        let state = control.node.control_state();
        let seen = (state.configuration_number(), state.evacuation_number());
        let before = std::mem::replace(&mut control.seen, seen);
        let configuration = (seen.0 != before.0).then(|| state.whole()).flatten();
        let evacuated = (seen.1 != before.1).then(|| state.evacuated().map(str::to_owned).collect());
        if let Some(ToProxy::Configuration { number, version, document }) = configuration {
            self.checks.configuration_in_force(machine, number, version, document);
        }
        if let Some(zones) = evacuated {
            self.say(|| format!("machine {machine}: evacuations {} are {zones:?}", seen.1));
            self.checks.evacuations_in_force(machine, seen.1, zones);
        }
        if plan {
            let life = self.machines[machine].control_life;
            let tick_at = self.machines[machine].control.as_ref().map_or(now, |control| control.tick_at);
            self.later(tick_at - now, Event::Tick { machine, life });
        }
    }

    fn perform(&mut self, machine: usize, effects: Vec<Effect>) {
        let life = self.machines[machine].control_life;
        for effect in effects {
            match effect {
                Effect::Reply { call, reply } => self.reply(machine, call, reply.status, reply.body),
                Effect::Link(order) => self.link_order(machine, order),
                Effect::Session(SessionOrder::Send { session, bytes }) => {
                    let Some(control) = self.machines[machine].control.as_ref() else { return };
                    if let Some((connection, side)) = control.sessions.get(&session).copied() {
                        self.network.send(self.now, connection, side, Item::Frame(bytes));
                    }
                }
                Effect::Session(SessionOrder::Close { session }) => {
                    let Some(control) = self.machines[machine].control.as_mut() else { return };
                    if let Some((connection, side)) = control.sessions.remove(&session) {
                        self.network.close(self.now, connection, side, false);
                        self.later(
                            0.0,
                            Event::Deliver {
                                machine,
                                process: Process::Control,
                                life,
                                connection,
                                side,
                                item: Item::End,
                            },
                        );
                    }
                }
                Effect::Write { ticket, records } => {
                    self.disk_order(machine, DiskOrder { ticket, records, rewrites: false });
                }
                Effect::Rewrite { ticket, records } => {
                    self.disk_order(machine, DiskOrder { ticket, records, rewrites: true });
                }
                Effect::Fetch { .. } => self.fetch(machine, life),
                Effect::Exit => {
                    self.say(|| format!("machine {machine}: control has ended"));
                    self.kill_control(machine, false);
                    self.later(RESTART_MS, Event::StartControl { machine });
                    return;
                }
            }
        }
        self.plan_arrivals();
    }

    fn fetch(&mut self, machine: usize, life: u64) {
        let call = if self.platform_down > 0 {
            Call::Failed("down".to_owned())
        } else {
            let entry = |number: usize| UpstreamEntry {
                identifier: format!("i-{number}"),
                service: "print".to_owned(),
                address: format!("10.128.0.{number}:8080"),
                zone: crate::operators::zone_name(number % ZONES),
                slots: 6,
                ..UpstreamEntry::default()
            };
            Call::Page(Page { entries: (1..=4).map(entry).collect(), next_token: None })
        };
        self.later(PLATFORM_MS, Event::Called { machine, life, call });
    }

    fn disk_order(&mut self, machine: usize, order: DiskOrder) {
        let Some(control) = self.machines[machine].control.as_mut() else { return };
        control.orders.push_back(order);
        if control.orders.len() == 1 {
            self.plan_disk(machine);
        }
    }

    /// Plans the end of what the disk is doing; a stalled one does nothing.
    pub(crate) fn plan_disk(&mut self, machine: usize) {
        let mine = &self.machines[machine];
        let Some(order) = mine.control.as_ref().and_then(|control| control.orders.front()) else { return };
        let slower = match mine.mode {
            Mode::Stalled => return,
            Mode::Slow(slower) => slower,
            Mode::Well | Mode::Full => 1.0,
        };
        let (takes, life) = (order.takes() * slower, mine.control_life);
        self.later(takes, Event::DiskDone { machine, life });
    }

    fn disk_done(&mut self, machine: usize, life: u64) {
        let mine = &mut self.machines[machine];
        if mine.control_life != life || mine.mode == Mode::Stalled {
            return;
        }
        let Some(control) = mine.control.as_mut() else { return };
        let Some(order) = control.orders.pop_front() else { return };
        let done = if order.rewrites {
            control.wal.rewrite(&order.records)
        } else {
            control.wal.append(&order.records)
        };
        self.plan_disk(machine);
        let ticket = order.ticket;
        match done {
            Ok(()) => self.disk_input(machine, life, Input::Written { ticket }),
            Err(WalError::Unknown(_)) => {
                self.say(|| format!("machine {machine}: the WAL is unknown, it starts anew"));
                self.kill_control(machine, false);
                self.later(RESTART_MS, Event::StartControl { machine });
            }
            Err(_) => self.disk_input(machine, life, Input::WriteFailed { ticket }),
        }
    }

    /// The disk works on while its process is frozen; what it tells waits.
    fn disk_input(&mut self, machine: usize, life: u64, input: Input) {
        if self.machines[machine].frozen {
            self.disk_waits.entry(machine).or_default().push((life, input));
            return;
        }
        self.input(machine, input);
    }

    fn link_order(&mut self, machine: usize, order: LinkOrder) {
        let life = self.machines[machine].control_life;
        match order {
            LinkOrder::Dial { link, address } => {
                let Some(to) = machine_of(&address).filter(|to| *to < self.machines.len()) else { return };
                let connection = self.network.dial((machine, Process::Control, life, link), to, Port::Peer);
                if let Some(control) = self.machines[machine].control.as_mut() {
                    control.links.insert(link, (connection, 0));
                }
                self.dial(connection, machine, to);
            }
            LinkOrder::Send { link, frame } => {
                let Some(control) = self.machines[machine].control.as_ref() else { return };
                if let Some((connection, side)) = control.links.get(&link).copied() {
                    let bytes: Rc<[u8]> = frames::frame(&frame).into();
                    self.network.send(self.now, connection, side, Item::Frame(bytes));
                }
            }
            LinkOrder::Close { link } => {
                let Some(control) = self.machines[machine].control.as_mut() else { return };
                if let Some((connection, side)) = control.links.remove(&link) {
                    self.network.close(self.now, connection, side, false);
                }
            }
        }
    }

    // Connections.

    fn dial(&mut self, connection: u64, from: usize, to: usize) {
        if self.network.is_open(from, to) {
            let delay = self.network.delay(from, to);
            self.later(delay, Event::Dialed { connection });
        }
        self.later(DIAL_MS, Event::DialLate { connection });
    }

    fn dialed(&mut self, connection: u64) {
        let Some(known) = self.network.connections.get(&connection) else { return };
        let (from, to) = (known.ends[0].machine, known.ends[1].machine);
        if !self.network.is_open(from, to) || !self.network.is_open(to, from) {
            return;
        }
        let delay = self.network.delay(to, from);
        let stands = self.machines[to].control.is_some();
        if stands {
            let life = self.machines[to].control_life;
            self.network.listen(connection, life);
            self.later(0.0, Event::Accept { connection, machine: to, life });
        }
        self.later(delay, Event::Opened { connection, stands });
    }

    /// At the end that dialed.
    fn opened(&mut self, connection: u64, stands: bool) {
        let Some(known) = self.network.connections.get(&connection) else { return };
        let end = known.ends[0].clone();
        let Some(number) = end.number else { return };
        let machine = end.machine;
        if self.machines[machine].frozen {
            // The kernel has it; the process hears of it when it runs again.
            self.inboxes.entry(machine).or_default().push_back(Event::Opened { connection, stands });
            return;
        }
        match end.process {
            Process::Control => {
                if self.machines[machine].control_life != end.life {
                    return;
                }
                let control = self.machines[machine].control.as_mut();
                let Some(control) = control.filter(|control| control.links.contains_key(&number)) else {
                    return;
                };
                if stands {
                    self.input(machine, Input::LinkOpened { link: number });
                } else {
                    control.links.remove(&number);
                    self.network.close(self.now, connection, 0, true);
                    self.input(machine, Input::LinkClosed { link: number });
                }
            }
            Process::Proxy => {
                let mut wishes = Vec::new();
                let now = self.now;
                let mine = &mut self.machines[machine];
                if mine.proxy_life != end.life || !mine.proxy_connections.contains_key(&number) {
                    return;
                }
                let Some(proxy) = mine.proxy.as_mut() else { return };
                if stands {
                    proxy.opened(now, number, &mut wishes);
                } else {
                    mine.proxy_connections.remove(&number);
                    proxy.closed(now, number, &mut wishes);
                }
                self.wishes(machine, wishes);
            }
        }
    }

    fn accept(&mut self, connection: u64, machine: usize, life: u64) {
        let now = self.now;
        let Some(port) = self.network.connections.get(&connection).map(|known| known.port) else { return };
        if self.machines[machine].control_life != life {
            return;
        }
        let Some(control) = self.machines[machine].control.as_mut() else { return };
        match port {
            Port::Peer => {
                let link = control.node.link_accepted(now);
                control.links.insert(link, (connection, 1));
                self.network.accepted(connection, link);
                self.input(machine, Input::LinkOpened { link });
            }
            Port::Session => {
                let session = control.node.session_accepted(now);
                control.sessions.insert(session, (connection, 1));
                self.network.accepted(connection, session);
            }
        }
    }

    fn arrive(&mut self, arrival: Arrival) {
        let Some(end) = self.network.arrive(self.now, &arrival) else { return self.plan_arrivals() };
        let side = 1 - arrival.from;
        let event = Event::Deliver {
            machine: end.machine,
            process: end.process,
            life: end.life,
            connection: arrival.connection,
            side,
            item: arrival.item,
        };
        self.happen(event);
    }

    fn deliver(
        &mut self, machine: usize, process: Process, life: u64, connection: u64, side: usize, item: Item,
    ) {
        self.frames += 1;
        let Some(known) = self.network.connections.get(&connection) else { return };
        let (port, number) = (known.port, known.ends[side].number);
        let Some(number) = number else { return };
        if matches!(item, Item::End) {
            self.network.close(self.now, connection, side, true);
        }
        match process {
            Process::Control if self.machines[machine].control_life == life => {
                self.deliver_to_control(machine, port, number, item);
            }
            Process::Proxy if self.machines[machine].proxy_life == life => {
                self.deliver_to_proxy(machine, number, item);
            }
            _ => {}
        }
    }

    fn deliver_to_control(&mut self, machine: usize, port: Port, number: u64, item: Item) {
        let Some(control) = self.machines[machine].control.as_mut() else { return };
        let input = match (port, item) {
            (Port::Peer, Item::Frame(bytes)) => match frames::take::<PeerFrame>(&bytes) {
                Ok(Some((frame, _))) if control.links.contains_key(&number) => {
                    Input::LinkFrame { link: number, frame }
                }
                _ => return,
            },
            (Port::Session, Item::Frame(bytes)) => match frames::take::<ToControl>(&bytes) {
                Ok(Some((frame, _))) if control.sessions.contains_key(&number) => {
                    Input::SessionFrame { session: number, frame }
                }
                _ => return,
            },
            (Port::Peer, Item::End) => match control.links.remove(&number) {
                Some(_) => Input::LinkClosed { link: number },
                None => return,
            },
            (Port::Session, Item::End) => {
                control.sessions.remove(&number);
                Input::SessionClosed { session: number }
            }
        };
        self.input(machine, input);
    }

    fn deliver_to_proxy(&mut self, machine: usize, number: u64, item: Item) {
        let now = self.now;
        let mut wishes = Vec::new();
        let Some(proxy) = self.machines[machine].proxy.as_mut() else { return };
        let before = proxy.version();
        match item {
            Item::Frame(bytes) => {
                let mut at = 0;
                while let Ok(Some((frame, length))) = frames::take::<ToProxy>(&bytes[at..]) {
                    at += length;
                    proxy.frame(now, number, frame, &mut wishes);
                }
            }
            Item::End => {
                proxy.closed(now, number, &mut wishes);
                self.machines[machine].proxy_connections.remove(&number);
            }
        }
        self.wishes(machine, wishes);
        self.proxy_changed(machine, before);
    }

    fn proxy_changed(&mut self, machine: usize, before: u64) {
        let Some(proxy) = self.machines[machine].proxy.as_ref() else { return };
        let (version, incarnation) = (proxy.version(), proxy.incarnation);
        if version == before {
            return;
        }
        let giver = proxy.control_node().and_then(machine_of);
        self.say(|| format!("proxy {machine}: version {version}"));
        self.checks.proxy_serves(incarnation, version);
        if let Some(giver) = giver.filter(|_| before == 0) {
            let alone_ms = self.machines[giver].alone_since.map_or(0.0, |since| self.now - since);
            self.checks.first_configuration(&format!("proxy {machine}"), alone_ms, ALONE_MOST_MS);
        }
    }

    fn wishes(&mut self, machine: usize, wishes: Vec<Wish>) {
        let life = self.machines[machine].proxy_life;
        for wish in wishes {
            match wish {
                Wish::Dial { number, address } => {
                    let Some(to) = machine_of(&address).filter(|to| *to < self.machines.len()) else {
                        continue;
                    };
                    let dialer = (machine, Process::Proxy, life, number);
                    let connection = self.network.dial(dialer, to, Port::Session);
                    self.machines[machine].proxy_connections.insert(number, (connection, 0));
                    self.dial(connection, machine, to);
                }
                Wish::Send { number, bytes } => {
                    let known = self.machines[machine].proxy_connections.get(&number).copied();
                    if let Some((connection, side)) = known {
                        self.network.send(self.now, connection, side, Item::Frame(bytes));
                    }
                }
                Wish::Close { number } => {
                    let known = self.machines[machine].proxy_connections.remove(&number);
                    if let Some((connection, side)) = known {
                        self.network.close(self.now, connection, side, false);
                    }
                }
            }
        }
        self.plan_arrivals();
    }

    fn proxy_tick(&mut self, machine: usize, life: u64) {
        let now = self.now;
        let mine = &mut self.machines[machine];
        if mine.proxy_life != life || mine.frozen {
            return;
        }
        let Some(proxy) = mine.proxy.as_mut() else { return };
        let mut wishes = Vec::new();
        proxy.tick(now, &mut wishes);
        self.wishes(machine, wishes);
        self.later(LOOK_MS, Event::ProxyTick { machine, life });
    }

    // Operators.

    fn operator_call(&mut self, machine: usize, call: u64, message: Message, came: Millis) {
        if self.network.is_dark(machine) {
            return;
        }
        let Some(control) = self.machines[machine].control.as_mut() else {
            return self.later(CLIENT_MS, Event::CallFailed { call });
        };
        let number = control.node.call_begun(CallArrival { queued_since: came, accepted: self.now });
        control.calls.insert(number, call);
        self.input(machine, Input::Call { call: number, message });
    }

    fn reply(&mut self, machine: usize, number: u64, status: u16, body: String) {
        let Some(control) = self.machines[machine].control.as_mut() else { return };
        let Some(call) = control.calls.remove(&number) else {
            self.status = Some(body);
            return;
        };
        let alone_ms = self.machines[machine].alone_since.map_or(0.0, |since| self.now - since);
        self.checks.definite_answer(machine, status, alone_ms, ALONE_MOST_MS);
        if status == 200 {
            self.last_acknowledged = Some(machine);
        }
        if self.answers_lost > 0 && self.random.gen_bool(0.7) {
            return;
        }
        self.later(CLIENT_MS, Event::Answer { call, status, body });
    }

    fn answer(&mut self, call: u64, status: u16, body: &str) {
        if let Some((direct, answer)) = &mut self.direct {
            if *direct == call {
                *answer = Some((status, body.to_owned()));
                return;
            }
        }
        self.say(|| {
            let text: String = body.chars().take(80).collect();
            format!("operators: call {call} answered {status} {text}")
        });
        self.operators.answer(self.now, call, status, body, &mut self.checks);
        self.plan_applied();
    }

    fn direct_answer(&self) -> Option<(u16, String)> {
        self.direct.as_ref().and_then(|(_, answer)| answer.clone())
    }

    /// What was acknowledged just now is looked for at the proxies when their time is over.
    fn plan_applied(&mut self) {
        let version = self.checks.newest_acknowledged();
        if version > std::mem::replace(&mut self.acknowledged_seen, version) {
            let event = Event::Applied { version, since: self.now };
            self.later(CONFIGURATION_APPLY_MS, event);
        }
        let settled = self.checks.settled_evacuations();
        let settled: BTreeMap<String, (bool, u64)> =
            settled.map(|(zone, begun, number)| (zone.to_owned(), (begun, number))).collect();
        for (zone, (begun, number)) in &settled {
            if self.settled_seen.get(zone) != Some(&(*begun, *number)) {
                let (begun, number) = (*begun, *number);
                let event = Event::Evacuated { zone: zone.clone(), begun, number, since: self.now };
                self.later(EVACUATION_MS, event);
            }
        }
        self.settled_seen = settled;
    }

    /// The proxies that have run for long enough to be in touch.
    fn proxies_in_touch(&self) -> Vec<usize> {
        let in_touch = |machine: &usize| {
            let mine = &self.machines[*machine];
            mine.proxy.is_some() && !mine.frozen && !mine.removed && self.now - mine.runs_since > IN_TOUCH_MS
        };
        (0..self.machines.len()).filter(in_touch).collect()
    }

    fn proxies_have(&mut self, version: u64, bound_ms: Millis) {
        for machine in self.proxies_in_touch() {
            let has = self.machines[machine].proxy.as_ref().map_or(0, Front::version);
            self.checks.proxy_in_touch(&format!("proxy {machine}"), has, version, bound_ms);
        }
    }

    fn proxies_evacuated(&mut self, zone: &str, begun: bool) {
        for machine in self.proxies_in_touch() {
            let proxy = self.machines[machine].proxy.as_ref();
            let has = proxy.is_some_and(|proxy| proxy.balancer.evacuated.contains(zone));
            self.checks.proxy_in_touch_evacuates(&format!("proxy {machine}"), zone, has, begun);
        }
    }

    // What is looked at now and then.

    fn look(&mut self) {
        let given_up = self.network.give_up(self.now);
        for (connection, side) in given_up {
            let Some(known) = self.network.connections.get(&connection) else { continue };
            let end = known.ends[side].clone();
            self.network.close(self.now, connection, side, false);
            let Some(_) = end.number else { continue };
            self.later(
                0.0,
                Event::Deliver {
                    machine: end.machine,
                    process: end.process,
                    life: end.life,
                    connection,
                    side,
                    item: Item::End,
                },
            );
        }
        self.plan_arrivals();
        self.watch();
        // Also those that are down for a while: the list knows nothing of that.
        let listed = self.core();
        self.listed.push_back((self.now, listed));
        while self.listed.front().is_some_and(|(at, _)| self.now - at > LIST_LAG_MS) && self.listed.len() > 1
        {
            self.listed.pop_front();
        }
        let machines = self.listed.front().map(|(_, machines)| machines.clone()).unwrap_or_default();
        if self.now > 500.0 {
            for Outgoing { call, machine, message, about } in
                self.operators.tick(self.now, &machines, &mut self.checks)
            {
                self.say(|| format!("operators: call {call} to machine {machine}, {about}"));
                let bytes = message.body.len() as f64 / (self.plan.link_mbps * 125.0);
                self.later(CLIENT_MS + bytes, Event::OperatorCall { machine, call, message, came: None });
            }
        }
        self.later(LOOK_MS, Event::Look);
    }

    /// Takes note of trouble, and of machines that have no way to a majority.
    fn watch(&mut self) {
        let core = self.core();
        let runs = |machine: &usize| self.machines[*machine].is_running() && !self.network.is_dark(*machine);
        if !self.active_faults.is_empty() || !core.iter().all(runs) {
            self.troubled = self.now;
        }
        let alone: Vec<(usize, bool)> = core
            .iter()
            .map(|machine| {
                let reaches = |other: &&usize| {
                    *other == machine
                        || self.network.is_open(*machine, **other) && self.network.is_open(**other, *machine)
                };
                (*machine, 2 * core.iter().filter(reaches).count() <= core.len())
            })
            .collect();
        for (machine, is_alone) in alone {
            let since = &mut self.machines[machine].alone_since;
            *since = if is_alone { since.or(Some(self.now)) } else { None };
        }
    }

    /// Epoch and chain of the newest view that a running machine knows.
    pub(crate) fn newest_view(&mut self) -> Option<(u64, Vec<usize>)> {
        let mut newest: Option<(u64, Vec<usize>)> = None;
        for machine in self.running_core() {
            self.status = None;
            let number = match self.machines[machine].control.as_mut() {
                Some(control) => control.node.call_begun(CallArrival::at(self.now)),
                None => continue,
            };
            let message = documents::call("GET", "/v1/status", 0, "");
            self.input(machine, Input::Call { call: number, message });
            let view = self.status.take().and_then(|body| view_of(&body));
            if let Some(view) = view.filter(|view| newest.as_ref().is_none_or(|known| known.0 < view.0)) {
                newest = Some(view);
            }
        }
        newest
    }
}

/// Epoch and chain in the answer of a status call.
fn view_of(body: &str) -> Option<(u64, Vec<usize>)> {
    let value: serde_json::Value = serde_json::from_str(body).ok()?;
    let view = value.get("view")?;
    let chain = view.get("chain")?.as_array()?;
    let chain = chain.iter().filter_map(|address| machine_of(address.as_str()?)).collect();
    Some((view.get("epoch")?.as_u64()?, chain))
}
