//! The parts of a status whose changes are worth a line, and the changes between two statuses.
use super::report::link_text;
use super::Status;
use std::collections::BTreeMap;

/// What a status says, as text by name.
pub type Facts = BTreeMap<String, String>;

impl Status {
    /// The facts whose changes are worth a line. They are the same whichever control node responds, except for what each of
    /// them sees by itself (majority and links).
    pub fn facts(&self) -> Facts {
        let majority = if self.has_majority {
            "heard"
        } else {
            "not heard"
        };
        let mut facts = Facts::from([
            ("version".to_owned(), self.version.to_string()),
            ("view".to_owned(), self.epoch.to_string()),
            ("chain".to_owned(), self.chain_text()),
            ("voters".to_owned(), self.voters_text()),
            ("reader".to_owned(), self.endpoint_poller_text().to_owned()),
            ("evacuated".to_owned(), self.evacuated_zones_text()),
            ("majority".to_owned(), majority.to_owned()),
            (
                format!("control node {}", self.address),
                link_text(true).to_owned(),
            ),
        ]);
        if !self.configuration_fault.is_empty() {
            facts.insert("invalid".to_owned(), self.configuration_fault.clone());
        }
        for other in &self.control_nodes {
            let name = format!("control node {}", other.address);
            facts.insert(name, link_text(other.linked).to_owned());
        }
        for proxy in &self.proxies {
            facts.insert(format!("proxy {}", proxy.node), proxy.state());
        }
        for service in &self.services {
            facts.insert(format!("service {}", service.service), service.counts());
        }
        facts
    }
}

/// A fact that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FactChange {
    /// Name of the fact.
    pub name: String,
    /// Its old value; `None` where it is new.
    pub from: Option<String>,
    /// Its new value; `None` where it is gone.
    pub to: Option<String>,
}

/// The facts that differ between two statuses, by name.
pub fn changed_facts(before: &Facts, after: &Facts) -> Vec<FactChange> {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let change = |name: &String| {
        let (from, to) = (before.get(name).cloned(), after.get(name).cloned());
        (from != to).then(|| FactChange {
            name: name.clone(),
            from,
            to,
        })
    };
    names.into_iter().filter_map(change).collect()
}
