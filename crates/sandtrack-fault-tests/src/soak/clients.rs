//! Clients: each asks the directory where to go, keeps a connection or opens new ones, and sends one request after the other,
//! well or badly. Whether an answer is its own it judges byte by byte.
use super::records::{End, Records, Request, Resolution, Route, Seconds};
use super::tenants::credentials;
use super::upstreams::{digest, events_of};
use super::CONTROLS;
use crate::http::{call, within, Wire};
use crate::plan::Plan as Addresses;
use crate::system::cluster::zone;
use crate::system::documents::HOST;
use crate::system::settings::{DIRECTORY, FRONT};
use crate::system::upstream::{body, event, seal};
use async_io::Timer;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use sandtrack_sidecar_core::message::{self, Flow, Message};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

/// What clients say they will wait, in s.
const DEADLINE: Seconds = 4.0;
/// Longer than any request may be held.
const PATIENCE: Duration = Duration::from_secs(7);
/// A connection that does not come up within this is given up.
const CONNECT: Duration = Duration::from_secs(1);
/// Pause between two requests of a client, up to this, in ms.
const THINK_MS: u64 = 40;
const LONG_BODY: usize = 300 * 1024;

/// How a client sends one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Manner {
    Plain,
    /// On a connection of its own.
    Fresh,
    /// Its body comes in pieces with pauses.
    Slowly,
    Chunked,
    Long,
    /// It leaves while it waits.
    Leaves,
    /// It leaves before all of it is sent.
    Half,
    /// It reads late.
    ReadsLate,
    /// It rests before it sends.
    Rests,
    /// The next request is sent with it.
    Together,
}

const MANNERS: [(Manner, u32); 10] = [
    (Manner::Plain, 48),
    (Manner::Fresh, 12),
    (Manner::Slowly, 8),
    (Manner::Chunked, 6),
    (Manner::Long, 4),
    (Manner::Leaves, 6),
    (Manner::Half, 3),
    (Manner::ReadsLate, 3),
    (Manner::Rests, 5),
    (Manner::Together, 5),
];

struct Connection {
    wire: Wire,
    machine: usize,
    life: u32,
    /// It carried a request.
    used: bool,
}

/// One client.
pub struct Client {
    name: String,
    zone: String,
    addresses: Rc<Addresses>,
    records: Rc<Records>,
    rng: Pcg64,
    connection: Option<Connection>,
    /// Machines that the directory named, and until when that holds.
    fronts: Vec<usize>,
    fronts_until: Seconds,
    sent: u64,
}

impl Client {
    pub fn new(
        number: usize,
        seed: u64,
        machines: usize,
        addresses: &Rc<Addresses>,
        records: &Rc<Records>,
    ) -> Client {
        Client {
            name: format!("c{number}"),
            zone: zone(number % machines),
            addresses: addresses.clone(),
            records: records.clone(),
            rng: Pcg64::seed_from_u64(
                seed ^ (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15),
            ),
            connection: None,
            fronts: Vec::new(),
            fronts_until: 0.0,
            sent: 0,
        }
    }

    /// Sends requests until the load is over.
    pub async fn run(mut self) {
        while !self.records.is_over.get() {
            let pause = self.rng.gen_range(1..THINK_MS);
            Timer::after(Duration::from_millis(pause)).await;
            let route = *Route::ALL.choose(&mut self.rng).unwrap_or(&Route::Read);
            let manner = draw_manner(&mut self.rng);
            self.resolve().await;
            if let Some(machine) = self.fronts.choose(&mut self.rng).copied() {
                self.ask(Some(route), route.prefix(), manner, machine).await;
            }
        }
    }

    /// Asks the directory if what it said last is over. Where it can't be had, the old answer stays.
    async fn resolve(&mut self) {
        if self.records.now() < self.fronts_until {
            return;
        }
        let mut controls: Vec<usize> = (0..CONTROLS).collect();
        controls.shuffle(&mut self.rng);
        for asked in controls {
            let target = format!(
                "/v1/resolution?name={HOST}&region=ishikari&zone={}",
                self.zone
            );
            let at = self.addresses.announced(asked, DIRECTORY);
            let Some((200, body)) = call(at, "GET", &target, Duration::from_secs(1)).await else {
                continue;
            };
            let Some((named, lifetime)) = read_resolution(&body) else {
                continue;
            };
            let now = self.records.now();
            self.records.resolutions.borrow_mut().push(Resolution {
                at: now,
                asked,
                named: named.clone(),
            });
            let keeps = if self.rng.gen_ratio(1, 4) { 3.0 } else { 1.0 };
            self.fronts_until = now + lifetime * keeps;
            // An open connection to an address that is missing is not used any more.
            if self
                .connection
                .as_ref()
                .is_some_and(|open| !named.contains(&open.machine))
            {
                self.connection = None;
            }
            self.fronts = named;
            return;
        }
        self.fronts_until = self.records.now() + 0.3;
    }

