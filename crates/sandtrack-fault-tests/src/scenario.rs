//! A scenario of many processes: its form and its checks, in the laboratory's words where they mean the same. It owns the
//! format, and must never let anything start that it has not checked.
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    #[serde(default = "one_seed")]
    pub seed: u64,
    pub processes: usize,
    /// Processes and the pools' upstreams take turns over these.
    pub zones: Vec<String>,
    /// By zone; a zone that is not named here is in a region of its own name.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Whether the processes know each other; and how many of them all are told to ask first.
    #[serde(default = "yes")]
    pub fleet: bool,
    #[serde(default = "three")]
    pub seeds: usize,
    #[serde(default = "datagram")]
    pub datagram_bytes: usize,
    /// What the settings say of the number of siblings; the number of processes where it is left out.
    pub siblings: Option<u32>,
    pub client: Client,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    #[serde(default)]
    pub server: Server,
    #[serde(default)]
    pub net: Net,
    #[serde(rename = "step")]
    pub steps: Vec<Step>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// Requests a second at each process; 0: none.
    pub rps: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Repeatable,
    Keyed,
    Unsafe,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    pub share: f64,
    pub worth: f64,
    pub aim_ms: f64,
    pub deadline_ms: f64,
    pub effect: Effect,
    pub work_ms: f64,
    #[serde(default)]
    pub window_ms: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub zone: String,
    pub count: usize,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Server {
    /// Requests that it works at side by side, and that wait beside them; beyond that it turns them away.
    pub workers: usize,
    pub queue: usize,
    /// It begins at this part of its speed and is warm after this time.
    pub cold_share: f64,
    pub cold_s: f64,
    pub connections: usize,
}

impl Default for Server {
    fn default() -> Self {
        Server {
            workers: 4,
            queue: 64,
            cold_share: 0.4,
            cold_s: 4.0,
            connections: 500,
        }
    }
}

/// What happens to datagrams between processes from the beginning on.
#[derive(Clone, Debug, Default, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// Parts of the datagrams that are lost, that come twice, and that are overtaken by later ones.
    pub loss: f64,
    pub twice: f64,
    pub reorder: f64,
    /// Each is late by this, and by up to as much again as `jitter_ms` says.
    pub delay_ms: f64,
    pub jitter_ms: f64,
}

/// Some of the processes, or of the upstreams.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Who {
    pub names: Vec<String>,
    pub zone: Option<String>,
    /// So many, or this part, of those that fit, drawn by the scenario's seed.
    pub count: Option<usize>,
    pub share: Option<f64>,
    /// Those that an earlier step drew under this word; and the word for those that this one draws.
    pub same: Option<String>,
    pub call: Option<String>,
    /// All but those.
    pub but: bool,
}

impl Who {
    /// Nobody was named.
    pub fn is_open(&self) -> bool {
        let drawn = self.count.is_some() || self.share.is_some() || self.same.is_some();
        self.names.is_empty() && self.zone.is_none() && !drawn
    }
}

#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(tag = "do", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Step {
    /// Starts processes that do not run, all at once.
    Start {
        #[serde(default)]
        who: Who,
    },
    /// SIGKILL.
    Kill {
        who: Who,
    },
    /// SIGTERM; the step ends when they have ended.
    Term {
        who: Who,
    },
    /// SIGSTOP, and SIGCONT after this time; the step does not wait for that.
    Stop {
        who: Who,
        for_s: f64,
    },
    /// Datagrams from the ones to the others are lost; `both`: the other way as well.
    Cut {
        from: Who,
        to: Who,
        #[serde(default = "yes")]
        both: bool,
    },
    /// All cuts are over.
    Mend {},
    /// Another network from now on; `who`: for what these send alone.
    Net {
        net: Net,
        who: Option<Who>,
    },
    /// Upstreams: by zone or by names ("u0" on).
    Upstreams {
        who: Who,
        how: How,
        #[serde(default = "half")]
        factor: f64,
    },
    /// Discovery does not answer, or does again.
    Discovery {
        up: bool,
    },
    /// Lists of these processes leave out upstreams of a zone, or of none; they come so much later.
    Lists {
        who: Who,
        #[serde(default)]
        without_zone: Option<String>,
        #[serde(default)]
        late_s: f64,
    },
    /// Bytes are sent to these processes' addresses that no member sent: random, cut, changed and old ones, so many each.
    Garbage {
        who: Who,
        count: usize,
    },
    Wait {
        s: f64,
    },
    /// Does these so many times.
    Repeat {
        times: usize,
        #[serde(rename = "step")]
        steps: Vec<Step>,
    },
    /// Processes that do not run are started under this name from now on: a mistake of staff.
    Rename {
        who: Who,
        name: String,
    },
    /// Waits until it is so; a figure is kept under this word: how long that took since the step before the waiting.
    Until {
        is: Condition,
        #[serde(default)]
        who: Who,
        #[serde(default = "limit")]
        limit_s: f64,
        figure: Option<String>,
    },
    /// Watches for so long that it stays so.
    Stays {
        is: Condition,
        #[serde(default)]
        who: Who,
        s: f64,
    },
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum How {
    /// Takes everything and answers no request; probes it answers.
    Hang,
    /// The same, and probes too.
    Silent,
    /// Takes no connection, and breaks those that it has.
    Refuse,
    /// Answers 500 to this part (`factor`).
    Error,
    /// Slower: at this part of its speed (`factor`).
    Slow,
    /// As if nothing had been; where it had refused it is a new process, and cold.
    Well,
    /// Listed as draining.
    Drain,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Condition {
    /// All that run (but for these) hold each other for there, nobody else, and their views are whole.
    Whole,
    /// All that run (but for these) hold these for failed, or for gone; these have to be named.
    Failed,
    Left,
    /// No running one (but for these) is held for failed by any running one.
    NobodyFailed,
    /// The views of these are so.
    ViewWhole,
    ViewDoubtful,
    ViewCutOff,
    /// Not whole.
    ViewNotWhole,
    /// These serve: the last answer to each was a 200.
    Serving,
}

impl Condition {
    pub fn word(self) -> String {
        serde_json::to_value(self)
            .ok()
            .and_then(|word| word.as_str().map(str::to_owned))
            .unwrap_or_default()
    }
}

fn yes() -> bool {
    true
}
fn one_seed() -> u64 {
    1
}
fn three() -> usize {
    3
}
fn datagram() -> usize {
    1200
}
fn half() -> f64 {
    0.5
}
fn limit() -> f64 {
    60.0
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub key: String,
    pub wrong: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}", self.key, self.wrong)
    }
}

