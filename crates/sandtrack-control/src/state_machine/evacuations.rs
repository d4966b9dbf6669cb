//! The evacuated zones, and the number of the last order for each zone: an order that was superseded before it was applied
//! has no effect.
use crate::state_machine::{Outcome, RulesVersion};
use borsh::{BorshDeserialize, BorshSerialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a snapshot of format 2 adds.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct EvacuationCommandNumbers {
    /// Number of the last order for each zone that was acknowledged, whether or not it changed anything.
    by_zone: BTreeMap<String, u64>,
    /// Number of the last change by an order of format 1, whichever its zone: it counts for all of them, since a snapshot
    /// of that format holds no other.
    format_1: u64,
}

impl EvacuationCommandNumbers {
    /// As far as a snapshot of format 1 tells them.
    pub fn from_format_1(last_change: u64) -> EvacuationCommandNumbers {
        EvacuationCommandNumbers {
            by_zone: BTreeMap::new(),
            format_1: last_change,
        }
    }

    fn last(&self, zone: &str) -> u64 {
        self.by_zone
            .get(zone)
            .copied()
            .unwrap_or(0)
            .max(self.format_1)
    }
}

/// The evacuated zones, and what orders for them there were.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Evacuations {
    zones: BTreeSet<String>,
    /// Number of the command that last changed which zones are evacuated.
    last_change: u64,
    command_numbers: EvacuationCommandNumbers,
}

impl Evacuations {
    /// As a snapshot holds them.
    pub fn from_snapshot(
        zones: Vec<String>,
        last_change: u64,
        command_numbers: EvacuationCommandNumbers,
    ) -> Evacuations {
        Evacuations {
            zones: zones.into_iter().collect(),
            last_change,
            command_numbers,
        }
    }

    /// The zones that are evacuated.
    pub fn zones(&self) -> impl Iterator<Item = &str> {
        self.zones.iter().map(String::as_str)
    }

    /// Number of the command that last changed which zones are evacuated; 0 before the first.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// What a snapshot holds of the orders.
    pub fn command_numbers(&self) -> &EvacuationCommandNumbers {
        &self.command_numbers
    }

    /// Number of the last order for a zone; 0 where there was none.
    pub fn last_evacuation_command(&self, zone: &str) -> u64 {
        self.command_numbers.last(zone)
    }

    /// Whether there ever was an order for the zone.
    pub fn has_command_for(&self, zone: &str) -> bool {
        self.command_numbers.by_zone.contains_key(zone) || self.zones.contains(zone)
    }

    /// The version of the rules that is in force.
    pub fn rules(&self) -> RulesVersion {
        RulesVersion::latest_agreed(self.command_numbers.by_zone.keys().map(String::as_str))
    }

    /// An order of format 1, which does not tell what its control node knew.
    pub fn set_format_1(&mut self, number: u64, zone: &str, begin: bool) {
        if self.change(number, zone, begin) {
            self.command_numbers.format_1 = number;
        }
    }

    /// An order that was read when `last_known` was the number of the last one for its zone. One that finds the zone as it wants
    /// it is acknowledged, and overtakes others all the same: its caller has been told that it is in force.
    ///
    /// # Errors
    /// It was overtaken.
    pub fn set(
        &mut self,
        number: u64,
        zone: String,
        begin: bool,
        last_known: u64,
    ) -> Result<(), Outcome> {
        let last = self.command_numbers.last(&zone);
        if last_known < last && self.zones.contains(&zone) != begin {
            return Err(Outcome::Superseded { number: last });
        }
        self.change(number, &zone, begin);
        self.command_numbers.by_zone.insert(zone, number);
        Ok(())
    }

    fn change(&mut self, number: u64, zone: &str, begin: bool) -> bool {
        let changed = if begin {
            self.zones.insert(zone.to_owned())
        } else {
            self.zones.remove(zone)
        };
        if changed {
            self.last_change = number;
        }
        changed
    }
}
