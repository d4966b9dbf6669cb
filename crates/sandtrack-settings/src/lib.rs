//! The one reader of the settings object that a front is given: names, checks, defaults, and messages that name
//! the faulty key. It owns the object's form and nothing else; it decides nothing and reads no file.
use sandtrack_balancer::interface::*;
use serde::Deserialize;
use std::collections::HashMap;
use std::fmt;

/// Small numbers for names, in order of first sight.
#[derive(Debug, Default)]
pub struct Names {
    numbers: HashMap<String, u32>,
    names: Vec<String>,
}

impl Names {
    pub fn intern(&mut self, name: &str) -> u32 {
        if let Some(&number) = self.numbers.get(name) {
            return number;
        }
        let number = self.names.len() as u32;
        self.numbers.insert(name.to_owned(), number);
        self.names.push(name.to_owned());
        number
    }

    pub fn number(&self, name: &str) -> Option<u32> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, number: u32) -> &str {
        &self.names[number as usize]
    }
}

/// A hash of a name that is the same in every process (FNV-1a): by it balancers that share nothing agree.
pub fn identity(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// What is wrong, and with which key.
#[derive(Debug, PartialEq, Eq)]
pub struct Fault {
    pub key: String,
    pub wrong: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}: {}", self.key, self.wrong)
    }
}

impl std::error::Error for Fault {}

/// Reads any document, naming the key at which reading stopped.
pub fn read<T: serde::de::DeserializeOwned>(text: &[u8]) -> Result<T, Fault> {
    let reader = &mut serde_json::Deserializer::from_slice(text);
    serde_path_to_error::deserialize(reader).map_err(|error| Fault {
        key: error.path().to_string(),
        wrong: error.inner().to_string(),
    })
}

/// The checked settings: what the module is given, and what a front needs beside it.
#[derive(Debug)]
pub struct Checked {
    pub settings: Settings,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    /// Knows the own zone already: it is `settings.zone`.
    pub zones: Names,
    /// An upstream closes an idle connection after this time at the latest.
    pub conn_idle: Option<Millis>,
}

impl Checked {
    /// Numbers stand for terms, and what is open goes on by them: the classes and tenants of `before` keep their
    /// places and their terms, and what is new, or has other terms under its name, comes behind. What was there
    /// once comes back in its place, so going to and fro adds nothing.
    pub fn follow(&mut self, before: &Settings, classes: &[String], tenants: &[String]) {
        let (mut kept, mut names) = (before.classes.clone(), classes.to_vec());
        kept.iter_mut().for_each(|class| class.enabled = false);
        let same = |kept: &Class, new: &Class| {
            Class {
                enabled: true,
                ..kept.clone()
            } == *new
        };
        behind(
            &mut kept,
            &mut names,
            self.settings.classes.drain(..).zip(self.classes.drain(..)),
            same,
        );
        (self.settings.classes, self.classes) = (kept, names);
        let (mut kept, mut names) = (before.tenants.clone(), tenants.to_vec());
        kept.iter_mut().for_each(|tenant| tenant.enabled = false);
        // Of a tenant no promise hangs on its terms: the new ones count for all of its requests.
        let same = |_: &Tenant, _: &Tenant| true;
        behind(
            &mut kept,
            &mut names,
            self.settings.tenants.drain(..).zip(self.tenants.drain(..)),
            same,
        );
        (self.settings.tenants, self.tenants) = (kept, names);
    }
}

/// Puts each new one in the place of the one kept that is the same under its name, or behind all.
fn behind<T>(
    kept: &mut Vec<T>,
    names: &mut Vec<String>,
    new: impl Iterator<Item = (T, String)>,
    same: impl Fn(&T, &T) -> bool,
) {
    for (terms, name) in new {
        match (0..kept.len()).find(|n| names[*n] == name && same(&kept[*n], &terms)) {
            Some(n) => kept[n] = terms,
            None => {
                kept.push(terms);
                names.push(name);
            }
        }
    }
}

/// The word that a key says is not one of these.
fn unknown(key: &str, word: Option<&str>, known: &[&str]) -> Result<(), Fault> {
    match word.filter(|word| !known.contains(word)) {
        Some(word) => {
            let wrong = format!("{word:?} is not known: {} are", known.join(", "));
            Err(Fault {
                key: key.to_owned(),
                wrong,
            })
        }
        None => Ok(()),
    }
}

impl Document {
    /// Finds words that are not known. The simulator's wire may bring new ones, which count as the most careful of
    /// the known; in a file one is a slip.
    pub fn words(&self) -> Result<(), Fault> {
        unknown(
            "discovery",
            self.discovery.as_deref(),
            &["pushed", "on_request"],
        )?;
        unknown(
            "feedback.how",
            self.feedback.how.as_deref(),
            &["off", "on_probe", "inline"],
        )?;
        unknown(
            "weights",
            self.weights.as_deref(),
            &["off", "nominal", "rough", "live"],
        )?;
        for (n, class) in self.classes.iter().enumerate() {
            let (effect, scope) = (class.effect.as_str(), class.key_scope.as_deref());
            unknown(
                &format!("classes[{n}].effect"),
                Some(effect),
                &["repeatable", "by_key", "once"],
            )?;
            unknown(
                &format!("classes[{n}].key-scope"),
                scope,
                &["all", "zone", "cell"],
            )?;
        }
        Ok(())
    }

