//! One machine of the model: the process with its replica, its disk with the pending write, and its steady clock.
use std::hash::{DefaultHasher, Hash, Hasher};

use sandtrack_control::operator_api::call_age::Arrival;
use sandtrack_replication::{Effect, Input, Member, Replica, Settings, Timings};

use crate::call_frontend::{CallFrontend, FrontendStep};
use crate::hashing::HashWriter;
use crate::machine::{CallOutcome, Machine, Operation};

/// Milliseconds between two ticks. The timings of the model are the real ones rounded to whole ticks.
pub const TICK_MS: f64 = 300.0;

/// A write that the disk has not confirmed.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct PendingWrite {
    /// The replica's identifier of the write.
    pub ticket: u64,
    /// The records to be written.
    pub records: Vec<Vec<u8>>,
    /// Whether they replace the log instead of being appended.
    pub replaces: bool,
}

/// Whether the machine is a member of the cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Membership {
    /// It joins when another one is removed.
    Spare,
    /// It is part of the cluster.
    Present,
    /// It is gone for good, with its disk.
    Removed,
}

/// What a step of a process causes outside of it.
pub enum Output {
    /// An effect of the replica, other than an answer.
    Effect(Effect),
    /// The response to a caller; `None` if it is not definite.
    Response {
        /// The identifier of the call.
        call: u64,
        /// The outcome, if it is definite.
        outcome: Option<CallOutcome>,
    },
}

/// A machine.
#[derive(Clone)]
pub struct Node<M: Machine> {
    /// Its index.
    pub index: usize,
    /// Whether it is a member.
    pub membership: Membership,
    /// Its replica; `None` while the process doesn't run.
    pub replica: Option<Replica<M>>,
    frontend: M::Frontend,
    /// The records on its disk.
    pub disk: Vec<Vec<u8>>,
    /// The write that is not confirmed yet.
    pub write: Option<PendingWrite>,
    /// The member whose disk it is, as of the last start.
    pub member: Option<Member>,
    /// How often its process was started.
    pub starts: u64,
    /// Whether its process is frozen.
    pub frozen: bool,
    /// The reading of the steady clock, in ms.
    pub clock: f64,
    fingerprint: u64,
}

/// The address of a machine.
pub fn address(index: usize) -> String {
    format!("m{}", index + 1)
}

fn timings<M: Machine>() -> Timings {
    Timings {
        tick_interval: TICK_MS,
        heartbeat_interval: TICK_MS,
        failure_timeout: 3.0 * TICK_MS,
        disk_stall_timeout: 4.0 * TICK_MS,
        retry_interval: TICK_MS,
        proposer_stagger: TICK_MS,
        proposal_timeout: 3.0 * TICK_MS,
        voter_replacement_timeout: 8.0 * TICK_MS,
        call_timeout: M::CALL_TICKS * TICK_MS,
        disk_retry_interval: 2.0 * TICK_MS,
    }
}

impl<M: Machine> Node<M> {
    /// A machine whose process doesn't run yet.
    pub fn new(index: usize, membership: Membership) -> Self {
        let mut node = Self {
            index,
            membership,
            replica: None,
            frontend: M::Frontend::new(0.0),
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

    /// Whether its process runs and is not frozen.
    pub fn is_awake(&self) -> bool {
        self.replica.is_some() && !self.frozen
    }

    /// Starts the process with what the disk holds. `seeds`: the first three machines of the operators' list.
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
        self.frontend = M::Frontend::new(self.clock);
        let mut outputs = Vec::new();
        self.handle_effects(effects, &mut outputs);
        outputs
    }

    /// The process handles an input; nothing happens if it does not run.
    pub fn handle(&mut self, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.replica.is_none() {
            return outputs;
        }
        let is_tick = matches!(input, Input::Tick);
        self.process_due(&mut outputs);
        self.handle_input(input, &mut outputs);
        if is_tick {
            let expired = self.frontend.expire(self.clock);
            expired
                .into_iter()
                .for_each(|step| self.step(step, &mut outputs));
        }
        outputs
    }

    /// The process reads a call off its socket; nothing happens if it does not run.
    pub fn call(&mut self, call: u64, operation: Operation, arrival: Arrival) -> Vec<Output> {
        let mut outputs = Vec::new();
        if self.replica.is_none() {
            return outputs;
        }
        self.process_due(&mut outputs);
        let machine = self.replica.as_ref().map(Replica::machine);
        let step = machine.and_then(|machine| {
            self.frontend
                .call(self.clock, call, operation, arrival, machine)
        });
        step.into_iter()
            .for_each(|step| self.step(step, &mut outputs));
        outputs
    }

    fn process_due(&mut self, outputs: &mut Vec<Output>) {
        let steps = self.frontend.process_due(self.clock);
        steps.into_iter().for_each(|step| self.step(step, outputs));
    }

    fn step(&mut self, step: FrontendStep, outputs: &mut Vec<Output>) {
        match step {
            FrontendStep::Submit { number, command } => self.handle_input(
                Input::Submit {
                    call: number,
                    command,
                },
                outputs,
            ),
            FrontendStep::Read { number, question } => self.handle_input(
                Input::Read {
                    call: number,
                    query: question,
                },
                outputs,
            ),
            FrontendStep::Respond { call, outcome } => {
                outputs.push(Output::Response { call, outcome });
            }
        }
    }

    fn handle_input(&mut self, input: Input, outputs: &mut Vec<Output>) {
        let mut effects = Vec::new();
        if let Some(replica) = &mut self.replica {
            replica.handle(self.clock, input, &mut effects);
        }
        self.handle_effects(effects, outputs);
    }

    /// Answers are handled after all other effects of the same step, as in the control node.
    fn handle_effects(&mut self, effects: Vec<Effect>, outputs: &mut Vec<Output>) {
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
                .and_then(|machine| self.frontend.answer(self.clock, number, result, machine));
            step.into_iter().for_each(|step| self.step(step, outputs));
        }
    }

    /// Completes the pending write: all of it is on the disk.
    pub fn complete_write(&mut self) {
        if let Some(write) = self.write.take() {
            if write.replaces {
                self.disk.clear();
            }
            self.disk.extend(write.records);
        }
    }

    /// Crashes the process. The pending write was completed, or is missing or torn: the WAL truncates a torn record when it is
    /// opened, so both are the same here.
    pub fn crash(&mut self, write_completed: bool) {
        if write_completed {
            self.complete_write();
        }
        self.write = None;
        self.replica = None;
        self.frozen = false;
    }

    /// Loses the disk, and returns the member that it belonged to.
    pub fn wipe(&mut self) -> Option<Member> {
        self.crash(false);
        self.disk.clear();
        self.member.take()
    }

    /// Recomputes the fingerprint. While the process runs, its replica's state stands for the disk.
    pub fn refresh(&mut self) {
        let mut hasher = DefaultHasher::new();
        (
            self.membership,
            self.starts,
            self.frozen,
            self.clock.to_bits(),
        )
            .hash(&mut hasher);
        match &self.replica {
            Some(replica) => {
                let mut writer = HashWriter::default();
                // A hasher refuses nothing.
                let _ = replica.write_state(&mut writer);
                writer.finish().hash(&mut hasher);
                self.frontend.fingerprint_into(&mut hasher);
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
    /// Adds the fingerprint as of the last change.
    pub fn fingerprint_into(&self, state: &mut impl Hasher) {
        self.fingerprint.hash(state);
    }
}
