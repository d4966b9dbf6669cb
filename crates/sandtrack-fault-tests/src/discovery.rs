//! Stand-in discovery: each process has one to itself, so that lists may be late and differ. It owns those listeners, and must
//! never tell more than what the upstreams' processes show.
use crate::http::Wire;
use crate::tasks::Spawner;
use crate::upstream::Shared as Upstream;
use async_io::{Async, Timer};
use sandtrack_net::http::Side;
use sandtrack_sidecar_core::message;
use serde_json::{json, Value};
use std::cell::RefCell;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often the upstreams are looked at, and how often a watch says that it stands.
const LOOK: Duration = Duration::from_millis(50);
const BEAT: Duration = Duration::from_millis(1500);
/// What it tells is so old at least: it finds out by itself.
const NEWS: Duration = Duration::from_millis(300);

pub struct Discovery {
    pub up: bool,
    upstreams: Vec<Upstream>,
    /// Versions of what was seen, and since when each is so.
    seen: Vec<(Instant, Vec<(String, u64)>)>,
    /// By process: how late its lists are, and the zone that they leave out.
    pub late: Vec<Duration>,
    pub without: Vec<Option<usize>>,
    /// Counts changes of these.
    pub changes: u64,
    zones: Vec<String>,
}

pub type Shared = Rc<RefCell<Discovery>>;

impl Discovery {
    pub fn new(upstreams: Vec<Upstream>, processes: usize, zones: &[String]) -> Shared {
        Rc::new(RefCell::new(Discovery {
            up: true,
            upstreams,
            seen: Vec::new(),
            late: vec![Duration::ZERO; processes],
            without: vec![None; processes],
            changes: 0,
            zones: zones.to_vec(),
        }))
    }

    fn look(&mut self) {
        let state = |upstream: &Upstream| {
            let here = upstream.borrow();
            (here.lifecycle().to_owned(), here.started_ms)
        };
        let now: Vec<(String, u64)> = self.upstreams.iter().map(state).collect();
        if self.seen.last().is_none_or(|(_, last)| *last != now) {
            self.seen.push((Instant::now(), now));
        }
    }

    /// The version that a process may know by now.
    fn version(&self, process: usize) -> usize {
        let old = |seen: &(Instant, _)| seen.0.elapsed() >= NEWS + self.late[process];
        self.seen.iter().rposition(old).unwrap_or(0)
    }

    /// The list as a process in this zone is told it.
    pub fn list(&self, process: usize, zone: usize) -> Value {
        let version = self.version(process);
        let states = self
            .seen
            .get(version)
            .map(|seen| seen.1.clone())
            .unwrap_or_default();
        let entries = self.upstreams.iter().enumerate().map(|(n, upstream)| {
            let here = upstream.borrow();
            let (lifecycle, started) = states.get(n).cloned().unwrap_or(("SERVING".to_owned(), 0));
            let lifecycle =
                if self.without[process] == Some(here.zone) { "DELETED".to_owned() } else { lifecycle };
            json!({"instanceId": here.name, "hostPort": here.addresses[zone].to_string(),
                "zone": self.zones[here.zone], "machineType": "m", "cell": n, "lifecycle": lifecycle, "weight": 1.0,
                "startedAtMs": started})
        });
        let generation = version as u64 * 1000 + self.changes;
        json!({"generation": generation, "reset": false, "instances": entries.collect::<Vec<_>>()})
    }
}

/// Looks at the upstreams for as long as the run lasts.
pub async fn look(discovery: Shared) {
    loop {
        discovery.borrow_mut().look();
        Timer::after(LOOK).await;
    }
}

pub fn open(
    discovery: &Shared,
    process: usize,
    zone: usize,
    address: SocketAddrV4,
    executor: &Spawner<'_>,
) -> std::io::Result<()> {
    let listener = Async::<TcpListener>::bind(SocketAddr::V4(address))?;
    let (discovery, within) = (discovery.clone(), executor.clone());
    let accept = async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                Timer::after(Duration::from_millis(5)).await;
                continue;
            };
            if discovery.borrow().up {
                within.spawn(watch(discovery.clone(), process, zone, stream));
            }
        }
    };
    executor.spawn(accept);
    Ok(())
}

async fn watch(discovery: Shared, process: usize, zone: usize, stream: Async<TcpStream>) {
    let mut wire = Wire::new(stream, Side::Request);
    if wire.read().await.is_none() {
        return;
    }
    let head = message::response_head(200, std::iter::empty(), message::Flow::Chunks, false);
    if !wire.write(&head).await {
        return;
    }
    let (mut told, mut said) = (None, Instant::now());
    while discovery.borrow().up {
        let list = discovery.borrow().list(process, zone);
        let news = told.as_ref() != Some(&list);
        if news || said.elapsed() >= BEAT {
            let line = if news {
                format!("{list}\n")
            } else {
                "\n".to_owned()
            };
            if !wire.write(&message::chunk(line.as_bytes())).await {
                return;
            }
            (told, said) = (Some(list), Instant::now());
        }
        Timer::after(LOOK).await;
    }
}
