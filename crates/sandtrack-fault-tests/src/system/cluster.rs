//! One cluster of real processes with its relays and stand-ins, and the waits that all scenarios share. A wait is for a
//! condition, with a limit that only ends a run that would not end.
use super::client::{Client, Ended};
use super::documents::{self, History, Kind, SERVICE};
use super::links::{Links, SharedLinks};
use super::operator::Operator;
use super::platform::{self, Instance, Instances};
use super::process::{Process, Programs};
use super::relay::{self, Machines, Place, Spoken};
use super::report::{Report, Stopped};
use super::settings::{self, node_name, Machine, Role, CONTROL, FRONT, PEERS, READINESS, SESSIONS};
use super::upstream::{self, SharedRunBook, Upstream};
use crate::http;
use crate::plan::Plan;
use crate::tasks::Spawner;
use async_io::Timer;
use sandtrack_cli::call::Call;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What must come to be so has this long: many times what it takes.
pub const GENEROUS: Duration = Duration::from_secs(40);
/// How often a condition is looked at.
const LOOK: Duration = Duration::from_millis(40);
/// Changes that are made at a time before they are read back.
const CHANGES: usize = 3;
/// Slots of each upstream, as the list shows them.
const SLOTS: u32 = 64;

/// Which machines and upstreams there are. Each machine is in a zone of its own.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// The first so many machines have a control node.
    pub controls: usize,
    pub machines: usize,
    pub upstreams: usize,
    /// Whether the platform's list is served, with these upstreams; else somebody else does.
    pub platform: bool,
}

pub struct Cluster {
    pub plan: Rc<Plan>,
    pub machines: Vec<Machine>,
    pub links: SharedLinks,
    /// By machine.
    pub controls: Vec<Process>,
    pub proxies: Vec<Process>,
    pub operator: Rc<Operator>,
    pub upstreams: Vec<Rc<Upstream>>,
    pub runs: SharedRunBook,
    pub report: Report,
    folder: PathBuf,
}

/// Zone of a machine.
pub fn zone(machine: usize) -> String {
    format!(
        "hall-{}",
        char::from(b'a' + u8::try_from(machine % 26).unwrap_or(0))
    )
}

fn machines(shape: Shape) -> Vec<Machine> {
    let machine = |number: usize| Machine {
        zone: zone(number),
        region: "ishikari".to_owned(),
        control: number < shape.controls,
    };
    (0..shape.machines).map(machine).collect()
}

