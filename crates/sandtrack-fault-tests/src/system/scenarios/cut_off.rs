//! A control machine is cut off from the others. Meanwhile it confirms nothing, refuses nothing for good, answers no read, and
//! hands its old configuration to no front: neither to one that has a newer, nor to one that starts there. Afterwards it is in
//! line.
use super::super::client::{Client, Ended};
use super::super::cluster::{zone, Cluster, GENEROUS};
use super::super::documents::{configuration, replace, route, Kind};
use super::super::links::{End, Passage};
use super::super::report::Stopped;
use sandtrack_cli::call::{is_definitely_not_applied, Call};
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The machine that is cut off, with a front that starts there during the cut.
const CUT: usize = 0;
/// A front that has the newer configuration and then reaches control of the machine that is cut off only.
const STRANDED: usize = 3;
/// A front that stays in touch.
const CALM: usize = 1;
/// The others with control.
const REST: [usize; 2] = [1, 2];
/// A zone that only the settings of the others name.
const NEW_ZONE: &str = "hall-new";
/// Versions that are sent to the machine that is cut off only.
const THIRD: u64 = 3;
const FOURTH: u64 = 4;

pub async fn run(cluster: &mut Cluster, cut: Duration) -> Result<(), Stopped> {
    let old = configuration(
        1,
        &[route("old", Kind::ReadOnly), route("both", Kind::ReadOnly)],
    );
    let new = configuration(
        2,
        &[route("new", Kind::ReadOnly), route("both", Kind::ReadOnly)],
    );
    cluster.begin(&old, &[CALM, STRANDED]).await?;
    for front in [CALM, STRANDED] {
        cluster.until_served(front, "old").await?;
    }
    for machine in REST {
        cluster.controls[machine]
            .reconfigure(|settings| settings["zones"][NEW_ZONE] = json!("ishikari"))?;
        cluster.controls[machine].hang_up();
    }

    let began = Instant::now();
    cluster.links.borrow_mut().cut_off(CUT, REST);
    cluster.confirm(&replace(1, &new), &REST).await?;
    cluster.until_served(STRANDED, "new").await?;
    strand(cluster);
    cluster
        .pass((cut / 2).saturating_sub(began.elapsed()))
        .await?;
    cluster.proxies[CUT].start()?;
    let seen = watch(cluster, began + cut).await?;
    cluster.links.borrow_mut().mend();

    cluster.report.judge(
        "the machine that is cut off confirms nothing",
        &seen.confirmed,
    );
    cluster
        .report
        .judge("it refuses no proper order for good", &seen.refused);
    cluster.report.judge(
        "it refuses no order for a zone that its settings do not have yet",
        &seen.unknown_zone,
    );
    cluster.report.judge("it answers no read", &seen.read);
    cluster.report.judge(
        "a front that has a newer configuration keeps it",
        &seen.stranded,
    );
    cluster.report.judge(
        "a front that starts there gets no old configuration",
        &seen.started,
    );
    afterwards(cluster, &seen.surely_not).await
}

/// Of all control, the stranded front reaches that of the machine that is cut off only.
fn strand(cluster: &Cluster) {
    let mut links = cluster.links.borrow_mut();
    for machine in REST {
        links.set(End::Machine(STRANDED), End::Machine(machine), Passage::Held);
        links.set(End::Machine(machine), End::Machine(STRANDED), Passage::Held);
        links.set(End::Machine(CUT), End::Machine(machine), Passage::Held);
    }
}

/// What was seen during the cut against what must hold.
#[derive(Default)]
struct Seen {
    confirmed: Vec<String>,
    refused: Vec<String>,
    unknown_zone: Vec<String>,
    read: Vec<String>,
    stranded: Vec<String>,
    started: Vec<String>,
    /// By order: whether every answer to it said that it is surely not in force.
    surely_not: BTreeMap<&'static str, bool>,
}

