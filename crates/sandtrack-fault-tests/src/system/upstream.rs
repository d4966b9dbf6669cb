//! Stand-in upstreams: they answer with `Server-Seal` and `Request-Id`, stream events, and make trouble as it is drawn for each
//! request. All of them note every run in one book.
use super::documents::{Kind, HEALTH};
use crate::http::Wire;
use crate::tasks::Spawner;
use async_io::{Async, Timer};
use futures_lite::future;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use sandtrack_net::http::Side;
use sandtrack_sidecar_core::message::{self, Flow, Message};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Events of a whole stream.
pub const EVENTS: u64 = 6;
/// Between two of them.
const EVENT_EVERY: Duration = Duration::from_millis(8);
/// How long a request takes.
const WORK: Duration = Duration::from_millis(3);
/// A surplus answer comes so much after the whole one.
const SURPLUS_AFTER: Duration = Duration::from_millis(15);
/// A listener that fails is tried again after this.
const AGAIN: Duration = Duration::from_millis(5);

/// What an upstream does with a request in place of answering it well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Resets the connection without having run the request.
    ResetBefore,
    /// Runs it and resets the connection in place of an answer.
    ResetAfter,
    /// Resets in the middle of the answer.
    ResetWithin,
    /// Runs it and says nothing.
    Silence,
    /// Runs it and answers with the id of another request.
    OtherId,
    /// Answers, and sends an answer that belongs to no request at once behind it.
    SurplusNow,
    /// The same a little later, where the next answer is due.
    SurplusLater,
    /// Turns it away as not run.
    NotExecuted,
}

const TROUBLES: [Trouble; 8] = [
    Trouble::ResetBefore,
    Trouble::ResetAfter,
    Trouble::ResetWithin,
    Trouble::Silence,
    Trouble::OtherId,
    Trouble::SurplusNow,
    Trouble::SurplusLater,
    Trouble::NotExecuted,
];

/// A request as an upstream ran it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub upstream: String,
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
}

/// Runs by `Request-Id`.
#[derive(Debug, Default)]
pub struct RunBook {
    pub runs: BTreeMap<String, Vec<Run>>,
    /// How often each trouble was made.
    pub troubles: BTreeMap<String, u64>,
}

pub type SharedRunBook = Rc<RefCell<RunBook>>;

pub struct Upstream {
    pub identifier: String,
    book: SharedRunBook,
    /// Share of the requests that get trouble.
    trouble: RefCell<f64>,
    rng: RefCell<Pcg64>,
}

/// What the whole answer to a request that is no stream says.
pub fn body(id: &str, upstream: &str) -> String {
    format!("{id} was run by {upstream}")
}

/// One event of a stream.
pub fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

pub fn seal(id: &str, upstream: &str) -> String {
    format!("{upstream}.{id}")
}

impl Upstream {
    pub fn new(identifier: &str, book: &SharedRunBook, seed: u64) -> Rc<Upstream> {
        Rc::new(Upstream {
            identifier: identifier.to_owned(),
            book: book.clone(),
            trouble: RefCell::new(0.0),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
        })
    }

    /// This share of the requests gets trouble from now on.
    pub fn make_trouble(&self, share: f64) {
        self.trouble.replace(share);
    }

    fn draw(&self) -> Option<Trouble> {
        let mut rng = self.rng.borrow_mut();
        let drawn =
            (rng.gen::<f64>() < *self.trouble.borrow()).then(|| rng.gen_range(0..TROUBLES.len()));
        let trouble = TROUBLES[drawn?];
        *self
            .book
            .borrow_mut()
            .troubles
            .entry(format!("{trouble:?}"))
            .or_default() += 1;
        Some(trouble)
    }

    fn note_run(&self, id: &str, request: &Message) {
        let run = Run {
            upstream: self.identifier.clone(),
            method: request.head.method.clone(),
            target: request.head.target.clone(),
            body: request.body.clone(),
        };
        self.book
            .borrow_mut()
            .runs
            .entry(id.to_owned())
            .or_default()
            .push(run);
    }

    fn head(&self, id: &str, flow: Flow, kind: &str) -> Vec<u8> {
        let seal = seal(id, &self.identifier);
        let headers = [
            ("Content-Type", kind),
            ("Request-Id", id),
            ("Server-Seal", seal.as_str()),
        ];
        message::response_head(200, headers.into_iter(), flow, false)
    }

    fn whole(&self, id: &str) -> Vec<u8> {
        let body = body(id, &self.identifier);
        [
            self.head(id, Flow::Length(body.len()), "text/plain"),
            body.into_bytes(),
        ]
        .concat()
    }

