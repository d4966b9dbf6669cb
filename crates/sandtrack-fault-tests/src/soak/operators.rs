//! Operators: two that change the configuration, at times on the same version, one that evacuates zones, and one that reads. Each
//! repeats its calls unchanged, as PROTOCOL.md says.
use super::records::{Change, Evacuation, Outcome, Read, Records, Route, Seconds};
use super::upstreams::PRINTER;
use super::{tenants, CONTROLS};
use crate::system::cluster::zone;
use crate::system::documents::{self, Kind, SERVICE};
use crate::system::operator::Operator;
use async_io::Timer;
use futures_lite::future;
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
/// The second change of a pair is sent so long after the first at most, in ms.
const PAIR_MS: u64 = 120;
/// The first of a pair raises the version by this at least, so that no other operator makes the version that the second builds on.
const PAIR_STEP: u64 = 50;
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

/// An update under way, and what it is to be noted as once it has an outcome.
struct Draft {
    call: Call,
    change: Change,
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
        let draft = self.draft(name, document, [based_on, version], None);
        let ended = self.order(&draft.call, REPEAT).await;
        self.note(draft, ended)
    }

    /// An update of that kind, from the first of these versions to the second; `tenant` is set too.
    fn draft(
        &mut self,
        name: &str,
        document: &Value,
        [based_on, version]: [u64; 2],
        tenant: Option<Value>,
    ) -> Draft {
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
        let mut body = json!({"version_number": version,
            "set_items": {"routes": [documents::route(&adds, Kind::ReadOnly)]},
            "remove_names": {"routes": removes.iter().collect::<Vec<_>>()}});
        if let Some(tenant) = tenant {
            body["set_items"]["tenants"] = json!([tenant]);
        }
        let sent = self.records.now();
        let change = Change {
            based_on,
            version,
            adds,
            removes,
            is_valid: true,
            sent,
            ended: sent,
            outcome: Outcome::Unclear,
        };
        Draft {
            call: Call::update(based_on, body.to_string().into_bytes()),
            change,
        }
    }

    fn note(&self, draft: Draft, (outcome, ended): (Outcome, Seconds)) -> Change {
        let change = Change {
            outcome,
            ended,
            ..draft.change
        };
        self.records.changes.borrow_mut().push(change.clone());
        change
    }

    /// Two changes under way at once, the second on top of the first: a key moves from one tenant to another, or is given to
    /// the second one although the first has it.
    async fn change_in_pair(&mut self, other: &mut Desk, name: &str, document: &Value) {
        let holder = tenants::holder_of_pair(document);
        let is_valid = self.rng.gen_bool(0.5);
        let first = tenants::of_pair(holder, !is_valid);
        let second = tenants::of_pair(1 - holder, true);
        let based_on = document["version_number"].as_u64().unwrap_or(0);
        let version = based_on + PAIR_STEP + self.rng.gen_range(0..PAIR_STEP);
        let first = self.draft(name, document, [based_on, version], Some(first));
        let pause = Duration::from_millis(self.rng.gen_range(0..PAIR_MS));
        let second_name = format!("{name}{name}");
        let mut second = other.draft(&second_name, document, [version, version + 1], Some(second));
        second.change.is_valid = is_valid;
        let second_sent = async {
            Timer::after(pause).await;
            other.order(&second.call, REPEAT).await
        };
        let (first_ended, second_ended) =
            future::zip(self.order(&first.call, REPEAT), second_sent).await;
        self.note(first, first_ended);
        other.note(second, second_ended);
    }

    /// Sends pairs of changes that depend on each other, again and again.
    pub async fn run_pairs(mut self, mut other: Desk, name: &'static str) {
        while !self.records.is_over.get() {
            self.pause(200, 1200).await;
            if let Some(document) = self.read().await {
                self.change_in_pair(&mut other, name, &document).await;
            }
        }
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
