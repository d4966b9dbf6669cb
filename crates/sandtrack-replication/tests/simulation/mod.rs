//! A deterministic simulation of replicas: machines, disks, a network and callers, all from one seed.
#![allow(dead_code)] // each test file uses its part
pub mod bandwidth;
pub mod checks;
pub mod faults;
pub mod losses;
pub mod register;
pub mod samples;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use sandtrack_replication::{CallError, Effect, Input, Member, Message, Replica, Settings};

use bandwidth::Bandwidth;
use checks::Checks;
use register::Register;
use samples::Samples;

/// Milliseconds.
pub type Time = f64;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiskMode {
    Well,
    /// Milliseconds for each write.
    Slow(f64),
    /// Writes don't end until the disk is well again.
    Stalled,
    /// Writes are refused.
    Full,
}

// Each flag is a fault that is injected independently of the others.
#[allow(clippy::struct_excessive_bools)]
pub struct Node {
    pub address: String,
    pub zone: String,
    pub has_disk: bool,
    pub disk: Vec<Vec<u8>>,
    pub mode: DiskMode,
    pub replica: Option<Replica<Register>>,
    /// Counts the starts of the process.
    pub generation: u64,
    /// Whose disk it is, as of the last start.
    pub member: Option<Member>,
    /// Of the disk: a new one at each wipe.
    pub wipes: u64,
    pub frozen: bool,
    /// Told to stop, and not ended yet.
    pub leaving: bool,
    waiting: VecDeque<Input>,
    /// The write under way: ticket, records, whether it replaces all.
    write: Option<(u64, Vec<Vec<u8>>, bool)>,
    pub removed: bool,
    next_tick: Time,
}

#[derive(Clone, Debug)]
enum Event {
    Deliver {
        from: usize,
        to: usize,
        message: Message,
    },
    DiskDone {
        node: usize,
        generation: u64,
        ticket: u64,
    },
    Tick {
        node: usize,
        generation: u64,
    },
}

struct Timed {
    at: Time,
    order: u64,
    event: Event,
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}
impl Eq for Timed {}
impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        other
            .at
            .total_cmp(&self.at)
            .then(other.order.cmp(&self.order))
    }
}

