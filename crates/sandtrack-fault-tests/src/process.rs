//! The processes of the program under test: started, stopped, continued, ended and reaped here, by id. It owns every child, and
//! must never leave one behind: whatever ends the rig ends them.
use crate::plan::Plan;
use crate::scenario::{Effect, Scenario};
use crate::starvation::{parse_waited, Starvation};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

pub struct Process {
    pub name: String,
    pub zone: usize,
    child: Option<Child>,
    pub stopped: bool,
    /// It has been told to end.
    ending: bool,
    pub started: Option<Instant>,
    /// Its last trouble: killed, ended, or stopped and going on again.
    impaired: Option<Instant>,
    pub starts: u32,
    starvation: Starvation,
}

pub struct Processes {
    pub all: Vec<Process>,
    program: Vec<PathBuf>,
    folder: PathBuf,
    pub kept: bool,
    /// Ends that nobody ordered.
    pub wrong: Vec<String>,
}

impl Drop for Processes {
    fn drop(&mut self) {
        for process in &mut self.all {
            if let Some(mut child) = process.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if !self.kept {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// The settings that all are given, in the program's own form.
fn settings(scenario: &Scenario, zone: &str) -> Value {
    let classes: Vec<Value> = scenario
        .classes
        .iter()
        .map(|class| {
            let effect = match class.effect {
                Effect::Repeatable => "repeatable",
                Effect::Keyed => "by_key",
                Effect::Unsafe => "once",
            };
            json!({"name": class.name, "aim": class.aim_ms, "deadline": class.deadline_ms, "effect": effect,
                "key-scope": "all", "window": class.window_ms, "value": class.worth})
        })
        .collect();
    let siblings = scenario.siblings.unwrap_or(scenario.processes as u32);
    json!({
        "azs": scenario.zones, "locality": zone, "me": 0, "siblings": siblings, "classes": classes,
        "orgs": [{"name": "rig", "portion": 1.0, "quota-rps": 100_000.0}], "over-share-worth": 0.1,
        "discovery": "on_request", "feedback": {"how": "on_probe", "columns": ["active", "waiting"]},
        "weights": "off",
        "limits": {"cancel": true, "probes": true, "peers": false, "parallel-tries": true, "max-attempts": 4,
            "retry-after": true, "max-retry-after": 400.0, "connect-timeout": 300.0, "conn-idle": 20_000.0},
        "penalties": {"probe": 0.002, "cross-zone": 0.005, "waste": 0.02, "late-fail": 0.03},
        "rules": {"answer-slack": 5.0, "ask-within": 10_000.0, "cold": scenario.server.cold_s * 1000.0,
            "cold-share": scenario.server.cold_share, "drain-grace": 500.0, "fall": 2000.0, "fall-multiple": 2.5},
    })
}

impl Processes {
    /// Writes what each process is told; none is started yet. `program`: the words that start one.
    pub fn new(
        scenario: &Scenario,
        plan: &Plan,
        program: Vec<PathBuf>,
        folder: PathBuf,
        known: impl Fn(usize, usize) -> Value,
    ) -> io::Result<Self> {
        std::fs::create_dir_all(&folder)?;
        let mut all = Vec::new();
        let seeds: Vec<String> = (0..scenario.seeds.min(scenario.processes))
            .map(|seed| plan.relay(seed).to_string())
            .collect();
        for number in 0..scenario.processes {
            let zone = number % scenario.zones.len();
            let (name, zone_name) = (format!("n{}", number + 1), &scenario.zones[zone]);
            let mut config = json!({
                "name": name, "listen": plan.clients(number).to_string(), "discovery": plan.discovery(number).to_string(),
                "admin": plan.admin(number).to_string(), "seed": format!("{:x}", scenario.seed * 1000 + number as u64),
                "limits": {"sockets": 512, "memory_mb": 64}, "known": known(number, zone),
                "settings": settings(scenario, zone_name),
            });
            if scenario.fleet {
                let region = scenario.regions.get(zone_name).unwrap_or(zone_name);
                config["fleet"] = json!({
                    "cluster": scenario.name, "listen": plan.fleet(number).to_string(),
                    "advertise": plan.relay(number).to_string(), "seeds": seeds, "region": region,
                    "datagram_bytes": scenario.datagram_bytes,
                });
            }
            std::fs::write(folder.join(format!("{name}.json")), config.to_string())?;
            all.push(Process {
                name,
                zone,
                child: None,
                stopped: false,
                ending: false,
                started: None,
                impaired: None,
                starts: 0,
                starvation: Starvation::default(),
            });
        }
        Ok(Processes {
            all,
            program,
            folder,
            kept: false,
            wrong: Vec::new(),
        })
    }

    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Changes what a process that does not run is told.
    pub fn reconfigure(&self, number: usize, change: impl FnOnce(&mut Value)) -> io::Result<()> {
        let path = self.folder.join(format!("{}.json", self.all[number].name));
        let mut config: Value = serde_json::from_slice(&std::fs::read(&path)?)?;
        change(&mut config);
        std::fs::write(path, config.to_string())
    }

    pub fn start(&mut self, number: usize) -> io::Result<()> {
        let process = &mut self.all[number];
        if process.child.is_some() {
            return Ok(());
        }
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", process.name)))?;
        let Some((program, words)) = self.program.split_first() else {
            return Ok(());
        };
        let mut command = Command::new(program);
        command.args(words).env(
            "NODE_CONFIG",
            self.folder.join(format!("{}.json", process.name)),
        );
        for variable in [
            "NODE_NAME",
            "NODE_LISTEN",
            "NODE_DISCOVERY",
            "NODE_ADMIN",
            "NODE_SOCKET_FD",
            "NODE_FLEET",
        ] {
            command.env_remove(variable);
        }
        let folder = self.folder.join(&process.name);
        std::fs::create_dir_all(&folder)?;
        command
            .env("TMPDIR", folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        process.child = Some(command.spawn()?);
        (process.stopped, process.ending) = (false, false);
        process.started = Some(Instant::now());
        process.starts += 1;
        Ok(())
    }

    pub fn runs(&self, number: usize) -> bool {
        self.all[number].child.is_some()
    }

    /// It runs, and nobody told it to end.
    pub fn serves(&self, number: usize) -> bool {
        let process = &self.all[number];
        process.child.is_some() && !process.ending && !process.stopped
    }

    /// It runs and does not stand still.
    pub fn goes(&self, number: usize) -> bool {
        self.runs(number) && !self.all[number].stopped
    }

    /// What began then may have been cut short by what the rig did to the process.
    pub fn was_impaired(&self, number: usize, since: Instant) -> bool {
        let process = &self.all[number];
        let young = process
            .started
            .is_none_or(|started| started.elapsed().as_secs_f64() < 2.0);
        process.stopped || process.ending || young || process.impaired.is_some_and(|at| at >= since)
    }

    fn signal(&self, number: usize, signal: Signal) {
        let id = self.all[number]
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32));
        if let Some(id) = id {
            // It fails only where the process has ended, which is found out when it is reaped.
            let _ = kill_process(id, signal);
        }
    }

    pub fn kill(&mut self, number: usize) {
        let process = &mut self.all[number];
        process.impaired = Some(Instant::now());
        if let Some(mut child) = process.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn term(&mut self, number: usize) {
        self.all[number].ending = true;
        self.signal(number, Signal::TERM);
    }

    pub fn stop(&mut self, number: usize) {
        self.signal(number, Signal::STOP);
        let process = &mut self.all[number];
        (process.stopped, process.impaired) = (true, Some(Instant::now()));
    }

    pub fn go_on(&mut self, number: usize) {
        self.signal(number, Signal::CONT);
        let process = &mut self.all[number];
        (process.stopped, process.impaired) = (false, Some(Instant::now()));
    }

    /// Finds out who has ended; who did so by itself is noted.
    pub fn reap(&mut self) {
        for process in &mut self.all {
            let ended = process
                .child
                .as_mut()
                .and_then(|child| child.try_wait().ok().flatten());
            let Some(status) = ended else { continue };
            process.child = None;
            process.impaired = Some(Instant::now());
            if !process.ending || !status.success() {
                self.wrong.push(format!(
                    "process {} ended by itself: {status}",
                    process.name
                ));
            }
        }
    }

    /// Reads for how long each process had no processor.
    pub fn note_starvation(&mut self) {
        for process in &mut self.all {
            let Some(child) = &process.child else {
                continue;
            };
            // Where the kernel keeps no such count, nobody is taken for starved.
            let read = std::fs::read_to_string(format!("/proc/{}/schedstat", child.id()));
            if let Some(waited) = read.ok().as_deref().and_then(parse_waited) {
                process.starvation.note(Instant::now(), waited);
            }
        }
    }

    /// The machine kept it from running for long enough to be taken for stopped.
    pub fn was_starved(&self, number: usize) -> bool {
        self.all[number].starvation.is_starved()
    }

    pub fn running(&self) -> Vec<usize> {
        (0..self.all.len())
            .filter(|number| self.runs(*number))
            .collect()
    }
}
