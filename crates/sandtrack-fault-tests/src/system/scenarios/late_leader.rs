//! Hundreds of changes are made while one member is away; it comes back with its disk from before, and then leads, as the
//! others are restarted. What is read back is the newest, from every node.
use super::super::cluster::Cluster;
use super::super::documents::History;
use super::super::report::Stopped;
use super::super::settings::CATCH_UP_S;
use std::time::Duration;

const CATCH_UP: Duration = Duration::from_secs(CATCH_UP_S);
/// Changes before the member goes.
const BEFORE: usize = 20;
/// Changes that it does not see.
const AWAY: usize = 320;
const LATE: usize = 2;

pub async fn run(cluster: &mut Cluster) -> Result<(), Stopped> {
    let mut history = cluster.begin_history().await?;
    let all = cluster.controls_from(0);
    for _ in 0..BEFORE {
        cluster.confirm(&history.change(), &all).await?;
    }
    cluster.controls[LATE].kill();
    for turn in 0..AWAY {
        cluster
            .confirm(&history.change(), &[turn % 2, (turn + 1) % 2])
            .await?;
    }
    cluster.controls[LATE].start()?;
    cluster.pass(CATCH_UP).await?;
    let mut missing = read_everywhere(cluster, &history).await?;
    cluster
        .report
        .judge("a member that was away has the newest", &missing);

    for other in [0, 1] {
        cluster.controls[other].kill();
        cluster
            .confirm(&history.change(), &cluster.controls_from(LATE))
            .await?;
        cluster.controls[other].start()?;
        cluster.pass(CATCH_UP).await?;
    }
    missing = read_everywhere(cluster, &history).await?;
    cluster
        .report
        .judge("when it leads, the newest is read back", &missing);

    for process in &mut cluster.controls {
        process.kill();
    }
    cluster.start(&[])?;
    missing = read_everywhere(cluster, &history).await?;
    cluster.confirm(&history.change(), &all).await?;
    missing.extend(read_everywhere(cluster, &history).await?);
    cluster
        .report
        .judge("after a kill of all at once as well", &missing);
    Ok(())
}

async fn read_everywhere(cluster: &mut Cluster, history: &History) -> Result<Vec<String>, Stopped> {
    let mut missing = Vec::new();
    for machine in cluster.controls_from(0) {
        let document = cluster.read_back(&[machine]).await?;
        missing.extend(
            history
                .missing(&document)
                .map(|what| format!("node {machine}: {what}")),
        );
    }
    Ok(missing)
}
