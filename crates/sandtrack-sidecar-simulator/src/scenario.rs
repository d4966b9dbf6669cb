//! The scenario: its form, its checks, and what a sweep may set in it. It owns the format, and must never let anything
//! run that it has not checked, nor tell a fault without its file, line and key.
use serde::{Deserialize, Serialize};
use std::fmt;

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    pub duration_s: f64,
    /// Left out of every figure but the rules'.
    #[serde(default)]
    pub warmup_s: f64,
    #[serde(default)]
    pub policy: Policy,
    pub instances: u32,
    pub zones: Vec<String>,
    pub client: Client,
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    pub server: Server,
    #[serde(default)]
    pub net: Net,
    #[serde(default)]
    pub discovery: Discovery,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub rules: Rules,
    #[serde(default)]
    pub allow: Allow,
    #[serde(default, rename = "failure")]
    pub failures: Vec<Failure>,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The decision module, driven directly: connections are free.
    #[default]
    Module,
    /// The sidecar's reducer with the module inside: connections and list calls are its own.
    Sidecar,
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// Sees the true state of every upstream at once.
    Oracle,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Client {
    /// Mean of requests a second at one instance; instances differ by a lognormal factor of this `spread` (sigma).
    pub rps: f64,
    #[serde(default)]
    pub spread: f64,
    /// From each time (s) on, the rate is this multiple; before the first, 1.
    #[serde(default)]
    pub phases: Vec<[f64; 2]>,
    #[serde(default)]
    pub retries: u32,
    #[serde(default)]
    pub backoff_ms: f64,
    #[serde(default = "yes")]
    pub marks_retries: bool,
    /// Part of the class's deadline after which one try is given up.
    #[serde(default = "one")]
    pub try_share: f64,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    Repeatable,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Dist {
    #[default]
    Lognormal,
    Exponential,
    Constant,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
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
    pub dist: Dist,
    /// Coefficient of variation, of a lognormal.
    #[serde(default = "half")]
    pub cv: f64,
    #[serde(default)]
    pub window_ms: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    pub zone: String,
    pub count: u32,
    #[serde(default = "one")]
    pub speed: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Server {
    #[serde(default = "core")]
    pub cores: u32,
    pub queue: u32,
    #[serde(default = "one")]
    pub cold_share: f64,
    #[serde(default)]
    pub cold_s: f64,
    /// Connections that it holds at most, the work of one handshake, and of one probe.
    #[serde(default = "many")]
    pub connections: u32,
    #[serde(default)]
    pub handshake_ms: f64,
    #[serde(default = "probe_ms")]
    pub probe_ms: f64,
    /// An attempt that is called off stops at once.
    #[serde(default = "yes")]
    pub cancel_frees: bool,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Net {
    /// One way.
    pub same_ms: f64,
    pub cross_ms: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Its one worker needs this for each call, and this for each line of an answer or of news.
    pub call_ms: f64,
    pub line_ms: f64,
    pub timeout_s: f64,
    /// A change is known to it so much later.
    pub news_s: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Prices {
    pub probe: f64,
    pub cross_zone: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    pub drain_grace_ms: f64,
    pub fall_ms: f64,
    pub fall_multiple: f64,
    pub ask_within_ms: f64,
    pub answer_slack_ms: f64,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields, default)]
pub struct Allow {
    pub cancel: bool,
    pub probes: bool,
    pub second_copies: bool,
    pub max_attempts: u32,
}

#[derive(Clone, Copy, Debug, Deserialize, Serialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Upstreams die: what is out breaks, connects are refused; back cold.
    Crash,
    /// They take everything and answer nothing.
    Silence,
    /// They run slower by `factor`.
    Slow,
    /// A whole zone's upstreams die together and come back cold together.
    ZoneLoss,
    /// Upstreams drain, leave, and new ones come cold under new ids; `addresses` are those of the old.
    Replace,
    /// Instances are killed and start again with the list they were born with.
    Restart,
    /// Discovery answers nothing and its watches end.
    DiscoveryDown,
    /// Instances of one zone reach no upstream of the others.
    Partition,
}

#[derive(Clone, Debug, Deserialize, Serialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    pub kind: Kind,
    pub at_s: f64,
    #[serde(default)]
    pub for_s: f64,
    /// Part of the upstreams or instances, drawn at random.
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(default = "half")]
    pub factor: f64,
}

