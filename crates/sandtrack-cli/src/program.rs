//! Carries commands out: reads files, calls control, prints. What it needs of the outside is a [`World`], so that tests play
//! whole exchanges without waiting.
use crate::call::{told, Call};
use crate::cli::{addresses, parser, Change, Command, Common, Options};
use crate::difference::{differences, Difference};
use crate::error::{CliError, EXIT_USAGE};
use crate::explain::explain;
use crate::retry::{Retry, Step};
use crate::settings;
use crate::status::{changed, Status};
use crate::transport::{exchange, TransportError};
use crate::Millis;
use bpaf::{Args, ParseFailure};
use sandtrack_protocol::codes::{self, Code};
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::{Document, Update};
use sandtrack_protocol::logs::escape;
use sandtrack_sidecar_core::message::Message;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

/// A look of [`Command::Follow`] is repeated for so long, in ms.
const LOOK_MS: Millis = 2000.0;

/// The outside: time, sockets and the two outputs.
pub trait World {
    /// A steady clock.
    fn now(&mut self) -> Millis;
    fn pause(&mut self, length: Millis);
    /// # Errors
    /// Where no whole answer came.
    fn exchange(
        &mut self,
        address: SocketAddr,
        request: &[u8],
        silence: Millis,
    ) -> Result<Message, TransportError>;
    /// A line of results.
    fn print(&mut self, line: &str);
    /// A line of what went wrong.
    fn complain(&mut self, line: &str);
}

/// The machine that this process runs on.
pub struct System {
    began: Instant,
}

impl Default for System {
    fn default() -> System {
        System {
            began: Instant::now(),
        }
    }
}

impl World for System {
    fn now(&mut self) -> Millis {
        self.began.elapsed().as_secs_f64() * 1000.0
    }

    fn pause(&mut self, length: Millis) {
        std::thread::sleep(Duration::from_secs_f64(length.max(0.0) / 1000.0));
    }

    fn exchange(
        &mut self,
        address: SocketAddr,
        request: &[u8],
        silence: Millis,
    ) -> Result<Message, TransportError> {
        exchange(address, request, silence)
    }

    fn print(&mut self, line: &str) {
        // A reader that left early (`sandtrackctl follow | head`) ends the program quietly.
        if writeln!(std::io::stdout().lock(), "{line}").is_err() {
            std::process::exit(0);
        }
    }

    fn complain(&mut self, line: &str) {
        // Where nobody reads it nothing can be told.
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }
}

/// Runs the program with these arguments and the value of SANDTRACK_CONTROL; gives its exit code.
pub fn run(arguments: &[String], environment: Option<&str>, world: &mut dyn World) -> u8 {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let options = match parser().run_inner(Args::from(words.as_slice()).set_name("sandtrackctl")) {
        Ok(options) => options,
        Err(ParseFailure::Stderr(why)) => {
            world.complain(why.monochrome(true).trim_end());
            return EXIT_USAGE;
        }
        Err(other) => {
            world.print(other.unwrap_stdout().trim_end());
            return 0;
        }
    };
    let Options { common, command } = options;
    let json = common.json;
    let mut sandtrackctl = Sandtrackctl {
        common,
        environment,
        world,
        turn: 0,
    };
    match sandtrackctl.carry_out(command) {
        Ok(()) => 0,
        Err(error) => {
            let line = if json {
                error.to_json()
            } else {
                error.to_string()
            };
            world.complain(&line);
            error.exit_code()
        }
    }
}

/// The configuration in force; the document is none before the first.
struct InForce {
    document: Document,
    configuration: Option<Configuration>,
}

impl InForce {
    fn none() -> InForce {
        InForce {
            document: Document::default(),
            configuration: None,
        }
    }
}

struct Sandtrackctl<'a> {
    common: Common,
    environment: Option<&'a str>,
    world: &'a mut dyn World,
    /// Place of the control address that is asked first: the one that answered last.
    turn: usize,
}

