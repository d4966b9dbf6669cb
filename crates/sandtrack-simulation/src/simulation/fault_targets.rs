//! The machines and paths that a fault strikes.
use super::Simulation;
use crate::plan::{PartitionDirection, Target};

impl Simulation {
    /// The machine that a target stands for now; the first running one if it stands for none.
    pub(super) fn resolve_target(&mut self, target: Target) -> Option<usize> {
        let running = self.running_control_machines();
        let chain = match target {
            Target::Head | Target::Tail => self
                .newest_view()
                .map(|(_, chain)| chain)
                .unwrap_or_default(),
            _ => Vec::new(),
        };
        let found = match target {
            Target::Head => chain.first().copied(),
            Target::Tail => chain.last().copied(),
            Target::LastAcknowledger => self.last_acknowledged,
            Target::Index(number) => running.get(number % running.len().max(1)).copied(),
        };
        found
            .filter(|machine| running.contains(machine))
            .or(running.first().copied())
    }

    pub(super) fn zone(&self, zone: usize) -> Vec<usize> {
        (0..self.machines.len())
            .filter(|machine| {
                self.machines[*machine].zone == zone && !self.machines[*machine].removed
            })
            .collect()
    }

    /// A machine without a control node, by its index modulo their number.
    pub(super) fn proxy_machine(&self, number: usize) -> Option<usize> {
        let others: Vec<usize> = (0..self.machines.len())
            .filter(|machine| {
                !self.machines[*machine].runs_control() && !self.machines[*machine].removed
            })
            .collect();
        others.get(number % others.len().max(1)).copied()
    }

    pub(super) fn paths(&self, from: &[usize], cut: PartitionDirection) -> Vec<(usize, usize)> {
        let others = (0..self.machines.len()).filter(|other| !from.contains(other));
        let pairs = others.flat_map(|other| from.iter().map(move |one| (*one, other)));
        pairs
            .flat_map(|(one, other)| match cut {
                PartitionDirection::BothWays => vec![(one, other), (other, one)],
                PartitionDirection::Outward => vec![(one, other)],
                PartitionDirection::Inward => vec![(other, one)],
            })
            .collect()
    }

    pub(super) fn between_control_machines(
        &self,
        paths: Vec<(usize, usize)>,
    ) -> Vec<(usize, usize)> {
        let runs_control = |machine: usize| self.machines[machine].runs_control();
        paths
            .into_iter()
            .filter(|(from, to)| runs_control(*from) && runs_control(*to))
            .collect()
    }
}