/// How messages travel.
#[derive(Clone, Debug)]
pub struct Network {
    pub delay: Time,
    pub spread: Time,
    pub loss: f64,
    pub doubled: f64,
    /// Share of messages that take up to `latest` milliseconds longer.
    pub late: f64,
    pub latest: Time,
    /// What a message between the two regions takes longer; machines of odd and even numbers are in one each.
    pub between_regions: Time,
    /// From, to.
    pub cut: BTreeSet<(usize, usize)>,
    pub bandwidth: Bandwidth,
    pub heartbeats: Heartbeats,
    /// Messages to a machine with these words are lost, or come with a flipped bit.
    pub lost_words: Option<(usize, &'static str)>,
    pub flipped_words: Option<(usize, &'static str)>,
}

/// When the last heartbeat of each machine came to each other one, and the longest that one kept another waiting.
#[derive(Clone, Debug, Default)]
pub struct Heartbeats {
    last: BTreeMap<(usize, usize), Time>,
    pub longest: Time,
}

impl Heartbeats {
    fn came(&mut self, now: Time, from: usize, to: usize) {
        if let Some(before) = self.last.insert((from, to), now) {
            self.longest = self.longest.max(now - before);
        }
    }

    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

/// A call and what came of it.
#[derive(Clone, Debug)]
pub struct Call {
    pub node: usize,
    pub command: Option<(u64, u64)>,
    pub began: Time,
    /// The position that a read that began then may not be older than.
    pub floor: u64,
    pub ended: Option<(Time, Result<Vec<u8>, CallError>)>,
}

pub struct Simulation {
    pub now: Time,
    pub random: Pcg64Mcg,
    pub nodes: Vec<Node>,
    pub network: Network,
    pub tolerated_machine_losses: usize,
    pub tolerated_zone_losses: usize,
    /// Bytes that a disk that is well writes in a millisecond, where the size of a write counts.
    pub disk_speed: Option<f64>,
    /// Bytes of the state besides the register, and of a command besides its numbers.
    pub state_padding: usize,
    pub command_padding: usize,
    pub seeds: Vec<String>,
    pub calls: BTreeMap<u64, Call>,
    pub checks: Checks,
    /// One line for each message and effect, when wanted.
    pub log: Option<Vec<String>>,
    /// A sample of each kind of message and record, when wanted.
    pub samples: Option<Samples>,
    events: BinaryHeap<Timed>,
    order: u64,
    next_call: u64,
    next_version: u64,
    pub messages: u64,
    /// Messages that begin so are held back; see `release`.
    pub hold: Vec<String>,
    held: Vec<(usize, usize, Message)>,
    /// When trouble was last seen: a machine down or frozen, a disk not well, a cut, or the view not whole.
    pub last_fault_at: Time,
}

impl Simulation {
    /// `seeds` machines with a disk start for the first time, and as many observers.
    pub fn new(seed: u64, seeds: usize, observers: usize, tolerated_machine_losses: usize) -> Self {
        let mut simulation = Self {
            now: 0.0,
            random: Pcg64Mcg::seed_from_u64(seed),
            nodes: Vec::new(),
            network: Network {
                delay: 0.9,
                spread: 0.3,
                loss: 0.0,
                doubled: 0.0,
                late: 0.0,
                latest: 2000.0,
                between_regions: 0.0,
                cut: BTreeSet::new(),
                bandwidth: Bandwidth::default(),
                heartbeats: Heartbeats::default(),
                lost_words: None,
                flipped_words: None,
            },
            tolerated_machine_losses,
            tolerated_zone_losses: 0,
            disk_speed: None,
            state_padding: 0,
            command_padding: 0,
            seeds: (0..seeds.min(3)).map(name).collect(),
            calls: BTreeMap::new(),
            checks: Checks::default(),
            log: None,
            samples: None,
            events: BinaryHeap::new(),
            order: 0,
            next_call: 0,
            next_version: 0,
            messages: 0,
            hold: Vec::new(),
            held: Vec::new(),
            last_fault_at: 0.0,
        };
        for index in 0..seeds + observers {
            simulation.add(index < seeds);
        }
        simulation
    }

    /// One that has run for four seconds on an even network; from here on it notes what is said.
    pub fn settled(
        seed: u64,
        seeds: usize,
        observers: usize,
        tolerated_machine_losses: usize,
    ) -> Self {
        let mut simulation = Simulation::new(seed, seeds, observers, tolerated_machine_losses);
        simulation.network.spread = 0.0;
        simulation.start_all(true);
        simulation.run(4000.0);
        simulation.log = Some(Vec::new());
        simulation
    }

    /// Whether these words were noted.
    pub fn logged(&self, words: &str) -> bool {
        self.log.iter().flatten().any(|line| line.contains(words))
    }

    /// Adds a machine that is not started.
    pub fn add(&mut self, has_disk: bool) -> usize {
        let index = self.nodes.len();
        self.nodes.push(Node {
            address: name(index),
            zone: format!("zone-{}", index % 3),
            has_disk,
            disk: Vec::new(),
            mode: DiskMode::Well,
            replica: None,
            generation: 0,
            wipes: 0,
            member: None,
            frozen: false,
            leaving: false,
            waiting: VecDeque::new(),
            write: None,
            removed: false,
            next_tick: 0.0,
        });
        index
    }

    /// Starts all that do not run and were not removed.
    pub fn start_all(&mut self, first: bool) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].replica.is_none() && !self.nodes[index].removed {
                self.start(index, first);
            }
        }
    }

    /// Each machine that runs answers a change and a read within three seconds.
    ///
    /// # Panics
    /// Where one does not.
    pub fn assert_all_answer(&mut self) {
        for index in self.running() {
            let base = self.newest().version;
            let calls = [self.submit(index, base), self.read(index)];
            self.run(3000.0);
            for call in calls {
                let outcome = self.outcome(call);
                assert!(
                    matches!(outcome, Some(Ok(_))),
                    "after a calm, machine {index} answers {outcome:?}"
                );
            }
        }
    }

