//! The control nodes are replaced one after the other by those of this program, on their disks, with pairs of changes under way:
//! the second of a pair builds on the first, and is valid or invalid by it. With `--programs` they are of another build before;
//! else this is a rolling restart.
use super::super::cluster::{Cluster, GENEROUS};
use super::super::documents::{configuration, route, Kind};
use super::super::operator::Operator;
use super::super::process::Programs;
use super::super::report::Stopped;
use super::super::settings::PEERS;
use async_io::Timer;
use futures_lite::future;
use sandtrack_cli::call::Call;
use sandtrack_sidecar_core::message::Message;
use serde_json::{json, Value};
use std::rc::Rc;
use std::time::Duration;

/// The tail stands still for so long: before the first change of a pair, between the two, and behind them.
const FREEZE: [Duration; 3] = [
    Duration::from_millis(50),
    Duration::from_millis(80),
    Duration::from_millis(270),
];
/// Changes of routes that are under way while a control node is replaced.
const CHANGES: u64 = 6;
/// The key that moves from tenant to tenant.
const MOVING_KEY: &str = "key-that-moves";
/// The rules under which the chain checks tenants.
const CHECKED_TENANTS: u64 = 2;

/// What was seen so far.
struct Upgrade {
    version: u64,
    operators: [Rc<Operator>; 2],
    /// Which of two tenants has the key that moves.
    holder: usize,
    pairs: usize,
    /// An invalid configuration of the earlier program is kept until all are replaced.
    keeps_fault: bool,
    lost: Vec<String>,
    taken: Vec<String>,
    differing: Vec<String>,
}

pub async fn run(cluster: &mut Cluster, programs: &Programs, seed: u64) -> Result<(), Stopped> {
    let mut first = configuration(1, &[route("first", Kind::ReadOnly)]);
    first["tenants"] = json!([tenant("mover-0", &[MOVING_KEY]), tenant("mover-1", &[])]);
    cluster.begin(&first, &[]).await?;
    let operators = [cluster.operator.clone(), cluster.second_operator()];
    let mut upgrade = Upgrade {
        version: 1,
        operators,
        holder: 0,
        pairs: 0,
        keeps_fault: false,
        lost: Vec::new(),
        taken: Vec::new(),
        differing: Vec::new(),
    };
    upgrade.move_key(cluster, [0, 1]).await?;
    let is_invalid = upgrade.share_key(cluster, [0, 1]).await?;
    cluster
        .report
        .notes
        .push(format!("taken before: {is_invalid}"));
    upgrade.keeps_fault = is_invalid && seed.is_multiple_of(2);
    if is_invalid && !upgrade.keeps_fault {
        upgrade.mend(cluster, 0).await?;
    }
    let first = usize::try_from(seed / 2).unwrap_or(0);
    let order = cluster.controls_from(first % cluster.controls.len());
    for (turn, machine) in order.iter().enumerate() {
        let is_last = turn + 1 == order.len();
        upgrade
            .replace(cluster, *machine, programs, turn % 2 == 0)
            .await?;
        if !upgrade.keeps_fault {
            let other = order[(turn + 1) % order.len()];
            upgrade.move_key(cluster, [*machine, other]).await?;
            if upgrade.share_key(cluster, [other, *machine]).await? {
                let what = format!("by node {machine}, {} replaced", turn + 1);
                upgrade.taken.push(what);
                upgrade.mend(cluster, *machine).await?;
            }
        }
        if is_last {
            judge_rules(cluster).await?;
        }
    }
    if upgrade.keeps_fault {
        upgrade.judge_mended(cluster).await?;
    }
    upgrade.move_key(cluster, [1, 2]).await?;
    if upgrade.share_key(cluster, [0, 1]).await? {
        upgrade.taken.push("with all replaced".to_owned());
    }
    let report = &mut cluster.report;
    report.judge(
        "a change that is valid only by one under way is taken",
        &upgrade.lost,
    );
    report.judge(
        "a change that is invalid by one under way is not",
        &upgrade.taken,
    );
    report.judge(
        "all nodes read the configuration that is acknowledged",
        &upgrade.differing,
    );
    Ok(())
}

