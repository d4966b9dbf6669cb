//! The test oracle: the rules that must hold in every simulation, one function for each. The first violation of each rule is
//! kept. CONFIG stands for the part of the specification about configurations.
mod configurations;
mod evacuations;
mod proxies;
mod responses;

use std::collections::{BTreeMap, BTreeSet};

/// The rule that an operation which a later acknowledged one has overtaken takes no effect any more.
pub const OVERTAKEN_ORDER_RULE: &str = "an_overtaken_order_takes_no_effect";

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// What violated it.
    pub details: String,
}

/// A configuration that an operator submitted.
#[derive(Clone, Debug)]
struct SubmittedConfiguration {
    version: u64,
    /// The document as it would be read back; `None` for an invalid one.
    document: Option<String>,
    acknowledged: bool,
    rejected_with: Option<u16>,
}

/// The last acknowledged state of a zone's evacuation, while no later operation on the zone was submitted.
#[derive(Clone, Copy, Debug)]
struct SettledEvacuation {
    begun: bool,
    /// The number of the newest state at the acknowledgement.
    number: u64,
}

/// Records what operators, control nodes and proxies show, and checks it against the rules.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The first violation of each rule.
    pub violations: Vec<Violation>,
    /// By the number of the operation.
    sent: BTreeMap<usize, SubmittedConfiguration>,
    /// The operation that was acknowledged on each base version.
    acknowledged_on: BTreeMap<u64, usize>,
    newest_acknowledged: u64,
    /// Applied configurations by the number of their command: version and document.
    applied: BTreeMap<u64, (u64, String)>,
    /// The evacuated zones by the number of the command that changed them last.
    evacuations: BTreeMap<u64, BTreeSet<String>>,
    settled: BTreeMap<String, SettledEvacuation>,
    /// The version of each proxy's configuration, by the proxy's incarnation.
    proxies: BTreeMap<u64, u64>,
}

impl Oracle {
    fn fail(&mut self, rule: &'static str, details: String) {
        if self.violations.iter().all(|known| known.rule != rule) {
            self.violations.push(Violation { rule, details });
        }
    }

    fn check(&mut self, holds: bool, rule: &'static str, details: impl FnOnce() -> String) {
        if !holds {
            self.fail(rule, details());
        }
    }

    /// The newest version that was acknowledged; 0 before the first.
    pub fn newest_acknowledged(&self) -> u64 {
        self.newest_acknowledged
    }
}