impl Sandtrackctl<'_> {
    fn carry_out(&mut self, command: Command) -> Result<(), CliError> {
        match command {
            Command::Put(change) => self.put(&change),
            Command::Update(change) => self.update(&change),
            Command::Read => {
                let answer = self.call(&Call::read())?;
                self.world.print(&String::from_utf8_lossy(&answer.body));
                Ok(())
            }
            Command::Difference(file) => {
                let (_, document, _) = whole(&file)?;
                let in_force = self.in_force()?;
                self.show_differences(&in_force.document, &document);
                Ok(())
            }
            Command::Check(file) => self.check(&file),
            Command::Evacuate { zone, begin } => {
                self.call(&Call::evacuate(&zone, begin))?;
                let state = if begin { "evacuated" } else { "taken back" };
                let text = format!("zone {zone} is {state}");
                let json = format!("{{\"zone\":\"{}\",\"evacuated\":{begin}}}", escape(&zone));
                self.tell(&text, &json);
                Ok(())
            }
            Command::EvacuationStatus => {
                let (_, status) = self.status()?;
                let zones: Vec<String> = status
                    .evacuated
                    .iter()
                    .map(|zone| format!("\"{}\"", escape(zone)))
                    .collect();
                let json = format!("{{\"evacuated\":[{}]}}", zones.join(","));
                self.tell(&format!("evacuated: {}", status.evacuated_line()), &json);
                self.warn(&status);
                Ok(())
            }
            Command::Status => {
                let (body, status) = self.status()?;
                match self.common.json {
                    true => self.world.print(&body),
                    false => status
                        .lines()
                        .iter()
                        .for_each(|line| self.world.print(line)),
                }
                Ok(())
            }
            Command::Route { host, path, file } => {
                let configuration = match file {
                    Some(file) => Some(whole(&file)?.2),
                    None => self.in_force()?.configuration,
                };
                let none = || CliError::coded(codes::NO_CONFIGURATION, "configuration");
                let explanation = explain(&configuration.ok_or_else(none)?, &host, &path)?;
                match self.common.json {
                    true => self.world.print(&explanation.to_json()),
                    false => explanation
                        .lines()
                        .iter()
                        .for_each(|line| self.world.print(line)),
                }
                Ok(())
            }
            Command::CheckSettings(file) => self.check_settings(&file),
            Command::Follow { length, every } => self.follow(length, every),
        }
    }

    /// A result in the form that is wanted.
    fn tell(&mut self, text: &str, json: &str) {
        self.world.print(if self.common.json { json } else { text });
    }

    fn warn(&mut self, status: &Status) {
        if let Some(warning) = status.warning() {
            self.world.complain(&format!("warning: {warning}"));
        }
    }

    /// Calls control until it answers.
    fn call(&mut self, call: &Call) -> Result<Message, CliError> {
        let length = call.repeat_for(self.common.within);
        self.call_for(call, length)
    }

    fn call_for(&mut self, call: &Call, length: Millis) -> Result<Message, CliError> {
        let mut control = self.control()?;
        let turn = self.turn % control.len();
        control.rotate_left(turn);
        let now = self.world.now();
        let mut retry = Retry::new(&control, now, now + length);
        loop {
            let now = self.world.now();
            match retry.step(now) {
                Step::Pause(length) => self.world.pause(length),
                Step::Try { address, target } => {
                    let bytes = call.bytes(address, target.as_deref().unwrap_or(&call.target));
                    let result = self.world.exchange(address, &bytes, call.silence());
                    let now = self.world.now();
                    retry.came(now, result);
                }
                Step::Answered(answer) => {
                    self.turn = (turn + retry.turn()) % control.len();
                    if (200..300).contains(&answer.head.status) {
                        return Ok(answer);
                    }
                    return Err(
                        match (told(&answer), retry.is_unclear() && call.is_order()) {
                            (CliError::Coded { code, place, what }, true) => {
                                let what = format!("{what}; an earlier try got no clear answer");
                                CliError::Coded { code, place, what }
                            }
                            (error, _) => error,
                        },
                    );
                }
                Step::GivenUp { last, unclear } => {
                    let last = match last {
                        Some(Ok(answer)) => told(&answer).to_string(),
                        Some(Err(error)) => error.to_string(),
                        None => "none was asked".to_owned(),
                    };
                    let code = if unclear && call.is_order() {
                        codes::UNSURE
                    } else {
                        codes::NOT_NOW
                    };
                    let what = format!(
                        "no answer that ends the call in {:.0} s; at last: {last}",
                        length / 1000.0
                    );
                    return Err(CliError::Coded {
                        code,
                        place: "control".to_owned(),
                        what,
                    });
                }
            }
        }
    }

    /// The control addresses, as given.
    fn control(&self) -> Result<Vec<SocketAddr>, CliError> {
        let control = match (&self.common.control, self.environment) {
            (Some(control), _) => control.clone(),
            (None, Some(environment)) => addresses(environment)
                .map_err(|why| CliError::Usage(format!("SANDTRACK_CONTROL: {why}")))?,
            (None, None) => Vec::new(),
        };
        let missing = "no control address: give --control IP:PORT or set SANDTRACK_CONTROL";
        (!control.is_empty())
            .then_some(control)
            .ok_or_else(|| CliError::Usage(missing.to_owned()))
    }

    fn in_force(&mut self) -> Result<InForce, CliError> {
        match self.call(&Call::read()) {
            Ok(answer) => {
                let document = Document::parse(&answer.body)?;
                let configuration = Some(Configuration::read(&document)?);
                Ok(InForce {
                    document,
                    configuration,
                })
            }
            Err(CliError::Coded {
                code: codes::NO_CONFIGURATION,
                ..
            }) => Ok(InForce::none()),
            Err(error) => Err(error),
        }
    }

    fn status(&mut self) -> Result<(String, Status), CliError> {
        let answer = self.call(&Call::status())?;
        read_status(&answer)
    }

    fn show_differences(&mut self, from: &Document, to: &Document) {
        let all = differences(from, to);
        let (old, new) = (from.version, to.version);
        if self.common.json {
            let all: Vec<String> = all.iter().map(Difference::to_json).collect();
            self.world.print(&format!(
                "{{\"from\":{old},\"to\":{new},\"differences\":[{}]}}",
                all.join(",")
            ));
            return;
        }
        self.world.print(&format!(
            "version {old} -> {new}: {} differences",
            all.len()
        ));
        all.iter()
            .for_each(|one| self.world.print(&one.to_string()));
    }

    fn put(&mut self, change: &Change) -> Result<(), CliError> {
        let (body, next, _) = whole(&change.file)?;
        self.configure(
            change,
            next.version,
            |based_on| Call::replace(based_on, body.clone()),
            |_| next.clone(),
        )
    }

    fn update(&mut self, change: &Change) -> Result<(), CliError> {
        let body = read_file(&change.file, codes::CONFIGURATION_UNREADABLE)?;
        let update = Update::parse(&body).map_err(|invalid| placed(&body, invalid.into()))?;
        let version = update.version;
        let call = |based_on| Call::update(based_on, body.clone());
        self.configure(change, version, call, |current| current.updated(&update))
    }

    /// Sends a configuration, or shows what it would change. What can be told before it is sent is.
    fn configure(
        &mut self,
        change: &Change,
        version: u64,
        call: impl Fn(u64) -> Call,
        next: impl Fn(&Document) -> Document,
    ) -> Result<(), CliError> {
        let mut based_on = change.based_on;
        if based_on.is_none() || change.dry_run {
            let current = self.in_force()?.document;
            let next = next(&current);
            Configuration::read(&next)?;
            let is_same =
                next.version == current.version && differences(&current, &next).is_empty();
            if is_same && based_on.is_none() {
                // A command that is given again after its answer was lost.
                return self.acknowledged(version, "is in force already");
            }
            if based_on.is_some_and(|based_on| based_on != current.version) {
                return Err(CliError::coded(
                    codes::ANOTHER_VERSION,
                    format!("current {}", current.version),
                ));
            }
            if next.version <= current.version {
                let place = format!(
                    "version_number {}, current {}",
                    next.version, current.version
                );
                return Err(CliError::coded(codes::VERSION_NOT_ABOVE, place));
            }
            if change.dry_run {
                self.show_differences(&current, &next);
                return Ok(());
            }
            based_on = Some(current.version);
        }
        self.call(&call(based_on.unwrap_or(0)))?;
        self.acknowledged(
            version,
            &format!("is acknowledged, on top of {}", based_on.unwrap_or(0)),
        )
    }

    fn acknowledged(&mut self, version: u64, what: &str) -> Result<(), CliError> {
        self.tell(
            &format!("version {version} {what}"),
            &format!("{{\"version_number\":{version}}}"),
        );
        Ok(())
    }

    fn check(&mut self, file: &Path) -> Result<(), CliError> {
        let body = read_file(file, codes::CONFIGURATION_UNREADABLE)?;
        let mut copy = body.clone();
        let is_update = simd_json::to_owned_value(&mut copy).is_ok_and(|value| {
            value.contains_key("set_items") || value.contains_key("remove_names")
        });
        if is_update {
            let update = Update::parse(&body)?;
            let set: usize = update.set.iter().map(|(_, items)| items.len()).sum();
            let removed: usize = update.remove.iter().map(|(_, names)| names.len()).sum();
            let text = format!(
                "change to version {}: {set} items set, {removed} removed; `update --dry-run` checks it on what is in force",
                update.version
            );
            let json = format!(
                "{{\"version_number\":{},\"set\":{set},\"removed\":{removed}}}",
                update.version
            );
            self.tell(&text, &json);
            return Ok(());
        }
        let (_, _, configuration) = whole(file)?;
        let Configuration {
            version,
            routes,
            services,
            ..
        } = &configuration;
        let (routes, services) = (routes.len(), services.len());
        let json =
            format!("{{\"version_number\":{version},\"routes\":{routes},\"services\":{services}}}");
        self.tell(
            &format!("version {version}: {routes} routes, {services} services, valid"),
            &json,
        );
        Ok(())
    }

    fn check_settings(&mut self, file: &Path) -> Result<(), CliError> {
        let (settings, odd) = settings::check(read_file(file, codes::SETTINGS_UNREADABLE)?)?;
        let notes: Vec<String> = odd
            .iter()
            .map(|note| format!("\"{}\"", escape(note)))
            .collect();
        let json = format!(
            "{{\"node\":\"{}\",\"notes\":[{}]}}",
            escape(&settings.node_name),
            notes.join(",")
        );
        let text = format!(
            "{} as {} in {}: the settings can be used",
            settings.node_name, settings.role, settings.zone
        );
        self.tell(&text, &json);
        if !self.common.json {
            odd.iter()
                .for_each(|note| self.world.print(&format!("note: {note}")));
        }
        Ok(())
    }

    /// Prints what changes until the time is over.
    fn follow(&mut self, length: Millis, every: Millis) -> Result<(), CliError> {
        let began = self.world.now();
        let mut known: Option<BTreeMap<String, String>> = None;
        loop {
            let looked = self.world.now();
            let found = self
                .call_for(&Call::status(), LOOK_MS)
                .and_then(|answer| read_status(&answer));
            let at = self.world.now() - began;
            let (mut facts, answers, outcome) = match found {
                Ok((_, status)) => (status.facts(), "answers", Ok(())),
                Err(error @ CliError::Usage(_)) => return Err(error),
                Err(error) => (
                    known.clone().unwrap_or_default(),
                    "does not answer",
                    Err(error),
                ),
            };
            facts.insert("control".to_owned(), answers.to_owned());
            for change in changed(&known.unwrap_or_default(), &facts) {
                let line = follow_line(self.common.json, at, &change);
                self.world.print(&line);
            }
            known = Some(facts);
            let next = looked + every;
            if next > began + length {
                return outcome;
            }
            let now = self.world.now();
            if next > now {
                self.world.pause(next - now);
            }
        }
    }
}

