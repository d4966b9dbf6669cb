//! The control plane at a size: real control nodes on loopback addresses, simulated proxies, a stand-in list and an operator.
use crate::document;
use crate::http;
use crate::listing::{Bucket, Listing};
use crate::process::{zone, Measured, Place, Used};
use crate::sessions::{self, Board};
use crate::slope::quantile;
use crate::Fault;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use sandtrack_core::message;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Plan {
    pub control_node: PathBuf,
    pub control_nodes: usize,
    pub proxies: usize,
    pub upstreams: usize,
    pub tenants: usize,
    pub seconds: f64,
    pub changes: usize,
    pub marks: usize,
    pub rate: f64,
    pub page: usize,
    pub kill: bool,
}

/// The stand-in list, and what was asked of it.
pub struct Platform {
    pub listing: RefCell<Listing>,
    bucket: RefCell<Bucket>,
    pub taken: Cell<u64>,
    pub refused: Cell<u64>,
}

/// Bytes and segments with data over the links between control nodes, of all together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Links {
    pub sockets: usize,
    pub bytes: f64,
    pub segments: f64,
}

/// What ss tells of the sockets with this port at addresses that begin so.
fn links(prefix: &str, port: u16) -> Links {
    let told = std::process::Command::new("ss").args(["-tinHO", "state", "established"]).output();
    let text = told.map(|out| String::from_utf8_lossy(&out.stdout).into_owned()).unwrap_or_default();
    let port = format!(":{port} ");
    let mut sum = Links::default();
    for line in text.lines().filter(|line| line.contains(prefix) && line.contains(&port)) {
        let field = |name: &str| {
            let words = line.split_whitespace().filter_map(|word| word.strip_prefix(name));
            words.filter_map(|number| number.parse::<f64>().ok()).next().unwrap_or(0.0)
        };
        sum.sockets += 1;
        sum.bytes += field("bytes_acked:");
        sum.segments += field("data_segs_out:");
    }
    sum
}

/// A moment of a run.
struct Moment {
    at: f64,
    used: Vec<Used>,
    sum: sessions::Sum,
    links: Links,
    calls: (u64, u64),
}

pub struct Run<'a> {
    plan: &'a Plan,
    executor: Rc<LocalExecutor<'static>>,
    board: Rc<Board>,
    platform: Rc<Platform>,
    control_nodes: Vec<Measured>,
    control: Vec<String>,
    version: u64,
    net: String,
    figures: BTreeMap<String, f64>,
}

async fn sleep(seconds: f64) {
    Timer::after(Duration::from_secs_f64(seconds)).await;
}

/// Runs the plan; the figures by name.
///
/// # Errors
/// Where processes can't be started, or the system does not come up in time.
pub async fn run(
    plan: &Plan, executor: Rc<LocalExecutor<'static>>, folder: &std::path::Path,
) -> Result<BTreeMap<String, f64>, Fault> {
    let net = format!("127.{}.{}", 64 + std::process::id() % 128, std::process::id() / 128 % 250);
    let ips: Vec<String> = (0..plan.control_nodes).map(|at| format!("{net}.{}", at + 1)).collect();
    let address = format!("{net}.250:8169");
    let platform = Rc::new(Platform {
        listing: RefCell::new(Listing {
            count: plan.upstreams,
            page: plan.page,
            zones: (0..plan.control_nodes).map(zone).collect(),
            address: format!("{net}.251:8080"),
            draining: None,
        }),
        bucket: RefCell::new(Bucket::new(plan.rate)),
        taken: Cell::new(0),
        refused: Cell::new(0),
    });
    let began = Instant::now();
    serve_list(&executor, &platform, &address, began)?;
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:8166")).collect();
    let mut control_nodes = Vec::new();
    for (at, ip) in ips.iter().enumerate() {
        let node_name = format!("control node-{at:02}");
        let data = folder.join(&node_name);
        std::fs::create_dir_all(&data)?;
        let place = Place {
            node_name: &node_name,
            ip,
            zone: at,
            zones: plan.control_nodes,
            seeds: &seeds,
            listen: &format!("\"control\":\"{ip}:8166\",\"directory\":\"{ip}:8164\""),
            data: Some(&data),
            platform: &address,
            rate: plan.rate,
        };
        let settings = folder.join(format!("{node_name}.json"));
        std::fs::write(&settings, place.json())?;
        let log = folder.join(format!("{node_name}.log"));
        control_nodes.push(Measured::start(&plan.control_node, &settings, &log)?);
    }
    let board = Rc::new(Board {
        began,
        seen: RefCell::default(),
        seeds: ips.iter().take(3).map(|ip| format!("{ip}:7721")).collect(),
        zones: plan.control_nodes,
    });
    let control = ips.iter().map(|ip| format!("{ip}:8166")).collect();
    let mut run = Run {
        plan,
        executor,
        board,
        platform,
        control_nodes,
        control,
        version: 0,
        net,
        figures: BTreeMap::new(),
    };
    run.play().await?;
    Ok(run.figures)
}

