//! The scenarios: one file each, and how one is played. A scenario never judges by a machine's speed: it waits for conditions,
//! and its verdicts are by what operators, clients and upstreams saw.
mod cut_off;
mod exchanges;
mod late_leader;
mod late_order;
mod leaving_member;
mod second_loss;
mod two_operators;
mod upgrade;

use super::cluster::{Cluster, Shape};
use super::process::Programs;
use super::report::{Report, Stopped};
use crate::tasks::Spawner;
use async_executor::LocalExecutor;
use clap::ValueEnum;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// A control machine is cut off from the others for some time.
    CutOff,
    /// Two operators race under one number, and answers are lost.
    TwoOperators,
    /// Losses one after the other, each right after the repair of the one before.
    SecondLoss,
    /// A member leaves for good while the chain needs its copy.
    LeavingMember,
    /// A member that was away for hundreds of changes leads.
    LateLeader,
    /// Upstreams in trouble: nobody else's bytes, and no second run.
    Exchanges,
    /// An order that a frozen process finds when it wakes.
    LateOrder,
    /// Control nodes are replaced by those of this program, with changes under way that depend on each other.
    Upgrade,
}

/// How a scenario is played.
#[derive(Clone, Debug)]
pub struct Options {
    pub programs: Programs,
    pub seed: u64,
    /// Settings, logs and disks are kept there; else they go with the run.
    pub keep: Option<PathBuf>,
    /// How long a cut lasts.
    pub cut: Duration,
}

impl Options {
    pub fn new(rig: PathBuf, builds: Option<PathBuf>) -> Options {
        let programs = Programs { rig, builds };
        Options {
            programs,
            seed: 1,
            keep: None,
            cut: Duration::from_secs(8),
        }
    }
}

impl Scenario {
    pub fn name(self) -> &'static str {
        match self {
            Scenario::CutOff => "cut-off",
            Scenario::TwoOperators => "two-operators",
            Scenario::SecondLoss => "second-loss",
            Scenario::LeavingMember => "leaving-member",
            Scenario::LateLeader => "late-leader",
            Scenario::Exchanges => "exchanges",
            Scenario::LateOrder => "late-order",
            Scenario::Upgrade => "upgrade",
        }
    }

    fn shape(self) -> Shape {
        match self {
            Scenario::CutOff => Shape {
                controls: 3,
                machines: 4,
                upstreams: 2,
                platform: true,
            },
            Scenario::Exchanges => Shape {
                controls: 3,
                machines: 3,
                upstreams: 4,
                platform: true,
            },
            _ => Shape {
                controls: 3,
                machines: 3,
                upstreams: 1,
                platform: true,
            },
        }
    }

    async fn run(self, cluster: &mut Cluster, options: &Options) -> Result<(), Stopped> {
        match self {
            Scenario::CutOff => cut_off::run(cluster, options.cut).await,
            Scenario::TwoOperators => two_operators::run(cluster).await,
            Scenario::SecondLoss => second_loss::run(cluster).await,
            Scenario::LeavingMember => leaving_member::run(cluster).await,
            Scenario::LateLeader => late_leader::run(cluster).await,
            Scenario::Exchanges => exchanges::run(cluster).await,
            Scenario::LateOrder => late_order::run(cluster).await,
            Scenario::Upgrade => {
                let later = options.programs.own();
                upgrade::run(cluster, &later, options.seed).await
            }
        }
    }
}

/// Plays a scenario; what could not come to its end is a broken verdict.
///
/// # Errors
/// Where addresses, files or processes can't be had.
pub fn play(scenario: Scenario, options: &Options) -> io::Result<Report> {
    let temporary = std::env::temp_dir().join(format!(
        "sandtrack-fault-tests-{}-{}",
        scenario.name(),
        std::process::id()
    ));
    let folder = options.keep.clone().unwrap_or_else(|| temporary.clone());
    let executor = Rc::new(LocalExecutor::new());
    let spawner = Spawner::of(&executor);
    let began = Instant::now();
    let played = async {
        let mut cluster = Cluster::open(
            scenario.shape(),
            options.seed,
            &folder,
            &options.programs,
            &spawner,
        )?;
        let ended = Box::pin(scenario.run(&mut cluster, options)).await;
        let mut report = std::mem::take(&mut cluster.report);
        match ended {
            Err(Stopped::Io(error)) => return Err(error),
            Err(stopped) => report.judge("it comes to its end", &[stopped.to_string()]),
            Ok(()) => {}
        }
        Ok(report)
    };
    let report = async_io::block_on(executor.run(played));
    if options.keep.is_none() {
        let _ = std::fs::remove_dir_all(temporary);
    }
    report.map(|report| Report {
        scenario: scenario.name(),
        took: began.elapsed(),
        ..report
    })
}
