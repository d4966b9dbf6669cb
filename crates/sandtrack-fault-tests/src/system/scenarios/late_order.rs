//! The begin of an evacuation reaches a process that stands still, or that is cut off; its caller moves on, and begin and finish
//! are confirmed elsewhere. When the process goes on, what it held must not undo the finish.
use super::super::client::Ended;
use super::super::cluster::{zone, Cluster};
use super::super::documents::{configuration, route, Kind};
use super::super::report::Stopped;
use sandtrack_cli::call::Call;
use std::time::{Duration, Instant};

/// The process that gets the late order.
const LATE: usize = 0;
const REST: [usize; 2] = [1, 2];
const FRONT: usize = 1;
/// So long after it goes on, what it held has had its effect, if it has one.
const AFTER: Duration = Duration::from_secs(3);

/// What keeps the order back.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Frozen,
    CutOff,
}

pub async fn run(cluster: &mut Cluster) -> Result<(), Stopped> {
    cluster
        .begin(
            &configuration(1, &[route("read", Kind::ReadOnly)]),
            &[FRONT],
        )
        .await?;
    cluster.until_served(FRONT, "read").await?;
    for (fault, what) in [
        (Fault::Frozen, "a zone that was taken back stays so when a frozen process finds a late begin"),
        (
            Fault::CutOff,
            "a zone that was taken back stays so when a process with a late begin is in touch again",
        ),
    ] {
        let broken = late(cluster, fault).await?;
        cluster.report.judge(what, &broken);
        if !broken.is_empty() {
            // The next one begins as this one did.
            cluster.confirm(&Call::evacuate(&zone(0), false), &REST).await?;
            cluster.until_served(FRONT, "read").await?;
        }
    }
    Ok(())
}

async fn late(cluster: &mut Cluster, fault: Fault) -> Result<Vec<String>, Stopped> {
    match fault {
        Fault::Frozen => cluster.controls[LATE].freeze(),
        Fault::CutOff => cluster.links.borrow_mut().cut_off(LATE, REST),
    }
    // The only upstream is there: while the zone is evacuated nothing is served. Its caller waits for its second of silence,
    // and then asks another one.
    cluster
        .confirm(&Call::evacuate(&zone(0), true), &[LATE, REST[0], REST[1]])
        .await?;
    cluster
        .confirm(&Call::evacuate(&zone(0), false), &REST)
        .await?;
    cluster.until_served(FRONT, "read").await?;
    match fault {
        Fault::Frozen => cluster.controls[LATE].thaw(),
        Fault::CutOff => cluster.links.borrow_mut().mend(),
    }
    let mut broken = Vec::new();
    let thawed = Instant::now();
    let mut client = cluster.client("after", FRONT);
    while thawed.elapsed() < AFTER {
        let ended = client.ask(Kind::ReadOnly).await.ended;
        if ended != Ended::Answered(200) {
            broken.push(format!("a request for the zone got {ended:?}"));
        }
        for machine in cluster.controls_from(0) {
            let status = cluster.operator.status(machine).await;
            if status.is_some_and(|status| status["evacuated"] != serde_json::json!([])) {
                broken.push(format!("node {machine} shows it as evacuated"));
            }
        }
        cluster.pass(Duration::from_millis(100)).await?;
    }
    broken.sort();
    broken.dedup();
    Ok(broken)
}
