//! One machine of the model: the process with its replica, its disk with the write under way, and its steady clock.
use std::hash::{DefaultHasher, Hash, Hasher};

use sandtrack_control::arrivals::Arrival;
use sandtrack_replication::{Effect, Input, Member, Replica, Settings, Timings};

use crate::hashing::HashWriter;
use crate::interface::{Interface, Step};
use crate::machine::{Machine, Order, Told};

/// Milliseconds between two ticks. The timings of the model are the real ones rounded to whole ticks.
pub const TICK: f64 = 300.0;

/// What the disk was asked for and has not confirmed.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct PendingWrite {
    pub ticket: u64,
    pub records: Vec<Vec<u8>>,
    pub replaces: bool,
}

/// Whether the machine is part of the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Place {
    /// It takes the place of one that is removed.
    Spare,
    Present,
    /// It is gone with its disk.
    Removed,
}

/// What a step of a process leads to outside of it.
pub enum Output {
    /// Of the replica, but for answers.
    Effect(Effect),
    /// A caller's answer; `None`: not a definite one.
    Told { call: u64, told: Option<Told> },
}

#[derive(Clone)]
pub struct Node<M: Machine> {
    pub index: usize,
    pub place: Place,
    pub replica: Option<Replica<M>>,
    interface: M::Interface,
    pub disk: Vec<Vec<u8>>,
    pub write: Option<PendingWrite>,
    /// Whose disk it is, as of the last start.
    pub member: Option<Member>,
    pub starts: u64,
    pub frozen: bool,
    /// Milliseconds of the steady clock.
    pub clock: f64,
    fingerprint: u64,
}

/// The address of a machine's link.
pub fn address(index: usize) -> String {
    format!("m{}", index + 1)
}

fn timings<M: Machine>() -> Timings {
    Timings {
        tick_interval: TICK,
        heartbeat_interval: TICK,
        failure_timeout: 3.0 * TICK,
        disk_stall_timeout: 4.0 * TICK,
        retry_interval: TICK,
        proposer_stagger: TICK,
        proposal_timeout: 3.0 * TICK,
        voter_replacement_timeout: 8.0 * TICK,
        call_timeout: M::CALL_TICKS * TICK,
        disk_retry_interval: 2.0 * TICK,
    }
}

impl<M: Machine> Node<M> {
    pub fn new(index: usize, place: Place) -> Self {
        let mut node = Self {
            index,
            place,
            replica: None,
            interface: M::Interface::new(0.0),
            disk: Vec::new(),
            write: None,
            member: None,
            starts: 0,
            frozen: false,
            clock: 0.0,
            fingerprint: 0,
        };
        node.refresh();
        node
    }

    /// Whether its process takes steps.
    pub fn is_awake(&self) -> bool {
        self.replica.is_some() && !self.frozen
    }

    /// The process starts with what the disk holds. `seeds`: the first three of the operators' list as it stands.
    pub fn start(&mut self, seeds: &[String], first_start: bool) -> Vec<Output> {
        self.starts += 1;
        let seeds: Vec<&str> = seeds.iter().map(String::as_str).collect();
        let mut settings = Settings::new(&address(self.index), &seeds);
        settings.first_start = first_start;
        settings.zone = format!("zone-{}", self.index);
        settings.random_seed = self.index as u64 * 1000 + self.starts;
        settings.new_incarnation = self.index as u64 * 1000 + 100 + self.starts;
        settings.timings = timings::<M>();
        let (replica, effects) = Replica::new(settings, &self.disk, M::default(), self.clock);
        self.member = Some(replica.member().clone());
        self.replica = Some(replica);
        self.interface = M::Interface::new(self.clock);
        let mut outputs = Vec::new();
        self.carry(effects, &mut outputs);
        outputs
    }