fn tenant(name: &str, keys: &[&str]) -> Value {
    json!({"name": name, "api_keys": keys, "priority": 1, "home_regions": []})
}

/// An update of one item.
fn set(based_on: u64, list: &str, item: &Value) -> Call {
    let update = json!({"version_number": based_on + 1, "set_items": {list: [item]}});
    Call::update(based_on, update.to_string().into_bytes())
}

impl Upgrade {
    /// A key moves by two changes under way at once: the first takes it from one tenant, the second gives it to another.
    async fn move_key(
        &mut self,
        cluster: &mut Cluster,
        machines: [usize; 2],
    ) -> Result<(), Stopped> {
        let (from, to) = (self.holder, 1 - self.holder);
        let pair = [
            tenant(&format!("mover-{from}"), &[]),
            tenant(&format!("mover-{to}"), &[MOVING_KEY]),
        ];
        let statuses = self.send_pair(cluster, machines, &pair).await?;
        if statuses != [Some(200), Some(200)] {
            self.lost.push(format!("at {machines:?}: {statuses:?}"));
        }
        self.holder = to;
        self.read_alike(cluster).await
    }

    /// Two changes under way at once give one key to two tenants; whether both were acknowledged.
    async fn share_key(
        &mut self,
        cluster: &mut Cluster,
        machines: [usize; 2],
    ) -> Result<bool, Stopped> {
        let key = format!("key-{}", self.pairs);
        let pair = [
            tenant(&format!("hall-{}", self.pairs), &[&key]),
            tenant("kiosk", &[&key]),
        ];
        let statuses = self.send_pair(cluster, machines, &pair).await?;
        if !matches!(statuses, [Some(200), Some(200 | 400)]) {
            self.lost.push(format!("at {machines:?}: {statuses:?}"));
        }
        self.read_alike(cluster).await?;
        Ok(statuses[1] == Some(200))
    }

    /// Sends two changes, the second built on the first, while the tail of the chain stands still. The first is sent to another
    /// node: where the tail has it in its socket, it is not under way, and the second is a conflict.
    async fn send_pair(
        &mut self,
        cluster: &mut Cluster,
        machines: [usize; 2],
        tenants: &[Value; 2],
    ) -> Result<[Option<u16>; 2], Stopped> {
        self.pairs += 1;
        let tail = tail_of(cluster).await;
        let calls = [
            set(self.version, "tenants", &tenants[0]),
            set(self.version + 1, "tenants", &tenants[1]),
        ];
        if let Some(tail) = tail {
            cluster.controls[tail].freeze();
        }
        Timer::after(FREEZE[0]).await;
        let mut orders = machines.map(|machine| cluster.controls_from(machine));
        orders[0].retain(|machine| Some(*machine) != tail);
        let first = self.operators[0].send(&calls[0], &orders[0], GENEROUS);
        let second = async {
            Timer::after(FREEZE[1]).await;
            self.operators[1]
                .send(&calls[1], &orders[1], GENEROUS)
                .await
        };
        let thawed = async {
            Timer::after(FREEZE[1] + FREEZE[2]).await;
            if let Some(tail) = tail {
                cluster.controls[tail].thaw();
            }
        };
        let ((first, second), ()) = future::zip(future::zip(first, second), thawed).await;
        cluster.look()?;
        let statuses = [first, second].map(status_of);
        self.version += statuses
            .iter()
            .filter(|status| **status == Some(200))
            .count() as u64;
        Ok(statuses)
    }

    /// The tenant that shares a key gives it up.
    async fn mend(&mut self, cluster: &mut Cluster, machine: usize) -> Result<(), Stopped> {
        let call = set(self.version, "tenants", &tenant("kiosk", &[]));
        cluster
            .confirm(&call, &cluster.controls_from(machine))
            .await?;
        self.version += 1;
        self.read_alike(cluster).await
    }