    pub fn start(&mut self, index: usize, first_start: bool) {
        // After the very first start: the first three of the operator's list as it stands, up or down.
        let there = self
            .nodes
            .iter()
            .filter(|node| node.has_disk && !node.removed);
        let present = there.take(3).map(|node| node.address.clone()).collect();
        let mut seeds = self.seeds.clone();
        let node = &mut self.nodes[index];
        node.generation += 1;
        node.waiting.clear();
        if !first_start {
            seeds = present;
        }
        let seeds: Vec<&str> = seeds.iter().map(String::as_str).collect();
        let mut settings = Settings::new(&node.address, &seeds);
        settings.zone = node.zone.clone();
        settings.first_start = first_start;
        settings.has_disk = node.has_disk;
        settings.tolerated_machine_losses = self.tolerated_machine_losses;
        settings.tolerated_zone_losses = self.tolerated_zone_losses;
        settings.random_seed = index as u64 * 1000 + node.generation;
        settings.new_incarnation = index as u64 * 1000 + 100 + node.wipes * 10 + node.generation;
        let machine = Register {
            state_padding: self.state_padding,
            ..Register::default()
        };
        let (replica, effects) = Replica::new(settings, &node.disk, machine, self.now);
        node.member = Some(replica.member().clone());
        node.replica = Some(replica);
        self.log_line(|simulation| format!("{} starts", simulation.nodes[index].address));
        self.run_effects(index, effects);
        self.schedule_tick(index);
    }

    /// The process ends at once; the write under way is done or not, as a whole.
    pub fn kill(&mut self, index: usize) {
        self.log_line(|simulation| format!("{} is killed", simulation.nodes[index].address));
        let done = self.random.gen::<bool>();
        let node = &mut self.nodes[index];
        node.replica = None;
        node.frozen = false;
        node.leaving = false;
        node.waiting.clear();
        if let Some((_, records, replaces)) = node.write.take() {
            if done && node.mode != DiskMode::Full {
                store(&mut node.disk, records, replaces);
            }
        }
    }

    /// The process is told to stop; it runs on until it is killed.
    pub fn request_shutdown(&mut self, index: usize) {
        self.log_line(|simulation| format!("{} is told to stop", simulation.nodes[index].address));
        self.nodes[index].leaving = true;
        self.input(index, Input::Leave);
    }

    /// Whether a process has to run on after it was told to stop.
    pub fn is_needed(&self, index: usize) -> bool {
        self.nodes[index]
            .replica
            .as_ref()
            .is_some_and(Replica::is_needed)
    }

    /// The machine loses power: the write under way is not on its disk.
    pub fn lose_power(&mut self, index: usize) {
        self.nodes[index].write = None;
        self.kill(index);
    }

    pub fn wipe(&mut self, index: usize) {
        self.kill(index);
        self.log_line(|simulation| format!("{} loses its disk", simulation.nodes[index].address));
        self.nodes[index].disk.clear();
        self.nodes[index].member = None;
        self.nodes[index].wipes += 1;
    }

    pub fn freeze(&mut self, index: usize) {
        self.log_line(|simulation| format!("{} freezes", simulation.nodes[index].address));
        self.nodes[index].frozen = true;
    }

    pub fn thaw(&mut self, index: usize) {
        if !self.nodes[index].frozen {
            return;
        }
        self.log_line(|simulation| format!("{} wakes", simulation.nodes[index].address));
        self.nodes[index].frozen = false;
        let waiting = std::mem::take(&mut self.nodes[index].waiting);
        for input in waiting {
            self.input(index, input);
        }
        self.input(index, Input::Tick);
        self.schedule_tick(index);
    }

    pub fn set_disk(&mut self, index: usize, mode: DiskMode) {
        self.log_line(|simulation| {
            format!("disk of {} is {mode:?}", simulation.nodes[index].address)
        });
        self.nodes[index].mode = mode;
        if let (true, Some((ticket, _, _))) = (mode != DiskMode::Stalled, &self.nodes[index].write)
        {
            let (ticket, generation) = (*ticket, self.nodes[index].generation);
            self.schedule(
                1.0,
                Event::DiskDone {
                    node: index,
                    generation,
                    ticket,
                },
            );
        }
    }