fn yes() -> bool {
    true
}
fn one() -> f64 {
    1.0
}
fn half() -> f64 {
    0.5
}
fn core() -> u32 {
    1
}
fn many() -> u32 {
    1_000_000
}
fn probe_ms() -> f64 {
    0.05
}

impl Default for Net {
    fn default() -> Self {
        Net {
            same_ms: 0.1,
            cross_ms: 0.5,
        }
    }
}

impl Default for Discovery {
    fn default() -> Self {
        Discovery {
            call_ms: 1.0,
            line_ms: 0.1,
            timeout_s: 2.0,
            news_s: 0.5,
        }
    }
}

impl Default for Prices {
    fn default() -> Self {
        Prices {
            probe: 0.01,
            cross_zone: 0.005,
        }
    }
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            drain_grace_ms: 500.0,
            fall_ms: 2000.0,
            fall_multiple: 2.5,
            ask_within_ms: 10_000.0,
            answer_slack_ms: 50.0,
        }
    }
}

impl Default for Allow {
    fn default() -> Self {
        Allow {
            cancel: true,
            probes: true,
            second_copies: true,
            max_attempts: 5,
        }
    }
}

impl Scenario {
    /// The number of a zone, by its name.
    pub fn zone(&self, name: &str) -> Option<usize> {
        self.zones.iter().position(|zone| zone == name)
    }
}

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub file: String,
    pub line: usize,
    pub key: String,
    pub wrong: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "{}:{}: {}: {}",
            self.file, self.line, self.key, self.wrong
        )
    }
}

impl std::error::Error for Fault {}

/// The largest world that is started: beyond it a slip of the pen would fill the machine's memory.
const INSTANCES_MOST: u32 = 20_000;
const SERVERS_MOST: u32 = 5_000;
const DURATION_MOST: f64 = 3_600.0;

/// Reads and checks a scenario's text; `set` are keys of a sweep, put in place first.
pub fn read(file: &str, text: &str, set: &[(String, f64)]) -> Result<Scenario, Fault> {
    let at = |key: &str, wrong: String| Fault {
        file: file.to_owned(),
        line: line_of(text, key),
        key: key.to_owned(),
        wrong,
    };
    let parsed = |error: toml::de::Error| {
        let line = error
            .span()
            .map_or(1, |span| 1 + text[..span.start].matches('\n').count());
        let key = text
            .lines()
            .nth(line - 1)
            .and_then(|l| l.split('=').next())
            .unwrap_or("")
            .trim();
        Fault {
            file: file.to_owned(),
            line,
            key: key.to_owned(),
            wrong: error.message().replace('\n', " "),
        }
    };
    let scenario: Scenario = if set.is_empty() {
        toml::from_str(text).map_err(parsed)?
    } else {
        let mut value: toml::Value = toml::from_str(text).map_err(parsed)?;
        for (key, figure) in set {
            put(&mut value, key, *figure).map_err(|wrong| at(key, wrong))?;
        }
        value.try_into().map_err(|error: toml::de::Error| {
            let key = &set.last().map(|(key, _)| key.clone()).unwrap_or_default();
            at(key, error.message().replace('\n', " "))
        })?
    };
    check(&scenario).map_err(|(key, wrong)| at(&key, wrong))?;
    Ok(scenario)
}