impl Cluster {
    /// Opens relays and stand-ins; no process is started yet.
    ///
    /// # Errors
    /// Where addresses or files can't be had.
    pub fn open(
        shape: Shape,
        seed: u64,
        folder: &Path,
        programs: &Programs,
        spawner: &Spawner<'_>,
    ) -> io::Result<Cluster> {
        let plan = Rc::new(Plan::take()?);
        let machines = machines(shape);
        let links = Links::shared();
        std::fs::create_dir_all(folder)?;
        if std::fs::read_dir(folder)?.next().is_some() {
            // Disks of an earlier run would be taken for this one's.
            let what = format!("{} is not empty", folder.display());
            return Err(io::Error::new(io::ErrorKind::AlreadyExists, what));
        }
        let process = |role, number| {
            let data = Process::data(folder, role, number);
            let settings = settings::of(&plan, &machines, role, number, &data);
            Process::new(role, number, settings, folder, programs)
        };
        let controls: Vec<Process> = (0..shape.controls)
            .map(|number| process(Role::Control, number))
            .collect();
        let proxies = (0..shape.machines)
            .map(|number| process(Role::Proxy, number))
            .collect();
        let operator = Operator::new(
            (0..shape.controls)
                .map(|number| plan.announced(number, CONTROL))
                .collect(),
        );
        open_relays(&plan, &machines, &links, spawner)?;
        let runs = SharedRunBook::default();
        let mut upstreams = Vec::new();
        let mut instances = Vec::new();
        for number in 0..shape.upstreams {
            let upstream = Upstream::new(&format!("u-{number}"), &runs, seed * 100 + number as u64);
            let address = plan.system_upstream(number);
            upstream::open(address, &upstream, spawner)?;
            instances.push(Instance {
                identifier: upstream.identifier.clone(),
                service: SERVICE.to_owned(),
                address,
                zone: zone(number % shape.controls),
                slots: SLOTS,
            });
            upstreams.push(upstream);
        }
        if shape.platform {
            platform::open(plan.platform(), &Instances::new(instances.into()), spawner)?;
        }
        Ok(Cluster {
            plan,
            machines,
            links,
            controls,
            proxies,
            operator: Rc::new(operator),
            upstreams,
            runs,
            report: Report::default(),
            folder: folder.to_owned(),
        })
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Starts all control nodes, and the proxies of these machines.
    ///
    /// # Errors
    /// Where a process can't be made.
    pub fn start(&mut self, proxies: &[usize]) -> io::Result<()> {
        self.controls.iter_mut().try_for_each(Process::start)?;
        proxies
            .iter()
            .try_for_each(|number| self.proxies[*number].start())
    }

    /// The machines that have a control node, from `first` on, and round.
    pub fn controls_from(&self, first: usize) -> Vec<usize> {
        let count = self.controls.len();
        (0..count).map(|turn| (first + turn) % count).collect()
    }

    /// A client of one machine's front.
    pub fn client(&self, name: &str, machine: usize) -> Client {
        Client::new(name, self.plan.announced(machine, FRONT))
    }

    /// Looks whether processes have ended that nobody told to.
    ///
    /// # Errors
    /// Where one has.
    pub fn look(&mut self) -> Result<(), Stopped> {
        for process in self.controls.iter_mut().chain(&mut self.proxies) {
            process.is_running()?;
        }
        Ok(())
    }

    /// Waits until a condition holds, which says what is seen as long as it does not.
    ///
    /// # Errors
    /// Where it does not come within a generous limit, or a process ends by itself.
    pub async fn until(
        &mut self,
        what: &str,
        mut seen: impl AsyncFnMut(&mut Cluster) -> Option<String>,
    ) -> Result<(), Stopped> {
        let began = Instant::now();
        loop {
            self.look()?;
            let Some(seen) = seen(self).await else {
                return Ok(());
            };
            if began.elapsed() > GENEROUS {
                return Err(Stopped::Late {
                    what: what.to_owned(),
                    limit: GENEROUS,
                    seen,
                });
            }
            Timer::after(LOOK).await;
        }
    }

    /// Lets time go by that a rule counts.
    ///
    /// # Errors
    /// Where a process ends by itself meanwhile.
    pub async fn pass(&mut self, time: Duration) -> Result<(), Stopped> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            Timer::after(LOOK.min(until.saturating_duration_since(Instant::now()))).await;
            self.look()?;
        }
        Ok(())
    }

    /// One more operator, who keeps tries of its own.
    pub fn second_operator(&self) -> Rc<Operator> {
        let address = |machine| self.plan.announced(machine, CONTROL);
        Rc::new(Operator::new(
            (0..self.controls.len()).map(address).collect(),
        ))
    }

    /// Has an order confirmed, asking these control nodes in turn.
    ///
    /// # Errors
    /// Where it is refused, or not confirmed in time.
    pub async fn confirm(&mut self, call: &Call, machines: &[usize]) -> Result<(), Stopped> {
        let late = |seen: String| Stopped::Late {
            what: format!("{} confirmed", call.target),
            limit: GENEROUS,
            seen,
        };
        let answer = self.operator.clone().send(call, machines, GENEROUS).await;
        self.look()?;
        match answer.map(|answer| (answer.head.status, answer.body)) {
            Some((200, _)) => Ok(()),
            Some((status, body)) => {
                Err(late(format!("{status} {}", String::from_utf8_lossy(&body))))
            }
            None => Err(late("no definite answer".to_owned())),
        }
    }

    /// The configuration as it is read back from these control nodes in turn.
    ///
    /// # Errors
    /// Where there is no answer in time.
    pub async fn read_back(&mut self, machines: &[usize]) -> Result<Value, Stopped> {
        let answer = self
            .operator
            .clone()
            .send(&Call::read(), machines, GENEROUS)
            .await;
        self.look()?;
        let answer = answer.filter(|answer| answer.head.status == 200);
        let document = answer.and_then(|answer| serde_json::from_slice(&answer.body).ok());
        document.ok_or_else(|| Stopped::Late {
            what: format!("the configuration read at {machines:?}"),
            limit: GENEROUS,
            seen: "no 200".to_owned(),
        })
    }

    /// Starts without fronts, with the first configuration of a history confirmed.
    ///
    /// # Errors
    /// Where it does not come to that.
    pub async fn begin_history(&mut self) -> Result<History, Stopped> {
        let (history, first) = History::begin();
        self.begin(&first, &[]).await?;
        Ok(history)
    }

    /// Has some changes confirmed, asking control nodes from `first` on, and says what of the whole history a read lacks.
    ///
    /// # Errors
    /// Where a change is not confirmed, or nothing can be read.
    pub async fn changes_are_read(
        &mut self,
        history: &mut History,
        first: usize,
    ) -> Result<Option<String>, Stopped> {
        let machines = self.controls_from(first);
        for _ in 0..CHANGES {
            self.confirm(&history.change(), &machines).await?;
        }
        let document = self.read_back(&machines).await?;
        Ok(history.missing(&document))
    }

    /// Whether a front says that it is ready to take traffic.
    pub async fn is_ready(&self, machine: usize) -> bool {
        let address = self.plan.announced(machine, READINESS);
        let answer = http::call(address, "GET", "/v1/readiness", Duration::from_secs(2)).await;
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until a front serves a route.
    ///
    /// # Errors
    /// Where it does not come to that.
    pub async fn until_served(&mut self, machine: usize, prefix: &str) -> Result<(), Stopped> {
        let mut client = self.client(&format!("look-{machine}-{prefix}"), machine);
        self.until(
            &format!("the front of machine {machine} serves /{prefix}/"),
            async |_| {
                let asked = client.ask_at(Kind::ReadOnly, prefix).await;
                (asked.ended != Ended::Answered(200)).then(|| format!("{:?}", asked.ended))
            },
        )
        .await
    }

    /// Waits until all control nodes of these machines say that they are in line and hear a majority, with this many in the
    /// chain.
    ///
    /// # Errors
    /// Where they do not come to that.
    pub async fn until_in_line(&mut self, machines: &[usize], chain: usize) -> Result<(), Stopped> {
        for machine in machines {
            self.until(
                &format!("control of machine {machine} is in line"),
                async |cluster| {
                    let Some(status) = cluster.operator.status(*machine).await else {
                        return Some("no status".to_owned());
                    };
                    let links = status["view"]["chain"].as_array().map_or(0, Vec::len);
                    let is_so =
                        status["attached"] == true && status["caught_up"] == true && links == chain;
                    (!is_so).then(|| status.to_string())
                },
            )
            .await?;
        }
        Ok(())
    }

    /// Starts with this configuration confirmed, and these fronts ready.
    ///
    /// # Errors
    /// Where it does not come to that.
    pub async fn begin(&mut self, configuration: &Value, proxies: &[usize]) -> Result<(), Stopped> {
        self.start(proxies)?;
        let all = self.controls_from(0);
        self.confirm(&documents::replace(0, configuration), &all)
            .await?;
        self.until_in_line(&all, all.len()).await?;
        for machine in proxies {
            self.until(
                &format!("the front of machine {machine} is ready"),
                async |cluster| (!cluster.is_ready(*machine).await).then(|| "not ready".to_owned()),
            )
            .await?;
        }
        Ok(())
    }
}

fn open_relays(
    plan: &Plan,
    machines: &[Machine],
    links: &SharedLinks,
    spawner: &Spawner<'_>,
) -> io::Result<()> {
    let both = [Role::Control, Role::Proxy];
    let names = both
        .iter()
        .flat_map(|role| (0..machines.len()).map(move |number| (node_name(*role, number), number)));
    let names: Machines = Rc::new(names.collect::<BTreeMap<_, _>>());
    for machine in (0..machines.len()).filter(|machine| machines[*machine].control) {
        let places = [
            (Spoken::Peers, PEERS),
            (Spoken::Sessions, SESSIONS),
            (Spoken::Operators, CONTROL),
        ];
        for (spoken, port) in places {
            let place = Place {
                links: links.clone(),
                machines: names.clone(),
                spoken,
                machine,
                behind: plan.behind(machine, port),
            };
            relay::open(plan.announced(machine, port), place, spawner)?;
        }
    }
    Ok(())
}