    /// Checks what no type tells, and gives the settings in the module's form.
    pub fn checked(&self) -> Result<Checked, Fault> {
        let fault = |key: String, wrong: &str| {
            Err(Fault {
                key,
                wrong: wrong.to_owned(),
            })
        };
        let least = |key: String, figure: f64| match figure < 0.0 {
            true => Err(Fault {
                key,
                wrong: "must not be negative".to_owned(),
            }),
            false => Ok(()),
        };
        if self.classes.is_empty() {
            return fault("classes".into(), "at least one class is needed");
        }
        for (n, class) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("classes[{n}].{name}");
            if self.classes[..n]
                .iter()
                .any(|other| other.name == class.name)
            {
                return fault(key("name"), "the name of an earlier class");
            }
            if class.deadline <= 0.0 {
                return fault(key("deadline"), "must be over 0 ms");
            }
            for (name, figure) in [
                ("aim", class.aim),
                ("aim-stretch", class.aim_stretch),
                ("window", class.window),
                ("value", class.value),
                ("late-worth", class.late_worth),
            ] {
                least(key(name), figure)?;
            }
        }
        for (n, org) in self.orgs.iter().enumerate() {
            if self.orgs[..n].iter().any(|other| other.name == org.name) {
                return fault(format!("orgs[{n}].name"), "the name of an earlier tenant");
            }
            for (name, figure) in [("portion", org.portion), ("quota-rps", org.quota_rps)] {
                least(format!("orgs[{n}].{name}"), figure)?;
            }
        }
        let (limits, rules) = (&self.limits, &self.rules);
        if limits.max_attempts == 0 {
            return fault(
                "limits.max-attempts".into(),
                "at least one attempt is needed",
            );
        }
        for (key, figure) in [
            ("limits.max-retry-after", limits.max_retry_after),
            ("limits.connect-timeout", limits.connect_timeout),
            ("limits.conn-idle", limits.conn_idle),
            ("rules.answer-slack", rules.answer_slack),
            ("rules.ask-within", rules.ask_within),
            ("rules.cold-share", rules.cold_share),
            ("rules.cold", rules.cold),
            ("rules.drain-grace", rules.drain_grace),
            ("rules.fall", rules.fall),
            ("rules.fall-multiple", rules.fall_multiple),
            ("rules.turn-gap", rules.turn_gap),
            ("rules.deadline-error", rules.deadline_error),
            ("rules.start-drift", rules.start_drift),
            ("scoring-mix.tail", self.scoring_mix.tail),
            ("scoring-mix.miss-allowed", self.scoring_mix.miss_allowed),
            ("step", self.step.unwrap_or(0.0)),
            ("over-share-worth", self.over_share_worth.unwrap_or(0.0)),
            ("penalties.cross-zone", self.penalties.cross_zone),
            ("penalties.probe", self.penalties.probe),
            ("penalties.waste", self.penalties.waste),
            ("penalties.late-fail", self.penalties.late_fail),
            ("penalties.peer", self.penalties.peer),
        ] {
            least(key.into(), figure)?;
        }
        if limits.answer_buffers == Some(0) {
            return fault(
                "limits.answer-buffers".into(),
                "at least one is needed: without any no answer gets through",
            );
        }
        if self.scoring_mix.miss_allowed > 1.0 {
            return fault(
                "scoring-mix.miss-allowed".into(),
                "a share of requests, must not be over 1",
            );
        }
        if self.scoring_mix.tail > 0.0 && self.scoring_mix.miss_allowed == 0.0 {
            return fault(
                "scoring-mix.miss-allowed".into(),
                "must be over 0 where scoring-mix.tail is",
            );
        }
        if let Some(n) = self
            .classes
            .iter()
            .position(|class| class.fifo_by_key && class.stream)
        {
            let wrong = "a streamed answer has no end by which the next could go";
            return fault(format!("classes[{n}].fifo-by-key"), wrong);
        }
        if rules.cold_share > 1.0 {
            return fault("rules.cold-share".into(), "must not be over 1");
        }
        let mut zones = Names::default();
        let zone = ZoneId(zones.intern(&self.locality));
        Ok(Checked {
            settings: settings(self, zone),
            classes: self
                .classes
                .iter()
                .map(|class| class.name.clone())
                .collect(),
            tenants: self.orgs.iter().map(|tenant| tenant.name.clone()).collect(),
            zones,
            conn_idle: Some(limits.conn_idle).filter(|idle| *idle > 0.0),
        })
    }
}