/// Answers for the list.
fn serve_list(
    executor: &Rc<LocalExecutor<'static>>, platform: &Rc<Platform>, address: &str, began: Instant,
) -> Result<(), Fault> {
    let address: SocketAddr = address.parse().map_err(|_| Fault::Run(format!("{address} is no address")))?;
    let listener = Async::<TcpListener>::bind(address)?;
    let (here, platform) = (executor.clone(), platform.clone());
    let accept = async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let platform = platform.clone();
            let answer = async move {
                let mut held = Vec::new();
                while let Ok(Some((line, _))) = http::read(&mut stream, &mut held).await {
                    let target = line.split(' ').nth(1).unwrap_or_default();
                    let takes = platform.bucket.borrow_mut().takes(began.elapsed().as_secs_f64());
                    let (status, body, count) = match takes {
                        true => {
                            (200, platform.listing.borrow().body(Listing::page_of(target)), &platform.taken)
                        }
                        false => (429, String::new(), &platform.refused),
                    };
                    count.set(count.get() + 1);
                    let bytes = message::response(status, [].into_iter(), body.as_bytes(), false);
                    if stream.write_all(&bytes).await.is_err() {
                        return;
                    }
                }
            };
            here.spawn(answer).detach();
        }
    };
    executor.spawn(accept).detach();
    Ok(())
}

