//! Upstreams in trouble of every kind, drawn for each request: resets, silence, answers with another id, surplus answers. Every
//! client gets the bytes of its own request, and what may run once never runs twice, nor after a promise that it has not run.
use super::super::client::{Asked, Ended};
use super::super::cluster::Cluster;
use super::super::documents::{configuration, route, Kind};
use super::super::report::Stopped;
use super::super::upstream::Run;
use async_executor::LocalExecutor;
use std::collections::BTreeMap;
use std::future::Future;

const CLIENTS: usize = 12;
/// Requests of each client, one after the other.
const REQUESTS: usize = 48;
/// Share of the requests that get trouble at an upstream.
const TROUBLE: f64 = 0.4;

pub async fn run(cluster: &mut Cluster) -> Result<(), Stopped> {
    let fronts = [0, 1, 2];
    let routes = Kind::ALL.map(|kind| route(kind.prefix(), kind));
    cluster.begin(&configuration(1, &routes), &fronts).await?;
    for front in fronts {
        cluster.until_served(front, Kind::ReadOnly.prefix()).await?;
    }
    cluster
        .upstreams
        .iter()
        .for_each(|upstream| upstream.make_trouble(TROUBLE));
    let clients =
        (0..CLIENTS).map(|number| requests(cluster, number, fronts[number % fronts.len()]));
    let asked: Vec<Asked> = all(clients.collect()).await.concat();
    cluster.look()?;
    judge(cluster, &asked);
    Ok(())
}

/// Runs all of them at once, to their ends.
async fn all<T>(tasks: Vec<impl Future<Output = T>>) -> Vec<T> {
    let executor = LocalExecutor::new();
    let tasks: Vec<_> = tasks.into_iter().map(|task| executor.spawn(task)).collect();
    let ends = async {
        let mut ends = Vec::new();
        for task in tasks {
            ends.push(task.await);
        }
        ends
    };
    executor.run(ends).await
}

async fn requests(cluster: &Cluster, number: usize, front: usize) -> Vec<Asked> {
    let mut client = cluster.client(&format!("c{number}"), front);
    let mut asked = Vec::new();
    for turn in 0..REQUESTS {
        asked.push(
            client
                .ask(Kind::ALL[(number + turn) % Kind::ALL.len()])
                .await,
        );
    }
    asked
}

fn judge(cluster: &mut Cluster, asked: &[Asked]) {
    let book = cluster.runs.borrow();
    let by_id: BTreeMap<&str, &Asked> = asked
        .iter()
        .map(|asked| (asked.id.as_str(), asked))
        .collect();
    let none = Vec::new();
    let runs = |asked: &Asked| book.runs.get(&asked.id).unwrap_or(&none);
    let wrong: Vec<String> = asked
        .iter()
        .filter_map(|asked| wrong_answer(asked, runs(asked)))
        .collect();
    let twice = asked
        .iter()
        .filter(|asked| !asked.kind.is_idempotent() && runs(asked).len() > 1);
    let twice: Vec<String> = twice
        .map(|asked| format!("{} {} ran at {:?}", asked.method, asked.id, runs(asked)))
        .collect();
    let promised = asked
        .iter()
        .filter(|asked| is_promise(&asked.ended) && !runs(asked).is_empty());
    let promised = promised.filter(|asked| !asked.kind.is_idempotent());
    let promised: Vec<String> = promised
        .map(|asked| format!("{} got {:?} and had run", asked.id, asked.ended))
        .collect();
    let unasked = book.runs.iter().filter(|(id, _)| !id.starts_with("look-"));
    let unasked: Vec<String> = unasked
        .filter_map(|(id, runs)| unasked_run(id, by_id.get(id.as_str()), runs))
        .collect();
    let idle = missing_trouble(asked, &book.troubles);
    drop(book);
    cluster
        .report
        .judge("every client gets its own bytes only", &wrong);
    cluster
        .report
        .judge("what may run once never runs twice", &twice);
    cluster
        .report
        .judge("what was promised not to have run has not run", &promised);
    cluster
        .report
        .judge("upstreams run only what was asked, unchanged", &unasked);
    cluster.report.judge(
        "every kind of trouble was there, and requests were served",
        &idle,
    );
}

fn wrong_answer(asked: &Asked, runs: &[Run]) -> Option<String> {
    match &asked.ended {
        Ended::Wrong(what) => Some(what.clone()),
        Ended::Answered(status) if (200..300).contains(status) && runs.is_empty() => {
            Some(format!("{} got a success without a run", asked.id))
        }
        _ => None,
    }
}

fn is_promise(ended: &Ended) -> bool {
    matches!(ended, Ended::Answered(408 | 421 | 429 | 503))
}

fn unasked_run(id: &str, asked: Option<&&Asked>, runs: &[Run]) -> Option<String> {
    let Some(asked) = asked else {
        return Some(format!("{id} was never asked"));
    };
    let is_same = |run: &&Run| {
        run.method == asked.method && run.target == asked.target && run.body == asked.body
    };
    let changed = runs.iter().find(|run| !is_same(run));
    changed.map(|run| format!("{id} was changed: {run:?}"))
}

/// A run in which nothing happened shows nothing.
fn missing_trouble(asked: &[Asked], troubles: &BTreeMap<String, u64>) -> Vec<String> {
    let mut missing = Vec::new();
    if troubles.len() < 8 {
        missing.push(format!("only {troubles:?}"));
    }
    for kind in Kind::ALL {
        let served = |asked: &&Asked| asked.kind == kind && asked.ended == Ended::Answered(200);
        if !asked.iter().any(|asked| served(&asked)) {
            missing.push(format!("no {kind:?} was served"));
        }
    }
    missing
}
