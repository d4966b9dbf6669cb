//! One real proxy at a size: a stand-in control node tells it a configuration and a list, and all its upstreams are one
//! stand-in that answers health probes.
use crate::document;
use crate::http;
use crate::listing::Listing;
use crate::process::{region, zone, Measured, Place};
use crate::Fault;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use sandtrack_core::message;
use sandtrack_protocol::frames::{
    self, frame, ItemChange, ToControl, ToProxy, UpstreamEntry, BEAT_MS, FORMAT,
};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

#[derive(Clone, Debug)]
pub struct Plan {
    pub proxy: PathBuf,
    pub upstreams: usize,
    pub tenants: usize,
    pub zones: usize,
    pub seconds: f64,
    pub changes: usize,
}

/// What the stand-ins count.
#[derive(Default)]
struct Counts {
    probes: Cell<u64>,
    connections: Cell<u64>,
    open: Cell<u64>,
    /// Version that the proxy says it serves by, and whether it is ready.
    version: Cell<u64>,
    ready: Cell<bool>,
    told: Cell<u64>,
    sessions: Cell<u64>,
    /// Bytes of health questions and answers.
    probe_bytes: Cell<u64>,
}

fn bind(address: &str) -> Result<Async<TcpListener>, Fault> {
    let address: SocketAddr = address.parse().map_err(|_| Fault::Run(format!("{address} is no address")))?;
    Ok(Async::<TcpListener>::bind(address)?)
}

/// Runs the plan; the figures by name.
///
/// # Errors
/// Where the proxy can't be started, or does not get ready.
pub async fn run(
    plan: &Plan, executor: Rc<LocalExecutor<'static>>, folder: &std::path::Path,
) -> Result<BTreeMap<String, f64>, Fault> {
    let net = format!("127.{}.{}", 64 + std::process::id() % 128, std::process::id() / 128 % 250);
    let (control, upstream) = (format!("{net}.1:7721"), format!("{net}.3:8080"));
    let counts = Rc::new(Counts::default());
    let (orders, ordered) = async_channel::unbounded::<Rc<[u8]>>();
    serve_health(&executor, &counts, bind(&upstream)?);
    serve_session(&executor, &counts, bind(&control)?, first(plan, &upstream), ordered);
    let place = Place {
        node_name: "proxy-0",
        ip: &format!("{net}.2"),
        zone: 0,
        zones: plan.zones,
        seeds: &[format!("{net}.1:8166")],
        listen: &format!("\"front\":\"{net}.2:8161\",\"readiness\":\"{net}.2:8167\""),
        data: None,
        platform: "",
        rate: 1.0,
    };
    let settings = folder.join("proxy.json");
    std::fs::write(&settings, place.json())?;
    let proxy = Measured::start(&plan.proxy, &settings, &folder.join("proxy.log"))?;
    let mut figures = BTreeMap::new();
    let mut note = |name: &str, figure: f64| {
        figures.insert(name.to_owned(), (figure * 10_000.0).round() / 10_000.0);
    };
    let mut waited = 0;
    while !counts.ready.get() {
        Timer::after(Duration::from_millis(20)).await;
        waited += 1;
        if waited > 1500 {
            return Err(Fault::Run("the proxy did not get ready".to_owned()));
        }
    }
    note("ready_s", f64::from(waited) * 0.02);
    Timer::after(Duration::from_secs(8)).await;
    let moment = || (proxy.used(), counts.probes.get(), counts.connections.get(), counts.probe_bytes.get());
    let before = moment();
    Timer::after(Duration::from_secs_f64(plan.seconds)).await;
    let after = moment();
    let idle = (after.0.processor_ms - before.0.processor_ms) / plan.seconds;
    note("idle_core_share", idle / 1000.0);
    note("peak_mb", after.0.peak_kb as f64 / 1024.0);
    note("resident_mb", after.0.resident_kb as f64 / 1024.0);
    note("descriptors", after.0.descriptors as f64);
    note("probes_s", (after.1 - before.1) as f64 / plan.seconds);
    note("connections_s", (after.2 - before.2) as f64 / plan.seconds);
    note("probe_bytes_s", (after.3 - before.3) as f64 / plan.seconds);
    note("connections_open", counts.open.get() as f64);
    note("sessions", counts.sessions.get() as f64);
    note("told_bytes", counts.told.get() as f64);
    let (mut took, mut spent) = (Vec::new(), 0.0);
    for change in 0..plan.changes as u64 {
        let (version, from) = (2 + change, proxy.used().processor_ms);
        let update = document::update(version, plan.tenants);
        let item = item_of(&update);
        let frame = frame(&ToProxy::Changes {
            from_number: version - 1,
            number: version,
            version,
            items: vec![item],
            fields: Vec::new(),
        });
        let _ = orders.try_send(frame.into());
        let mut waited = 0;
        while counts.version.get() < version && waited < 4000 {
            Timer::after(Duration::from_millis(5)).await;
            waited += 1;
        }
        took.push(f64::from(waited) * 0.005);
        Timer::after(Duration::from_secs(1)).await;
        spent += proxy.used().processor_ms - from - idle * (1.0 + f64::from(waited) * 0.005);
    }
    if plan.changes > 0 {
        note("change_core_ms", spent / plan.changes as f64);
        note("change_in_force_worst_s", crate::slope::quantile(&took, 1.0).unwrap_or(-1.0));
    }
    note("end_peak_mb", proxy.used().peak_kb as f64 / 1024.0);
    Ok(figures)
}