    /// The process takes an input; nothing where it does not run.
    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.replica.is_none() {
            return outputs;
        }
        let is_tick = matches!(input, Input::Tick);
        self.look(&mut outputs);
        self.give(input, &mut outputs);
        if is_tick {
            let late = self.interface.late(self.clock);
            late.into_iter()
                .for_each(|step| self.step(step, &mut outputs));
        }
        outputs
    }

    /// The process reads a call off its socket; nothing where it does not run.
    pub fn call(&mut self, call: u64, order: Order, arrival: Arrival) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.replica.is_none() {
            return outputs;
        }
        self.look(&mut outputs);
        let machine = self.replica.as_ref().map(Replica::machine);
        let step = machine.and_then(|machine| {
            self.interface
                .call(self.clock, call, order, arrival, machine)
        });
        step.into_iter()
            .for_each(|step| self.step(step, &mut outputs));
        outputs
    }

    fn look(&mut self, outputs: &mut Vec<Output>) {
        let steps = self.interface.look(self.clock);
        steps.into_iter().for_each(|step| self.step(step, outputs));
    }

    fn step(&mut self, step: Step, outputs: &mut Vec<Output>) {
        match step {
            Step::Submit { number, command } => self.give(
                Input::Submit {
                    call: number,
                    command,
                },
                outputs,
            ),
            Step::Read { number, question } => self.give(
                Input::Read {
                    call: number,
                    query: question,
                },
                outputs,
            ),
            Step::Tell { call, told } => outputs.push(Output::Told { call, told }),
        }
    }

    fn give(&mut self, input: Input, outputs: &mut Vec<Output>) {
        let mut effects = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.handle(self.clock, input, &mut effects);
        }
        self.carry(effects, outputs);
    }

    /// What an answer leads to comes after all that came with it, as in the control node.
    fn carry(&mut self, effects: Vec<Effect>, outputs: &mut Vec<Output>) {
        let mut answers = Vec::new();
        for effect in effects {
            match effect {
                Effect::Answer { call, result } => answers.push((call, result)),
                other => outputs.push(Output::Effect(other)),
            }
        }
        for (number, result) in answers {
            let machine = self.replica.as_ref().map(Replica::machine);
            let step = machine
                .and_then(|machine| self.interface.answer(self.clock, number, result, machine));
            step.into_iter().for_each(|step| self.step(step, outputs));
        }
    }

    /// The write under way ends: all of it is on the disk.
    pub fn store(&mut self) {
        if let Some(write) = self.write.take() {
            if write.replaces {
                self.disk.clear();
            }
            self.disk.extend(write.records);
        }
    }

    /// The process ends. The write under way was done (`kept`), or is missing or torn: the WAL cuts a torn frame off when
    /// it is opened, so both are the same here.
    pub fn crash(&mut self, kept: bool) {
        if kept {
            self.store();
        }
        self.write = None;
        self.replica = None;
        self.frozen = false;
    }

    /// The disk is lost; the identity that was on it is returned.
    pub fn wipe(&mut self) -> Option<Member> {
        self.crash(false);
        self.disk.clear();
        self.member.take()
    }

    /// Takes the state anew into the fingerprint. While the process runs, its image stands for the disk.
    pub fn refresh(&mut self) {
        let mut hasher = DefaultHasher::new();
        (self.place, self.starts, self.frozen, self.clock.to_bits()).hash(&mut hasher);
        match &self.replica {
            Some(replica) => {
                let mut writer = HashWriter::default();
                // A hasher refuses nothing.
                let _ = replica.write_state(&mut writer);
                writer.finish().hash(&mut hasher);
                self.interface.fingerprint_into(&mut hasher);
                self.write
                    .as_ref()
                    .map(|write| write.ticket)
                    .hash(&mut hasher);
            }
            None => (&self.disk, &self.member).hash(&mut hasher),
        }
        self.fingerprint = hasher.finish();
    }
}

impl<M: Machine> Node<M> {
    /// As of the last change.
    pub fn fingerprint_into(&self, state: &mut impl Hasher) {
        self.fingerprint.hash(state);
    }
}
