//! Stand-in upstreams: addresses at which one upstream after the other lives, of this or the other service. They answer, stream
//! and make trouble as it is drawn for each request, and write down whatever reaches them.
use super::records::{Arrival, Records, Route, Seconds};
use super::{COLD_S, UPSTREAMS};
use crate::http::Wire;
use crate::plan::Plan as Addresses;
use crate::system::cluster::zone;
use crate::system::documents::{HEALTH, SERVICE};
use crate::system::upstream::{body, event, seal};
use crate::tasks::Spawner;
use async_io::{Async, Timer};
use futures_lite::future;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use sandtrack_net::http::Side;
use sandtrack_sidecar_core::message::{self, Flow, Message};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The other service.
pub const PRINTER: &str = "printer";
/// Zones that have upstreams: those of the control nodes.
const ZONES: usize = super::CONTROLS;
const WORK: Duration = Duration::from_millis(4);
const SLOW: Duration = Duration::from_millis(350);
const EVENT_EVERY: Duration = Duration::from_millis(20);
const SURPLUS_AFTER: Duration = Duration::from_millis(15);
const AGAIN: Duration = Duration::from_millis(5);
/// How often each connection looks whether its upstream still lives: hundreds of them do.
const LIFE_LOOK: Duration = Duration::from_millis(25);
/// Slots of each, as the list shows them.
pub const SLOTS: u32 = 64;

/// What an upstream does with a request in place of answering it well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Trouble {
    ResetBefore,
    ResetAfter,
    /// Resets in the middle of the answer, of a stream in the middle of an event.
    ResetWithin,
    Silence,
    OtherId,
    SurplusNow,
    SurplusLater,
    NotExecuted,
    /// Answers late.
    Slow,
    /// Closes the connection behind its answer, as it said.
    Closes,
    /// Closes the connection behind its answer without a word.
    ClosesUntold,
    /// An answer of no told length that ends with the connection.
    Unframed,
    /// A 500 of its own.
    Fails,
}

impl Trouble {
    const ALL: [Trouble; 13] = [
        Trouble::ResetBefore,
        Trouble::ResetAfter,
        Trouble::ResetWithin,
        Trouble::Silence,
        Trouble::OtherId,
        Trouble::SurplusNow,
        Trouble::SurplusLater,
        Trouble::NotExecuted,
        Trouble::Slow,
        Trouble::Closes,
        Trouble::ClosesUntold,
        Trouble::Unframed,
        Trouble::Fails,
    ];

    /// A client may be left without a whole answer by it.
    pub fn breaks(self) -> bool {
        !matches!(
            self,
            Trouble::SurplusNow | Trouble::SurplusLater | Trouble::Closes | Trouble::Unframed
        )
    }
}

/// One life of an upstream.
#[derive(Clone, Debug)]
pub struct Occupant {
    pub identifier: Rc<str>,
    pub service: &'static str,
    pub zone: String,
    pub started: Seconds,
    /// It is cold until then.
    pub cold_until: Seconds,
    pub draining: bool,
}

/// One address.
pub struct Place {
    pub address: SocketAddrV4,
    occupant: RefCell<Option<Occupant>>,
    /// Rises when the occupant changes: its connections end.
    life: Cell<u64>,
}

pub struct Upstreams {
    pub places: Vec<Rc<Place>>,
    records: Rc<Records>,
    trouble: Cell<f64>,
    rng: RefCell<Pcg64>,
    named: Cell<u64>,
}

/// Events of the whole stream of a request.
pub fn events_of(id: &str) -> u64 {
    6 + digest(id.as_bytes()) % 24
}

/// What two bodies are compared by.
pub fn digest(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}

impl Upstreams {
    /// Opens all addresses; each has an upstream, one in four of the other service.
    ///
    /// # Errors
    /// Where an address can't be listened on.
    pub fn open(
        addresses: &Addresses,
        records: &Rc<Records>,
        seed: u64,
        spawner: &Spawner<'_>,
    ) -> io::Result<Rc<Upstreams>> {
        let place = |number| Place {
            address: addresses.system_upstream(number),
            occupant: RefCell::new(None),
            life: Cell::new(0),
        };
        let upstreams = Rc::new(Upstreams {
            places: (0..UPSTREAMS)
                .map(|number| Rc::new(place(number)))
                .collect(),
            records: records.clone(),
            trouble: Cell::new(0.0),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
            named: Cell::new(0),
        });
        for number in 0..UPSTREAMS {
            let service = if number % 4 == 3 { PRINTER } else { SERVICE };
            upstreams.start(number, service, false);
            listen(&upstreams, number, spawner)?;
        }
        Ok(upstreams)
    }

