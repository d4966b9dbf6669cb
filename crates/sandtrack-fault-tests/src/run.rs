//! One run of a scenario: everything is set up, the steps are carried out in order, and what was seen is judged. It owns the
//! run's tasks and their end, and must never judge by how fast a machine is: by events and counts alone.
use crate::book::Book;
use crate::client::{ask, Client};
use crate::discovery::{self, Discovery};
use crate::plan::Plan;
use crate::process::Processes;
use crate::relay::{self, Relay};
use crate::report::Report;
use crate::scenario::{Condition, Scenario, Step, Who};
use crate::tasks::Spawner;
use crate::upstream::{self, Upstream};
use crate::watch::{self, Seen, Watch};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What the caller chooses beside the scenario.
pub struct Options {
    /// The words that start one process of the program.
    pub program: Vec<PathBuf>,
    /// Keeps configurations and logs in this folder.
    pub keep: Option<PathBuf>,
    /// Tells each step on standard error.
    pub tell: bool,
}

/// Why a run came to no end.
#[derive(Debug)]
pub enum Failed {
    Io(io::Error),
    /// Somebody ended it.
    Interrupted,
}

impl From<io::Error> for Failed {
    fn from(error: io::Error) -> Self {
        Failed::Io(error)
    }
}

impl std::fmt::Display for Failed {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Failed::Io(error) => write!(out, "{error}"),
            Failed::Interrupted => write!(out, "interrupted: all that was started has been ended"),
        }
    }
}

struct Run<'a> {
    scenario: &'a Scenario,
    plan: Rc<Plan>,
    spawner: Spawner<'a>,
    processes: Rc<RefCell<Processes>>,
    relay: relay::Shared,
    upstreams: Vec<upstream::Shared>,
    discovery: discovery::Shared,
    watch: watch::Shared,
    book: Rc<RefCell<Book>>,
    rng: Pcg64,
    called: HashMap<String, Vec<usize>>,
    report: Report,
    /// When the last step began that was no waiting.
    since: Instant,
    tell: bool,
}

/// How often processes are reaped and conditions looked at.
const LOOK: Duration = Duration::from_millis(40);
/// How often it is read for how long processes had no processor.
const STARVATION_LOOK: Duration = Duration::from_millis(200);
/// What a member says of itself whose timers came late (`sandtrack_membership::view`).
const STOPPED: &str = "it was stopped a moment ago";

/// Plays a scenario to its end.
pub fn play(scenario: &Scenario, options: &Options) -> Result<Report, Failed> {
    let executor = Rc::new(LocalExecutor::new());
    let spawner = Spawner::of(&executor);
    async_io::block_on(executor.run(whole(scenario, options, spawner)))
}

async fn whole<'a>(
    scenario: &'a Scenario,
    options: &Options,
    spawner: Spawner<'a>,
) -> Result<Report, Failed> {
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    let interrupted = async {
        signals.next().await;
        Err(Failed::Interrupted)
    };
    // Whichever way it ends, what it owns is dropped: the processes are ended and the folder goes.
    let played = async {
        let mut run = Run::open(scenario, options, spawner).await?;
        run.steps().await?;
        Ok(run.close())
    };
    future::or(interrupted, played).await
}

