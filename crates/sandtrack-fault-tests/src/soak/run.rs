//! One run of the soak: starts the system and its stand-ins, plays the plan of a seed, lets all calm down, strikes a last time,
//! and judges.
use super::clients::{tally, Client};
use super::operators::{first_configuration, Desk};
use super::plan::{Closing, Plan};
use super::platform::Platform;
use super::records::{Change, Outcome, Records, Seconds};
use super::troubles::Troubles;
use super::upstreams::Upstreams;
use super::{judge, processes, CONTROLS, MACHINES};
use crate::system::cluster::{Cluster, Shape};
use crate::system::process::{Process, Programs};
use crate::system::report::{Report, Stopped};
use crate::tasks::Spawner;
use async_executor::LocalExecutor;
use async_io::Timer;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Clients at a time, unless told otherwise.
pub const CLIENTS: usize = 48;
/// After the last trouble, so long goes by before the last strike, in s: time-bound rules bind all machines again.
const CALM: Seconds = 9.0;
/// Pause between two looks at a route that came or goes.
const PROBE_MS: [u64; 2] = [20, 120];
/// Changes whose routes are probed: the newest.
const PROBED: usize = 10;
/// How often the rig's own timers are looked at.
const TIMER: Duration = Duration::from_millis(10);
/// A timer that is later than this is noted, in s.
const LATE: Seconds = 0.002;
/// What an acknowledgement is followed by comes so soon, in ms.
const CLOSING_MS: u64 = 4;

/// How a run is played.
#[derive(Clone, Debug)]
pub struct Options {
    pub programs: Programs,
    pub seed: u64,
    /// How long troubles come, in s.
    pub lasts: Seconds,
    /// Clients at a time.
    pub clients: usize,
    /// Settings, logs and disks are kept there; else they go with the run.
    pub keep: Option<PathBuf>,
}

/// Plays one run; what could not come to its end is a broken verdict.
///
/// # Errors
/// Where addresses, files or processes can't be had.
pub fn play(options: &Options) -> io::Result<Report> {
    let temporary = std::env::temp_dir().join(format!(
        "sandtrack-soak-{}-{}",
        options.seed,
        std::process::id()
    ));
    let folder = options.keep.clone().unwrap_or_else(|| temporary.clone());
    let executor = Rc::new(LocalExecutor::new());
    let spawner = Spawner::of(&executor);
    let began = Instant::now();
    let played = async {
        let shape = Shape {
            controls: CONTROLS,
            machines: MACHINES,
            upstreams: 0,
            platform: false,
        };
        let mut cluster = Cluster::open(shape, options.seed, &folder, &options.programs, &spawner)?;
        let records = Records::new(MACHINES);
        let ended = Box::pin(soak(&mut cluster, &records, options, &spawner)).await;
        let mut report = std::mem::take(&mut cluster.report);
        judge::judge(&records, &mut report);
        report.judge(
            "nobody's log tells of a fault of the program",
            &processes::log_faults(&folder),
        );
        match ended {
            Err(Stopped::Io(error)) => return Err(error),
            Err(stopped) => report.judge("it comes to its end", &[stopped.to_string()]),
            Ok(()) => {}
        }
        report
            .notes
            .push(format!("{:?}", tally(&records.requests.borrow())));
        let late = records.latest_timer() * 1000.0;
        report.notes.push(format!(
            "the rig's own timers were {late:.0} ms late at most"
        ));
        for span in records.spans.borrow().iter() {
            report.notes.push(format!(
                "{:6.2} to {:6.2} s {}",
                span.from, span.until, span.what
            ));
        }
        Ok(report)
    };
    let report = async_io::block_on(executor.run(played));
    if options.keep.is_none() {
        let _ = std::fs::remove_dir_all(temporary);
    }
    report.map(|report| Report {
        scenario: "soak",
        took: began.elapsed(),
        ..report
    })
}

async fn soak(
    cluster: &mut Cluster,
    records: &Rc<Records>,
    options: &Options,
    spawner: &Spawner<'_>,
) -> Result<(), Stopped> {
    let seed = options.seed;
    let plan = Plan::draw(seed, options.lasts);
    let upstreams = Upstreams::open(&cluster.plan, records, seed, spawner)?;
    let platform = Platform::open(
        cluster.plan.platform(),
        &upstreams,
        records,
        seed.wrapping_add(1),
        spawner,
    )?;
    let machines: Vec<usize> = (0..MACHINES).collect();
    cluster.begin(&first_configuration(), &machines).await?;
    for machine in &machines {
        cluster.until_served(*machine, "read").await?;
    }
    begin_load(cluster, records, options, spawner);
    let began = records.now();
    Troubles::new(cluster, records.clone(), upstreams.clone(), platform)
        .play(&plan, began)
        .await?;
    cluster.pass(Duration::from_secs_f64(CALM)).await?;
    records.is_over.set(true);
    cluster
        .until("all stand-ins are done", async |_| {
            (records.busy.get() > 0).then(|| records.busy.get().to_string())
        })
        .await?;
    is_well(cluster).await?;
    close(cluster, records, &plan).await?;
    ask_processes(cluster).await;
    Ok(())
}

