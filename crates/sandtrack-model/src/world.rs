//! A state of the model, and what each action makes of it. The replicas are the real ones; the network, the disks, the
//! clocks and the callers are modelled.
use std::collections::BTreeSet;
use std::fmt::{self, Debug, Formatter};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use sandtrack_replication::{Effect, Input, Message};

use crate::action::Action;
use crate::hashing::{hash_of, hash_of_bytes};
use crate::history::History;
use crate::machine::{Machine, Order, Told};
use crate::node::{address, Node, PendingWrite, Place, TICK};
use crate::setup::{Budget, Scheduling, Setup};

/// Tries of one order that are told apart.
const TRIES: u64 = 16;
/// Steps that preparing a state may take.
const PREPARE_STEPS: usize = 10_000;
/// Ticks in which the first view settles.
const SETTLE_TICKS: u8 = 6;

/// Something that is under way.
#[derive(Clone, PartialEq)]
pub enum Event {
    Message {
        from: usize,
        to: usize,
        message: Message,
    },
    /// The disk confirms a write.
    Written {
        node: usize,
        ticket: u64,
    },
    /// A call in a machine's socket.
    Call {
        node: usize,
        call: u64,
    },
}

/// An event, and its hash.
#[derive(Clone)]
pub struct Queued {
    pub event: Event,
    hash: u64,
}

impl Queued {
    fn new(event: Event) -> Arc<Self> {
        let hash = match &event {
            Event::Message { from, to, message } => hash_of(&(0, from, to, hash_of_bytes(message))),
            Event::Written { node, ticket } => hash_of(&(1, node, ticket)),
            Event::Call { node, call } => hash_of(&(2, node, call)),
        };
        Arc::new(Self { event, hash })
    }

    /// Where it happens.
    fn node(&self) -> usize {
        match self.event {
            Event::Message { to, .. } => to,
            Event::Written { node, .. } | Event::Call { node, .. } => node,
        }
    }

    /// In one line, for a replay.
    pub fn describe(&self) -> String {
        match &self.event {
            Event::Message { from, to, message } => {
                format!("{} -> {}: {message}", address(*from), address(*to))
            }
            Event::Written { node, .. } => format!("disk of {} is done", address(*node)),
            Event::Call { node, call } => format!("call {} at {}", call / TRIES, address(*node)),
        }
    }

    fn is_status(&self) -> bool {
        matches!(&self.event, Event::Message { message, .. } if message.is_status())
    }

    fn is_write(&self) -> bool {
        matches!(self.event, Event::Written { .. })
    }
}

/// A state of the model.
#[derive(Clone)]
pub struct World<M> {
    pub setup: Arc<Setup>,
    pub nodes: Vec<Arc<Node<M>>>,
    /// In the order of their causes; sorted by hash in free scheduling.
    pub queue: Vec<Arc<Queued>>,
    pub held: Vec<Arc<Queued>>,
    pub cuts: BTreeSet<(usize, usize)>,
    /// Ticks since the start.
    pub now: u32,
    /// Ticks since the last trouble.
    pub calm: u8,
    pub budget: Budget,
    /// How often each order was sent.
    pub sent: Vec<u8>,
    pub history: Arc<History>,
}

impl<M> Hash for World<M> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        for node in &self.nodes {
            node.as_ref().fingerprint_into(state);
        }
        for event in self.queue.iter().chain(&self.held) {
            event.hash.hash(state);
        }
        self.queue.len().hash(state);
        (&self.cuts, self.calm, &self.budget, &self.sent, &self.history).hash(state);
    }
}

/// By fingerprint, like the search itself.
impl<M> PartialEq for World<M> {
    fn eq(&self, other: &Self) -> bool {
        hash_of(self) == hash_of(other)
    }
}

impl<M> Debug for World<M> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "tick {}, {} under way", self.now, self.queue.len())?;
        if let Some(view) = self.history.views.values().next_back() {
            write!(f, ", {view}")?;
        }
        write!(f, ", acknowledged {:?}", self.history.acknowledged)
    }
}

impl<M: Machine> World<M> {
    /// The state that a run of this set-up starts from: all machines in line, the first orders acknowledged.
    ///
    /// # Panics
    /// Where the set-up can't be prepared.
    pub fn prepared(setup: &Setup) -> Self {
        let ordered = Setup { scheduling: Scheduling::Ordered, ..setup.clone() };
        let mut world = Self::new(ordered);
        for index in 0..setup.machines {
            world.start(index, true);
        }
        world.play(|world| world.now >= u32::from(SETTLE_TICKS));
        for order in 0..setup.prepared {
            world.take(Action::Send { order, node: 0 });
            world.play(|world| world.history.acknowledged.contains(&order));
        }
        let end = world.now + 2;
        world.play(|world| world.now >= end && world.due().is_none());
        world.setup = Arc::new(setup.clone());
        world.budget = setup.budget;
        world.calm = setup.calm_between_losses.unwrap_or(0);
        world
    }

