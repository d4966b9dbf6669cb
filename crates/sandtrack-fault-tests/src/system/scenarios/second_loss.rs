//! One machine after another is lost with its disk, each as soon as the one before no longer counts as lost. Orders are
//! acknowledged all the while, and everything acknowledged is read back.
use super::super::cluster::Cluster;
use super::super::report::Stopped;
use super::super::settings::CATCH_UP_S;
use std::time::{Duration, Instant};

/// A machine that is back no longer counts as lost after this.
const CATCH_UP: Duration = Duration::from_secs(CATCH_UP_S);
/// Losses: each machine, and the first ones once more.
const LOSSES: usize = 5;

pub async fn run(cluster: &mut Cluster) -> Result<(), Stopped> {
    let mut history = cluster.begin_history().await?;
    let mut missing = Vec::new();
    for loss in 0..LOSSES {
        let machine = loss % 3;
        cluster.controls[machine].kill();
        // Every other one has its disk when it is back.
        if loss % 2 == 0 {
            cluster.controls[machine].wipe()?;
        }
        missing.extend(cluster.changes_are_read(&mut history, machine + 1).await?);
        cluster.controls[machine].start()?;
        let back = Instant::now();
        missing.extend(cluster.changes_are_read(&mut history, machine).await?);
        cluster
            .pass(CATCH_UP.saturating_sub(back.elapsed()))
            .await?;
    }
    cluster.report.judge(
        "losses right after repairs lose nothing, and orders go on",
        &missing,
    );
    Ok(())
}
