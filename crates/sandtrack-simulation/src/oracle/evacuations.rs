//! Rules about evacuations of zones.
use super::{Oracle, SettledEvacuation, OVERTAKEN_ORDER_RULE};
use std::collections::BTreeSet;

impl Oracle {
    /// An operator submits a new operation on a zone.
    pub fn evacuation_submitted(&mut self, zone: &str) {
        self.settled.remove(zone);
    }

    /// A control node shows the evacuated zones. An operation that was overtaken by a later acknowledged one takes no effect.
    pub fn evacuations_applied(&mut self, machine: usize, number: u64, zones: &BTreeSet<String>) {
        let known = self
            .evacuations
            .entry(number)
            .or_insert_with(|| zones.clone());
        let same = known == zones;
        self.check(same, "states_agree", || {
            format!("machine {machine} differs at evacuation {number}")
        });
        let overtaken = self.settled.iter().find(|(zone, settled)| {
            number > settled.number && zones.contains(*zone) != settled.begun
        });
        if let Some((zone, settled)) = overtaken {
            let details = format!(
                "{zone} was acknowledged as {} at number {}, and number {number} undid it with no order under way",
                if settled.begun { "evacuated" } else { "not evacuated" },
                settled.number
            );
            self.fail(OVERTAKEN_ORDER_RULE, details);
        }
    }

    /// An operation on a zone is acknowledged: the newest state has it.
    pub fn evacuation_acknowledged(&mut self, zone: &str, begun: bool) {
        let newest = self
            .evacuations
            .last_key_value()
            .map(|(number, zones)| (*number, zones.contains(zone)));
        let (number, shown) = newest.unwrap_or((0, false));
        self.check(shown == begun, OVERTAKEN_ORDER_RULE, || {
            format!("{zone}: acknowledged as {begun}, and shown as {shown} at number {number}")
        });
        self.settled
            .insert(zone.to_owned(), SettledEvacuation { begun, number });
    }

    /// The settled zones: whether evacuated, and the number of the newest state at the acknowledgement.
    pub fn settled_evacuations(&self) -> impl Iterator<Item = (&str, bool, u64)> {
        self.settled
            .iter()
            .map(|(zone, settled)| (zone.as_str(), settled.begun, settled.number))
    }
}