impl Run<'_> {
    fn note(&mut self, name: &str, figure: f64) {
        self.figures.insert(name.to_owned(), (figure * 1000.0).round() / 1000.0);
    }

    fn moment(&self) -> Moment {
        Moment {
            at: self.board.now(),
            used: self.control_nodes.iter().map(Measured::used).collect(),
            sum: self.board.sum(),
            links: links(&format!("{}.", self.net), 7720),
            calls: (self.platform.taken.get(), self.platform.refused.get()),
        }
    }

    /// Waits until it holds; how long that took, in s. `None` where it took longer than that.
    async fn until(&self, most: f64, holds: impl Fn(&Board) -> bool) -> Option<f64> {
        let began = self.board.now();
        while !holds(&self.board) {
            if self.board.now() - began > most {
                return None;
            }
            sleep(0.005).await;
        }
        Some(self.board.now() - began)
    }

    /// One order, sent unchanged until it is acknowledged; from control node `first` on. When that was, and the tries.
    async fn order(&mut self, first: usize, whole: bool, most: f64) -> Option<(f64, f64, usize)> {
        let (began, based_on) = (self.board.now(), self.version);
        let version = self.version + 1;
        let (target, body) = match whole {
            true => ("/v1/configuration/replace", document::whole(version, self.plan.tenants)),
            false => ("/v1/configuration/update", document::update(version, self.plan.tenants)),
        };
        let mut tries = 0;
        while self.board.now() - began < most {
            let address = self.control[(first + tries) % self.control.len()].clone();
            tries += 1;
            let status = http::call(&address, "POST", target, based_on, &body).await;
            if status == Some(200) {
                self.version = version;
                return Some((began, self.board.now(), tries));
            }
            sleep(0.1).await;
        }
        None
    }

    async fn play(&mut self) -> Result<(), Fault> {
        let slow = |what: &str| Fault::Run(format!("{what} took too long"));
        let (began, at, tries) =
            self.order(0, true, 60.0).await.ok_or_else(|| slow("the first configuration"))?;
        self.note("first_acknowledged_s", at - began);
        self.note("first_tries", tries as f64);
        self.note("document_bytes", document::whole(1, self.plan.tenants).len() as f64);
        sessions::start(&self.executor.clone(), &self.board.clone(), self.plan.proxies);
        let version = self.version;
        let joined = self.until(60.0, |board| board.all(|seen| seen.stands && seen.version >= version)).await;
        self.note("join_s", joined.unwrap_or(-1.0));
        let listed = self.until(60.0, |board| board.all(|seen| seen.list)).await;
        self.note("join_list_s", listed.unwrap_or(-1.0));
        sleep(4.0).await;
        let before = self.moment();
        sleep(self.plan.seconds).await;
        let after = self.moment();
        let idle = self.idle(&before, &after);
        self.changes(idle).await;
        self.marks().await;
        if self.plan.kill {
            self.kill().await;
        }
        let peak = self.control_nodes.iter().map(|one| one.used().peak_kb).max().unwrap_or(0);
        self.note("end_peak_mb", peak as f64 / 1024.0);
        Ok(())
    }

    /// Figures of a calm stretch; the processor time a second of all control nodes, in ms.
    fn idle(&mut self, before: &Moment, after: &Moment) -> f64 {
        let seconds = after.at - before.at;
        let rate = |from: u64, to: u64| (to - from) as f64 / seconds;
        let used: Vec<f64> = before
            .used
            .iter()
            .zip(&after.used)
            .map(|(from, to)| (to.processor_ms - from.processor_ms) / seconds)
            .collect();
        let most = used.iter().copied().fold(0.0, f64::max);
        self.note("idle_core_share_most", most / 1000.0);
        self.note("idle_core_share_median", quantile(&used, 0.5).unwrap_or(0.0) / 1000.0);
        self.note("idle_core_share_all", used.iter().sum::<f64>() / 1000.0);
        self.note(
            "peak_mb_most",
            after.used.iter().map(|used| used.peak_kb).max().unwrap_or(0) as f64 / 1024.0,
        );
        self.note(
            "resident_mb_most",
            after.used.iter().map(|used| used.resident_kb).max().unwrap_or(0) as f64 / 1024.0,
        );
        let peaks: Vec<f64> = after.used.iter().map(|used| used.peak_kb as f64 / 1024.0).collect();
        self.note("peak_mb_median", quantile(&peaks, 0.5).unwrap_or(0.0));
        let proxies = (self.plan.proxies as f64).max(1.0);
        self.note("session_in_bytes_s", rate(before.sum.received, after.sum.received) / proxies);
        self.note(
            "session_in_frames_s",
            rate(before.sum.received_frames, after.sum.received_frames) / proxies,
        );
        self.note("session_out_bytes_s", rate(before.sum.sent, after.sum.sent) / proxies);
        self.note("session_out_frames_s", rate(before.sum.sent_frames, after.sum.sent_frames) / proxies);
        self.note("sessions_opened", after.sum.sessions as f64);
        self.note("wholes_told", after.sum.wholes as f64);
        let largest = self.board.seen.borrow().iter().map(|seen| seen.largest).max().unwrap_or(0);
        let told = self.board.seen.borrow().iter().map(|seen| seen.proxies).min().unwrap_or(0);
        self.note("largest_frame", largest as f64);
        self.note("proxies_told", f64::from(told));
        let links = after.links.sockets as f64 / 2.0;
        self.note("links", links);
        self.note("link_bytes_s", (after.links.bytes - before.links.bytes) / seconds / links.max(1.0));
        self.note(
            "link_segments_s",
            (after.links.segments - before.links.segments) / seconds / links.max(1.0),
        );
        self.note("list_calls_s", rate(before.calls.0, after.calls.0));
        self.note("list_refused_s", rate(before.calls.1, after.calls.1));
        used.iter().sum()
    }

    /// Changes of one item each, a second apart.
    async fn changes(&mut self, idle: f64) {
        let before = self.moment();
        let (mut acknowledged, mut spread, mut tries, mut lost) = (Vec::new(), Vec::new(), 0, 0);
        for change in 0..self.plan.changes {
            let Some((began, at, tried)) = self.order(change, false, 20.0).await else {
                lost += 1;
                continue;
            };
            tries += tried;
            acknowledged.push(at - began);
            let version = self.version;
            match self.until(20.0, |board| board.all(|seen| seen.version >= version)).await {
                Some(_) => {
                    let last =
                        self.board.seen.borrow().iter().map(|seen| seen.version_at).fold(0.0, f64::max);
                    spread.push((last - at).max(0.0));
                }
                None => lost += 1,
            }
            sleep(1.0).await;
        }
        let after = self.moment();
        let used = |moment: &Moment| moment.used.iter().map(|used| used.processor_ms).sum::<f64>();
        let most = before.used.iter().zip(&after.used).map(|(from, to)| to.processor_ms - from.processor_ms);
        let count = (self.plan.changes as f64).max(1.0);
        self.note("change_ack_median_s", quantile(&acknowledged, 0.5).unwrap_or(-1.0));
        self.note("change_ack_worst_s", quantile(&acknowledged, 1.0).unwrap_or(-1.0));
        self.note("change_spread_median_s", quantile(&spread, 0.5).unwrap_or(-1.0));
        self.note("change_spread_worst_s", quantile(&spread, 1.0).unwrap_or(-1.0));
        self.note("change_tries", f64::from(u32::try_from(tries).unwrap_or(0)) / count);
        self.note("changes_lost", f64::from(lost));
        let extra = used(&after) - used(&before) - idle * (after.at - before.at);
        self.note("change_core_ms_all", extra / count);
        self.note("change_core_ms_most_gross", most.fold(0.0, f64::max) / count);
        let received = (after.sum.received - before.sum.received) as f64;
        let calm = self.figures["session_in_bytes_s"] * (after.at - before.at);
        self.note("change_bytes_a_session", (received / (self.plan.proxies as f64).max(1.0) - calm) / count);
        self.note(
            "change_link_bytes_all",
            (after.links.bytes
                - before.links.bytes
                - self.figures["link_bytes_s"] * self.figures["links"] * (after.at - before.at))
                / count,
        );
        self.note("change_wholes", (after.sum.wholes - before.sum.wholes) as f64);
        self.note("change_sessions_opened", (after.sum.sessions - before.sum.sessions) as f64);
    }

    /// From the mark in the list to the last proxy that was told of it.
    async fn marks(&mut self) {
        let mut told = Vec::new();
        for mark in 0..self.plan.marks {
            let place = (mark * 7919 + self.plan.upstreams / 2) % self.plan.upstreams.max(1);
            let began = self.board.now();
            self.platform.listing.borrow_mut().draining = Some(place);
            match self.until(30.0, |board| board.all(|seen| seen.draining_at > began)).await {
                Some(took) => told.push(took),
                None => told.push(-1.0),
            }
            sleep(0.7).await;
        }
        self.note("mark_median_s", quantile(&told, 0.5).unwrap_or(-1.0));
        self.note("mark_worst_s", quantile(&told, 1.0).unwrap_or(-1.0));
    }

    /// The control node with most sessions is killed.
    async fn kill(&mut self) {
        let before = self.board.now();
        self.control_nodes[0].kill();
        let acknowledged = self.order(1, false, 30.0).await;
        self.note("kill_ack_s", acknowledged.map_or(-1.0, |(_, at, _)| at - before));
        let version = self.version;
        let back = |board: &Board| board.all(|seen| seen.stands && seen.version >= version);
        let took = self.until(40.0, back).await;
        self.note("kill_all_back_s", took.map_or(-1.0, |_| self.board.now() - before));
        self.note("kill_not_back", self.board.count(|seen| !(seen.stands && seen.version >= version)) as f64);
        sleep(3.0).await;
        let from: Vec<Used> = self.control_nodes.iter().map(Measured::used).collect();
        sleep(4.0).await;
        let to = self.control_nodes.iter().map(Measured::used);
        let most = from.iter().zip(to).map(|(from, to)| to.processor_ms - from.processor_ms);
        self.note("kill_core_share_most_after", most.fold(0.0, f64::max) / 4000.0);
    }
}