    fn new(setup: Setup) -> Self {
        let plenty = Budget { ticks: u8::MAX, sends: u8::MAX, ..Budget::default() };
        let place = |index| if index < setup.machines { Place::Present } else { Place::Spare };
        let all = 0..setup.machines + setup.spares;
        Self {
            nodes: all.map(|index| Arc::new(Node::new(index, place(index)))).collect(),
            queue: Vec::new(),
            held: Vec::new(),
            cuts: BTreeSet::new(),
            now: 0,
            calm: 0,
            budget: plenty,
            sent: vec![0; setup.script.len()],
            history: Arc::default(),
            setup: Arc::new(setup),
        }
    }

    /// Plays the default schedule until it holds.
    fn play(&mut self, holds: impl Fn(&Self) -> bool) {
        for _ in 0..PREPARE_STEPS {
            if holds(self) {
                return;
            }
            self.take(self.due().map_or(Action::Tick, Action::Deliver));
        }
        panic!("{}: the state can't be prepared", self.setup.name);
    }

    /// The first event that happens to a machine that is not frozen.
    pub fn due(&self) -> Option<usize> {
        self.queue.iter().position(|event| !self.nodes[event.node()].frozen)
    }

    /// All that may happen next.
    pub fn actions(&self, actions: &mut Vec<Action>) {
        if !self.history.broken.is_empty() {
            return;
        }
        match self.setup.scheduling {
            Scheduling::Ordered => self.ordered_actions(actions),
            Scheduling::Free => self.free_actions(actions),
        }
    }

    fn ordered_actions(&self, actions: &mut Vec<Action>) {
        let due = self.due();
        match due {
            Some(at) => {
                actions.push(Action::Deliver(at));
                self.message_deviations(at, actions);
                if matches!(self.queue[at].event, Event::Call { .. }) {
                    self.sends(actions);
                }
            }
            None => {
                if self.budget.ticks > 0 {
                    actions.push(Action::Tick);
                }
                self.recoveries(actions);
                self.sends(actions);
            }
        }
        actions.extend((0..self.held.len()).map(Action::Release));
        if self.budget.deviations > 0 {
            self.faults(actions);
            if self.budget.single_ticks > 0 {
                self.single_ticks(actions);
            }
        }
    }

    fn free_actions(&self, actions: &mut Vec<Action>) {
        for (at, event) in self.queue.iter().enumerate() {
            let repeated = at > 0 && self.queue[at - 1].hash == event.hash;
            if !repeated && !self.nodes[event.node()].frozen {
                actions.push(Action::Deliver(at));
                if self.budget.deviations > 0 && self.budget.duplicates > 0 && !event.is_write() {
                    actions.push(Action::Duplicate(at));
                }
            }
        }
        if self.budget.single_ticks > 0 {
            self.single_ticks(actions);
        }
        self.recoveries(actions);
        self.sends(actions);
        if self.budget.deviations > 0 {
            self.faults(actions);
        }
    }

    fn single_ticks(&self, actions: &mut Vec<Action>) {
        let awake = self.nodes.iter().filter(|node| node.is_awake());
        actions.extend(awake.map(|node| Action::TickOne(node.index)));
    }

    fn message_deviations(&self, at: usize, actions: &mut Vec<Action>) {
        let event = &self.queue[at];
        let counts = self.setup.statuses_too || !event.is_status();
        if self.budget.deviations == 0 || !counts {
            return;
        }
        if self.budget.holds > 0 {
            actions.push(Action::Hold(at));
        }
        if self.budget.duplicates > 0 && !event.is_write() {
            actions.push(Action::Duplicate(at));
        }
    }

    fn recoveries(&self, actions: &mut Vec<Action>) {
        for node in self.nodes.iter().filter(|node| node.place == Place::Present) {
            if node.frozen {
                actions.push(Action::Wake(node.index));
            } else if node.replica.is_none() {
                actions.push(Action::Restart(node.index));
            }
        }
        if !self.cuts.is_empty() {
            actions.push(Action::Heal);
        }
    }

    fn sends(&self, actions: &mut Vec<Action>) {
        if self.budget.sends == 0 {
            return;
        }
        for order in (self.setup.prepared..self.setup.script.len()).filter(|order| self.may_send(*order)) {
            let there = self.nodes.iter().filter(|node| node.replica.is_some());
            actions.extend(there.map(|node| Action::Send { order, node: node.index }));
        }
    }