    /// Sends one request to a machine, or over the open connection, and writes down what came of it.
    pub async fn probe(&mut self, prefix: &str, machine: usize) {
        self.ask(None, prefix, Manner::Fresh, machine).await;
    }

    async fn ask(&mut self, route: Option<Route>, prefix: &str, manner: Manner, machine: usize) {
        if manner == Manner::Rests {
            Timer::after(Duration::from_millis(self.rng.gen_range(300..2500))).await;
        }
        if manner == Manner::Fresh {
            self.connection = None;
        }
        let begun = self.records.now();
        let Some(mut open) = self.take_connection(machine).await else {
            let mut request = self.request(route, prefix, manner, begun);
            request.machine = machine;
            request.ended = self.records.now();
            self.records.requests.borrow_mut().push(request);
            return;
        };
        let mut requests = vec![self.request(route, prefix, manner, begun)];
        if manner == Manner::Together {
            let behind = Request {
                behind: true,
                ..self.request(route, prefix, manner, begun)
            };
            requests.push(behind);
        }
        for request in &mut requests {
            (request.machine, request.life, request.kept) = (open.machine, open.life, open.used);
        }
        open.used = true;
        let goes_on = self.exchange(&mut open.wire, &mut requests, manner).await;
        if goes_on && manner != Manner::Fresh {
            self.connection = Some(open);
        }
        self.records.requests.borrow_mut().append(&mut requests);
    }

    async fn take_connection(&mut self, machine: usize) -> Option<Connection> {
        if let Some(open) = self.connection.take().filter(|open| !open.wire.is_over()) {
            return Some(open);
        }
        let at: SocketAddrV4 = self.addresses.announced(machine, FRONT);
        let wire = within(CONNECT, Wire::connect(at)).await?;
        let life = self.records.lives.borrow()[machine];
        Some(Connection {
            wire,
            machine,
            life,
            used: false,
        })
    }

    fn request(
        &mut self,
        route: Option<Route>,
        prefix: &str,
        manner: Manner,
        begun: Seconds,
    ) -> Request {
        self.sent += 1;
        let id = format!("{}-{}", self.name, self.sent);
        let has_body = matches!(route, Some(Route::Write | Route::Stream | Route::Resume));
        let body = if has_body {
            body_of(&id, manner)
        } else {
            Vec::new()
        };
        Request {
            route,
            method: if has_body { "POST" } else { "GET" },
            target: format!("/{prefix}/{id}?at={}", self.sent),
            body: digest(&body),
            machine: 0,
            life: 0,
            kept: false,
            behind: false,
            begun,
            sent: None,
            ended: begun,
            patience: DEADLINE,
            end: End::NotSent,
            id,
        }
    }

    /// Whether the connection can be used on.
    async fn exchange(
        &mut self,
        wire: &mut Wire,
        requests: &mut [Request],
        manner: Manner,
    ) -> bool {
        if wire.has_surplus() {
            requests[0].end = End::Wrong("bytes came with no request waiting".to_owned());
            return false;
        }
        for request in requests.iter_mut() {
            if !self.send(wire, request, manner).await {
                // A proxy that refuses before it has read all may have answered.
                let answered = within(Duration::from_millis(300), wire.read()).await;
                let end = answered.map_or(End::NotSent, |answer| judge(request, &answer));
                (request.ended, request.end) = (self.records.now(), end);
                return false;
            }
            if manner == Manner::Half {
                (request.ended, request.end) = (self.records.now(), End::Left);
                return false;
            }
            request.sent = Some(self.records.now());
        }
        if manner == Manner::Leaves {
            Timer::after(Duration::from_millis(self.rng.gen_range(0..120))).await;
            (requests[0].ended, requests[0].end) = (self.records.now(), End::Left);
            return false;
        }
        if manner == Manner::ReadsLate {
            Timer::after(Duration::from_millis(400)).await;
        }
        for at in 0..requests.len() {
            let (end, goes_on) = receive(wire, &requests[at]).await;
            (requests[at].ended, requests[at].end) = (self.records.now(), end);
            if !goes_on {
                // What was sent behind one that closed the connection was not read.
                for behind in &mut requests[at + 1..] {
                    (behind.ended, behind.end) = (self.records.now(), End::NotSent);
                }
                return false;
            }
        }
        true
    }

