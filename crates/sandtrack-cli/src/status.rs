//! What control says of itself and of the members (`GET /v1/status`), and what changed between two looks. Pure.
use simd_json::prelude::*;
use simd_json::OwnedValue;
use std::collections::BTreeMap;

/// A proxy: a member of the data plane.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Proxy {
    pub node: String,
    pub zone: String,
    pub front: String,
    pub version: u64,
    pub ready: bool,
    pub leaving: bool,
    /// Requests in hand.
    pub open: u64,
}

/// The status as one control node sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Who answered.
    pub node: String,
    pub address: String,
    /// It hears a majority of those who agree on the view.
    pub attached: bool,
    pub caught_up: bool,
    pub version: u64,
    /// Counts committed changes.
    pub number: u64,
    pub evacuated: Vec<String>,
    pub epoch: u64,
    /// From the head to the tail.
    pub chain: Vec<String>,
    pub voters: Vec<String>,
    /// Other control nodes: address, name, whether the one that answered has a link with it.
    pub control_nodes: Vec<(String, String, bool)>,
    pub proxies: Vec<Proxy>,
    /// Who reads the platform's list; empty: nobody yet.
    pub reader: String,
    pub readings: u64,
    /// Services with their upstreams, and how many of these are draining.
    pub services: Vec<(String, u64, u64)>,
}

impl Status {
    /// Reads the answer; `None` where it is none. What it leaves out is empty.
    pub fn parse(body: &[u8]) -> Option<Status> {
        let mut bytes = body.to_vec();
        let value = simd_json::to_owned_value(&mut bytes).ok()?;
        let view = value.get("view")?;
        Some(Status {
            node: text(&value, "node"),
            address: text(&value, "address"),
            attached: value.get_bool("attached")?,
            caught_up: value.get_bool("caught_up").unwrap_or(true),
            version: value.get_u64("version_number")?,
            number: number(&value, "configuration_number"),
            evacuated: texts(&value, "evacuated"),
            epoch: number(view, "epoch"),
            chain: texts(view, "chain"),
            voters: texts(view, "voters"),
            control_nodes: each(&value, "control_nodes", |one| {
                (
                    text(one, "address"),
                    text(one, "node"),
                    one.get_bool("linked").unwrap_or(false),
                )
            }),
            proxies: each(&value, "proxies", |one| Proxy {
                node: text(one, "node"),
                zone: text(one, "zone"),
                front: text(one, "front"),
                version: number(one, "version_number"),
                ready: one.get_bool("ready").unwrap_or(false),
                leaving: one.get_bool("leaving").unwrap_or(false),
                open: number(one, "open"),
            }),
            reader: text(&value, "reader"),
            readings: number(&value, "readings"),
            services: each(&value, "services", |one| {
                (
                    text(one, "service"),
                    number(one, "upstreams"),
                    number(one, "draining"),
                )
            }),
        })
    }

    /// The evacuated zones, for people.
    pub fn evacuated_line(&self) -> String {
        or_none(&self.evacuated, ", ")
    }

