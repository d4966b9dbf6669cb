//! A machine has lost its disk and comes back over slow links; at once a member is told to stop for good while the chain needs
//! its copy. It stays until the other has that copy, or its grace is over; so the next loss finds all that was acknowledged.
use super::super::cluster::Cluster;
use super::super::links::End;
use super::super::report::Stopped;
use super::super::settings::{CATCH_UP_S, GRACE_S};
use std::time::{Duration, Instant};

/// A machine that is back no longer counts as lost after this.
const CATCH_UP: Duration = Duration::from_secs(CATCH_UP_S);
/// From SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(GRACE_S);
/// Between the machine that comes back and the others.
const SLOW: Duration = Duration::from_millis(150);
/// The machine that comes back without its disk.
const BACK: usize = 0;
/// The one that is told to stop, and replaced by one with an empty disk.
const LEAVING: usize = 1;
/// The one that is lost after that.
const LAST: usize = 2;

pub async fn run(cluster: &mut Cluster) -> Result<(), Stopped> {
    let mut history = cluster.begin_history().await?;
    for other in [LEAVING, LAST] {
        cluster
            .links
            .borrow_mut()
            .delay(End::Machine(BACK), End::Machine(other), SLOW);
    }
    cluster.controls[BACK].kill();
    cluster.controls[BACK].wipe()?;
    cluster.confirm(&history.change(), &[LAST, LEAVING]).await?;
    cluster.controls[BACK].start()?;
    leave(cluster).await?;
    let mut missing = Vec::from_iter(cluster.changes_are_read(&mut history, LAST).await?);
    cluster.report.judge(
        "when it has left, orders go on and all is read back",
        &missing,
    );

    cluster.links.borrow_mut().mend();
    cluster.controls[LEAVING].start()?;
    cluster.pass(CATCH_UP).await?;
    cluster.controls[LAST].kill();
    cluster.controls[LAST].wipe()?;
    missing = Vec::from_iter(cluster.changes_are_read(&mut history, LEAVING).await?);
    cluster
        .report
        .judge("the next loss finds all that was acknowledged", &missing);
    Ok(())
}

/// It is told to stop, ends by itself or by the end of its grace, and its disk goes with it.
async fn leave(cluster: &mut Cluster) -> Result<(), Stopped> {
    cluster.controls[LEAVING].terminate();
    let told = Instant::now();
    while told.elapsed() < GRACE && cluster.controls[LEAVING].is_running()? {
        cluster.pass(Duration::from_millis(20)).await?;
    }
    cluster.controls[LEAVING].kill();
    cluster.controls[LEAVING].wipe()?;
    cluster.pass(CATCH_UP.saturating_sub(told.elapsed())).await
}