    /// This share of the requests gets trouble from now on.
    pub fn make_trouble(&self, share: f64) {
        self.trouble.set(share);
    }

    pub fn occupant(&self, place: usize) -> Option<Occupant> {
        self.places[place].occupant.borrow().clone()
    }

    /// A new upstream lives at the address.
    pub fn start(&self, place: usize, service: &'static str, cold: bool) {
        self.named.set(self.named.get() + 1);
        let now = self.records.now();
        let occupant = Occupant {
            identifier: format!("u{}-{place}", self.named.get()).into(),
            service,
            zone: zone(place % ZONES),
            started: now,
            cold_until: if cold { now + COLD_S } else { 0.0 },
            draining: false,
        };
        self.places[place].occupant.replace(Some(occupant));
        self.places[place]
            .life
            .set(self.places[place].life.get() + 1);
    }

    /// Nobody lives there any more; all its connections are reset.
    pub fn crash(&self, place: usize) {
        self.places[place].occupant.replace(None);
        self.places[place]
            .life
            .set(self.places[place].life.get() + 1);
    }

    pub fn drain(&self, place: usize) {
        if let Some(occupant) = self.places[place].occupant.borrow_mut().as_mut() {
            occupant.draining = true;
        }
    }

    fn draw(&self) -> Option<Trouble> {
        let mut rng = self.rng.borrow_mut();
        let drawn = rng.gen::<f64>() < self.trouble.get();
        drawn.then(|| Trouble::ALL[rng.gen_range(0..Trouble::ALL.len())])
    }
}

fn listen(upstreams: &Rc<Upstreams>, number: usize, spawner: &Spawner<'_>) -> io::Result<()> {
    let place = upstreams.places[number].clone();
    let listener = Async::<TcpListener>::bind(SocketAddr::V4(place.address))?;
    let (upstreams, within) = (upstreams.clone(), spawner.clone());
    spawner.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => within.spawn(serve(upstreams.clone(), place.clone(), stream)),
                Err(_) => drop(Timer::after(AGAIN).await),
            }
        }
    });
    Ok(())
}

/// One connection: it ends with the life of its upstream.
async fn serve(upstreams: Rc<Upstreams>, place: Rc<Place>, stream: Async<TcpStream>) {
    let life = place.life.get();
    let Some(occupant) = place.occupant.borrow().clone() else {
        return reset(&stream);
    };
    let mut wire = Wire::new(stream, Side::Request);
    let served = async {
        while let Some(request) = wire.read().await {
            match answer(&upstreams, &place, &occupant, &wire, &request).await {
                After::Next => {}
                After::Close => return,
                After::Reset => return reset(&wire.stream),
            }
        }
    };
    let ended = async {
        while place.life.get() == life {
            Timer::after(LIFE_LOOK).await;
        }
    };
    future::or(served, ended).await;
    if place.life.get() != life {
        reset(&wire.stream);
    }
}

fn reset(stream: &Async<TcpStream>) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// What becomes of the connection.
enum After {
    Next,
    Close,
    Reset,
}

impl From<bool> for After {
    fn from(written: bool) -> After {
        if written {
            After::Next
        } else {
            After::Close
        }
    }
}

async fn answer(
    upstreams: &Upstreams,
    place: &Place,
    occupant: &Occupant,
    wire: &Wire,
    request: &Message,
) -> After {
    let headers = &request.head.headers;
    let cold = (occupant.cold_until - upstreams.records.now()).max(0.0);
    if request.head.target == HEALTH {
        let draining = place
            .occupant
            .borrow()
            .as_ref()
            .is_some_and(|occupant| occupant.draining);
        let status = if draining { 503 } else { 200 };
        let cold = format!("{:.0}", cold * 1000.0);
        let own = [
            ("Instance-Id", &*occupant.identifier),
            ("Server-Load", "0,0,64"),
            ("Cold-Remaining", cold.as_str()),
        ];
        return wire
            .write(&message::response(status, own.into_iter(), b"well", false))
            .await
            .into();
    }
    let Some(id) = headers.get("request-id").filter(|id| !id.is_empty()) else {
        return wire.write(&turned_away("", 400)).await.into();
    };
    if headers
        .get("expected-instance")
        .is_some_and(|expected| expected != &*occupant.identifier)
    {
        return wire.write(&turned_away(id, 421)).await.into();
    }
    let trouble = upstreams.draw();
    let ran = !matches!(trouble, Some(Trouble::ResetBefore | Trouble::NotExecuted));
    let handed = headers
        .get("deadline-remaining")
        .and_then(|left| left.trim().parse::<f64>().ok());
    upstreams.records.arrivals.borrow_mut().push(Arrival {
        at: upstreams.records.now(),
        id: id.to_owned(),
        upstream: occupant.identifier.clone(),
        service: occupant.service,
        zone: occupant.zone.clone(),
        ran,
        trouble,
        method: request.head.method.clone(),
        target: request.head.target.clone(),
        body: digest(&request.body),
        handed: handed.map(|handed| handed / 1000.0),
        was_cold: cold > 0.0,
        tenant: headers.get("tenant-name").map(str::to_owned),
        has_key: headers.get("authorization").is_some(),
    });
    match trouble {
        Some(Trouble::ResetBefore) => return After::Reset,
        Some(Trouble::NotExecuted) => return wire.write(&turned_away(id, 503)).await.into(),
        _ => {}
    }
    Timer::after(if trouble == Some(Trouble::Slow) {
        SLOW
    } else {
        WORK
    })
    .await;
    match trouble {
        Some(Trouble::ResetAfter) => return After::Reset,
        Some(Trouble::Silence) => future::pending::<()>().await,
        _ => {}
    }
    let answer = Answer {
        wire,
        id,
        occupant,
        trouble,
    };
    let is_stream = Route::of_target(&request.head.target).is_some_and(Route::is_stream);
    match is_stream && trouble != Some(Trouble::Fails) {
        true => {
            answer
                .stream(
                    headers
                        .get("last-event-id")
                        .and_then(|last| last.parse().ok()),
                )
                .await
        }
        false => answer.plain().await,
    }
}

