//! The observer: checks the four rules over a run from what can be seen on the wire and at the upstreams. It keeps its own
//! books, shares none with the emulator or the decisions, and must never mend what it sees.
use crate::scenario::{Effect, Scenario};
use crate::server::{micros, Micros};
use sandtrack_balancer::interface::Readiness;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    OneAnswer,
    NoEffectTwice,
    Drains,
    Cold,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Break {
    pub rule: Rule,
    pub at_us: Micros,
    pub instance: Option<usize>,
    pub request: Option<u64>,
    pub upstream: Option<usize>,
    pub what: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    Served,
    Refused,
    Failed,
}

struct Seen {
    instance: usize,
    effect: Effect,
    window: Micros,
    until: Micros,
    answers: u32,
    /// First begun run, and how many began whose effect counts.
    first_run: Option<Micros>,
    runs: u32,
    lost: bool,
}

pub struct Observer {
    slack: Micros,
    grace: Micros,
    fall: Micros,
    multiple: f64,
    windows: Vec<(Effect, Micros)>,
    open: HashMap<u64, Seen>,
    /// What each instance was told, if it must send nothing new there.
    told: HashMap<(usize, usize), Micros>,
    /// Work that came to each cold upstream in the last window, and what it could do meanwhile.
    cold: BTreeMap<usize, VecDeque<(Micros, f64)>>,
    pub breaks: Vec<Break>,
    pub worst_cold: f64,
}

/// So many breaks are kept: the first tell the cause.
const KEPT: usize = 100;
/// Chance alone may heap this many requests' work on an upstream that is due less than one.
const COLD_SLACK: f64 = 3.0;

impl Observer {
    pub fn new(scenario: &Scenario) -> Self {
        Observer {
            slack: micros(scenario.rules.answer_slack_ms),
            grace: micros(scenario.rules.drain_grace_ms),
            fall: micros(scenario.rules.fall_ms),
            multiple: scenario.rules.fall_multiple,
            windows: scenario
                .classes
                .iter()
                .map(|c| (c.effect, micros(c.window_ms)))
                .collect(),
            open: HashMap::new(),
            told: HashMap::new(),
            cold: BTreeMap::new(),
            breaks: Vec::new(),
            worst_cold: 0.0,
        }
    }

    fn broken(
        &mut self,
        rule: Rule,
        at_us: Micros,
        instance: Option<usize>,
        request: Option<u64>,
        upstream: Option<usize>,
        what: &str,
    ) {
        if self.breaks.len() < KEPT {
            self.breaks.push(Break {
                rule,
                at_us,
                instance,
                request,
                upstream,
                what: what.to_owned(),
            });
        }
    }

    pub fn taken(&mut self, instance: usize, request: u64, class: usize, until: Micros) {
        let (effect, window) = self.windows[class];
        let seen = Seen {
            instance,
            effect,
            window,
            until,
            answers: 0,
            first_run: None,
            runs: 0,
            lost: false,
        };
        self.open.insert(request, seen);
    }

    pub fn answered(&mut self, now: Micros, request: u64, answer: Answer) {
        let Some(seen) = self.open.get_mut(&request) else {
            return self.broken(
                Rule::OneAnswer,
                now,
                None,
                Some(request),
                None,
                "an answer to nothing",
            );
        };
        seen.answers += 1;
        let (instance, answers, late) =
            (seen.instance, seen.answers, now > seen.until + self.slack);
        let promised = answer == Answer::Refused && seen.runs > 0 && seen.effect == Effect::Unsafe;
        if answers > 1 {
            self.broken(
                Rule::OneAnswer,
                now,
                Some(instance),
                Some(request),
                None,
                "a second answer",
            );
        }
        if late {
            self.broken(
                Rule::OneAnswer,
                now,
                Some(instance),
                Some(request),
                None,
                "answered too late",
            );
        }
        if promised {
            let what = "refused, though it has run";
            self.broken(
                Rule::NoEffectTwice,
                now,
                Some(instance),
                Some(request),
                None,
                what,
            );
        }
    }

