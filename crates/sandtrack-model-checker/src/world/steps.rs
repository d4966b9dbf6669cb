//! What an action does to the state.
use super::World;
use crate::action::Action;
use crate::machine::Machine;
use crate::node::TICK;
use crate::setup::Scheduling;

impl<M: Machine> World<M> {
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
                self.accept_waiting(index);
            }
            Action::Cut { from, to } => {
                self.cuts.insert((from, to));
            }
            Action::Isolate(index) => {
                let others = (0..self.nodes.len()).filter(|other| *other != index);
                self.cuts
                    .extend(others.flat_map(|other| [(index, other), (other, index)]));
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
            Action::Deliver(_)
            | Action::Release(_)
            | Action::Restart(_)
            | Action::Wake(_)
            | Action::Heal => {
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
}