fn turned_away(id: &str, status: u16) -> Vec<u8> {
    let headers = [("Request-Id", id), ("Not-Executed", "1")];
    message::response(status, headers.into_iter(), b"", false)
}

/// One answer on its way.
struct Answer<'a> {
    wire: &'a Wire,
    id: &'a str,
    occupant: &'a Occupant,
    trouble: Option<Trouble>,
}

impl Answer<'_> {
    fn head(&self, flow: Flow, kind: &str) -> Vec<u8> {
        let seal = seal(self.id, &self.occupant.identifier);
        let id = if self.trouble == Some(Trouble::OtherId) {
            "another-request"
        } else {
            self.id
        };
        let headers = [
            ("Content-Type", kind),
            ("Request-Id", id),
            ("Server-Seal", seal.as_str()),
        ];
        let status = if self.trouble == Some(Trouble::Fails) {
            500
        } else {
            200
        };
        let closes = matches!(self.trouble, Some(Trouble::Closes | Trouble::Unframed));
        message::response_head(status, headers.into_iter(), flow, closes)
    }

    async fn plain(&self) -> After {
        let body = body(self.id, &self.occupant.identifier);
        let flow = match self.trouble {
            Some(Trouble::Unframed) => Flow::UntilEnd,
            _ => Flow::Length(body.len()),
        };
        let whole = [self.head(flow, "text/plain"), body.into_bytes()].concat();
        if self.trouble == Some(Trouble::ResetWithin) {
            self.wire.write(&whole[..whole.len() - 5]).await;
            return After::Reset;
        }
        self.over(self.wire.write(&whole).await).await
    }

    async fn stream(&self, last: Option<u64>) -> After {
        let flow = if self.trouble == Some(Trouble::Unframed) {
            Flow::UntilEnd
        } else {
            Flow::Chunks
        };
        if !self.wire.write(&self.head(flow, "text/event-stream")).await {
            return After::Close;
        }
        let most = events_of(self.id);
        for number in last.map_or(1, |last| last + 1)..=most {
            Timer::after(EVENT_EVERY).await;
            let event = event(self.id, number);
            if self.trouble == Some(Trouble::ResetWithin) && number > most / 2 {
                self.wire
                    .write(&flow.piece(&event.as_bytes()[..event.len() / 2]))
                    .await;
                return After::Reset;
            }
            if !self.wire.write(&flow.piece(event.as_bytes())).await {
                return After::Close;
            }
        }
        self.over(self.wire.write(&flow.end()).await).await
    }

    /// What comes behind a whole answer.
    async fn over(&self, written: bool) -> After {
        match self.trouble {
            Some(Trouble::SurplusNow) => {}
            Some(Trouble::SurplusLater) => drop(Timer::after(SURPLUS_AFTER).await),
            Some(Trouble::Closes | Trouble::ClosesUntold | Trouble::Unframed) => {
                return After::Close
            }
            _ => return written.into(),
        }
        let nobodys = Answer {
            id: "nobodys-request",
            trouble: None,
            ..*self
        };
        let body = body(nobodys.id, &self.occupant.identifier);
        let head = nobodys.head(Flow::Length(body.len()), "text/plain");
        self.wire
            .write(&[head, body.into_bytes()].concat())
            .await
            .into()
    }
}