/// The settings object as it is written.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Document {
    classes: Vec<ClassDoc>,
    #[serde(default)]
    locality: String,
    #[serde(default)]
    me: u32,
    siblings: Option<u32>,
    #[serde(default)]
    orgs: Vec<Org>,
    over_share_worth: Option<f64>,
    discovery: Option<String>,
    #[serde(default)]
    feedback: FeedbackDoc,
    weights: Option<String>,
    #[serde(default)]
    domain: Domain,
    #[serde(default)]
    scoring_mix: GoalDoc,
    limits: LimitsDoc,
    #[serde(default)]
    penalties: PenaltiesDoc,
    rules: RulesDoc,
    step: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassDoc {
    name: String,
    aim: f64,
    #[serde(default)]
    aim_stretch: f64,
    deadline: f64,
    effect: String,
    key_scope: Option<String>,
    #[serde(default)]
    window: f64,
    value: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    fifo_by_key: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Org {
    name: String,
    #[serde(default)]
    portion: f64,
    #[serde(default)]
    quota_rps: f64,
}

#[derive(Default, Deserialize)]
struct FeedbackDoc {
    how: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Domain {
    #[serde(default)]
    warm_keys: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct LimitsDoc {
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    retry_after: bool,
    max_attempts: u32,
    max_open: Option<u32>,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default)]
    connect_timeout: f64,
    /// An idle connection is closed by its upstream after this time at the latest; 0: not told.
    #[serde(default)]
    conn_idle: f64,
    answer_buffers: Option<u32>,
}

/// The weights that no decision goes by are not read.
#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct GoalDoc {
    tail: f64,
    miss_allowed: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct PenaltiesDoc {
    cross_zone: f64,
    probe: f64,
    waste: f64,
    late_fail: f64,
    peer: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RulesDoc {
    #[serde(default)]
    answer_slack: f64,
    #[serde(default)]
    ask_within: f64,
    cold_share: f64,
    cold: f64,
    #[serde(default)]
    drain_grace: f64,
    fall: f64,
    fall_multiple: f64,
    #[serde(default)]
    turn_gap: f64,
    #[serde(default)]
    deadline_error: f64,
    #[serde(default)]
    start_drift: f64,
    #[serde(default)]
    soft_removal: bool,
}

fn settings(config: &Document, zone: ZoneId) -> Settings {
    let class = |class: &ClassDoc| Class {
        target_latency: class.aim,
        target_stretch: class.aim_stretch,
        deadline: class.deadline,
        // The strictest for any effect not known here, and the narrowest scope.
        idempotency: match class.effect.as_str() {
            "repeatable" => Idempotency::Idempotent,
            "by_key" => Idempotency::Keyed {
                scope: match class.key_scope.as_deref() {
                    Some("all") => DedupScope::All,
                    Some("zone") => DedupScope::Zone,
                    _ => DedupScope::Cell,
                },
                window: class.window,
            },
            _ => Idempotency::NonIdempotent,
        },
        value: class.value,
        late_value: class.late_worth,
        stream: class.stream,
        in_order: class.fifo_by_key,
        enabled: true,
    };
    let limits = &config.limits;
    let (prices, rules) = (&config.penalties, &config.rules);
    Settings {
        zone,
        balancer_index: config.me,
        balancer_count: config.siblings.unwrap_or(1).max(1),
        classes: config.classes.iter().map(class).collect(),
        tenants: config
            .orgs
            .iter()
            .map(|org| Tenant {
                portion: org.portion,
                quota_rps: org.quota_rps,
                enabled: true,
            })
            .collect(),
        over_share_value: config.over_share_worth.unwrap_or(1.0),
        discovery_on_request: config.discovery.as_deref() == Some("on_request"),
        feedback: match config.feedback.how.as_deref() {
            Some("inline") => Feedback::Inline,
            Some("on_probe") => Feedback::OnProbe,
            _ => Feedback::Off,
        },
        weights: match config.weights.as_deref() {
            Some("nominal") => Weights::Nominal,
            Some("rough") => Weights::Rough,
            Some("live") => Weights::Live,
            _ => Weights::Off,
        },
        key_affinity: config.domain.warm_keys,
        goal: Goal {
            tail_weight: config.scoring_mix.tail,
            miss_allowed: config.scoring_mix.miss_allowed,
        },
        limits: Limits {
            cancel: limits.cancel,
            probes: limits.probes,
            peers: limits.peers,
            parallel_attempts: limits.parallel_tries,
            max_attempts: limits.max_attempts,
            max_open: limits.max_open.unwrap_or(u32::MAX),
            max_retry_after: limits.retry_after.then_some(limits.max_retry_after),
            connect_timeout: limits.connect_timeout,
            answer_buffers: limits.answer_buffers,
        },
        penalties: Penalties {
            cross_zone: prices.cross_zone,
            probe: prices.probe,
            waste: prices.waste,
            late_fail: prices.late_fail,
            peer: prices.peer,
        },
        rules: Rules {
            answer_slack: rules.answer_slack,
            list_retry_limit: rules.ask_within,
            cold_capacity: rules.cold_share,
            warmup: rules.cold,
            drain_grace: rules.drain_grace,
            overload_window: rules.fall,
            overload_factor: rules.fall_multiple,
            ordered_key_gap: rules.turn_gap,
            deadline_skew: rules.deadline_error,
            start_time_error: rules.start_drift,
            soft_removal: rules.soft_removal,
        },
        event_interval: config.step.unwrap_or(1.0),
    }
}
