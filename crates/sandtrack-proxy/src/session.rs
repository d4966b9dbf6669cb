//! The session with the control plane: this proxy is a member while it stands. Opened with the nearest control node that
//! answers and hears a majority of its kind; opened anew elsewhere when that falls silent.
use crate::balancer::Folded;
use crate::shared::Shared;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{no_delay, write_within};
use sandtrack_protocol::frames::{frame, take, ProxyInfo, ToControl, ToProxy, BEAT_MS, FORMAT, SILENCE_MS};
use sandtrack_protocol::settings::{Settings, SESSION_PORT};
use sandtrack_tiers::Millis;
use std::io::Read;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// A control node that does not answer within this time is passed over.
const CONNECT: Duration = Duration::from_millis(350);
/// Pause after all were tried in vain.
const PAUSE: Duration = Duration::from_millis(100);
/// With one that hears no majority, it is looked for a better one this often, in ms.
const DETACHED_LOOK: Millis = 1000.0;

/// Addresses to try, nearest first, each once: this machine's own, those that control named, those of the seeds.
pub fn candidates(settings: &Settings, named: &[String]) -> Vec<String> {
    let seeds = settings.seed_nodes.iter().map(|seed| Settings::ip_of(seed));
    let seeds = seeds.map(|ip| settings.internal_address(ip, SESSION_PORT));
    let mut all: Vec<String> = Vec::new();
    let own = settings.internal_address(&settings.ip_address, SESSION_PORT);
    let own = settings.loss_counted.then_some(own);
    for address in own.into_iter().chain(named.iter().cloned()).chain(seeds) {
        if !all.contains(&address) {
            all.push(address);
        }
    }
    all
}

/// Keeps a session for the life of the process.
pub async fn run(shared: Rc<Shared>) {
    // One that heard no majority is taken only where no other does.
    let mut accept_detached = false;
    loop {
        let tried = candidates(&shared.settings.borrow(), &shared.balancer.borrow().control_nodes);
        let mut stood = false;
        for address in tried {
            if hold(&shared, &address, accept_detached).await {
                stood = true;
                break;
            }
        }
        accept_detached = !stood && !accept_detached;
        if !stood {
            Timer::after(PAUSE).await;
        }
    }
}

/// Holds a session until it breaks; whether it stood.
async fn hold(shared: &Rc<Shared>, address: &str, accept_detached: bool) -> bool {
    let Ok(address) = address.parse::<SocketAddr>() else { return false };
    let late = async {
        Timer::after(CONNECT).await;
        Err(std::io::ErrorKind::TimedOut.into())
    };
    let Ok(stream) = future::or(Async::<TcpStream>::connect(address), late).await else { return false };
    no_delay(&stream);
    let info = {
        let settings = shared.settings.borrow();
        ProxyInfo {
            node_name: settings.node_name.clone(),
            incarnation: shared.incarnation,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            front: settings.listen.get("front").cloned().unwrap_or_default(),
        }
    };
    let hello = ToControl::Hello { format: FORMAT, info, state: shared.balancer.borrow().state() };
    if !write(&stream, &hello).await {
        return false;
    }
    let (want, wants) = async_channel::unbounded();
    let telling = async {
        tell(shared, &stream, wants).await;
        false
    };
    future::or(listen(shared, &stream, want, accept_detached), telling).await
}

async fn write(stream: &Async<TcpStream>, message: &ToControl) -> bool {
    let bytes = frame(message);
    let mut output = Ring::new(bytes.len());
    output.push(&bytes) && write_within(stream, &mut output, Duration::from_millis(SILENCE_MS)).await
}

/// Says with each beat, and at once when something changed, how this proxy is. Returns when the session broke.
async fn tell(shared: &Shared, stream: &Async<TcpStream>, wants: async_channel::Receiver<ToControl>) {
    let mut told = None;
    let mut told_at = 0.0;
    loop {
        while let Ok(want) = wants.try_recv() {
            if !write(stream, &want).await {
                return;
            }
        }
        let now = shared.clock.now();
        let state = shared.balancer.borrow().state();
        let same = |a: &sandtrack_protocol::frames::ProxyState| {
            (a.ready, a.leaving, a.version) == (state.ready, state.leaving, state.version)
        };
        if now - told_at >= BEAT_MS as f64 || !told.as_ref().is_some_and(same) {
            if !write(stream, &ToControl::State(state.clone())).await {
                return;
            }
            (told, told_at) = (Some(state), now);
        }
        let wanted = async {
            let _ = shared.news.recv().await;
        };
        let beat = async {
            Timer::after(Duration::from_millis(BEAT_MS)).await;
        };
        future::or(wanted, beat).await;
    }
}

/// Takes what control tells until the session breaks; whether it stood.
async fn listen(
    shared: &Shared, stream: &Async<TcpStream>, want: async_channel::Sender<ToControl>, accept_detached: bool,
) -> bool {
    let mut held: Vec<u8> = Vec::new();
    let mut stood = false;
    let mut detached_since: Option<Millis> = None;
    let mut bytes = vec![0; 16 * 1024];
    loop {
        let late = async {
            Timer::after(Duration::from_millis(SILENCE_MS)).await;
            None
        };
        let read = async { Some(stream.read_with(|mut socket| socket.read(&mut bytes)).await) };
        let count = match future::or(read, late).await {
            Some(Ok(count)) if count > 0 => count,
            _ => return stood,
        };
        held.extend_from_slice(&bytes[..count]);
        let mut taken = 0;
        loop {
            let (message, length) = match take::<ToProxy>(&held[taken..]) {
                Ok(Some(taken)) => taken,
                Ok(None) => break,
                Err(error) => {
                    log::error!("session with control: {error}");
                    return stood;
                }
            };
            taken += length;
            let now = shared.clock.now();
            match &message {
                ToProxy::Welcome { format, control_node, attached } => {
                    // Where nothing is known, what one without a majority knows is better: it was committed once.
                    let nothing_known = !shared.balancer.borrow().is_ready();
                    if *format != FORMAT || !attached && !accept_detached && !nothing_known {
                        return false;
                    }
                    log::info!("session with {control_node} stands");
                    stood = true;
                    detached_since = (!attached).then_some(now);
                }
                ToProxy::Beat { attached: true } => detached_since = None,
                ToProxy::Beat { attached: false } => {
                    let since = *detached_since.get_or_insert(now);
                    if now - since > DETACHED_LOOK {
                        return false;
                    }
                }
                _ => {}
            }
            let folded = shared.balancer.borrow_mut().fold(now, message);
            if folded == Folded::WantConfiguration {
                let _ = want.try_send(ToControl::WantConfiguration);
                shared.tell_news();
            }
            if std::mem::take(&mut shared.balancer.borrow_mut().changed) {
                shared.tell_news();
            }
        }
        held.drain(..taken);
        if held.is_empty() {
            held.shrink_to(64 * 1024);
        }
    }
}