    /// Orders are sent in the order of the script and each repeated once. An evacuation is ordered once the one before it
    /// was acknowledged, and repeated until the next one is ordered.
    fn may_send(&self, order: usize) -> bool {
        let script = &self.setup.script;
        if self.sent[order] > 1 || order > 0 && self.sent[order - 1] == 0 {
            return false;
        }
        let is_evacuation = |other: &usize| matches!(script[*other], Order::Evacuate { .. });
        if !is_evacuation(&order) {
            return true;
        }
        let before_acknowledged =
            (0..order).filter(is_evacuation).all(|other| self.history.acknowledged.contains(&other));
        let no_later = (order + 1..script.len()).filter(is_evacuation).all(|other| self.sent[other] == 0);
        before_acknowledged && no_later
    }

    fn faults(&self, actions: &mut Vec<Action>) {
        let budget = &self.budget;
        if budget.cuts > 0 {
            let here = self.nodes.iter().filter(|node| node.place == Place::Present).map(|node| node.index);
            let pairs = here.clone().flat_map(|from| here.clone().map(move |to| (from, to)));
            let pairs = pairs.filter(|(from, to)| from != to && !self.cuts.contains(&(*from, *to)));
            actions.extend(pairs.map(|(from, to)| Action::Cut { from, to }));
        }
        if self.setup.calm_between_losses.is_some_and(|calm| self.calm < calm || self.troubled()) {
            return;
        }
        for node in self.nodes.iter().filter(|node| node.replica.is_some()) {
            let index = node.index;
            if budget.crashes > 0 {
                actions.push(Action::Crash { node: index, kept: false });
                if node.write.is_some() {
                    actions.push(Action::Crash { node: index, kept: true });
                }
            }
            if budget.wipes > 0 {
                actions.push(Action::Wipe(index));
            }
            if budget.replacements > 0 && self.nodes.iter().any(|node| node.place == Place::Spare) {
                actions.push(Action::Replace(index));
            }
            if budget.freezes > 0 && !node.frozen {
                actions.push(Action::Freeze(index));
            }
            if budget.isolations > 0 {
                actions.push(Action::Isolate(index));
            }
        }
        if budget.power_losses > 0 {
            actions.push(Action::PowerLoss { kept: false });
            if self.nodes.iter().any(|node| node.write.is_some()) {
                actions.push(Action::PowerLoss { kept: true });
            }
        }
    }

    /// Whether a machine is down, frozen or cut off, or a message is held back.
    pub fn troubled(&self) -> bool {
        let down = self.nodes.iter().any(|node| node.place == Place::Present && !node.is_awake());
        down || !self.cuts.is_empty() || !self.held.is_empty()
    }

    /// The state after an action; `None` where the action can't be taken here.
    pub fn after(&self, action: Action) -> Option<Self> {
        let mut possible = Vec::new();
        self.actions(&mut possible);
        if !possible.contains(&action) {
            return None;
        }
        let mut next = self.clone();
        next.take(action);
        Some(next)
    }

    /// The event that an action is about, in words.
    pub fn about(&self, action: Action) -> Option<String> {
        let event = match action {
            Action::Deliver(at) | Action::Hold(at) | Action::Duplicate(at) => self.queue.get(at),
            Action::Release(at) => self.held.get(at),
            _ => None,
        };
        event.map(|event| event.describe())
    }

    /// Takes an action that is known to be possible.
    pub fn take(&mut self, action: Action) {
        self.spend(action);
        match action {
            Action::Deliver(at) => {
                let event = self.queue.remove(at);
                self.happen(&event);
            }
            Action::Hold(at) => {
                let event = self.queue.remove(at);
                self.held.push(event);
                self.held.sort_by_key(|event| event.hash);
            }
            Action::Duplicate(at) => {
                let event = self.queue.remove(at);
                self.held.push(event.clone());
                self.held.sort_by_key(|event| event.hash);
                self.happen(&event);
            }
            Action::Release(at) => {
                let event = self.held.remove(at);
                self.happen(&event);
            }
            Action::Tick => self.tick_all(),
            Action::TickOne(index) => self.tick_one(index),
            Action::Crash { node, kept } => self.crash(node, kept),
            Action::PowerLoss { kept } => {
                for index in 0..self.nodes.len() {
                    if self.nodes[index].replica.is_some() {
                        self.crash(index, kept);
                    }
                }
            }
            Action::Restart(index) => self.start(index, false),
            Action::Wipe(index) => self.wipe(index),
            Action::Replace(index) => self.replace(index),
            Action::Freeze(index) => self.change(index, |node| node.frozen = true),
            Action::Wake(index) => {
                let now = f64::from(self.now) * TICK;
                self.change(index, |node| {
                    node.frozen = false;
                    node.clock = node.clock.max(now);
                });
            }
            Action::Cut { from, to } => {
                self.cuts.insert((from, to));
            }
            Action::Isolate(index) => {
                let others = (0..self.nodes.len()).filter(|other| *other != index);
                self.cuts.extend(others.flat_map(|other| [(index, other), (other, index)]));
            }
            Action::Heal => self.cuts.clear(),
            Action::Send { order, node } => self.send(order, node),
        }
        if self.troubled() || matches!(action, Action::Replace(_)) {
            self.calm = 0;
        }
        if self.setup.scheduling == Scheduling::Free {
            self.queue.sort_by_key(|event| event.hash);
        }
    }

