//! The actions that are enabled in a state.
use super::{Cluster, Event};
use crate::action::Action;
use crate::machine::Machine;
use crate::node::Membership;
use crate::setup::Scheduling;

impl<M: Machine> Cluster<M> {
    /// Adds all enabled actions.
    pub fn actions(&self, actions: &mut Vec<Action>) {
        if !self.history.violations.is_empty() {
            return;
        }
        match self.setup.scheduling {
            Scheduling::Ordered => self.ordered_actions(actions),
            Scheduling::Free => self.free_actions(actions),
        }
    }

    fn ordered_actions(&self, actions: &mut Vec<Action>) {
        let due = self.next_due();
        match due {
            Some(at) => {
                actions.push(Action::Deliver(at));
                self.message_deviations(at, actions);
                if matches!(self.queue[at].event, Event::Call { .. }) {
                    self.send_actions(actions);
                }
            }
            None => {
                if self.budget.ticks > 0 {
                    actions.push(Action::Tick);
                }
                self.recovery_actions(actions);
                self.send_actions(actions);
            }
        }
        actions.extend((0..self.delayed.len()).map(Action::Release));
        if self.budget.deviations > 0 {
            self.fault_actions(actions);
            if self.budget.single_ticks > 0 {
                self.single_tick_actions(actions);
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
            self.single_tick_actions(actions);
        }
        self.recovery_actions(actions);
        self.send_actions(actions);
        if self.budget.deviations > 0 {
            self.fault_actions(actions);
        }
    }

    fn single_tick_actions(&self, actions: &mut Vec<Action>) {
        let awake = self.nodes.iter().filter(|node| node.is_awake());
        actions.extend(awake.map(|node| Action::TickOne(node.index)));
    }

    fn message_deviations(&self, at: usize, actions: &mut Vec<Action>) {
        let event = &self.queue[at];
        let counts = self.setup.delays_heartbeats || !event.is_status();
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

    fn recovery_actions(&self, actions: &mut Vec<Action>) {
        for node in self
            .nodes
            .iter()
            .filter(|node| node.membership == Membership::Present)
        {
            if node.frozen {
                actions.push(Action::Wake(node.index));
            } else if node.replica.is_none() {
                actions.push(Action::Restart(node.index));
            }
        }
        if !self.partitions.is_empty() {
            actions.push(Action::Heal);
        }
    }

    fn fault_actions(&self, actions: &mut Vec<Action>) {
        let budget = &self.budget;
        if budget.partitions > 0 {
            let here = self
                .nodes
                .iter()
                .filter(|node| node.membership == Membership::Present)
                .map(|node| node.index);
            let pairs = here
                .clone()
                .flat_map(|from| here.clone().map(move |to| (from, to)));
            let pairs =
                pairs.filter(|(from, to)| from != to && !self.partitions.separates(*from, *to));
            actions.extend(pairs.map(|(from, to)| Action::Partition { from, to }));
        }
        if self
            .setup
            .steady_ticks_between_losses
            .is_some_and(|required| self.steady_ticks < required || self.has_active_fault())
        {
            return;
        }
        for node in self.nodes.iter().filter(|node| node.replica.is_some()) {
            let index = node.index;
            if budget.crashes > 0 {
                actions.push(Action::Crash {
                    node: index,
                    write_completed: false,
                });
                if node.write.is_some() {
                    actions.push(Action::Crash {
                        node: index,
                        write_completed: true,
                    });
                }
            }
            if budget.wipes > 0 {
                actions.push(Action::Wipe(index));
            }
            if budget.replacements > 0
                && self
                    .nodes
                    .iter()
                    .any(|node| node.membership == Membership::Spare)
            {
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
            actions.push(Action::PowerLoss {
                write_completed: false,
            });
            if self.nodes.iter().any(|node| node.write.is_some()) {
                actions.push(Action::PowerLoss {
                    write_completed: true,
                });
            }
        }
    }
}