impl<'a> Run<'a> {
    async fn open(
        scenario: &'a Scenario,
        options: &Options,
        spawner: Spawner<'a>,
    ) -> Result<Run<'a>, Failed> {
        let plan = Rc::new(Plan::take()?);
        let (count, zones) = (scenario.processes, scenario.zones.len());
        let book = Rc::new(RefCell::new(Book::new(count)));
        let mut upstreams = Vec::new();
        for pool in &scenario.pools {
            let zone = scenario
                .zones
                .iter()
                .position(|zone| *zone == pool.zone)
                .unwrap_or(0);
            for _ in 0..pool.count {
                let (number, seed) = (
                    upstreams.len(),
                    scenario.seed.wrapping_add(upstreams.len() as u64),
                );
                let upstream = Upstream::new(
                    number,
                    zone,
                    zones,
                    &plan,
                    &scenario.server,
                    &scenario.classes,
                    seed,
                );
                upstream::open(&upstream, &book, &spawner)?;
                upstreams.push(upstream);
            }
        }
        let discovery = Discovery::new(upstreams.clone(), count, &scenario.zones);
        spawner.spawn(discovery::look(discovery.clone()));
        let relay = Relay::open(&plan, count, scenario.net.clone(), scenario.seed)?;
        for number in 0..count {
            discovery::open(
                &discovery,
                number,
                number % zones,
                plan.discovery(number),
                &spawner,
            )?;
            spawner.spawn(relay::serve(relay.clone(), number, spawner.clone()));
        }
        let folder = options.keep.clone().unwrap_or_else(|| {
            std::env::temp_dir().join(format!(
                "sandtrack-fault-tests-{}-{}",
                std::process::id(),
                plan.block()
            ))
        });
        let known = |number, zone| {
            let mut list = discovery.borrow().list(number, zone);
            (list["reset"], list["generation"]) = (true.into(), 0.into());
            list
        };
        let mut processes =
            Processes::new(scenario, &plan, options.program.clone(), folder, known)?;
        processes.kept = options.keep.is_some();
        let processes = Rc::new(RefCell::new(processes));
        let watch = Watch::new(count);
        // Each answer is as long as the fleet is large.
        let every = Duration::from_millis(100 + 4 * count as u64);
        for number in 0..count {
            let admin = plan.admin(number);
            spawner.spawn(watch::look(
                watch.clone(),
                processes.clone(),
                number,
                admin,
                every,
            ));
            if scenario.client.rps > 0.0 {
                let client = Client {
                    process: number,
                    address: plan.clients(number),
                    classes: scenario.classes.clone(),
                    rps: scenario.client.rps,
                    seed: scenario.seed * 7919 + number as u64,
                };
                spawner.spawn(ask(
                    client,
                    book.clone(),
                    processes.clone(),
                    spawner.clone(),
                ));
            }
        }
        let reaped = processes.clone();
        let reap = async move {
            loop {
                Timer::after(LOOK).await;
                reaped.borrow_mut().reap();
            }
        };
        spawner.spawn(reap);
        let watched = processes.clone();
        let note_starvation = async move {
            loop {
                watched.borrow_mut().note_starvation();
                Timer::after(STARVATION_LOOK).await;
            }
        };
        spawner.spawn(note_starvation);
        Ok(Run {
            scenario,
            plan,
            spawner,
            processes,
            relay,
            upstreams,
            discovery,
            watch,
            book,
            rng: Pcg64::seed_from_u64(scenario.seed),
            called: HashMap::new(),
            report: Report::new(scenario),
            since: Instant::now(),
            tell: options.tell,
        })
    }

    fn say(&self, line: &str) {
        if self.tell {
            eprintln!("{:6.1} s  {line}", self.book.borrow().now());
        }
    }

    /// Draws those of `all` (number, name, zone) that are meant.
    fn draw(&mut self, who: &Who, all: Vec<(usize, String, usize)>) -> Vec<usize> {
        if let Some(same) = &who.same {
            let called = self.called.get(same).cloned().unwrap_or_default();
            if who.but {
                return all
                    .into_iter()
                    .map(|one| one.0)
                    .filter(|number| !called.contains(number))
                    .collect();
            }
            return called;
        }
        let zone = who
            .zone
            .as_ref()
            .and_then(|zone| self.scenario.zones.iter().position(|known| known == zone));
        let fits = |one: &(usize, String, usize)| {
            let named = who.names.is_empty() || who.names.contains(&one.1);
            (named && zone.is_none_or(|zone| zone == one.2)) != who.but
        };
        let mut drawn: Vec<usize> = all.into_iter().filter(fits).map(|one| one.0).collect();
        let count = who
            .share
            .map(|share| (share * drawn.len() as f64).round() as usize)
            .or(who.count);
        if let Some(count) = count {
            drawn.shuffle(&mut self.rng);
            drawn.truncate(count);
            drawn.sort_unstable();
        }
        if let Some(call) = &who.call {
            self.called.insert(call.clone(), drawn.clone());
        }
        drawn
    }

    fn members(&mut self, who: &Who, running: Option<bool>) -> Vec<usize> {
        let all: Vec<(usize, String, usize)> = {
            let processes = self.processes.borrow();
            let fits =
                |number: &usize| running.is_none_or(|running| processes.runs(*number) == running);
            let of = |number: usize| {
                (
                    number,
                    processes.all[number].name.clone(),
                    processes.all[number].zone,
                )
            };
            (0..processes.all.len()).filter(fits).map(of).collect()
        };
        self.draw(who, all)
    }

    fn servers(&mut self, who: &Who) -> Vec<usize> {
        let of = |(number, upstream): (usize, &upstream::Shared)| {
            let here = upstream.borrow();
            (number, here.name.clone(), here.zone)
        };
        let all = self.upstreams.iter().enumerate().map(of).collect();
        self.draw(who, all)
    }

    fn names(&self, numbers: &[usize]) -> String {
        let processes = self.processes.borrow();
        let names: Vec<&str> = numbers
            .iter()
            .take(6)
            .map(|n| processes.all[*n].name.as_str())
            .collect();
        let more = numbers.len().saturating_sub(names.len());
        let more = if more > 0 {
            format!(" and {more} more")
        } else {
            String::new()
        };
        format!("{}{more}", names.join(" "))
    }

    async fn steps(&mut self) -> Result<(), Failed> {
        for step in &self.scenario.steps {
            self.step(step).await?;
        }
        // What is on its way has its time.
        let longest = self
            .scenario
            .classes
            .iter()
            .map(|class| class.deadline_ms)
            .fold(0.0, f64::max);
        if self.scenario.client.rps > 0.0 {
            Timer::after(Duration::from_secs_f64(longest / 1000.0)).await;
        }
        Ok(())
    }

    async fn step(&mut self, step: &Step) -> Result<(), Failed> {
        if !matches!(
            step,
            Step::Until { .. } | Step::Stays { .. } | Step::Wait { .. } | Step::Repeat { .. }
        ) {
            self.since = Instant::now();
        }
        match step {
            Step::Start { who } => {
                let whom = self.members(who, Some(false));
                self.say(&format!("start {}", self.names(&whom)));
                for number in whom {
                    self.processes.borrow_mut().start(number)?;
                }
            }
            Step::Kill { who } => {
                let whom = self.members(who, Some(true));
                self.say(&format!("SIGKILL {}", self.names(&whom)));
                whom.into_iter()
                    .for_each(|number| self.processes.borrow_mut().kill(number));
            }
            Step::Term { who } => {
                let whom = self.members(who, Some(true));
                self.say(&format!("SIGTERM {}", self.names(&whom)));
                whom.iter()
                    .for_each(|number| self.processes.borrow_mut().term(*number));
                let end = Instant::now() + Duration::from_secs(60);
                while whom
                    .iter()
                    .any(|number| self.processes.borrow().runs(*number))
                    && Instant::now() < end
                {
                    Timer::after(LOOK).await;
                }
                for number in whom
                    .into_iter()
                    .filter(|number| self.processes.borrow().runs(*number))
                {
                    let line =
                        format!("process n{} did not end within 60 s of SIGTERM", number + 1);
                    self.processes.borrow_mut().wrong.push(line);
                }
            }
            Step::Stop { who, for_s } => {
                let whom = self.members(who, Some(true));
                self.say(&format!("SIGSTOP for {for_s} s: {}", self.names(&whom)));
                whom.iter()
                    .for_each(|number| self.processes.borrow_mut().stop(*number));
                let (processes, time) = (self.processes.clone(), Duration::from_secs_f64(*for_s));
                let go_on = async move {
                    Timer::after(time).await;
                    whom.iter()
                        .for_each(|number| processes.borrow_mut().go_on(*number));
                };
                self.spawner.spawn(go_on);
            }
            Step::Cut { from, to, both } => {
                let (from, to) = (self.members(from, None), self.members(to, None));
                let arrow = if *both { "and" } else { "to" };
                self.say(&format!(
                    "cut {} {arrow} {}",
                    self.names(&from),
                    self.names(&to)
                ));
                let mut relay = self.relay.borrow_mut();
                relay.cut(&from, &to);
                if *both {
                    relay.cut(&to, &from);
                }
            }
            Step::Mend {} => {
                self.say("cuts are over");
                self.relay.borrow_mut().mend();
            }
            Step::Net { net, who } => {
                let whom = who.as_ref().map(|who| self.members(who, None));
                self.say(&format!("network: {net:?}"));
                self.relay.borrow_mut().set(net.clone(), whom.as_deref());
            }
            Step::Upstreams { who, how, factor } => {
                let whom = self.servers(who);
                self.say(&format!("{} upstreams: {how:?} {factor}", whom.len()));
                for number in whom {
                    let upstream = self.upstreams[number].clone();
                    upstream::turn(&upstream, *how, *factor, &self.book, &self.spawner)?;
                }
            }
            Step::Discovery { up } => {
                self.say(if *up {
                    "discovery is back"
                } else {
                    "discovery is down"
                });
                self.discovery.borrow_mut().up = *up;
            }
            Step::Lists {
                who,
                without_zone,
                late_s,
            } => {
                let whom = self.members(who, None);
                let zones = &self.scenario.zones;
                let zone = without_zone
                    .as_ref()
                    .and_then(|zone| zones.iter().position(|known| known == zone));
                self.say(&format!("lists of {}: {late_s} s late", self.names(&whom)));
                let mut discovery = self.discovery.borrow_mut();
                discovery.changes += 1;
                for number in whom {
                    discovery.late[number] = Duration::from_secs_f64(late_s.max(0.0));
                    discovery.without[number] = zone;
                }
            }
            Step::Rename { who, name } => {
                let whom = self.members(who, Some(false));
                self.say(&format!(
                    "{} go by the name {name} from now on",
                    self.names(&whom)
                ));
                for number in whom {
                    let renamed =
                        |config: &mut serde_json::Value| config["name"] = name.as_str().into();
                    self.processes.borrow().reconfigure(number, renamed)?;
                }
            }
            Step::Garbage { who, count } => {
                let whom = self.members(who, None);
                self.say(&format!(
                    "{count} hostile datagrams to each of {}",
                    self.names(&whom)
                ));
                self.garbage(&whom, *count).await?;
            }
            Step::Wait { s } => {
                self.say(&format!("wait {s} s"));
                Timer::after(Duration::from_secs_f64(*s)).await;
            }
            Step::Repeat { times, steps } => {
                for _ in 0..*times {
                    for step in steps {
                        Box::pin(self.step(step)).await?;
                    }
                }
            }
            Step::Until {
                is,
                who,
                limit_s,
                figure,
            } => self.until(*is, who, *limit_s, figure.as_deref()).await,
            Step::Stays { is, who, s } => self.stays(*is, who, *s).await,
        }
        Ok(())
    }

    /// Whom a condition is about: of some it names those that are left out, and nobody where nobody is named.
    fn meant(&mut self, is: Condition, who: &Who) -> Vec<usize> {
        let left_out = matches!(is, Condition::Whole | Condition::NobodyFailed);
        if left_out && who.is_open() {
            Vec::new()
        } else {
            self.members(who, None)
        }
    }

    async fn until(&mut self, is: Condition, who: &Who, limit_s: f64, figure: Option<&str>) {
        let whom = self.meant(is, who);
        let began = Instant::now();
        let end = began + Duration::from_secs_f64(limit_s);
        let word = is.word();
        loop {
            match self.holds(is, &whom, self.since) {
                Ok(()) => break,
                Err(why) if Instant::now() >= end => {
                    self.say(&format!("NOT {word} after {limit_s} s: {why}"));
                    self.report.verdict(&format!("until {word}"), false, &why);
                    return;
                }
                Err(_) => Timer::after(LOOK).await,
            };
        }
        let took = self.since.elapsed().as_secs_f64();
        self.say(&format!("{word}, {took:.1} s after"));
        self.report.verdict(
            &format!("until {word}"),
            true,
            &format!("{took:.2} s after"),
        );
        if let Some(figure) = figure {
            self.report
                .figures
                .entry(figure.to_owned())
                .or_default()
                .push(took);
        }
    }

    async fn stays(&mut self, is: Condition, who: &Who, s: f64) {
        let whom = self.meant(is, who);
        let word = is.word();
        self.say(&format!("{word} for {s} s?"));
        let end = Instant::now() + Duration::from_secs_f64(s);
        while Instant::now() < end {
            if let Err(why) = self.holds(is, &whom, self.since) {
                // One that was not asked since is not known to be otherwise.
                if !why.starts_with(UNSEEN) {
                    self.say(&format!("NOT {word}: {why}"));
                    return self.report.verdict(&format!("stays {word}"), false, &why);
                }
            }
            Timer::after(LOOK).await;
        }
        self.report
            .verdict(&format!("stays {word}"), true, &format!("for {s} s"));
    }

    /// Whether it is so by what was asked since then; else why not.
    fn holds(&self, is: Condition, whom: &[usize], since: Instant) -> Result<(), String> {
        let processes = self.processes.borrow();
        let watch = self.watch.borrow();
        let running: Vec<usize> = processes
            .running()
            .into_iter()
            .filter(|number| processes.goes(*number))
            .collect();
        let name = |number: usize| processes.all[number].name.as_str();
        let seen = |number: usize| {
            let seen = watch.seen[number].as_ref().filter(|seen| seen.at >= since);
            seen.ok_or_else(|| format!("{UNSEEN} {} since", name(number)))
        };
        let state = |by: usize, of: usize| -> Result<String, String> {
            Ok(seen(by)?
                .states
                .get(name(of))
                .cloned()
                .unwrap_or("unknown".to_owned()))
        };
        let wrong = |by: usize, of: usize, state: &str| {
            format!("{} holds {} for {state}", name(by), name(of))
        };
        // A machine that is too busy to run a process stops it in truth: what it says of that is no fault.
        let otherwise = |by: usize, seen: &Seen| {
            if seen.reason == STOPPED && processes.was_starved(by) {
                format!("{UNSEEN} {} had no processor", name(by))
            } else {
                format!("{} is {}: {}", name(by), seen.view, seen.reason)
            }
        };
        match is {
            Condition::Whole => {
                let judged = |number: &usize| !whom.contains(number);
                for &by in running.iter().filter(|by| judged(by)) {
                    let seen = seen(by)?;
                    if seen.view != "whole" {
                        return Err(otherwise(by, seen));
                    }
                    for of in (0..processes.all.len()).filter(|of| *of != by && judged(of)) {
                        let state = state(by, of)?;
                        let there = matches!(state.as_str(), "alive" | "joining");
                        if there != processes.runs(of) || state == "suspect" {
                            return Err(wrong(by, of, &state));
                        }
                    }
                }
            }
            Condition::Failed | Condition::Left => {
                let wanted = if is == Condition::Failed {
                    "failed"
                } else {
                    "left"
                };
                for &by in running.iter().filter(|by| !whom.contains(by)) {
                    for &of in whom {
                        let state = state(by, of)?;
                        if state != wanted {
                            return Err(wrong(by, of, &state));
                        }
                    }
                }
            }
            Condition::NobodyFailed => {
                let judged: Vec<usize> = running
                    .iter()
                    .copied()
                    .filter(|n| !whom.contains(n))
                    .collect();
                for &by in &judged {
                    for &of in judged.iter().filter(|of| **of != by) {
                        let state = state(by, of)?;
                        if state == "failed" {
                            return Err(wrong(by, of, &state));
                        }
                    }
                }
            }
            Condition::ViewWhole
            | Condition::ViewDoubtful
            | Condition::ViewCutOff
            | Condition::ViewNotWhole => {
                for &by in running.iter().filter(|by| whom.contains(by)) {
                    let seen = seen(by)?;
                    let so = match is {
                        Condition::ViewWhole => seen.view == "whole",
                        Condition::ViewDoubtful => seen.view == "doubtful",
                        Condition::ViewCutOff => seen.view == "cut-off",
                        _ => seen.view != "whole",
                    };
                    if !so {
                        return Err(otherwise(by, seen));
                    }
                }
            }
            Condition::Serving => {
                let book = self.book.borrow();
                let since = book.now() - since.elapsed().as_secs_f64();
                for &by in running.iter().filter(|by| whom.contains(by)) {
                    if book.served_at[by] < since {
                        return Err(format!("{} served nothing since", name(by)));
                    }
                }
            }
        }
        Ok(())
    }

    /// Bytes that no member sent: random ones, and old ones cut, changed, or just sent again.
    async fn garbage(&mut self, whom: &[usize], count: usize) -> Result<(), Failed> {
        let socket = std::net::UdpSocket::bind(self.plan.stranger())?;
        for n in 0..count {
            for &to in whom {
                let (from, mut bytes) = {
                    let relay = self.relay.borrow();
                    let kept = relay.kept.choose(&mut self.rng).cloned();
                    kept.unwrap_or((to, vec![0; 64]))
                };
                match n % 5 {
                    0 => {
                        bytes = (0..self.rng.gen_range(0..1400))
                            .map(|_| self.rng.gen())
                            .collect();
                    }
                    1 => bytes.truncate(self.rng.gen_range(0..bytes.len().max(1))),
                    2 | 3 => {
                        for _ in 0..self.rng.gen_range(1..8) {
                            let at = self.rng.gen_range(0..bytes.len().max(1));
                            if let Some(byte) = bytes.get_mut(at) {
                                *byte = self.rng.gen();
                            }
                        }
                    }
                    _ => {
                        // An old one, from who sent it.
                        self.relay.borrow().deliver(from, to, &bytes);
                        continue;
                    }
                }
                // Lost on the way where the socket is full, as on any network.
                let _ = socket.send_to(&bytes, self.plan.relay(to));
            }
            if n % 20 == 19 {
                Timer::after(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    fn close(self) -> Report {
        let mut report = self.report;
        let (mut processes, book) = (self.processes.borrow_mut(), self.book.borrow());
        processes.reap();
        for line in &processes.wrong {
            report.verdict("no process ends by itself", false, line);
        }
        report.verdict("no process ends by itself", processes.wrong.is_empty(), "");
        report.verdict(
            "one whole answer to each request",
            book.total.lost == 0,
            &format!("{} lost", book.total.lost),
        );
        let lines = book
            .wrong
            .iter()
            .take(5)
            .cloned()
            .collect::<Vec<_>>()
            .join("; ");
        report.verdict(
            "no effect twice, no other's answer",
            book.wrong.is_empty(),
            &lines,
        );
        report.finish(
            &book,
            &self.relay.borrow(),
            &self.watch.borrow(),
            &processes,
        );
        report
    }
}

const UNSEEN: &str = "not seen:";