    fn spend(&mut self, action: Action) {
        let budget = &mut self.budget;
        let own = match action {
            Action::Tick => return budget.ticks = budget.ticks.saturating_sub(1),
            Action::Send { .. } => return budget.sends = budget.sends.saturating_sub(1),
            Action::TickOne(_) if self.setup.scheduling == Scheduling::Free => {
                return budget.single_ticks = budget.single_ticks.saturating_sub(1);
            }
            Action::Deliver(_) | Action::Release(_) | Action::Restart(_) | Action::Wake(_) | Action::Heal => {
                return;
            }
            Action::TickOne(_) => &mut budget.single_ticks,
            Action::Hold(_) => &mut budget.holds,
            Action::Duplicate(_) => &mut budget.duplicates,
            Action::Crash { .. } => &mut budget.crashes,
            Action::PowerLoss { .. } => &mut budget.power_losses,
            Action::Wipe(_) => &mut budget.wipes,
            Action::Replace(_) => &mut budget.replacements,
            Action::Freeze(_) => &mut budget.freezes,
            Action::Cut { .. } => &mut budget.cuts,
            Action::Isolate(_) => &mut budget.isolations,
        };
        *own = own.saturating_sub(1);
        budget.deviations = budget.deviations.saturating_sub(1);
    }

    fn history_mut(&mut self) -> &mut History {
        Arc::make_mut(&mut self.history)
    }

    fn change<T>(&mut self, index: usize, change: impl FnOnce(&mut Node<M>) -> T) -> T {
        let node = Arc::make_mut(&mut self.nodes[index]);
        let result = change(node);
        node.refresh();
        result
    }

    fn happen(&mut self, queued: &Queued) {
        match &queued.event {
            Event::Message { from, to, message } => {
                if self.cuts.contains(&(*from, *to)) || !self.nodes[*to].is_awake() {
                    return;
                }
                if self.history.awaits(*to) {
                    self.history_mut().heard(*to);
                }
                self.input(*to, Input::Received { from: address(*from), message: message.clone() });
            }
            Event::Written { node, ticket } => {
                let is_it = self.nodes[*node].write.as_ref().is_some_and(|write| write.ticket == *ticket);
                if is_it && self.nodes[*node].is_awake() {
                    self.change(*node, Node::store);
                    self.input(*node, Input::Written { ticket: *ticket });
                }
            }
            Event::Call { node, call } => {
                if self.nodes[*node].is_awake() {
                    let input = self.call_input(*call);
                    self.input(*node, input);
                }
            }
        }
    }

    fn call_input(&self, call: u64) -> Input {
        let order = self.setup.script[(call / TRIES) as usize];
        match M::command(order) {
            Some(command) => Input::Submit { call, command },
            None => Input::Read { call, question: M::question() },
        }
    }

    fn input(&mut self, index: usize, input: Input) {
        let effects = self.change(index, |node| node.handle(input));
        self.carry_out(index, effects);
    }

    fn tick_all(&mut self) {
        self.now += 1;
        self.calm = if self.troubled() { 0 } else { self.calm.saturating_add(1).min(32) };
        let now = f64::from(self.now) * TICK;
        for index in 0..self.nodes.len() {
            if self.nodes[index].frozen {
                continue;
            }
            self.change(index, |node| node.clock = node.clock.max(now));
            self.input(index, Input::Tick);
        }
    }

    fn tick_one(&mut self, index: usize) {
        self.change(index, |node| node.clock += TICK);
        self.input(index, Input::Tick);
    }