    /// A control node ends, killed or told to, and one of this program starts on its disk, with changes under way.
    async fn replace(
        &mut self,
        cluster: &mut Cluster,
        machine: usize,
        programs: &Programs,
        is_killed: bool,
    ) -> Result<(), Stopped> {
        let others: Vec<usize> = cluster.controls_from(machine + 1);
        let operator = cluster.operator.clone();
        let first = self.version;
        let changes = async {
            let mut answers = Vec::new();
            for based_on in first..first + CHANGES {
                let name = format!("during-{machine}-{based_on}");
                let call = set(based_on, "routes", &route(&name, Kind::ReadOnly));
                answers.push(operator.send(&call, &others, GENEROUS).await);
            }
            answers
        };
        let process = &mut cluster.controls[machine];
        let exchange = async {
            match is_killed {
                true => process.kill(),
                false => process.terminate(),
            }
            while process.is_running()? {
                Timer::after(FREEZE[0]).await;
            }
            process.use_programs(programs);
            process.start()?;
            Ok::<(), Stopped>(())
        };
        let (answers, exchanged) = future::zip(changes, exchange).await;
        exchanged?;
        cluster.look()?;
        for (change, status) in answers.into_iter().map(status_of).enumerate() {
            if status != Some(200) {
                self.lost.push(format!(
                    "change {change} while {machine} is replaced: {status:?}"
                ));
            }
        }
        self.version += CHANGES;
        let all = cluster.controls_from(0);
        cluster.until_in_line(&all, all.len()).await?;
        self.read_alike(cluster).await
    }

    /// All nodes read the same, of the version that was acknowledged last.
    async fn read_alike(&mut self, cluster: &mut Cluster) -> Result<(), Stopped> {
        let expected = cluster.read_back(&[0]).await?;
        if expected["version_number"] != self.version {
            let version = &expected["version_number"];
            self.differing
                .push(format!("{version} in place of {}", self.version));
        }
        for machine in [1, 2] {
            let read = cluster.read_back(&[machine]).await?;
            if read != expected {
                self.differing.push(format!("node {machine} reads {read}"));
            }
        }
        Ok(())
    }

    /// The nodes tell of the invalid configuration that the earlier program has taken, until it is mended.
    async fn judge_mended(&mut self, cluster: &mut Cluster) -> Result<(), Stopped> {
        let mut untold = Vec::new();
        for machine in cluster.controls_from(0) {
            if fault_of(cluster, machine).await.is_empty() {
                untold.push(format!("node {machine}"));
            }
        }
        self.mend(cluster, 1).await?;
        for machine in cluster.controls_from(0) {
            let fault = fault_of(cluster, machine).await;
            if !fault.is_empty() {
                untold.push(format!("node {machine} still tells {fault}"));
            }
        }
        let what = "an invalid configuration of the earlier program is told, and mended";
        cluster.report.judge(what, &untold);
        Ok(())
    }
}

fn status_of(answer: Option<Message>) -> Option<u16> {
    answer.map(|answer| answer.head.status)
}

async fn fault_of(cluster: &Cluster, machine: usize) -> String {
    let status = cluster.operator.status(machine).await.unwrap_or_default();
    status["configuration_fault"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// The machine of the last member of the chain.
async fn tail_of(cluster: &Cluster) -> Option<usize> {
    let status = cluster.operator.status(0).await?;
    let tail = status["view"]["chain"]
        .as_array()?
        .last()?
        .as_str()?
        .to_owned();
    let address = |machine: usize| cluster.plan.announced(machine, PEERS).to_string();
    (0..cluster.controls.len()).find(|machine| address(*machine) == tail)
}

/// The rules come into force at all nodes once all are of this program.
async fn judge_rules(cluster: &mut Cluster) -> Result<(), Stopped> {
    for machine in cluster.controls_from(0) {
        let what = format!("node {machine} has the latest rules in force");
        cluster
            .until(&what, async |cluster| {
                let status = cluster.operator.status(machine).await.unwrap_or_default();
                let rules = status["rules_version"].as_u64();
                (rules != Some(CHECKED_TENANTS)).then(|| format!("{rules:?}"))
            })
            .await?;
    }
    cluster
        .report
        .judge("the rules come into force with the last one", &[]);
    Ok(())
}
