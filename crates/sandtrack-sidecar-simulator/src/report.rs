//! What a run showed: tallies by second, latencies, upstreams' figures, Little's law and broken rules. It owns the form of a
//! report, and must never hold a figure that depends on the machine, the threads or the hour.
use crate::discovery::Discovery;
use crate::observer::{Break, Observer};
use crate::scenario::Scenario;
use crate::server::{micros, millis, Micros, Server};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq)]
pub struct Second {
    pub asked: u32,
    pub tries: u32,
    pub worth_asked: f64,
    /// By the second in which it was asked.
    pub worth_in_time: f64,
    pub refused: u32,
    pub failed: u32,
    pub attempts: u32,
    pub crossings: u32,
    pub probes: u32,
    pub connects: u32,
    pub calls: u32,
    pub calls_failed: u32,
    pub lists: u32,
}

/// Counts while a run goes on.
pub struct Tally {
    worths: Vec<f64>,
    aims: Vec<Micros>,
    begin: Micros,
    seconds: Vec<Second>,
    latencies: Histogram<u64>,
    late: u64,
    served: u64,
    servers: Vec<UpstreamFigures>,
    little: [f64; 2],
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct UpstreamFigures {
    pub busy_share: f64,
    pub probe_share: f64,
    pub handshake_share: f64,
    pub probes_per_s: f64,
    pub connections: u32,
    pub most_connections: u32,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Report {
    pub scenario: String,
    pub policy: String,
    pub seed: u64,
    pub instances: u32,
    pub events: u64,
    /// Worth answered within its aim, of the worth asked for, after the warm-up.
    pub in_time: f64,
    /// The same in the worst second of those in which at least 20 were asked.
    pub worst_second: f64,
    pub served: u64,
    pub late: u64,
    pub mean_ms: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub probes_per_request: f64,
    pub connects_per_request: f64,
    pub attempts_per_request: f64,
    pub calls: u64,
    pub calls_failed: u64,
    /// The greatest over all upstreams.
    pub most_probe_share: f64,
    pub most_connections: u32,
    /// Mean requests held by all upstreams, and arrivals a millisecond x mean sojourn.
    pub little: [f64; 2],
    pub worst_cold: f64,
    pub rules_broken: usize,
    pub breaks: Vec<BreakLine>,
    pub upstreams: Vec<UpstreamFigures>,
    pub seconds: Vec<Second>,
}

#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct BreakLine(pub String);

impl From<&Break> for BreakLine {
    fn from(b: &Break) -> Self {
        let name =
            |what: &str, id: Option<u64>| id.map_or(String::new(), |id| format!(" {what} {id}"));
        BreakLine(format!(
            "{:.6} s {:?}:{}{}{} {}",
            millis(b.at_us) / 1000.0,
            b.rule,
            name("instance", b.instance.map(|i| i as u64)),
            name("request", b.request),
            name("upstream", b.upstream.map(|u| u as u64)),
            b.what
        ))
    }
}

impl Tally {
    pub fn new(scenario: &Scenario) -> Self {
        let latencies = Histogram::new_with_bounds(1, 3_600_000_000, 3);
        Tally {
            worths: scenario.classes.iter().map(|class| class.worth).collect(),
            aims: scenario
                .classes
                .iter()
                .map(|class| micros(class.aim_ms))
                .collect(),
            begin: 0,
            seconds: Vec::new(),
            latencies: latencies.expect("the bounds are in order"),
            late: 0,
            served: 0,
            servers: Vec::new(),
            little: [0.0; 2],
        }
    }

    pub fn begin(&mut self, now: Micros) {
        self.begin = now;
    }

    pub fn second(&mut self, now: Micros) -> &mut Second {
        let place = (now / 1_000_000) as usize;
        if self.seconds.len() <= place {
            self.seconds.resize(place + 1, Second::default());
        }
        &mut self.seconds[place]
    }

    pub fn asked(&mut self, now: Micros, class: usize) {
        let worth = self.worths[class];
        let second = self.second(now);
        second.asked += 1;
        second.worth_asked += worth;
    }

    /// Its instance was killed with it: it counts as never asked.
    pub fn lost(&mut self, began: Micros, class: usize) {
        let worth = self.worths[class];
        let second = self.second(began);
        second.asked -= 1;
        second.worth_asked -= worth;
    }

    pub fn served(&mut self, began: Micros, class: usize, took: Micros) {
        let (worth, in_time) = (self.worths[class], took <= self.aims[class]);
        if in_time {
            self.second(began).worth_in_time += worth;
        }
        if began >= self.begin {
            self.served += 1;
            self.late += u64::from(!in_time);
            self.latencies.saturating_record(took);
        }
    }

    /// The measured time is over: upstreams' figures are those of now.
    pub fn freeze(&mut self, now: Micros, servers: &[Server]) {
        let passed = millis(now - self.begin);
        let figures = |server: &Server| UpstreamFigures {
            busy_share: server.busy / passed / server.cores as f64,
            probe_share: server.probe_work / passed / server.cores as f64,
            handshake_share: server.handshake_work / passed / server.cores as f64,
            probes_per_s: server.probes as f64 / passed * 1000.0,
            connections: server.connections,
            most_connections: server.most_connections,
        };
        self.servers = servers.iter().map(figures).collect();
        let held: f64 = servers.iter().map(|server| server.held_time).sum();
        let arrived: u64 = servers.iter().map(|server| server.arrived).sum();
        let (left, sojourns) = servers.iter().fold((0, 0.0), |(n, sum), server| {
            (n + server.left, sum + server.sojourns)
        });
        self.little = [
            held / passed,
            arrived as f64 / passed * sojourns / (left.max(1)) as f64,
        ];
    }
}

impl Report {
    pub fn new(
        scenario: &Scenario,
        seed: u64,
        tally: Tally,
        observer: Observer,
        discovery: &Discovery,
        events: u64,
    ) -> Self {
        let from = (tally.begin / 1_000_000) as usize;
        let until = scenario.duration_s.ceil() as usize;
        let measured: Vec<&Second> = tally.seconds.iter().skip(from).take(until - from).collect();
        let asked: f64 = measured.iter().map(|s| s.worth_asked).sum();
        let in_time: f64 = measured.iter().map(|s| s.worth_in_time).sum();
        let sum = |of: fn(&Second) -> u32| measured.iter().map(|s| f64::from(of(s))).sum::<f64>();
        let firsts = sum(|s| s.asked).max(1.0);
        let worst = measured
            .iter()
            .filter(|s| s.asked >= 20)
            .map(|s| s.worth_in_time / s.worth_asked);
        let name = serde_json::to_value(scenario.policy).ok();
        let most =
            |of: fn(&UpstreamFigures) -> f64| tally.servers.iter().map(of).fold(0.0, f64::max);
        Report {
            scenario: scenario.name.clone(),
            policy: name
                .and_then(|name| name.as_str().map(str::to_owned))
                .unwrap_or_default(),
            seed,
            instances: scenario.instances,
            events,
            in_time: if asked > 0.0 { in_time / asked } else { 0.0 },
            worst_second: worst.fold(f64::INFINITY, f64::min).min(1.0),
            served: tally.served,
            late: tally.late,
            mean_ms: tally.latencies.mean() / 1000.0,
            p50_ms: millis(tally.latencies.value_at_quantile(0.5)),
            p99_ms: millis(tally.latencies.value_at_quantile(0.99)),
            probes_per_request: sum(|s| s.probes) / firsts,
            connects_per_request: sum(|s| s.connects) / firsts,
            attempts_per_request: sum(|s| s.attempts) / firsts,
            calls: discovery.calls,
            calls_failed: discovery.failed,
            most_probe_share: most(|u| u.probe_share),
            most_connections: tally
                .servers
                .iter()
                .map(|u| u.most_connections)
                .max()
                .unwrap_or_default(),
            little: tally.little,
            worst_cold: observer.worst_cold,
            rules_broken: observer.breaks.len(),
            breaks: observer.breaks.iter().map(BreakLine::from).collect(),
            upstreams: tally.servers,
            seconds: tally.seconds,
        }
    }

    /// A figure by its name, for sweeps, comparisons and plots.
    pub fn figure(&self, name: &str) -> Option<f64> {
        let value = serde_json::to_value(self).ok()?;
        value.get(name)?.as_f64()
    }
}
