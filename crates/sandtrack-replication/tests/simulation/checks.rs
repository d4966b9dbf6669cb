//! What has to hold in every run, at every moment; one function for each property.
use std::collections::BTreeMap;

use sandtrack_replication::View;

use super::register::Register;
use super::Call;

#[derive(Default)]
pub struct Checks {
    /// For each committed number: its epoch, once known, and its command.
    committed: BTreeMap<u64, (u64, Vec<u8>)>,
    newest_epoch: u64,
    views: BTreeMap<u64, View>,
    /// The state after each number.
    states: BTreeMap<u64, Register>,
    /// The last position seen of each process, by machine and start.
    positions: BTreeMap<(usize, u64), u64>,
    /// The newest position that was told to any caller.
    pub floor: u64,
    /// Versions acknowledged, by base.
    pub acknowledged: BTreeMap<u64, u64>,
    pub answered: u64,
    pub refused: u64,
}

impl Checks {
    /// All processes apply the same commands in the same order; and once a later epoch has committed, an
    /// earlier one commits nothing.
    pub fn applied(&mut self, node: usize, number: u64, epoch: Option<u64>, command: &[u8]) {
        if let Some((known, first)) = self.committed.get(&number) {
            assert_eq!(
                first, command,
                "node {node}: applied sequences agree at {number}"
            );
            if let Some(epoch) = epoch {
                assert!(
                    *known == 0 || *known == epoch,
                    "node {node}: epochs agree at {number}"
                );
            }
            return;
        }
        let last = self
            .committed
            .last_key_value()
            .map_or(0, |(number, _)| *number);
        assert_eq!(number, last + 1, "node {node}: commits come in order");
        if let Some(epoch) = epoch {
            let newest = self.newest_epoch;
            assert!(
                epoch >= newest,
                "node {node}: epoch {epoch} committed {number} after epoch {newest}"
            );
            self.newest_epoch = epoch;
        }
        self.committed
            .insert(number, (epoch.unwrap_or(0), command.to_vec()));
    }

    /// There is one view for each epoch.
    pub fn view(&mut self, view: &View) {
        let known = self.views.entry(view.epoch).or_insert_with(|| view.clone());
        assert_eq!(known, view, "one view for each epoch");
    }

    /// The newest view that any process knows.
    pub fn newest_view(&self) -> Option<&View> {
        self.views.values().next_back()
    }

    pub fn views(&self) -> usize {
        self.views.len()
    }

    /// The state after a number is the same everywhere, and a process never goes back.
    pub fn state(&mut self, node: usize, generation: u64, machine: &Register) {
        let before = self.positions.entry((node, generation)).or_default();
        if *before == machine.applied {
            return;
        }
        assert!(
            *before < machine.applied,
            "node {node} went back to {}",
            machine.applied
        );
        *before = machine.applied;
        let last = self
            .committed
            .last_key_value()
            .map_or(0, |(number, _)| *number);
        assert!(
            machine.applied <= last,
            "node {node} shows {}, which is not committed",
            machine.applied
        );
        let known = self
            .states
            .entry(machine.applied)
            .or_insert_with(|| machine.clone());
        assert_eq!(known, machine, "node {node}: states agree");
    }

    pub fn answered(&mut self, call: &Call) {
        let Some((_, Ok(bytes))) = &call.ended else {
            self.refused += 1;
            return;
        };
        self.answered += 1;
        let text = String::from_utf8(bytes.clone()).unwrap();
        let position: u64 = text.split(' ').nth(1).unwrap().parse().unwrap();
        match call.command {
            None => self.check_read_is_fresh(call, position),
            Some((base, version)) if text.starts_with("won") => {
                self.check_one_winner(base, version);
            }
            Some(_) => {}
        }
        self.floor = self.floor.max(position);
    }

    /// A read is never older than what any caller was told before it began.
    fn check_read_is_fresh(&self, call: &Call, position: u64) {
        assert!(
            position >= call.floor,
            "a read gave {position}, but {} was told before: {call:?}",
            call.floor
        );
    }

    /// At most one command wins on a base version.
    fn check_one_winner(&mut self, base: u64, version: u64) {
        let known = self.acknowledged.entry(base).or_insert(version);
        assert_eq!(*known, version, "two commands won on base {base}");
    }

    /// What was acknowledged is in the state.
    pub fn check_nothing_lost(&self, machine: &Register) {
        for (base, version) in &self.acknowledged {
            assert!(
                machine.wins.contains(&(*base, *version)),
                "{version} on {base} was acknowledged and lost"
            );
        }
    }
}
