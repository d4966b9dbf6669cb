//! The command line. Pure: words in, a command object out, which is carried out by [`crate::program`].
use crate::Millis;
use bpaf::{construct, long, positional, OptionParser, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// What the operator wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// A whole configuration.
    Put(Change),
    /// A change of named items.
    Update(Change),
    Read,
    Difference(PathBuf),
    Check(PathBuf),
    Evacuate {
        zone: String,
        begin: bool,
    },
    EvacuationStatus,
    Status,
    Route {
        host: String,
        path: String,
        file: Option<PathBuf>,
    },
    CheckSettings(PathBuf),
    Follow {
        length: Millis,
        every: Millis,
    },
}

/// A configuration to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub file: PathBuf,
    /// `None`: what is current.
    pub based_on: Option<u64>,
    /// Nothing is sent.
    pub dry_run: bool,
}

/// What all commands take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Common {
    pub json: bool,
    /// As given; where it is not, the environment's.
    pub control: Option<Vec<SocketAddr>>,
    /// How long a call is repeated.
    pub within: Option<Millis>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    pub common: Common,
    pub command: Command,
}

/// Control addresses joined by commas.
///
/// # Errors
/// What is no `IP:PORT`.
pub fn addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parse = |word: &str| word.parse().map_err(|_| format!("`{word}` is no IP:PORT"));
    text.split(',')
        .map(str::trim)
        .filter(|word| !word.is_empty())
        .map(parse)
        .collect()
}

/// Seconds as ms.
fn seconds(text: String) -> Result<Millis, String> {
    let number: f64 = text
        .parse()
        .map_err(|_| format!("`{text}` is no number of seconds"))?;
    let fits = number.is_finite() && number > 0.0 && number <= 1e6;
    fits.then_some(number * 1000.0)
        .ok_or_else(|| format!("`{text}`: above 0 and at most 1,000,000 s"))
}

fn common() -> impl Parser<Common> {
    let json = long("json")
        .help("Results as JSON, one object a line")
        .switch();
    let control = long("control")
        .help("Control addresses, IP:PORT joined by commas, asked in turn; else those of SANDTRACK_CONTROL")
        .argument::<String>("ADDRESSES")
        .parse(|text| addresses(&text))
        .optional();
    let within = long("within")
        .help("Seconds for which a call is repeated (15; evacuations: 5 at most)")
        .argument::<String>("SECONDS")
        .parse(seconds)
        .optional();
    construct!(Common {
        json,
        control,
        within
    })
}

fn options(command: impl Parser<Command>) -> impl Parser<Options> {
    let common = common();
    construct!(Options { common, command })
}

/// A zone's name as it stands in a path.
fn zone(text: String) -> Result<String, String> {
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    match !text.is_empty() && text.bytes().all(plain) {
        true => Ok(text),
        false => Err(format!("`{text}` is no name of a zone")),
    }
}

fn change(wrap: fn(Change) -> Command) -> impl Parser<Options> {
    let based_on = long("based-on")
        .help("Version that it builds on, 0 for the first; else what is current")
        .argument::<u64>("N")
        .optional();
    let dry_run = long("dry-run")
        .help("Check it against what is in force and show what would change")
        .switch();
    let file = positional::<PathBuf>("FILE");
    options(
        construct!(Change {
            based_on,
            dry_run,
            file
        })
        .map(wrap),
    )
}

fn just(command: Command) -> impl Parser<Options> {
    options(bpaf::pure(command))
}

fn file(wrap: fn(PathBuf) -> Command) -> impl Parser<Options> {
    options(positional::<PathBuf>("FILE").map(wrap))
}