    /// For people.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![
            format!("told by     {} {}", self.node, self.address),
            format!("version     {} (change {})", self.version, self.number),
            format!("view        {}", self.epoch),
            format!("chain       {}", or_none(&self.chain, " > ")),
            format!("voters      {}", or_none(&self.voters, " ")),
            format!(
                "reader      {}",
                if self.reader.is_empty() {
                    "none"
                } else {
                    &self.reader
                }
            ),
            format!("evacuated   {}", self.evacuated_line()),
        ];
        lines.extend(
            self.warning()
                .map(|warning| format!("warning     {warning}")),
        );
        for (address, node, linked) in &self.control_nodes {
            let linked = if *linked { "linked" } else { "not linked" };
            let node = if node.is_empty() {
                "of unknown name"
            } else {
                node
            };
            lines.push(format!("control node  {address} {node}, {linked}"));
        }
        let ready = self.proxies.iter().filter(|proxy| proxy.ready).count();
        let current = self
            .proxies
            .iter()
            .filter(|proxy| proxy.version == self.version)
            .count();
        lines.push(format!(
            "proxies    {}: {ready} ready, {current} with version {}",
            self.proxies.len(),
            self.version
        ));
        for proxy in &self.proxies {
            let Proxy {
                node,
                zone,
                front,
                open,
                ..
            } = proxy;
            let state = state(proxy);
            lines.push(format!(
                "proxy     {node} in {zone} at {front}: {state}, {open} requests in hand"
            ));
        }
        for (service, upstreams, draining) in &self.services {
            lines.push(format!(
                "service     {service}: {upstreams} upstreams, {draining} draining"
            ));
        }
        lines
    }

    /// Why what it says may be old.
    pub fn warning(&self) -> Option<&'static str> {
        match (self.attached, self.caught_up) {
            (false, _) => Some("the one that answered hears no majority: what it says may be old"),
            (true, false) => Some("the one that answered is not in the chain or still catches up"),
            (true, true) => None,
        }
    }

    /// What is so, by name: the same whichever control node answers, but for what each of them hears.
    pub fn facts(&self) -> BTreeMap<String, String> {
        let mut facts = BTreeMap::from([
            ("version".to_owned(), self.version.to_string()),
            ("view".to_owned(), self.epoch.to_string()),
            ("chain".to_owned(), or_none(&self.chain, " > ")),
            ("voters".to_owned(), or_none(&self.voters, " ")),
            (
                "reader".to_owned(),
                if self.reader.is_empty() {
                    "none"
                } else {
                    &self.reader
                }
                .to_owned(),
            ),
            ("evacuated".to_owned(), self.evacuated_line()),
            (
                "majority".to_owned(),
                if self.attached { "heard" } else { "not heard" }.to_owned(),
            ),
            (
                format!("control node {}", self.address),
                "linked".to_owned(),
            ),
        ]);
        for (address, _, linked) in &self.control_nodes {
            let linked = if *linked { "linked" } else { "not linked" };
            facts.insert(format!("control node {address}"), linked.to_owned());
        }
        for proxy in &self.proxies {
            facts.insert(format!("proxy {}", proxy.node), state(proxy));
        }
        for (service, upstreams, draining) in &self.services {
            let counts = format!("{upstreams} upstreams, {draining} draining");
            facts.insert(format!("service {service}"), counts);
        }
        facts
    }
}

/// A fact that changed; `None`: it is not there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Changed {
    pub what: String,
    pub from: Option<String>,
    pub to: Option<String>,
}

/// What is another way now.
pub fn changed(
    before: &BTreeMap<String, String>,
    after: &BTreeMap<String, String>,
) -> Vec<Changed> {
    let mut names: Vec<&String> = before.keys().chain(after.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let change = |name: &String| {
        let (from, to) = (before.get(name).cloned(), after.get(name).cloned());
        (from != to).then(|| Changed {
            what: name.clone(),
            from,
            to,
        })
    };
    names.into_iter().filter_map(change).collect()
}

fn state(proxy: &Proxy) -> String {
    let ready = match (proxy.leaving, proxy.ready) {
        (true, _) => "leaving",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    format!("{ready}, version {}", proxy.version)
}

fn or_none(words: &[String], between: &str) -> String {
    if words.is_empty() {
        "none".to_owned()
    } else {
        words.join(between)
    }
}

fn text(value: &OwnedValue, field: &str) -> String {
    value.get_str(field).unwrap_or_default().to_owned()
}

fn number(value: &OwnedValue, field: &str) -> u64 {
    value.get_u64(field).unwrap_or(0)
}

fn each<T>(value: &OwnedValue, field: &str, read: impl Fn(&OwnedValue) -> T) -> Vec<T> {
    value
        .get_array(field)
        .map(|items| items.iter().map(read).collect())
        .unwrap_or_default()
}

fn texts(value: &OwnedValue, field: &str) -> Vec<String> {
    each(value, field, |one| {
        one.as_str().unwrap_or_default().to_owned()
    })
}