    /// Cuts both ways between the groups.
    pub fn cut(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            for b in other {
                self.network.cut.insert((*a, *b));
                self.network.cut.insert((*b, *a));
            }
        }
        self.log_line(|simulation| format!("cuts are {}", simulation.cuts()));
    }

    pub fn heal(&mut self) {
        self.network.cut.clear();
        self.log_line(|_| "cuts are healed".to_string());
    }

    fn cuts(&self) -> String {
        let cuts = self.network.cut.iter();
        let cuts: Vec<String> = cuts
            .map(|(from, to)| format!("{}-x->{}", name(*from), name(*to)))
            .collect();
        cuts.join(" ")
    }

    /// Delivers one of the messages that were held back, and keeps it: it may come again. Whether there is one.
    pub fn release(&mut self, begin: &str) -> bool {
        let text = |(from, to, message): &(usize, usize, Message)| {
            format!("{} -> {}: {message}", name(*from), name(*to))
        };
        let Some((from, to, message)) = self
            .held
            .iter()
            .find(|held| text(held).starts_with(begin))
            .cloned()
        else {
            return false;
        };
        self.log_line(|_| format!("released: {} -> {}: {message}", name(from), name(to)));
        self.input(
            to,
            Input::Received {
                from: name(from),
                message,
            },
        );
        true
    }

    fn schedule(&mut self, after: Time, event: Event) {
        self.order += 1;
        self.events.push(Timed {
            at: self.now + after,
            order: self.order,
            event,
        });
    }

    fn schedule_tick(&mut self, index: usize) {
        let node = &self.nodes[index];
        if let Some(replica) = &node.replica {
            let after = (replica.next_tick() - self.now).max(0.1) + 0.1;
            let generation = node.generation;
            self.schedule(
                after,
                Event::Tick {
                    node: index,
                    generation,
                },
            );
        }
    }

    /// Plays `span` milliseconds.
    pub fn run(&mut self, span: Time) {
        let end = self.now + span;
        while self.events.peek().is_some_and(|timed| timed.at <= end) {
            let timed = self.events.pop().unwrap();
            self.now = timed.at;
            self.process_event(timed.event);
        }
        self.now = end;
    }

    /// Takes note of trouble.
    pub fn watch(&mut self) {
        let well = |node: &Node| {
            let runs = node.replica.is_some() && !node.frozen && !node.leaving;
            node.removed || runs && node.mode == DiskMode::Well
        };
        if !self.nodes.iter().all(well)
            || !self.network.cut.is_empty()
            || !self.is_fully_replicated()
        {
            self.last_fault_at = self.now;
        }
    }

    /// Plays until it holds, for at most `span` milliseconds; whether it does.
    pub fn run_until(&mut self, span: Time, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end && !holds(self) {
            self.run(0.2);
        }
        holds(self)
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Deliver { from, to, message } => {
                if self.nodes[to].replica.is_none() || self.network.cut.contains(&(from, to)) {
                    return;
                }
                if !self.hold.is_empty() {
                    let text = format!("{} -> {}: {message}", name(from), name(to));
                    if self.hold.iter().any(|begin| text.starts_with(begin)) {
                        self.log_line(|_| format!("held back: {text}"));
                        return self.held.push((from, to, message));
                    }
                }
                self.messages += 1;
                if message.is_status() {
                    self.network.heartbeats.came(self.now, from, to);
                }
                self.log_line(|simulation| {
                    format!(
                        "{} -> {}: {message}",
                        name(from),
                        simulation.nodes[to].address
                    )
                });
                let input = Input::Received {
                    from: self.nodes[from].address.clone(),
                    message,
                };
                self.input(to, input);
            }
            Event::Tick { node, generation } => {
                if self.nodes[node].generation == generation && !self.nodes[node].frozen {
                    self.input(node, Input::Tick);
                    self.schedule_tick(node);
                }
            }
            Event::DiskDone {
                node,
                generation,
                ticket,
            } => self.disk_done(node, generation, ticket),
        }
    }

    fn disk_done(&mut self, index: usize, generation: u64, ticket: u64) {
        let node = &mut self.nodes[index];
        if node.generation != generation || node.mode == DiskMode::Stalled || node.replica.is_none()
        {
            return;
        }
        let Some((_, records, replaces)) = node.write.take_if(|write| write.0 == ticket) else {
            return;
        };
        if node.mode == DiskMode::Full {
            self.log_line(|simulation| {
                format!("{} could not write", simulation.nodes[index].address)
            });
            return self.input(index, Input::WriteFailed { ticket });
        }
        store(&mut node.disk, records, replaces);
        self.input(index, Input::Written { ticket });
    }

    pub fn input(&mut self, index: usize, input: Input) {
        if self.nodes[index].frozen {
            if !matches!(input, Input::Tick) {
                self.nodes[index].waiting.push_back(input);
            }
            return;
        }
        let now = self.now;
        let Some(replica) = &mut self.nodes[index].replica else {
            return;
        };
        let mut effects = Vec::new();
        replica.handle(now, input, &mut effects);
        self.run_effects(index, effects);
    }

    fn run_effects(&mut self, index: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.transmit(index, &to, message),
                Effect::Write { ticket, records } => self.write(index, ticket, records, false),
                Effect::Rewrite { ticket, records } => self.write(index, ticket, records, true),
                Effect::Applied {
                    number,
                    command,
                    outcome,
                } => {
                    self.log_line(|simulation| {
                        let node = &simulation.nodes[index];
                        format!(
                            "{} applied {number}: {}, {}",
                            node.address,
                            String::from_utf8_lossy(&command),
                            String::from_utf8_lossy(&outcome)
                        )
                    });
                    let last = self.nodes[index].replica.as_ref().unwrap();
                    let epoch = (last.applied_number() == number).then(|| last.applied_epoch());
                    self.checks.applied(index, number, epoch, &command);
                }
                Effect::Restored { number } => {
                    self.log_line(|simulation| {
                        format!("{} restored {number}", simulation.nodes[index].address)
                    });
                }
                Effect::ViewChanged(view) => {
                    self.log_line(|simulation| {
                        format!("{} knows {view}", simulation.nodes[index].address)
                    });
                    self.checks.view(&view);
                }
                Effect::Answer { call, result } => self.answered(index, call, result),
            }
        }
        let node = &self.nodes[index];
        if let Some(replica) = &node.replica {
            self.checks.state(index, node.generation, replica.machine());
        }
    }

    fn write(&mut self, index: usize, ticket: u64, records: Vec<Vec<u8>>, replaces: bool) {
        let size: usize = records.iter().map(Vec::len).sum();
        if let Some(samples) = &mut self.samples {
            records.iter().for_each(|record| samples.record(record));
        }
        let by_size = self.disk_speed.map_or(0.0, |speed| size as f64 / speed);
        let node = &mut self.nodes[index];
        assert!(node.write.is_none(), "one write at a time");
        node.write = Some((ticket, records, replaces));
        let generation = node.generation;
        let after = match node.mode {
            DiskMode::Well | DiskMode::Full => 0.5,
            DiskMode::Slow(span) => span + by_size * (span / 0.5 - 1.0),
            DiskMode::Stalled => return,
        };
        self.schedule(
            after + by_size,
            Event::DiskDone {
                node: index,
                generation,
                ticket,
            },
        );
    }

    fn transmit(&mut self, from: usize, to: &str, message: Message) {
        let Some(to) = self.nodes.iter().position(|node| node.address == to) else {
            return;
        };
        if let Some(samples) = &mut self.samples {
            samples.message(&message);
        }
        if self.network.cut.contains(&(from, to)) || self.random.gen_bool(self.network.loss) {
            return;
        }
        let has = |words: Option<(usize, &str)>| {
            words.is_some_and(|(machine, words)| {
                machine == to && message.to_string().contains(words)
            })
        };
        if has(self.network.lost_words) {
            return;
        }
        let message = if has(self.network.flipped_words) {
            flipped(&message)
        } else {
            message
        };
        let Some(queued) = self.network.bandwidth.pass(self.now, from, to, &message) else {
            return;
        };
        let copies = if self.random.gen_bool(self.network.doubled) {
            2
        } else {
            1
        };
        for _ in 0..copies {
            let mut after =
                queued + self.network.delay + self.network.spread * self.random.gen::<f64>();
            if from % 2 != to % 2 {
                after += self.network.between_regions;
            }
            if self.random.gen_bool(self.network.late) {
                after += self.network.latest * self.random.gen::<f64>();
            }
            self.schedule(
                after,
                Event::Deliver {
                    from,
                    to,
                    message: message.clone(),
                },
            );
        }
    }

    /// A change on top of `base` through a process; gives the name of the call.
    pub fn submit(&mut self, node: usize, base: u64) -> u64 {
        self.next_version += 1;
        let version = self.next_version.max(base + 1);
        self.next_version = version;
        let call = self.begin_call(node, Some((base, version)));
        self.log_line(|simulation| {
            format!(
                "{} is asked to set {base} {version}",
                simulation.nodes[node].address
            )
        });
        let mut command = format!("set {base} {version}").into_bytes();
        if self.command_padding > 0 {
            command.push(b' ');
            command.resize(command.len() + self.command_padding, b'0');
        }
        self.input(node, Input::Submit { call, command });
        call
    }

    pub fn read(&mut self, node: usize) -> u64 {
        let call = self.begin_call(node, None);
        self.log_line(|simulation| format!("{} is asked to read", simulation.nodes[node].address));
        self.input(
            node,
            Input::Read {
                call,
                query: b"get".to_vec(),
            },
        );
        call
    }

    fn begin_call(&mut self, node: usize, command: Option<(u64, u64)>) -> u64 {
        self.next_call += 1;
        let floor = self.checks.floor;
        let call = Call {
            node,
            command,
            began: self.now,
            floor,
            ended: None,
        };
        self.calls.insert(self.next_call, call);
        self.next_call
    }

    fn answered(&mut self, index: usize, number: u64, result: Result<Vec<u8>, CallError>) {
        self.log_line(|simulation| {
            let text = match &result {
                Ok(outcome) => String::from_utf8_lossy(outcome).to_string(),
                Err(refusal) => refusal.to_string(),
            };
            format!("{} answers: {text}", simulation.nodes[index].address)
        });
        let call = self.calls.get_mut(&number).unwrap();
        assert_eq!(call.node, index, "answered where it was asked");
        assert!(call.ended.is_none(), "answered once");
        call.ended = Some((self.now, result));
        let call = call.clone();
        self.checks.answered(&call);
    }

    /// The outcome of a call in words.
    pub fn outcome(&self, call: u64) -> Option<Result<String, CallError>> {
        let (_, result) = self.calls[&call].ended.clone()?;
        Some(result.map(|bytes| String::from_utf8(bytes).unwrap()))
    }

    pub fn latency(&self, call: u64) -> Option<Time> {
        let call = &self.calls[&call];
        call.ended.as_ref().map(|(ended, _)| ended - call.began)
    }

    /// The state of the process that knows most.
    pub fn newest(&self) -> Register {
        let machines = self
            .nodes
            .iter()
            .filter_map(|node| Some(node.replica.as_ref()?.machine()));
        machines
            .max_by_key(|machine| machine.applied)
            .cloned()
            .unwrap_or_default()
    }

    /// Whether all that the newest view builds on is there: its voters' disks, and a chain that is long enough
    /// with all of its members in sync. From here the disks of as many machines as are borne may go.
    pub fn is_fully_replicated(&self) -> bool {
        let Some(view) = self.checks.newest_view() else {
            return false;
        };
        let has_disk = |member: &Member| {
            self.nodes
                .iter()
                .any(|node| !node.removed && node.member.as_ref() == Some(member))
        };
        let is_in_sync = |member: &Member| {
            self.nodes
                .iter()
                .filter_map(|node| node.replica.as_ref())
                .any(|replica| {
                    replica.member() == member
                        && replica.view().epoch == view.epoch
                        && replica.is_caught_up()
                })
        };
        view.voters.iter().all(has_disk)
            && view.chain.len() > self.tolerated_machine_losses
            && view.chain.iter().all(is_in_sync)
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|index| self.nodes[*index].replica.is_some() && !self.nodes[*index].frozen)
            .collect()
    }

    pub fn log_line(&mut self, line: impl Fn(&Self) -> String) {
        if let Some(mut log) = self.log.take() {
            log.push(format!("{:8.1} {}", self.now, line(self)));
            self.log = Some(log);
        }
    }
}

fn store(disk: &mut Vec<Vec<u8>>, records: Vec<Vec<u8>>, replaces: bool) {
    if replaces {
        disk.clear();
    }
    disk.extend(records);
}

/// The message with a bit of its last byte flipped.
fn flipped(message: &Message) -> Message {
    let mut bytes = borsh::to_vec(message).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    borsh::from_slice(&bytes).unwrap()
}

pub fn name(index: usize) -> String {
    format!("m{}", index + 1)
}

/// A simulation that fails says all that happened in it.
impl Drop for Simulation {
    fn drop(&mut self) {
        if std::thread::panicking() {
            for line in self.log.iter().flatten() {
                println!("{line}");
            }
        }
    }
}