fn configuration() -> impl Parser<Options> {
    let put = change(Command::Put)
        .to_options()
        .descr("Puts a whole configuration in force")
        .footer(
            "Example: sandtrackctl configuration put --control 10.1.0.13:8166 configuration.json",
        )
        .command("put")
        .help("Put a whole configuration in force");
    let update = change(Command::Update)
        .to_options()
        .descr("Adds, replaces and removes named items")
        .footer("Example: sandtrackctl configuration update --dry-run --based-on 7 change.json")
        .command("update")
        .help("Add, replace and remove named items");
    let read = just(Command::Read)
        .to_options()
        .descr("Prints the configuration in force, as JSON")
        .footer("Example: sandtrackctl configuration read > configuration.json")
        .command("read")
        .help("Print the configuration in force");
    let diff = file(Command::Difference)
        .to_options()
        .descr("Shows by item what a configuration would change of the one in force")
        .footer("Example: sandtrackctl configuration diff configuration.json")
        .command("diff")
        .help("Show by item what a file would change");
    let check = file(Command::Check)
        .to_options()
        .descr("Reads and checks a configuration, or a change of one, without a running system")
        .footer("Example: sandtrackctl configuration check configuration.json")
        .command("check")
        .help("Check a file; needs no running system");
    construct!([put, update, read, diff, check])
        .to_options()
        .descr("Changes, reads and checks the operator's configuration")
        .command("configuration")
        .help("Change, read and check the configuration")
}

fn evacuate() -> impl Parser<Options> {
    let order = |begin: bool| {
        let zone = positional::<String>("ZONE").parse(zone);
        options(zone.map(move |zone| Command::Evacuate { zone, begin }))
    };
    let begin = order(true)
        .to_options()
        .descr("Nothing more is sent to the upstreams of a zone")
        .footer("Example: sandtrackctl evacuate begin odori-hall")
        .command("begin")
        .help("Send nothing more to a zone's upstreams");
    let finish = order(false)
        .to_options()
        .descr("Takes an evacuation back")
        .footer("Example: sandtrackctl evacuate finish odori-hall")
        .command("finish")
        .help("Take the evacuation back");
    let status = just(Command::EvacuationStatus)
        .to_options()
        .descr("Shows the zones that are evacuated")
        .command("status")
        .help("Show the zones that are evacuated");
    construct!([begin, finish, status])
        .to_options()
        .descr("Evacuates zones")
        .command("evacuate")
        .help("Evacuate a zone, or take it back")
}

fn route() -> impl Parser<Options> {
    let host = positional::<String>("HOST");
    let path = positional::<String>("PATH")
        .guard(|path| path.starts_with('/'), "PATH begins with a slash");
    let file = positional::<PathBuf>("FILE")
        .help("A configuration; else the one in force")
        .optional();
    options(construct!(Command::Route { host, path, file }))
        .to_options()
        .descr("Shows which route and service a request takes, and why")
        .footer("Example: sandtrackctl route ficu95.example /lohu930/2f configuration.json")
        .command("route")
        .help("Show which route and service a request takes, and why")
}

fn follow() -> impl Parser<Options> {
    let length = long("for")
        .help("How long (60)")
        .argument::<String>("SECONDS")
        .parse(seconds);
    let every = long("every")
        .help("How often it is looked (1)")
        .argument::<String>("SECONDS")
        .parse(seconds);
    let (length, every) = (length.fallback(60_000.0), every.fallback(1000.0));
    options(construct!(Command::Follow { length, every }))
        .to_options()
        .descr("Prints what changes of the system's status")
        .footer("Example: sandtrackctl follow --for 300")
        .command("follow")
        .help("Print what changes")
}

/// The whole command line.
pub fn parser() -> OptionParser<Options> {
    let (configuration, evacuate, route, follow) = (configuration(), evacuate(), route(), follow());
    let status = just(Command::Status)
        .to_options()
        .descr("Shows members, chain and view, who reads the platform's list, and upstreams")
        .footer("Example: sandtrackctl status --control 10.1.0.13:8166,10.2.0.30:8166")
        .command("status")
        .help("Show members, chain and view, and who reads the platform's list");
    let settings = file(Command::CheckSettings)
        .to_options()
        .descr("Reads and checks the settings file of a process")
        .footer("Example: sandtrackctl settings check /etc/sandtrack/settings.json")
        .command("check")
        .help("Check a settings file")
        .to_options()
        .descr("Checks settings")
        .command("settings")
        .help("Check the settings file of a process");
    construct!([configuration, evacuate, status, route, settings, follow])
        .to_options()
        .descr("The command line for operators of sandtrack")
        .footer(
            "Exit codes: 0 done; otherwise the hundreds of the code that is told (docs/system/codes.md): 1 settings, \
             2 configuration, 3 control, 4 requests, 5 disk; 64: the command line can't be read",
        )
}
