//! Operators: two that change the configuration, at times on the same version, one that evacuates zones, and one that reads. Each
//! repeats its calls unchanged, as PROTOCOL.md says.
use super::records::{Change, Evacuation, Outcome, Read, Records, Route, Seconds};
use super::upstreams::PRINTER;
use super::{tenants, CONTROLS};
use crate::system::cluster::zone;
use crate::system::documents::{self, Kind, SERVICE};
use crate::system::operator::Operator;
use async_io::Timer;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use sandtrack_cli::call::Call;
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;

/// A change is sent again for so long.
const REPEAT: Duration = Duration::from_secs(15);
/// An order for a zone is sent again for `acknowledge_ms`.
const REPEAT_ORDER: Duration = Duration::from_secs(6);
/// Routes of its own that an operator lets stand.
const ROUTES_KEPT: usize = 5;

/// The first configuration: all routes of the clients.
pub fn first_configuration() -> Value {
    let mut split = documents::route("split", Kind::ReadOnly);
    split["weighted_split"] =
        json!([{"service": SERVICE, "weight": 70}, {"service": PRINTER, "weight": 30}]);
    split.as_object_mut().map(|split| split.remove("service"));
    let mut print = documents::route("print", Kind::ReadOnly);
    print["service"] = json!(PRINTER);
    let mut routes: Vec<Value> = Kind::ALL
        .map(|kind| documents::route(kind.prefix(), kind))
        .to_vec();
    routes.extend([print, split]);
    for route in &mut routes {
        let name = route["name"].as_str().unwrap_or_default();
        route["public"] = json!(Route::of_target(name).is_some_and(tenants::is_public));
    }
    let mut whole = documents::configuration(1, &routes);
    let service = |name: &str, cold_rate_s: f64| {
        json!({"name": name, "health_path": documents::HEALTH, "connection_limit": 500,
            "cold_start_s": super::COLD_S, "cold_rate_s": cold_rate_s})
    };
    whole["services"] = json!([
        service(SERVICE, super::COLD_RATE),
        service(PRINTER, super::COLD_RATE)
    ]);
    whole["tenants"] = tenants::document();
    whole
}

/// One operator's means.
pub struct Desk {
    pub operator: Rc<Operator>,
    pub records: Rc<Records>,
    rng: Pcg64,
    /// Changes that it sent: their routes have names of their own.
    sent: u64,
}

impl Desk {
    pub fn new(operator: &Rc<Operator>, records: &Rc<Records>, seed: u64) -> Desk {
        Desk {
            operator: operator.clone(),
            records: records.clone(),
            rng: Pcg64::seed_from_u64(seed),
            sent: 0,
        }
    }

    fn controls(&mut self) -> Vec<usize> {
        let mut controls: Vec<usize> = (0..CONTROLS).collect();
        controls.shuffle(&mut self.rng);
        controls
    }

    async fn pause(&mut self, least_ms: u64, most_ms: u64) {
        Timer::after(Duration::from_millis(self.rng.gen_range(least_ms..most_ms))).await;
    }

    async fn order(&mut self, call: &Call, limit: Duration) -> (Outcome, Seconds) {
        let controls = self.controls();
        let answer = self.operator.send(call, &controls, limit).await;
        let outcome = match answer.map(|answer| answer.head.status) {
            Some(200) => Outcome::Acknowledged,
            Some(412) => Outcome::Lost,
            Some(status) => Outcome::Refused(status),
            None => Outcome::Unclear,
        };
        (outcome, self.records.now())
    }

    /// The newest configuration; `None` where it can't be had for now.
    pub async fn read(&mut self) -> Option<Value> {
        let controls = self.controls();
        let answer = self.operator.send(&Call::read(), &controls, REPEAT).await?;
        let document =
            (answer.head.status == 200).then(|| serde_json::from_slice(&answer.body).ok());
        document.flatten()
    }

    /// One change on top of this configuration: a route more, and one of this operator's old ones less.
    pub async fn change(&mut self, name: &str, document: &Value) -> Change {
        let based_on = document["version_number"].as_u64().unwrap_or(0);
        let version = based_on + self.rng.gen_range(1..4);
        self.sent += 1;
        let adds = format!("{name}-{}-{version}", self.sent);
        let routes = document["routes"].as_array().cloned().unwrap_or_default();
        let own = |route: &Value| {
            route["name"]
                .as_str()
                .filter(|own| own.starts_with(name))
                .map(str::to_owned)
        };
        let own: Vec<String> = routes.iter().filter_map(own).collect();
        let removes = (own.len() >= ROUTES_KEPT).then(|| own[0].clone());
        let body = json!({"version_number": version,
            "set_items": {"routes": [documents::route(&adds, Kind::ReadOnly)]},
            "remove_names": {"routes": removes.iter().collect::<Vec<_>>()}});
        let call = Call::update(based_on, body.to_string().into_bytes());
        let sent = self.records.now();
        let (outcome, ended) = self.order(&call, REPEAT).await;
        let change = Change {
            based_on,
            version,
            adds,
            removes,
            sent,
            ended,
            outcome,
        };
        self.records.changes.borrow_mut().push(change.clone());
        change
    }

    /// Changes the configuration again and again.
    pub async fn run_changes(mut self, name: &'static str, pauses_ms: [u64; 2]) {
        while !self.records.is_over.get() {
            self.pause(pauses_ms[0], pauses_ms[1]).await;
            if let Some(document) = self.read().await {
                self.change(name, &document).await;
            }
        }
    }

    /// Evacuates one zone after the other, for some seconds each.
    pub async fn run_evacuations(mut self) {
        while !self.records.is_over.get() {
            self.pause(1500, 4000).await;
            let zone = zone(self.rng.gen_range(0..CONTROLS));
            for begin in [true, false] {
                let sent = self.records.now();
                let (outcome, ended) = self
                    .order(&Call::evacuate(&zone, begin), REPEAT_ORDER)
                    .await;
                let evacuation = Evacuation {
                    zone: zone.clone(),
                    begin,
                    sent,
                    ended,
                    outcome,
                };
                self.records.evacuations.borrow_mut().push(evacuation);
                if begin {
                    self.pause(2000, 9000).await;
                }
            }
        }
    }

    /// Reads at one machine after the other, whatever it is cut off from.
    pub async fn run_reads(mut self) {
        while !self.records.is_over.get() {
            self.pause(50, 300).await;
            let machine = self.rng.gen_range(0..CONTROLS);
            let sent = self.records.now();
            let Ok(answer) = self.operator.once(&Call::read(), machine).await else {
                continue;
            };
            let document: Option<Value> = serde_json::from_slice(&answer.body).ok();
            let version = document.and_then(|document| document["version_number"].as_u64());
            if let Some(version) = version.filter(|_| answer.head.status == 200) {
                self.records.reads.borrow_mut().push(Read {
                    machine,
                    sent,
                    version,
                });
            }
        }
    }
}
