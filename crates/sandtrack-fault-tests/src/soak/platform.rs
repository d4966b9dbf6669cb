//! The platform's list as it misbehaves: it lags, comes in pages, takes so many calls a second, and at times answers 429, errors,
//! half an answer or nothing.
use super::records::{Records, Seconds};
use super::upstreams::{Occupant, Upstreams, SLOTS};
use crate::http::Wire;
use crate::tasks::Spawner;
use async_io::{Async, Timer};
use futures_lite::future;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use sandtrack_net::http::Side;
use sandtrack_sidecar_core::message;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// The list runs so far behind, in s.
const LAG: Seconds = 0.5;
/// Entries of one page.
const PAGE: usize = 3;
/// How often the state is taken down.
const SNAPSHOT_EVERY: Duration = Duration::from_millis(50);
/// One that crashed stays on the list for so long, in s.
const CRASHED_STAYS: Seconds = 1.5;
/// Calls that are taken in a second.
const RATE: usize = 20;

type Entry = (SocketAddrV4, Occupant);

pub struct Platform {
    records: Rc<Records>,
    upstreams: Rc<Upstreams>,
    /// The list as it was, by when.
    past: RefCell<VecDeque<(Seconds, Vec<Entry>)>>,
    /// Upstreams that were there when they were last looked at, and when that was.
    seen: RefCell<Vec<(Seconds, Entry)>>,
    calls: RefCell<VecDeque<Seconds>>,
    in_trouble: Cell<bool>,
    rng: RefCell<Pcg64>,
}

impl Platform {
    /// Serves the list for as long as the run lasts.
    ///
    /// # Errors
    /// Where the address can't be listened on.
    pub fn open(
        at: SocketAddrV4,
        upstreams: &Rc<Upstreams>,
        records: &Rc<Records>,
        seed: u64,
        spawner: &Spawner<'_>,
    ) -> io::Result<Rc<Platform>> {
        let listener = Async::<TcpListener>::bind(SocketAddr::V4(at))?;
        let platform = Rc::new(Platform {
            records: records.clone(),
            upstreams: upstreams.clone(),
            past: RefCell::default(),
            seen: RefCell::default(),
            calls: RefCell::default(),
            in_trouble: Cell::new(false),
            rng: RefCell::new(Pcg64::seed_from_u64(seed)),
        });
        let (watched, served, within) = (platform.clone(), platform.clone(), spawner.clone());
        spawner.spawn(async move {
            loop {
                watched.take_down();
                Timer::after(SNAPSHOT_EVERY).await;
            }
        });
        spawner.spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => within.spawn(serve(served.clone(), stream)),
                    Err(_) => drop(Timer::after(Duration::from_millis(5)).await),
                }
            }
        });
        Ok(platform)
    }

    pub fn make_trouble(&self, in_trouble: bool) {
        self.in_trouble.set(in_trouble);
    }

    /// Notes the state, which the list shows later.
    fn take_down(&self) {
        let now = self.records.now();
        let mut seen = self.seen.borrow_mut();
        for place in 0..self.upstreams.places.len() {
            let Some(occupant) = self.upstreams.occupant(place) else {
                continue;
            };
            let address = self.upstreams.places[place].address;
            seen.retain(|(_, (_, known))| known.identifier != occupant.identifier);
            seen.push((now, (address, occupant)));
        }
        seen.retain(|(at, _)| now - at < CRASHED_STAYS);
        let entries = seen.iter().map(|(_, entry)| entry.clone()).collect();
        let mut past = self.past.borrow_mut();
        past.push_back((now, entries));
        while past.get(1).is_some_and(|(at, _)| now - at > LAG) {
            past.pop_front();
        }
        let mut shown = self.records.shown.borrow_mut();
        for (_, occupant) in past.front().into_iter().flat_map(|(_, entries)| entries) {
            let shown = shown.entry(occupant.identifier.to_string()).or_default();
            shown.draining = shown.draining.or(occupant.draining.then_some(now));
        }
    }

    /// The list as it shows now.
    fn list(&self) -> Vec<Entry> {
        let mut list = self
            .past
            .borrow()
            .front()
            .map(|(_, entries)| entries.clone())
            .unwrap_or_default();
        list.sort_by(|one, other| one.1.identifier.cmp(&other.1.identifier));
        list
    }

    fn page(&self, token: usize) -> Value {
        let list = self.list();
        let now = self.records.now();
        let entry = |(address, occupant): &Entry| {
            json!({"identifier": &*occupant.identifier, "service": occupant.service,
                "address": address.to_string(), "zone": occupant.zone, "version_number": "v1", "slots": SLOTS,
                "state": if occupant.draining { "draining" } else { "ready" },
                "cold_remaining_ms": ((occupant.cold_until - now).max(0.0) * 1000.0) as u64})
        };
        let page: Vec<Value> = list.iter().skip(token).take(PAGE).map(entry).collect();
        let next = token + PAGE;
        json!({"instances": page, "next_token": (next < list.len()).then(|| next.to_string())})
    }

    fn is_over_rate(&self) -> bool {
        let now = self.records.now();
        let mut calls = self.calls.borrow_mut();
        calls.retain(|at| now - at < 1.0);
        calls.push_back(now);
        calls.len() > RATE
    }
}

async fn serve(platform: Rc<Platform>, stream: Async<TcpStream>) {
    let mut wire = Wire::new(stream, Side::Request);
    while let Some(request) = wire.read().await {
        let (path, query) = request
            .head
            .target
            .split_once('?')
            .unwrap_or((&request.head.target, ""));
        let token = query
            .split('&')
            .find_map(|pair| pair.strip_prefix("page_token="));
        let token = token.and_then(|token| token.parse().ok()).unwrap_or(0);
        let kind = || [("Content-Type", "application/json")].into_iter();
        let trouble = platform
            .in_trouble
            .get()
            .then(|| platform.rng.borrow_mut().gen_range(0..6));
        let bytes = match (path, trouble) {
            (_, Some(0)) => message::response(500, kind(), b"{}", false),
            (_, Some(1)) => return,
            (_, Some(2)) => return future::pending().await,
            (_, Some(3)) => message::response(200, kind(), b"{\"instances\":[{\"identi", false),
            (_, Some(4)) => message::response(429, kind(), b"{}", false),
            ("/instances", _) if platform.is_over_rate() => {
                message::response(429, kind(), b"{}", false)
            }
            ("/instances", _) => message::response(
                200,
                kind(),
                platform.page(token).to_string().as_bytes(),
                false,
            ),
            _ => message::response(404, kind(), b"{}", false),
        };
        if !wire.write(&bytes).await {
            return;
        }
    }
}