/// The line of a key such as `pool[1].count`; the last part found, if a default stands in for the rest.
fn line_of(text: &str, key: &str) -> usize {
    let Ok(document) = toml_edit::ImDocument::parse(text) else {
        return 1;
    };
    let mut item = document.as_item();
    let mut start = 0;
    for part in key.split('.') {
        let (name, place) = match part.split_once('[') {
            Some((name, place)) => (name, place.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let Some(table) = item.as_table_like() else {
            break;
        };
        let Some((found_key, found)) = table.get_key_value(name) else {
            break;
        };
        item = found;
        start = found_key.span().map_or(start, |span| span.start);
        if let Some(place) = place {
            let Some(found) = item.get(place) else { break };
            item = found;
        }
        start = item.span().map_or(start, |span| span.start.max(start));
    }
    1 + text[..start].matches('\n').count()
}

/// Sets a figure that the scenario already has, or that has a default: whole where the figure there is whole.
fn put(value: &mut toml::Value, key: &str, figure: f64) -> Result<(), String> {
    let mut here = value;
    let mut parts = key.split('.').peekable();
    while let Some(part) = parts.next() {
        let (name, place) = match part.split_once('[') {
            Some((name, place)) => (name, place.trim_end_matches(']').parse::<usize>().ok()),
            None => (part, None),
        };
        let table = here.as_table_mut().ok_or("leads through a figure")?;
        if parts.peek().is_none() && place.is_none() {
            let whole =
                figure.fract() == 0.0 && !matches!(table.get(name), Some(toml::Value::Float(_)));
            let figure = if whole {
                toml::Value::Integer(figure as i64)
            } else {
                toml::Value::Float(figure)
            };
            table.insert(name.to_owned(), figure);
            return Ok(());
        }
        here = table
            .entry(name)
            .or_insert_with(|| toml::Value::Table(toml::Table::new()));
        if let Some(place) = place {
            here = here.get_mut(place).ok_or("no such entry")?;
        }
    }
    Err("names no figure".to_owned())
}

type Wrong = (String, String);

fn check(s: &Scenario) -> Result<(), Wrong> {
    let wrong = |key: &str, wrong: &str| Err((key.to_owned(), wrong.to_owned()));
    let over = |key: String, figure: f64| match figure.is_finite() && figure > 0.0 {
        true => Ok(()),
        false => Err((key, format!("{figure} is not a finite figure over 0"))),
    };
    let least = |key: String, figure: f64| match figure.is_finite() && figure >= 0.0 {
        true => Ok(()),
        false => Err((key, format!("{figure} is not a finite figure of 0 or more"))),
    };
    let part = |key: String, figure: f64| match figure > 0.0 && figure <= 1.0 {
        true => Ok(()),
        false => Err((key, format!("{figure} is not over 0 and at most 1"))),
    };
    over("duration_s".into(), s.duration_s)?;
    least("warmup_s".into(), s.warmup_s)?;
    if s.duration_s > DURATION_MOST {
        return wrong("duration_s", "longer than an hour");
    }
    if s.warmup_s >= s.duration_s {
        return wrong("warmup_s", "leaves nothing of the duration");
    }
    if s.instances == 0 || s.instances > INSTANCES_MOST {
        return wrong(
            "instances",
            &format!("{} is not 1 to {INSTANCES_MOST}", s.instances),
        );
    }
    if s.zones.is_empty() {
        return wrong("zones", "at least one zone is needed");
    }
    for (n, zone) in s.zones.iter().enumerate() {
        if s.zones[..n].contains(zone) {
            return wrong("zones", &format!("{zone:?} stands there twice"));
        }
    }
    least("client.rps".into(), s.client.rps)?;
    least("client.spread".into(), s.client.spread)?;
    least("client.backoff_ms".into(), s.client.backoff_ms)?;
    part("client.try_share".into(), s.client.try_share)?;
    for pair in &s.client.phases {
        least("client.phases".into(), pair[0])?;
        least("client.phases".into(), pair[1])?;
    }
    if s.client.phases.windows(2).any(|two| two[0][0] >= two[1][0]) {
        return wrong("client.phases", "times must rise");
    }
    if s.classes.is_empty() {
        return wrong("class", "at least one class is needed");
    }
    for (n, class) in s.classes.iter().enumerate() {
        let key = |name: &str| format!("class[{n}].{name}");
        if s.classes[..n].iter().any(|other| other.name == class.name) {
            return wrong(&key("name"), "the name of an earlier class");
        }
        for (name, figure) in [
            ("share", class.share),
            ("worth", class.worth),
            ("aim_ms", class.aim_ms),
            ("deadline_ms", class.deadline_ms),
            ("work_ms", class.work_ms),
        ] {
            over(key(name), figure)?;
        }
        least(key("cv"), class.cv)?;
        least(key("window_ms"), class.window_ms)?;
        if class.aim_ms > class.deadline_ms {
            return wrong(&key("aim_ms"), "past the deadline");
        }
    }
    let shares: f64 = s.classes.iter().map(|class| class.share).sum();
    if (shares - 1.0).abs() > 1e-6 {
        return wrong(
            "class[0].share",
            &format!("the classes' shares sum to {shares}, not 1"),
        );
    }
    for (n, pool) in s.pools.iter().enumerate() {
        if !s.zones.contains(&pool.zone) {
            return wrong(
                &format!("pool[{n}].zone"),
                &format!("{:?} is no zone", pool.zone),
            );
        }
        over(format!("pool[{n}].speed"), pool.speed)?;
    }
    if s.pools
        .iter()
        .map(|pool| u64::from(pool.count))
        .sum::<u64>()
        > u64::from(SERVERS_MOST)
    {
        return wrong(
            "pool[0].count",
            &format!("over {SERVERS_MOST} upstreams in all"),
        );
    }
    if s.server.cores == 0 || s.server.cores > 1024 {
        return wrong("server.cores", "not 1 to 1024");
    }
    part("server.cold_share".into(), s.server.cold_share)?;
    let figures = [
        ("server.cold_s", s.server.cold_s),
        ("server.handshake_ms", s.server.handshake_ms),
        ("server.probe_ms", s.server.probe_ms),
        ("net.same_ms", s.net.same_ms),
        ("net.cross_ms", s.net.cross_ms),
        ("discovery.call_ms", s.discovery.call_ms),
        ("discovery.line_ms", s.discovery.line_ms),
        ("discovery.news_s", s.discovery.news_s),
        ("prices.probe", s.prices.probe),
        ("prices.cross_zone", s.prices.cross_zone),
        ("rules.drain_grace_ms", s.rules.drain_grace_ms),
        ("rules.answer_slack_ms", s.rules.answer_slack_ms),
    ];
    for (key, figure) in figures {
        least(key.into(), figure)?;
    }
    for (key, figure) in [
        ("discovery.timeout_s", s.discovery.timeout_s),
        ("rules.fall_ms", s.rules.fall_ms),
        ("rules.fall_multiple", s.rules.fall_multiple),
        ("rules.ask_within_ms", s.rules.ask_within_ms),
    ] {
        over(key.into(), figure)?;
    }
    if s.allow.max_attempts == 0 {
        return wrong("allow.max_attempts", "at least one attempt is needed");
    }
    for (n, failure) in s.failures.iter().enumerate() {
        let key = |name: &str| format!("failure[{n}].{name}");
        least(key("at_s"), failure.at_s)?;
        least(key("for_s"), failure.for_s)?;
        part(key("share"), failure.share)?;
        over(key("factor"), failure.factor)?;
        if failure.at_s >= s.duration_s {
            return wrong(&key("at_s"), "after the end");
        }
        if failure
            .zone
            .as_ref()
            .is_some_and(|zone| !s.zones.contains(zone))
        {
            return wrong(
                &key("zone"),
                &format!("{:?} is no zone", failure.zone.as_deref().unwrap_or("")),
            );
        }
        let zoned = matches!(failure.kind, Kind::ZoneLoss | Kind::Partition);
        if zoned && failure.zone.is_none() {
            return wrong(&key("kind"), "needs a zone");
        }
    }
    Ok(())
}