fn begin_load(cluster: &Cluster, records: &Rc<Records>, options: &Options, spawner: &Spawner<'_>) {
    let Options { seed, clients, .. } = *options;
    spawner.spawn(watch_timers(records.clone()));
    let begin = |task: Pin<Box<dyn Future<Output = ()>>>| {
        records.busy.set(records.busy.get() + 1);
        let records = records.clone();
        spawner.spawn(async move {
            task.await;
            records.busy.set(records.busy.get() - 1);
        });
    };
    for number in 0..clients {
        begin(Box::pin(
            Client::new(number, seed, MACHINES, &cluster.plan, records).run(),
        ));
    }
    let desk = |number: u64| {
        Desk::new(
            &cluster.operator,
            records,
            seed.wrapping_mul(31).wrapping_add(number),
        )
    };
    begin(Box::pin(desk(1).run_changes("v", [300, 1500])));
    begin(Box::pin(desk(2).run_changes("w", [500, 3000])));
    begin(Box::pin(desk(3).run_evacuations()));
    begin(Box::pin(desk(4).run_reads()));
    begin(Box::pin(desk(5).run_pairs(desk(6), "u")));
    let prober = Client::new(clients, seed, MACHINES, &cluster.plan, records);
    begin(Box::pin(probe(prober, records.clone(), seed)));
}

/// Notes by how much timers of this process are late.
async fn watch_timers(records: Rc<Records>) {
    loop {
        let due = records.now() + TIMER.as_secs_f64();
        Timer::after(TIMER).await;
        let now = records.now();
        if now - due > LATE {
            records.late_timers.borrow_mut().push((now, now - due));
        }
    }
}

/// Asks each machine again and again for routes that were just added or removed.
async fn probe(mut client: Client, records: Rc<Records>, seed: u64) {
    let mut rng = Pcg64::seed_from_u64(seed.wrapping_add(5));
    while !records.is_over.get() {
        Timer::after(Duration::from_millis(
            rng.gen_range(PROBE_MS[0]..PROBE_MS[1]),
        ))
        .await;
        let route = {
            let changes = records.changes.borrow();
            let newest = &changes[changes.len().saturating_sub(PROBED)..];
            newest.choose(&mut rng).map(|change| change.adds.clone())
        };
        if let Some(route) = route {
            client.probe(&route, rng.gen_range(0..MACHINES)).await;
        }
    }
}

/// When all is calm everybody is there, and serves.
async fn is_well(cluster: &mut Cluster) -> Result<(), Stopped> {
    let controls = cluster.controls_from(0);
    cluster.until_in_line(&controls, CONTROLS).await?;
    for machine in 0..MACHINES {
        cluster.until_served(machine, "read").await?;
    }
    Ok(())
}

/// One more change, and right behind its acknowledgement the last strike; then what was acknowledged is read.
async fn close(cluster: &mut Cluster, records: &Rc<Records>, plan: &Plan) -> Result<(), Stopped> {
    let mut desk = Desk::new(&cluster.operator, records, plan.seed.wrapping_add(77));
    let nothing = || Stopped::Late {
        what: "the configuration is read before the last strike".to_owned(),
        limit: super::super::system::cluster::GENEROUS,
        seen: "no answer".to_owned(),
    };
    let document = desk.read().await.ok_or_else(nothing)?;
    let last = desk.change("last", &document).await;
    Timer::after(Duration::from_millis(plan.seed % CLOSING_MS)).await;
    strike(cluster, plan.closing)?;
    is_well(cluster).await?;
    let document = desk.read().await.ok_or_else(nothing)?;
    let changes = records.changes.borrow().clone();
    let mut broken = missing(&changes, &document["routes"]);
    if last.outcome != Outcome::Acknowledged {
        broken.push(format!("the last change came to {:?}", last.outcome));
    }
    cluster.report.judge(
        "LOST: what was acknowledged is there after the last strike",
        &broken,
    );
    Ok(())
}

fn strike(cluster: &mut Cluster, closing: Closing) -> Result<(), Stopped> {
    if closing == Closing::Nothing {
        return Ok(());
    }
    cluster
        .controls
        .iter_mut()
        .chain(&mut cluster.proxies)
        .for_each(Process::kill);
    if let Closing::DiskLost(at) = closing {
        cluster.controls[at].wipe()?;
    }
    let machines: Vec<usize> = (0..MACHINES).collect();
    cluster.start(&machines)?;
    Ok(())
}

/// Routes that acknowledged changes added and no change removed, and that are not in force.
fn missing(changes: &[Change], routes: &serde_json::Value) -> Vec<String> {
    let routes = routes.as_array().cloned().unwrap_or_default();
    let has = |name: &str| routes.iter().any(|route| route["name"] == name);
    let acknowledged = changes
        .iter()
        .filter(|change| change.outcome == Outcome::Acknowledged);
    let stands = acknowledged.filter(|change| {
        !changes
            .iter()
            .any(|other| other.removes.as_ref() == Some(&change.adds))
    });
    let missing = stands.filter(|change| !has(&change.adds));
    missing
        .map(|change| format!("{} of version {}", change.adds, change.version))
        .collect()
}

async fn ask_processes(cluster: &mut Cluster) {
    let mut broken = Vec::new();
    for process in cluster.controls.iter().chain(&cluster.proxies) {
        broken.extend(processes::figures_faults(&cluster.plan, process).await);
        broken.extend(processes::memory_fault(process));
    }
    cluster.report.judge(
        "no process counts a violation, nor has too much memory",
        &broken,
    );
}