    fn start(&mut self, index: usize, first_start: bool) {
        let present = self.nodes.iter().filter(|node| node.place == Place::Present);
        let seeds: Vec<String> = present.take(3).map(|node| address(node.index)).collect();
        let now = f64::from(self.now) * TICK;
        let effects = self.change(index, |node| {
            node.clock = node.clock.max(now);
            node.start(&seeds, first_start)
        });
        self.carry_out(index, effects);
    }

    /// What is under way at the process goes with it; what it sent goes on.
    fn crash(&mut self, index: usize, kept: bool) {
        self.change(index, |node| node.crash(kept));
        let gone = |event: &Arc<Queued>| match event.event {
            Event::Message { .. } => false,
            Event::Written { node, .. } | Event::Call { node, .. } => node == index,
        };
        self.queue.retain(|event| !gone(event));
        self.held.retain(|event| !gone(event));
    }

    fn wipe(&mut self, index: usize) {
        self.crash(index, false);
        let member = self.change(index, Node::wipe);
        self.history_mut().dead.extend(member);
    }

    fn replace(&mut self, index: usize) {
        self.wipe(index);
        self.change(index, |node| node.place = Place::Removed);
        let spare = self.nodes.iter().position(|node| node.place == Place::Spare);
        if let Some(spare) = spare {
            self.change(spare, |node| node.place = Place::Present);
            self.start(spare, false);
        }
    }

    fn send(&mut self, order: usize, node: usize) {
        let call = order as u64 * TRIES + u64::from(self.sent[order]);
        self.sent[order] += 1;
        self.history_mut().call_began(call, node);
        self.queue.push(Queued::new(Event::Call { node, call }));
    }

    fn issued(&self) -> u32 {
        let sent = self.sent.iter().enumerate().filter(|(_, times)| **times > 0);
        sent.map(|(order, _)| 1 << order).sum()
    }

    fn carry_out(&mut self, index: usize, effects: Vec<Effect>) {
        // A view may be agreed upon in the same step that made this process accept it.
        if self.history.accepts_anew(&self.nodes[index]) {
            Arc::make_mut(&mut self.history).note_accepted(&self.nodes[index]);
        }
        for effect in effects {
            match effect {
                Effect::Send { to, message } => self.transmit(index, &to, message),
                Effect::Write { ticket, records } => self.write(index, ticket, records, false),
                Effect::Rewrite { ticket, records } => self.write(index, ticket, records, true),
                Effect::Applied { number, command, outcome } => {
                    self.applied(index, number, &command, &outcome);
                }
                Effect::Restored { .. } => {}
                Effect::ViewIs(view) => self.history_mut().view_agreed(&view),
                Effect::Answer { call, result } => match result {
                    Ok(answer) => {
                        let place = (call / TRIES) as usize;
                        let told = M::told(self.setup.script[place], &answer);
                        let history = Arc::make_mut(&mut self.history);
                        history.answered(call, place, &self.setup.script, told, &self.nodes[index]);
                    }
                    Err(_) => self.history_mut().call_ended(call),
                },
            }
        }
        let issued = self.issued();
        let (node, script) = (&self.nodes[index], &self.setup.script);
        if self.history.is_news(node, script, issued) {
            Arc::make_mut(&mut self.history).observe(node, script, issued);
        }
    }

    fn transmit(&mut self, from: usize, to: &str, message: Message) {
        let Some(to) = (0..self.nodes.len()).find(|index| address(*index) == to) else {
            return;
        };
        let event = Queued::new(Event::Message { from, to, message });
        if self.setup.scheduling == Scheduling::Free && event.is_status() {
            let same_way = |other: &Arc<Queued>| {
                let way = |event: &Event| match event {
                    Event::Message { from, to, .. } => Some((*from, *to)),
                    _ => None,
                };
                other.is_status() && way(&other.event) == way(&event.event)
            };
            self.queue.retain(|other| !same_way(other));
        }
        self.queue.push(event);
    }

    fn write(&mut self, index: usize, ticket: u64, records: Vec<Vec<u8>>, replaces: bool) {
        self.change(index, |node| node.write = Some(PendingWrite { ticket, records, replaces }));
        self.queue.push(Queued::new(Event::Written { node: index, ticket }));
    }

    fn applied(&mut self, index: usize, number: u64, command: &[u8], outcome: &[u8]) {
        let replica = self.nodes[index].replica.as_ref();
        let last = replica.filter(|replica| replica.applied_number() == number);
        let epoch = last.map(|replica| replica.applied_epoch());
        let script = &self.setup.script;
        let place = script.iter().position(|order| M::command(*order).as_deref() == Some(command));
        let won = place.is_some_and(|place| matches!(M::told(script[place], outcome), Told::Taken { .. }));
        self.history_mut().applied(number, epoch, command, place, won);
    }
}