    async fn send(&mut self, wire: &Wire, request: &Request, manner: Manner) -> bool {
        let deadline = format!("{:.0}", DEADLINE * 1000.0);
        let (key, _) = credentials(&request.id, request.route);
        let authorization = format!("Bearer {key}");
        let headers = [
            ("Host", HOST),
            ("Request-Id", request.id.as_str()),
            ("Deadline-Remaining", deadline.as_str()),
            ("Authorization", authorization.as_str()),
            ("Tenant-Name", "another"),
        ];
        if request.method == "GET" || !matches!(manner, Manner::Chunked) {
            let body = if request.method == "GET" {
                Vec::new()
            } else {
                body_of(&request.id, manner)
            };
            let bytes =
                message::request(request.method, &request.target, headers.into_iter(), &body);
            return match manner {
                Manner::Slowly => self.send_slowly(wire, &bytes).await,
                Manner::Half => wire.write(&bytes[..bytes.len() * 2 / 3]).await,
                _ => wire.write(&bytes).await,
            };
        }
        let head = message::request_head(
            request.method,
            &request.target,
            headers.into_iter(),
            Flow::Chunks,
        );
        let body = body_of(&request.id, manner);
        let (first, second) = body.split_at(body.len() / 2);
        wire.write(&head).await
            && wire.write(&message::chunk(first)).await
            && wire.write(&message::chunk(second)).await
            && wire.write(&message::chunk(b"")).await
    }

    async fn send_slowly(&mut self, wire: &Wire, bytes: &[u8]) -> bool {
        for piece in bytes.chunks(bytes.len() / 3 + 1) {
            if !wire.write(piece).await {
                return false;
            }
            Timer::after(Duration::from_millis(self.rng.gen_range(5..80))).await;
        }
        true
    }
}

/// A manner, each as often as its weight says.
fn draw_manner(rng: &mut Pcg64) -> Manner {
    let mut rest = rng.gen_range(0..MANNERS.iter().map(|(_, weight)| weight).sum());
    let drawn = MANNERS.iter().find(|(_, weight)| {
        let is_it = rest < *weight;
        rest = rest.saturating_sub(*weight);
        is_it
    });
    drawn.map_or(Manner::Plain, |(manner, _)| *manner)
}

fn body_of(id: &str, manner: Manner) -> Vec<u8> {
    let order = format!("order of {id}");
    match manner {
        Manner::Long => order
            .into_bytes()
            .into_iter()
            .cycle()
            .take(LONG_BODY)
            .collect(),
        _ => order.into_bytes(),
    }
}

/// The next answer, and whether the connection can be used on.
async fn receive(wire: &mut Wire, request: &Request) -> (End, bool) {
    let began = std::time::Instant::now();
    match within(PATIENCE, wire.read()).await {
        Some(answer) => {
            let end = judge(request, &answer);
            let goes_on = answer.head.keep_alive && !matches!(end, End::Wrong(_));
            (end, goes_on)
        }
        None if began.elapsed() >= PATIENCE => (End::Silence, false),
        None => (
            End::Broke {
                begun: wire.has_begun(),
            },
            false,
        ),
    }
}

/// Whether an answer is the request's own.
fn judge(request: &Request, answer: &Message) -> End {
    let status = answer.head.status;
    let told = answer.head.headers.get("request-id");
    if told.is_some_and(|id| id != request.id) {
        return End::Wrong(format!(
            "{} got the answer to {}",
            request.id,
            told.unwrap_or_default()
        ));
    }
    let sealed = answer.head.headers.get("server-seal").unwrap_or_default();
    let upstream = sealed.split('.').next().unwrap_or_default();
    if !(200..300).contains(&status) {
        if !sealed.is_empty() && sealed != seal(&request.id, upstream) {
            return End::Wrong(format!("{} failed under the seal {sealed:?}", request.id));
        }
        return End::Answered(status);
    }
    let expected = match request.route.is_some_and(Route::is_stream) {
        true => (1..=events_of(&request.id))
            .map(|number| event(&request.id, number))
            .collect(),
        false => body(&request.id, upstream),
    };
    if sealed != seal(&request.id, upstream) || answer.body != expected.as_bytes() {
        let got = String::from_utf8_lossy(&answer.body).into_owned();
        return End::Wrong(format!("{} got {got:?}, sealed {sealed:?}", request.id));
    }
    End::Answered(status)
}

/// The machines that an answer of the directory names, and how long it holds, in s.
fn read_resolution(body: &[u8]) -> Option<(Vec<usize>, Seconds)> {
    let answer: Value = serde_json::from_slice(body).ok()?;
    let named = answer["addresses"]
        .as_array()?
        .iter()
        .filter_map(|address| {
            let address: SocketAddrV4 = address.as_str()?.parse().ok()?;
            usize::from(address.ip().octets()[3]).checked_sub(1)
        });
    Some((named.collect(), answer["lifetime_s"].as_f64()?))
}

/// How requests ended, for people.
pub fn tally(requests: &[Request]) -> BTreeMap<String, usize> {
    let mut ends: BTreeMap<String, usize> = BTreeMap::new();
    for request in requests {
        let end = match &request.end {
            End::Wrong(_) => "wrong".to_owned(),
            other => format!("{other:?}"),
        };
        *ends.entry(end).or_default() += 1;
    }
    ends
}