fn follow_line(json: bool, at: Millis, change: &crate::status::Changed) -> String {
    let at = at / 1000.0;
    let what = &change.what;
    if json {
        let side = |side: &Option<String>| {
            side.as_ref()
                .map_or("null".to_owned(), |side| format!("\"{}\"", escape(side)))
        };
        let (from, to) = (side(&change.from), side(&change.to));
        return format!(
            "{{\"at_s\":{at:.1},\"what\":\"{}\",\"from\":{from},\"to\":{to}}}",
            escape(what)
        );
    }
    match (&change.from, &change.to) {
        (None, Some(to)) => format!("{at:6.1} s  + {what}: {to}"),
        (Some(from), None) => format!("{at:6.1} s  - {what}: {from}"),
        (from, to) => {
            let side = |side: &Option<String>| side.clone().unwrap_or_default();
            format!("{at:6.1} s  ~ {what}: {} -> {}", side(from), side(to))
        }
    }
}

fn read_status(answer: &Message) -> Result<(String, Status), CliError> {
    let bad = || CliError::coded(codes::BAD_CALL, "status: the answer can't be read");
    let status = Status::parse(&answer.body).ok_or_else(bad)?;
    Ok((String::from_utf8_lossy(&answer.body).into_owned(), status))
}

fn read_file(path: &Path, code: Code) -> Result<Vec<u8>, CliError> {
    let unreadable = |error: std::io::Error| CliError::Coded {
        code,
        place: path.display().to_string(),
        what: error.kind().to_string(),
    };
    std::fs::read(path).map_err(unreadable)
}

/// A whole configuration from a file: its bytes, read and checked.
fn whole(file: &Path) -> Result<(Vec<u8>, Document, Configuration), CliError> {
    let body = read_file(file, codes::CONFIGURATION_UNREADABLE)?;
    let document = Document::parse(&body).map_err(|invalid| placed(&body, invalid.into()))?;
    let configuration = Configuration::read(&document)?;
    Ok((body, document, configuration))
}

/// The place of what is no JSON, as line and column.
fn placed(body: &[u8], error: CliError) -> CliError {
    let mut copy = body.to_vec();
    let index = match simd_json::to_owned_value(&mut copy) {
        Ok(_) => return error,
        Err(wrong) => wrong.index().min(body.len()),
    };
    let before = &body[..index];
    let line = before.iter().filter(|byte| **byte == b'\n').count() + 1;
    let column = index
        - before
            .iter()
            .rposition(|byte| *byte == b'\n')
            .map_or(0, |at| at + 1)
        + 1;
    match error {
        CliError::Coded { code, what, .. } => CliError::Coded {
            code,
            place: format!("line {line}, column {column}"),
            what,
        },
        other => other,
    }
}
