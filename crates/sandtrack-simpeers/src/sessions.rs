//! SimPeers proxies: sessions with real control nodes, held as a proxy holds them (candidates, beats, silence), which count
//! what they are told and throw it away.
use crate::process::{region, zone};
use crate::skim::{Skimmer, Told};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use sandtrack_protocol::frames::{
    frame, ProxyInfo, ProxyState, ToControl, ToProxy, BEAT_MS, FORMAT, SILENCE_MS,
};
use std::cell::RefCell;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// As the proxy's: how long a control node may take to answer, and the pause when all were tried.
const CONNECT: Duration = Duration::from_millis(350);
const PAUSE: Duration = Duration::from_millis(100);

/// What one simulated proxy has seen.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub stands: bool,
    pub sessions: u32,
    pub version: u64,
    pub version_at: f64,
    pub list: bool,
    /// When an upstream was last shown as draining, in s.
    pub draining_at: f64,
    pub proxies: u32,
    pub received: u64,
    pub received_frames: u64,
    pub sent: u64,
    pub sent_frames: u64,
    pub wholes: u64,
    pub largest: usize,
    control_nodes: Vec<String>,
    number: u64,
}

/// What all of them share.
pub struct Board {
    pub began: Instant,
    pub seen: RefCell<Vec<Seen>>,
    pub seeds: Vec<String>,
    pub zones: usize,
}

/// Sums over all sessions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    pub received: u64,
    pub received_frames: u64,
    pub sent: u64,
    pub sent_frames: u64,
    pub wholes: u64,
    pub sessions: u64,
}

impl Board {
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn all(&self, holds: impl Fn(&Seen) -> bool) -> bool {
        self.seen.borrow().iter().all(holds)
    }

    pub fn count(&self, holds: impl Fn(&Seen) -> bool) -> usize {
        self.seen.borrow().iter().filter(|seen| holds(seen)).count()
    }

    pub fn sum(&self) -> Sum {
        self.seen.borrow().iter().fold(Sum::default(), |sum, seen| Sum {
            received: sum.received + seen.received,
            received_frames: sum.received_frames + seen.received_frames,
            sent: sum.sent + seen.sent,
            sent_frames: sum.sent_frames + seen.sent_frames,
            wholes: sum.wholes + seen.wholes,
            sessions: sum.sessions + u64::from(seen.sessions),
        })
    }
}

/// Starts so many.
pub fn start(executor: &LocalExecutor<'_>, board: &Rc<Board>, count: usize) {
    board.seen.borrow_mut().resize(count, Seen::default());
    for at in 0..count {
        let board = board.clone();
        executor.spawn(async move { run(&board, at).await }).detach();
    }
}

async fn run(board: &Board, at: usize) {
    loop {
        let named = board.seen.borrow()[at].control_nodes.clone();
        let mut tried: Vec<String> = Vec::new();
        for address in named.iter().chain(&board.seeds) {
            if tried.contains(address) {
                continue;
            }
            tried.push(address.clone());
            let stood = hold(board, at, address).await.unwrap_or(false);
            board.seen.borrow_mut()[at].stands = false;
            if stood {
                break;
            }
        }
        Timer::after(PAUSE).await;
    }
}

async fn hold(board: &Board, at: usize, address: &str) -> Option<bool> {
    let address: SocketAddr = address.parse().ok()?;
    let late = async {
        Timer::after(CONNECT).await;
        None
    };
    let stream = future::or(async { Async::<TcpStream>::connect(address).await.ok() }, late).await?;
    stream.get_ref().set_nodelay(true).ok()?;
    let (news, told) = async_channel::bounded(1);
    let info = ProxyInfo {
        node_name: format!("simulated-{at:05}"),
        incarnation: at as u64 + 1,
        zone: zone(at % board.zones),
        region: region(at % board.zones),
        front: format!("127.0.0.1:{}", 10_000 + at),
    };
    let hello = frame(&ToControl::Hello { format: FORMAT, info, state: state(board, at) });
    (&stream).write_all(&hello).await.ok()?;
    count(board, at, hello.len());
    let tell = async {
        loop {
            let beat = async {
                Timer::after(Duration::from_millis(BEAT_MS)).await;
            };
            let news = async {
                let _ = told.recv().await;
            };
            future::or(news, beat).await;
            let bytes = frame(&ToControl::State(state(board, at)));
            count(board, at, bytes.len());
            if (&stream).write_all(&bytes).await.is_err() {
                return;
            }
        }
    };
    let mut skimmer = Skimmer::default();
    let mut piece = vec![0; 16 * 1024];
    let listen = async {
        loop {
            let late = async {
                Timer::after(Duration::from_millis(SILENCE_MS)).await;
                0
            };
            let read = async { (&stream).read(&mut piece).await.unwrap_or(0) };
            let came = future::or(read, late).await;
            let mut seen = board.seen.borrow_mut();
            let seen = &mut seen[at];
            let before = (seen.version, seen.list);
            let fold = |told, length| fold(seen, board.now(), told, length);
            if came == 0 || skimmer.take(&piece[..came], fold).is_err() {
                return;
            }
            if before != (seen.version, seen.list) {
                let _ = news.try_send(());
            }
        }
    };
    future::or(listen, tell).await;
    Some(board.seen.borrow()[at].stands)
}

fn count(board: &Board, at: usize, length: usize) {
    let seen = &mut board.seen.borrow_mut()[at];
    seen.sent += length as u64;
    seen.sent_frames += 1;
}

fn state(board: &Board, at: usize) -> ProxyState {
    let seen = &board.seen.borrow()[at];
    ProxyState { ready: seen.version > 0 && seen.list, leaving: false, version: seen.version, open: 0 }
}

fn fold(seen: &mut Seen, now: f64, told: Told, length: usize) {
    seen.received += length as u64;
    seen.received_frames += 1;
    seen.largest = seen.largest.max(length);
    let (number, version) = match told {
        Told::Whole(ToProxy::Configuration { number, version, .. })
        | Told::Configuration { number, version } => {
            seen.wholes += 1;
            (number, version)
        }
        Told::Whole(ToProxy::Changes { number, version, .. }) | Told::Changes { number, version, .. } => {
            (number, version)
        }
        Told::Whole(ToProxy::Welcome { .. }) => {
            seen.stands = true;
            seen.sessions += 1;
            return;
        }
        Told::Whole(ToProxy::Census { control_nodes, proxies, .. }) => {
            seen.control_nodes = control_nodes;
            seen.proxies = proxies;
            return;
        }
        Told::Whole(ToProxy::Upstreams { entries, .. }) => {
            seen.list = true;
            if entries.iter().any(|entry| entry.draining) {
                seen.draining_at = now;
            }
            return;
        }
        Told::Upstreams => {
            seen.list = true;
            return;
        }
        _ => return,
    };
    if number > seen.number {
        (seen.number, seen.version, seen.version_at) = (number, version, now);
    }
}