    /// An attempt leaves its instance.
    pub fn sent(&mut self, now: Micros, instance: usize, request: u64, upstream: usize) {
        if self.open.get(&request).is_none_or(|seen| seen.answers > 0) {
            let what = "sent after its answer";
            self.broken(
                Rule::OneAnswer,
                now,
                Some(instance),
                Some(request),
                Some(upstream),
                what,
            );
        }
        let told = self.told.get(&(instance, upstream));
        if told.is_some_and(|at| now > at + self.grace) {
            let what = "sent to one that drains or is gone";
            self.broken(
                Rule::Drains,
                now,
                Some(instance),
                Some(request),
                Some(upstream),
                what,
            );
        }
    }

    /// An upstream begins to run it.
    pub fn ran(&mut self, now: Micros, request: u64, upstream: usize) {
        let Some(seen) = self.open.get_mut(&request) else {
            return;
        };
        let first = *seen.first_run.get_or_insert(now);
        let counts = match seen.effect {
            Effect::Repeatable => false,
            Effect::Unsafe => true,
            Effect::Keyed => seen.runs == 0 || now > first + seen.window,
        };
        seen.runs += u32::from(counts);
        let (instance, twice) = (seen.instance, counts && seen.runs > 1);
        if twice {
            let what = "its effect happened twice";
            self.broken(
                Rule::NoEffectTwice,
                now,
                Some(instance),
                Some(request),
                Some(upstream),
                what,
            );
        }
    }

    pub fn told(&mut self, now: Micros, instance: usize, upstream: usize, standing: Readiness) {
        if standing == Readiness::Ready {
            self.told.remove(&(instance, upstream));
        } else {
            self.told.entry((instance, upstream)).or_insert(now);
        }
    }

    /// What an instance held is lost with it, and it has been told nothing yet.
    pub fn killed(&mut self, instance: usize) {
        self.open
            .values_mut()
            .filter(|seen| seen.instance == instance)
            .for_each(|seen| seen.lost = true);
        self.told.retain(|(told, _), _| *told != instance);
    }

    /// Work comes to an upstream that is not warm, which does so many cores' work now. Yes when it goes down.
    pub fn cold_work(&mut self, now: Micros, upstream: usize, work: f64, capacity: f64) -> bool {
        let (fall, multiple) = (self.fall, self.multiple);
        let came = self.cold.entry(upstream).or_default();
        came.push_back((now, work));
        while came.front().is_some_and(|(at, _)| at + fall < now) {
            came.pop_front();
        }
        let sum: f64 = came.iter().map(|(_, work)| work).sum();
        let most = multiple * capacity * crate::server::millis(fall);
        let slack = COLD_SLACK * sum / came.len() as f64;
        self.worst_cold = self.worst_cold.max(sum / (most + slack));
        let fallen = sum > most + slack;
        if fallen {
            let what = "sent more than it can do while cold";
            self.broken(Rule::Cold, now, None, None, Some(upstream), what);
            self.cold.remove(&upstream);
        }
        fallen
    }

    /// The client has its answer or has given up: nothing more may come, and what never came was due.
    pub fn over(&mut self, now: Micros) {
        let slack = self.slack;
        let mut lost: Vec<(u64, usize)> = Vec::new();
        self.open.retain(|request, seen| {
            let due = now > seen.until + slack;
            if due && seen.answers == 0 && !seen.lost {
                lost.push((*request, seen.instance));
            }
            !(due && now > seen.until + slack + 5_000_000)
        });
        lost.sort_unstable();
        for (request, instance) in lost {
            if let Some(seen) = self.open.get_mut(&request) {
                seen.lost = true;
            }
            self.broken(
                Rule::OneAnswer,
                now,
                Some(instance),
                Some(request),
                None,
                "never answered",
            );
        }
    }
}