/// Each process has addresses of its own, by one figure of an address.
pub const PROCESSES_MOST: usize = 250;
pub const UPSTREAMS_MOST: usize = 200;

/// Reads and checks a scenario.
pub fn read(text: &str) -> Result<Scenario, Fault> {
    let scenario: Scenario = toml::from_str(text).map_err(|error| {
        let line = error
            .span()
            .map_or(0, |span| 1 + text[..span.start].matches('\n').count());
        Fault {
            key: format!("line {line}"),
            wrong: error.message().replace('\n', " "),
        }
    })?;
    check(&scenario)?;
    Ok(scenario)
}

fn fault<T>(key: impl Into<String>, wrong: impl Into<String>) -> Result<T, Fault> {
    Err(Fault {
        key: key.into(),
        wrong: wrong.into(),
    })
}

fn check(s: &Scenario) -> Result<(), Fault> {
    if s.processes == 0 || s.processes > PROCESSES_MOST {
        return fault(
            "processes",
            format!("{} is not 1 to {PROCESSES_MOST}", s.processes),
        );
    }
    if s.zones.is_empty() || s.zones.len() > 8 {
        return fault("zones", "one to eight are needed");
    }
    if s.pools.iter().map(|pool| pool.count).sum::<usize>() > UPSTREAMS_MOST {
        return fault("pool", format!("over {UPSTREAMS_MOST} upstreams in all"));
    }
    for (n, pool) in s.pools.iter().enumerate() {
        if !s.zones.contains(&pool.zone) {
            return fault(
                format!("pool[{n}].zone"),
                format!("{:?} is no zone", pool.zone),
            );
        }
    }
    let share: f64 = s.classes.iter().map(|class| class.share).sum();
    if s.classes.is_empty() || (share - 1.0).abs() > 1e-6 {
        return fault(
            "class",
            format!("the classes' shares sum to {share}, not 1"),
        );
    }
    if !(0.0..=1000.0).contains(&s.client.rps) {
        return fault("client.rps", format!("{} is not 0 to 1000", s.client.rps));
    }
    net(&s.net, "net")?;
    let mut called = Vec::new();
    s.steps
        .iter()
        .enumerate()
        .try_for_each(|(n, step)| check_step(s, step, &format!("step[{n}]"), &mut called))
}

fn check_step<'a>(
    s: &Scenario,
    step: &'a Step,
    key: &str,
    called: &mut Vec<&'a str>,
) -> Result<(), Fault> {
    let groups: Vec<&Who> = match step {
        Step::Start { who }
        | Step::Kill { who }
        | Step::Term { who }
        | Step::Stop { who, .. }
        | Step::Upstreams { who, .. }
        | Step::Lists { who, .. }
        | Step::Garbage { who, .. }
        | Step::Rename { who, .. } => vec![who],
        Step::Until { who, is, .. } | Step::Stays { who, is, .. } => {
            if matches!(is, Condition::Failed | Condition::Left) && who.is_open() {
                return fault(key, format!("{} of whom?", is.word()));
            }
            vec![who]
        }
        Step::Cut { from, to, .. } => vec![from, to],
        Step::Net { net: change, who } => {
            net(change, key)?;
            who.iter().collect()
        }
        Step::Repeat { steps, .. } => {
            for (n, step) in steps.iter().enumerate() {
                check_step(s, step, &format!("{key}.step[{n}]"), called)?;
            }
            Vec::new()
        }
        Step::Mend {} | Step::Discovery { .. } | Step::Wait { .. } => Vec::new(),
    };
    for who in groups {
        if let Some(same) = who.same.as_deref().filter(|same| !called.contains(same)) {
            return fault(key, format!("nobody was called {same:?} before"));
        }
        if let Some(zone) = who.zone.as_ref().filter(|zone| !s.zones.contains(zone)) {
            return fault(key, format!("{zone:?} is no zone"));
        }
        called.extend(who.call.as_deref());
    }
    Ok(())
}

fn net(net: &Net, key: &str) -> Result<(), Fault> {
    let parts = [net.loss, net.twice, net.reorder];
    if parts.iter().any(|part| !(0.0..=1.0).contains(part)) {
        return fault(key, "loss, twice and reorder are parts, 0 to 1");
    }
    if [net.delay_ms, net.jitter_ms]
        .iter()
        .any(|time| !(0.0..=60_000.0).contains(time))
    {
        return fault(key, "delay_ms and jitter_ms are 0 to 60000");
    }
    Ok(())
}