async fn watch(cluster: &mut Cluster, until: Instant) -> Result<Seen, Stopped> {
    let mut seen = Seen::default();
    let mut stranded = cluster.client("stranded", STRANDED);
    let mut started = cluster.client("started", CUT);
    let third = configuration(THIRD, &[route("third", Kind::ReadOnly)]);
    let change = json!({"version_number": FOURTH, "set_items": {"routes": [route("fourth", Kind::ReadOnly)]}});
    let orders = [
        ("on the old version", replace(1, &third)),
        ("a configuration", replace(2, &third)),
        ("a change", Call::update(2, change.to_string().into_bytes())),
        ("an evacuation", Call::evacuate(&zone(1), true)),
    ];
    while Instant::now() < until {
        for (name, order) in &orders {
            let surely = note_order(cluster, order, &mut seen.confirmed, &mut seen.refused).await;
            *seen.surely_not.entry(name).or_insert(true) &= surely;
            fronts(&mut stranded, &mut started, &mut seen).await;
        }
        let new_zone = Call::evacuate(NEW_ZONE, true);
        note_order(
            cluster,
            &new_zone,
            &mut seen.confirmed,
            &mut seen.unknown_zone,
        )
        .await;
        note_read(cluster, &mut seen.read).await;
        if cluster.is_ready(CUT).await {
            seen.started.push("it says that it is ready".to_owned());
        }
        cluster.look()?;
    }
    let Seen {
        confirmed,
        refused,
        unknown_zone,
        read,
        stranded,
        started,
        ..
    } = &mut seen;
    for list in [confirmed, refused, unknown_zone, read, stranded, started] {
        list.sort();
        list.dedup();
    }
    Ok(seen)
}

/// Sends an order to the machine that is cut off; whether the answer says that it is surely not in force.
async fn note_order(
    cluster: &Cluster,
    order: &Call,
    confirmed: &mut Vec<String>,
    refused: &mut Vec<String>,
) -> bool {
    let Ok(answer) = cluster.operator.once(order, CUT).await else {
        return false;
    };
    let body = String::from_utf8_lossy(&answer.body);
    let said = format!("{} got {} {body}", order.target, answer.head.status);
    match answer.head.status {
        200..=299 => confirmed.push(said),
        408 | 429 => {}
        400..=499 => refused.push(said),
        _ => {}
    }
    is_definitely_not_applied(&answer)
}

async fn note_read(cluster: &Cluster, read: &mut Vec<String>) {
    let Ok(answer) = cluster.operator.once(&Call::read(), CUT).await else {
        return;
    };
    if answer.head.status != 503 {
        read.push(format!("a read got {}", answer.head.status));
    }
}

/// Both fronts are asked on a route that only the old configuration has, and on one that only the newer has.
async fn fronts(stranded: &mut Client, started: &mut Client, seen: &mut Seen) {
    for (client, broken) in [(stranded, &mut seen.stranded), (started, &mut seen.started)] {
        let old = client.ask_at(Kind::ReadOnly, "old").await.ended;
        let new = client.ask_at(Kind::ReadOnly, "new").await.ended;
        if old == Ended::Answered(200) {
            broken.push("it served a route that was removed".to_owned());
        }
        if new == Ended::Answered(404) {
            broken.push("it did not know a route that was added".to_owned());
        }
    }
}

async fn afterwards(
    cluster: &mut Cluster,
    surely_not: &BTreeMap<&str, bool>,
) -> Result<(), Stopped> {
    let mut version = 0;
    let mut confirmed = false;
    // An order without a clear answer may come into force late: then the last one builds on that.
    while !confirmed {
        version = cluster.read_back(&[CUT]).await?["version_number"]
            .as_u64()
            .unwrap_or(0);
        let last = configuration(10, &[route("last", Kind::ReadOnly)]);
        let answer = cluster
            .operator
            .clone()
            .send(&replace(version, &last), &[CUT], GENEROUS)
            .await;
        let status = answer.map(|answer| answer.head.status);
        confirmed = status == Some(200);
        if !matches!(status, Some(200 | 412)) {
            cluster
                .report
                .judge("afterwards it confirms orders", &[format!("{status:?}")]);
            return Ok(());
        }
    }
    cluster.report.judge("afterwards it confirms orders", &[]);
    let mut broken = Vec::new();
    match version {
        2 => {}
        THIRD if !surely_not["a configuration"] => {}
        FOURTH if !surely_not["a change"] => {}
        _ => broken.push(format!("version {version} was in force")),
    }
    let status = cluster.operator.status(CUT).await.unwrap_or_default();
    if surely_not["an evacuation"] && status["evacuated"].to_string().contains(&zone(1)) {
        broken.push(format!("{} was evacuated", zone(1)));
    }
    cluster
        .report
        .judge("what it said was surely not in force never was", &broken);
    for front in [CUT, STRANDED, CALM] {
        cluster.until_served(front, "last").await?;
    }
    cluster
        .report
        .judge("afterwards all fronts are in line", &[]);
    Ok(())
}