/// The one item that an update sets.
fn item_of(update: &str) -> ItemChange {
    let list = if update.contains("\"tenants\"") { "tenants" } else { "routes" };
    let begin = update.find('[').map_or(0, |at| at + 1);
    let json = &update[begin..update.len() - 3];
    let name = json.split('"').nth(3).unwrap_or_default().to_owned();
    ItemChange { list: list.to_owned(), name, json: Some(json.to_owned()) }
}

/// What a session begins with.
fn first(plan: &Plan, address: &str) -> Rc<[u8]> {
    let entry = |at: usize| UpstreamEntry {
        identifier: Listing::identifier(at),
        service: format!("m-{}", at % document::MODELS),
        address: address.to_owned(),
        zone: zone(at % plan.zones),
        slots: 64,
        models: vec!["m".to_owned()],
        ..UpstreamEntry::default()
    };
    let told = [
        ToProxy::Welcome {
            format: FORMAT,
            control_node: format!("stand-in of {}", region(0)),
            attached: true,
        },
        ToProxy::Configuration { number: 1, version: 1, document: document::whole(1, plan.tenants) },
        ToProxy::Upstreams {
            whole: true,
            round: 1,
            entries: (0..plan.upstreams).map(entry).collect(),
            gone: Vec::new(),
        },
        ToProxy::Census { control_nodes: Vec::new(), proxies: 1500, rank: 0 },
    ];
    told.iter().flat_map(frame).collect::<Vec<u8>>().into()
}

fn serve_health(executor: &Rc<LocalExecutor<'static>>, counts: &Rc<Counts>, listener: Async<TcpListener>) {
    let (here, counts) = (executor.clone(), counts.clone());
    let accept = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            counts.connections.set(counts.connections.get() + 1);
            counts.open.set(counts.open.get() + 1);
            let counts = counts.clone();
            let answer = async move {
                let _ = stream.get_ref().set_nodelay(true);
                let mut held = Vec::new();
                while let Ok(Some((length, _, _))) = http::read_sized(&mut stream, &mut held).await {
                    counts.probes.set(counts.probes.get() + 1);
                    let headers = [("Server-Load", "0,0,64")].into_iter();
                    let answer = message::response(200, headers, b"", false);
                    counts.probe_bytes.set(counts.probe_bytes.get() + (length + answer.len()) as u64);
                    if stream.write_all(&answer).await.is_err() {
                        break;
                    }
                }
                counts.open.set(counts.open.get() - 1);
            };
            here.spawn(answer).detach();
        }
    };
    executor.spawn(accept).detach();
}

fn serve_session(
    executor: &Rc<LocalExecutor<'static>>, counts: &Rc<Counts>, listener: Async<TcpListener>,
    first: Rc<[u8]>, ordered: async_channel::Receiver<Rc<[u8]>>,
) {
    let counts = counts.clone();
    let serve = async move {
        while let Ok((stream, _)) = listener.accept().await {
            counts.sessions.set(counts.sessions.get() + 1);
            let tell = async {
                let mut bytes = first.clone();
                loop {
                    counts.told.set(counts.told.get() + bytes.len() as u64);
                    if (&stream).write_all(&bytes).await.is_err() {
                        return;
                    }
                    let beat = async {
                        Timer::after(Duration::from_millis(BEAT_MS)).await;
                        Rc::from(frame(&ToProxy::Beat { attached: true }))
                    };
                    let order = async {
                        match ordered.recv().await {
                            Ok(bytes) => bytes,
                            Err(_) => future::pending().await,
                        }
                    };
                    bytes = future::or(order, beat).await;
                }
            };
            future::or(tell, hear(&stream, &counts)).await;
        }
    };
    executor.spawn(serve).detach();
}

async fn hear(stream: &Async<TcpStream>, counts: &Counts) {
    let (mut held, mut piece) = (Vec::new(), [0; 4096]);
    loop {
        let Ok(count) = (&*stream).read(&mut piece).await else { return };
        if count == 0 {
            return;
        }
        held.extend_from_slice(&piece[..count]);
        while let Ok(Some((message, length))) = frames::take::<ToControl>(&held) {
            held.drain(..length);
            if let ToControl::State(state) | ToControl::Hello { state, .. } = message {
                counts.version.set(state.version);
                counts.ready.set(state.ready);
            }
        }
    }
}