    fn turned_away(&self, id: &str, status: u16) -> Vec<u8> {
        let headers = [("Request-Id", id), ("Not-Executed", "1")];
        message::response(status, headers.into_iter(), b"", false)
    }
}

/// Serves for as long as the run lasts.
///
/// # Errors
/// Where the address can't be listened on.
pub fn open(at: SocketAddrV4, upstream: &Rc<Upstream>, spawner: &Spawner<'_>) -> io::Result<()> {
    let listener = Async::<TcpListener>::bind(SocketAddr::V4(at))?;
    let (upstream, within) = (upstream.clone(), spawner.clone());
    spawner.spawn(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => within.spawn(serve(upstream.clone(), stream)),
                Err(_) => drop(Timer::after(AGAIN).await),
            }
        }
    });
    Ok(())
}

async fn serve(upstream: Rc<Upstream>, stream: Async<TcpStream>) {
    let mut wire = Wire::new(stream, Side::Request);
    while let Some(request) = wire.read().await {
        if !answer(&upstream, &wire, &request).await {
            let _ = rustix::net::sockopt::set_socket_linger(&wire.stream, Some(Duration::ZERO));
            return;
        }
    }
}

/// Answers one request; no: the connection is to be reset.
async fn answer(upstream: &Upstream, wire: &Wire, request: &Message) -> bool {
    let headers = &request.head.headers;
    if request.head.target == HEALTH {
        let own = [
            ("Instance-Id", upstream.identifier.as_str()),
            ("Server-Load", "0,0,64"),
        ];
        return wire
            .write(&message::response(200, own.into_iter(), b"well", false))
            .await;
    }
    let Some(id) = headers.get("request-id").filter(|id| !id.is_empty()) else {
        return wire.write(&upstream.turned_away("", 400)).await;
    };
    if headers
        .get("expected-instance")
        .is_some_and(|expected| expected != upstream.identifier)
    {
        return wire.write(&upstream.turned_away(id, 421)).await;
    }
    let trouble = upstream.draw();
    match trouble {
        Some(Trouble::ResetBefore) => return false,
        Some(Trouble::NotExecuted) => return wire.write(&upstream.turned_away(id, 503)).await,
        _ => upstream.note_run(id, request),
    }
    Timer::after(WORK).await;
    match trouble {
        Some(Trouble::ResetAfter) => return false,
        Some(Trouble::Silence) => return future::pending().await,
        _ => {}
    }
    let is_stream = [Kind::Stream, Kind::ResumableStream].iter().any(|kind| {
        request
            .head
            .target
            .starts_with(&format!("/{}/", kind.prefix()))
    });
    let given = if trouble == Some(Trouble::OtherId) {
        "another-request"
    } else {
        id
    };
    let written = match is_stream {
        true => stream(upstream, wire, request, given, trouble).await,
        false => plain(upstream, wire, given, trouble).await,
    };
    written && surplus(upstream, wire, trouble).await
}

async fn plain(upstream: &Upstream, wire: &Wire, id: &str, trouble: Option<Trouble>) -> bool {
    let whole = upstream.whole(id);
    if trouble == Some(Trouble::ResetWithin) {
        wire.write(&whole[..whole.len() - 5]).await;
        return false;
    }
    wire.write(&whole).await
}

async fn stream(
    upstream: &Upstream,
    wire: &Wire,
    request: &Message,
    id: &str,
    trouble: Option<Trouble>,
) -> bool {
    let last = request
        .head
        .headers
        .get("last-event-id")
        .and_then(|last| last.parse::<u64>().ok());
    let first = last.map_or(1, |last| last + 1);
    if !wire
        .write(&upstream.head(id, Flow::Chunks, "text/event-stream"))
        .await
    {
        return false;
    }
    for number in first..=EVENTS {
        Timer::after(EVENT_EVERY).await;
        if trouble == Some(Trouble::ResetWithin) && number > EVENTS / 2 {
            return false;
        }
        if !wire
            .write(&message::chunk(event(id, number).as_bytes()))
            .await
        {
            return false;
        }
    }
    wire.write(&message::chunk(b"")).await
}

/// Bytes that belong to no request, where that is the trouble.
async fn surplus(upstream: &Upstream, wire: &Wire, trouble: Option<Trouble>) -> bool {
    match trouble {
        Some(Trouble::SurplusNow) => {}
        Some(Trouble::SurplusLater) => drop(Timer::after(SURPLUS_AFTER).await),
        _ => return true,
    }
    wire.write(&upstream.whole("nobodys-request")).await
}
