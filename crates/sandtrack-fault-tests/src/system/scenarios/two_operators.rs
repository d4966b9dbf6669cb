//! Two operators send different documents under one number on top of the same version, at different control nodes at the same
//! moment. Exactly one is confirmed; the one that was is confirmed again by every node, also where its answers were lost, and
//! the other is refused by every node.
use super::super::cluster::{Cluster, GENEROUS};
use super::super::documents::{configuration, replace, route, Kind};
use super::super::links::{End, Passage};
use super::super::operator::Operator;
use super::super::report::Stopped;
use async_io::Timer;
use futures_lite::future;
use sandtrack_cli::call::Call;
use sandtrack_sidecar_core::message::Message;
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;

const ROUNDS: usize = 8;
const LOOK: Duration = Duration::from_millis(2);

/// What happens while both orders are under way.
#[derive(Clone, Copy, Debug)]
enum Fault {
    None,
    /// No answer comes back until both operators have moved on to another node.
    AnswersLost,
    /// The connections of both are reset once the orders are out.
    Reset,
    /// The process that the first operator asked is killed once the orders are out.
    Killed,
}

const FAULTS: [Fault; 4] = [Fault::None, Fault::AnswersLost, Fault::Reset, Fault::Killed];

pub async fn run(cluster: &mut Cluster) -> Result<(), Stopped> {
    cluster.begin(&document(1, "begin"), &[]).await?;
    let operators = [cluster.operator.clone(), cluster.second_operator()];
    let (mut winners, mut repeated, mut read) = (Vec::new(), Vec::new(), Vec::new());
    let mut version = 1;
    for round in 0..ROUNDS {
        let fault = FAULTS[round % FAULTS.len()];
        let next = version + 1 + round as u64 % 3;
        let documents = [
            document(next, &format!("one-{round}")),
            document(next, &format!("two-{round}")),
        ];
        let calls = [
            replace(version, &documents[0]),
            replace(version, &documents[1]),
        ];
        let answers = race(cluster, &operators, &calls, round % 3, fault).await?;
        let statuses = answers.map(|answer| answer.map(|answer| answer.head.status));
        let winner = match statuses {
            [Some(200), Some(412)] => 0,
            [Some(412), Some(200)] => 1,
            _ => {
                winners.push(format!("round {round}, {fault:?}: {statuses:?}"));
                break;
            }
        };
        repeated.extend(repeat(cluster, &calls[winner], 200, round).await?);
        repeated.extend(repeat(cluster, &calls[1 - winner], 412, round).await?);
        read.extend(read_everywhere(cluster, &documents[winner]).await?);
        version = next;
    }
    cluster.report.judge(
        "exactly one of two orders under one number is confirmed",
        &winners,
    );
    cluster.report.judge(
        "an order is answered alike by every node when it is sent again",
        &repeated,
    );
    cluster
        .report
        .judge("every node reads the one that was confirmed", &read);
    Ok(())
}

fn document(version: u64, mark: &str) -> Value {
    configuration(version, &[route(mark, Kind::ReadOnly)])
}

/// Both orders at once, the first to node `first`, the second to the next one.
async fn race(
    cluster: &mut Cluster,
    operators: &[Rc<Operator>; 2],
    calls: &[Call; 2],
    first: usize,
    fault: Fault,
) -> Result<[Option<Message>; 2], Stopped> {
    let orders = [
        cluster.controls_from(first),
        cluster.controls_from((first + 1) % 3),
    ];
    let begun: usize = operators.iter().map(|operator| operator.begun.get()).sum();
    let tried = [0, 1].map(|which| operators[which].tries.borrow().len());
    if matches!(fault, Fault::AnswersLost) {
        set_answers(cluster, Passage::Lost);
    }
    let both = future::zip(
        operators[0].send(&calls[0], &orders[0], GENEROUS),
        operators[1].send(&calls[1], &orders[1], GENEROUS),
    );
    let are_out = async || {
        while operators
            .iter()
            .map(|operator| operator.begun.get())
            .sum::<usize>()
            < begun + 2
        {
            Timer::after(LOOK).await;
        }
    };
    let trouble = async {
        are_out().await;
        match fault {
            Fault::None => {}
            Fault::AnswersLost => {
                while (0..2).any(|which| operators[which].tries.borrow().len() <= tried[which]) {
                    Timer::after(LOOK).await;
                }
                set_answers(cluster, Passage::Open);
            }
            Fault::Reset => {
                for machine in 0..cluster.controls.len() {
                    cluster
                        .links
                        .borrow_mut()
                        .reset(End::Operator, End::Machine(machine));
                }
            }
            Fault::Killed => {
                cluster.controls[first].kill();
                return cluster.controls[first].start();
            }
        }
        Ok(())
    };
    let (answers, done) = future::zip(both, trouble).await;
    done?;
    cluster.look()?;
    Ok([answers.0, answers.1])
}

fn set_answers(cluster: &Cluster, passage: Passage) {
    for machine in 0..cluster.controls.len() {
        cluster
            .links
            .borrow_mut()
            .set(End::Machine(machine), End::Operator, passage);
    }
}

/// Sends an order again, unchanged, to every node by itself.
async fn repeat(
    cluster: &mut Cluster,
    call: &Call,
    expected: u16,
    round: usize,
) -> Result<Vec<String>, Stopped> {
    let mut broken = Vec::new();
    for machine in cluster.controls_from(0) {
        let answer = cluster
            .operator
            .clone()
            .send(call, &[machine], GENEROUS)
            .await;
        cluster.look()?;
        let status = answer.map(|answer| answer.head.status);
        if status != Some(expected) {
            broken.push(format!(
                "round {round}: node {machine} answered {status:?} in place of {expected}"
            ));
        }
    }
    Ok(broken)
}

async fn read_everywhere(cluster: &mut Cluster, expected: &Value) -> Result<Vec<String>, Stopped> {
    let mut broken = Vec::new();
    for machine in cluster.controls_from(0) {
        let read = cluster.read_back(&[machine]).await?;
        if read != *expected {
            broken.push(format!("node {machine} read {read}"));
        }
    }
    Ok(broken)
}
