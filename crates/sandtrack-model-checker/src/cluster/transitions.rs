//! The transitions: what an action does to the state.
use super::Cluster;
use crate::action::Action;
use crate::machine::Machine;
use crate::node::TICK_MS;
use crate::setup::Scheduling;

impl<M: Machine> Cluster<M> {
    /// The state after an action; `None` if the action is not enabled.
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

    /// A description of the event that an action is about.
    pub fn describe_action(&self, action: Action) -> Option<String> {
        let event = match action {
            Action::Deliver(at) | Action::Hold(at) | Action::Duplicate(at) => self.queue.get(at),
            Action::Release(at) => self.delayed.get(at),
            _ => None,
        };
        event.map(|event| event.describe())
    }

    /// Takes an action that is known to be enabled.
    pub fn take(&mut self, action: Action) {
        self.spend(action);
        match action {
            Action::Deliver(at) => {
                let event = self.queue.remove(at);
                self.handle_event(&event);
            }
            Action::Hold(at) => {
                let event = self.queue.remove(at);
                self.delayed.push(event);
                self.delayed.sort_by_key(|event| event.hash);
            }
            Action::Duplicate(at) => {
                let event = self.queue.remove(at);
                self.delayed.push(event.clone());
                self.delayed.sort_by_key(|event| event.hash);
                self.handle_event(&event);
            }
            Action::Release(at) => {
                let event = self.delayed.remove(at);
                self.handle_event(&event);
            }
            Action::Tick => self.tick_all(),
            Action::TickOne(index) => self.tick_one(index),
            Action::Crash {
                node,
                write_completed,
            } => self.crash(node, write_completed),
            Action::PowerLoss { write_completed } => {
                for index in 0..self.nodes.len() {
                    if self.nodes[index].replica.is_some() {
                        self.crash(index, write_completed);
                    }
                }
            }
            Action::Restart(index) => self.start(index, false),
            Action::Wipe(index) => self.wipe(index),
            Action::Replace(index) => self.replace(index),
            Action::Freeze(index) => self.change(index, |node| node.frozen = true),
            Action::Wake(index) => {
                let now = f64::from(self.now) * TICK_MS;
                self.change(index, |node| {
                    node.frozen = false;
                    node.clock = node.clock.max(now);
                });
                self.accept_queued_calls(index);
            }
            Action::Partition { from, to } => {
                self.partitions.insert(from, to);
            }
            Action::Isolate(index) => {
                self.partitions.isolate(index, self.nodes.len());
            }
            Action::Heal => self.partitions.heal(),
            Action::Send { operation, node } => self.send(operation, node),
        }
        if self.has_active_fault() || matches!(action, Action::Replace(_)) {
            self.steady_ticks = 0;
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
            Action::Partition { .. } => &mut budget.partitions,
            Action::Isolate(_) => &mut budget.isolations,
        };
        *own = own.saturating_sub(1);
        budget.deviations = budget.deviations.saturating_sub(1);
    }
}
