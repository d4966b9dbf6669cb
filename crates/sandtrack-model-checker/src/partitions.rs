//! One-way partitions between machines, shared by the models of replication and of the poller election.
use std::collections::BTreeSet;

/// The directed pairs of machines between which nothing is delivered.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Partitions(BTreeSet<(usize, usize)>);

impl Partitions {
    /// Whether nothing is partitioned.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether messages of `from` don't reach `to`.
    pub fn separates(&self, from: usize, to: usize) -> bool {
        self.0.contains(&(from, to))
    }

    /// Partitions the way from one machine to another.
    pub fn insert(&mut self, from: usize, to: usize) {
        self.0.insert((from, to));
    }

    /// Partitions a machine from all others, both ways; `machines` is the number of machines.
    pub fn isolate(&mut self, machine: usize, machines: usize) {
        let others = (0..machines).filter(|other| *other != machine);
        self.0
            .extend(others.flat_map(|other| [(machine, other), (other, machine)]));
    }

    /// Ends all partitions.
    pub fn heal(&mut self) {
        self.0.clear();
    }
}
