//! The parsers of the command line, with their help texts.
use super::{ChangeOptions, Command, CommonOptions, Options};
use crate::Millis;
use bpaf::{construct, long, positional, OptionParser, Parser};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Upper bound of all durations on the command line.
const MAX_SECONDS: f64 = 1e6;
/// Duration of `follow`.
const DEFAULT_FOLLOW_DURATION_MS: Millis = 60_000.0;
/// Interval of `follow`.
const DEFAULT_FOLLOW_INTERVAL_MS: Millis = 1000.0;

/// Parses control addresses separated by commas.
///
/// # Errors
/// A message that names the first word that is no `IP:PORT`; `bpaf` shows it to the operator.
pub fn parse_addresses(text: &str) -> Result<Vec<SocketAddr>, String> {
    let parse = |word: &str| word.parse().map_err(|_| format!("`{word}` is no IP:PORT"));
    text.split(',')
        .map(str::trim)
        .filter(|word| !word.is_empty())
        .map(parse)
        .collect()
}

/// Parses a number of seconds.
fn parse_seconds(text: &str) -> Result<Millis, String> {
    let number: f64 = text
        .parse()
        .map_err(|_| format!("`{text}` is no number of seconds"))?;
    let is_in_range = number.is_finite() && number > 0.0 && number <= MAX_SECONDS;
    is_in_range
        .then_some(number * 1000.0)
        .ok_or_else(|| format!("`{text}`: above 0 and at most 1,000,000 s"))
}

fn common_options() -> impl Parser<CommonOptions> {
    let json = long("json")
        .help("Results as JSON, one object a line")
        .switch();
    let control = long("control")
        .help("Control addresses, IP:PORT joined by commas, asked in turn; else those of SANDTRACK_CONTROL")
        .argument::<String>("ADDRESSES")
        .parse(|text| parse_addresses(&text))
        .optional();
    let within = long("within")
        .help("Seconds for which a call is repeated (15; evacuations: 5 at most)")
        .argument::<String>("SECONDS")
        .parse(|text| parse_seconds(&text))
        .optional();
    construct!(CommonOptions {
        json,
        control,
        within
    })
}

fn with_common_options(command: impl Parser<Command>) -> impl Parser<Options> {
    let common = common_options();
    construct!(Options { common, command })
}

/// Checks the name of a zone, which must need no escapes in a path (RFC 3986, section 2.3).
fn parse_zone(text: String) -> Result<String, String> {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    if text.is_empty() || !text.bytes().all(is_unreserved) {
        return Err(format!("`{text}` is no name of a zone"));
    }
    Ok(text)
}

/// The arguments of a change of the configuration; `command` makes the command of them.
fn change(command: fn(ChangeOptions) -> Command) -> impl Parser<Options> {
    let based_on = long("based-on")
        .help("Version that it builds on, 0 for the first; else what is current")
        .argument::<u64>("N")
        .optional();
    let dry_run = long("dry-run")
        .help("Check it against what is in force and show what would change")
        .switch();
    let file = positional::<PathBuf>("FILE");
    with_common_options(
        construct!(ChangeOptions {
            based_on,
            dry_run,
            file
        })
        .map(command),
    )
}

/// A command without arguments.
fn without_arguments(command: Command) -> impl Parser<Options> {
    with_common_options(bpaf::pure(command))
}

/// A command whose only argument is a file.
fn with_file(command: fn(PathBuf) -> Command) -> impl Parser<Options> {
    with_common_options(positional::<PathBuf>("FILE").map(command))
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
    let read = without_arguments(Command::Read)
        .to_options()
        .descr("Prints the configuration in force, as JSON")
        .footer("Example: sandtrackctl configuration read > configuration.json")
        .command("read")
        .help("Print the configuration in force");
    let diff = with_file(Command::Difference)
        .to_options()
        .descr("Shows by item what a configuration would change of the one in force")
        .footer("Example: sandtrackctl configuration diff configuration.json")
        .command("diff")
        .help("Show by item what a file would change");
    let check = with_file(Command::Check)
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
    let begin_or_finish = |begin: bool| {
        let zone = positional::<String>("ZONE").parse(parse_zone);
        with_common_options(zone.map(move |zone| Command::Evacuate { zone, begin }))
    };
    let begin = begin_or_finish(true)
        .to_options()
        .descr("Nothing more is sent to the upstreams of a zone")
        .footer("Example: sandtrackctl evacuate begin odori-hall")
        .command("begin")
        .help("Send nothing more to a zone's upstreams");
    let finish = begin_or_finish(false)
        .to_options()
        .descr("Takes an evacuation back")
        .footer("Example: sandtrackctl evacuate finish odori-hall")
        .command("finish")
        .help("Take the evacuation back");
    let status = without_arguments(Command::EvacuationStatus)
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
    with_common_options(construct!(Command::Route { host, path, file }))
        .to_options()
        .descr("Shows which route and service a request takes, and why")
        .footer("Example: sandtrackctl route ficu95.example /lohu930/2f configuration.json")
        .command("route")
        .help("Show which route and service a request takes, and why")
}

fn follow() -> impl Parser<Options> {
    let duration = long("for")
        .help("How long (60)")
        .argument::<String>("SECONDS")
        .parse(|text| parse_seconds(&text));
    let interval = long("every")
        .help("How often it is looked (1)")
        .argument::<String>("SECONDS")
        .parse(|text| parse_seconds(&text));
    let duration = duration.fallback(DEFAULT_FOLLOW_DURATION_MS);
    let interval = interval.fallback(DEFAULT_FOLLOW_INTERVAL_MS);
    with_common_options(construct!(Command::Follow { duration, interval }))
        .to_options()
        .descr("Prints what changes of the system's status")
        .footer("Example: sandtrackctl follow --for 300")
        .command("follow")
        .help("Print what changes")
}

fn status() -> impl Parser<Options> {
    without_arguments(Command::Status)
        .to_options()
        .descr("Shows members, chain and view, who reads the platform's list, and upstreams")
        .footer("Example: sandtrackctl status --control 10.1.0.13:8166,10.2.0.30:8166")
        .command("status")
        .help("Show members, chain and view, and who reads the platform's list")
}

fn settings() -> impl Parser<Options> {
    with_file(Command::CheckSettings)
        .to_options()
        .descr("Reads and checks the settings file of a process")
        .footer("Example: sandtrackctl settings check /etc/sandtrack/settings.json")
        .command("check")
        .help("Check a settings file")
        .to_options()
        .descr("Checks settings")
        .command("settings")
        .help("Check the settings file of a process")
}

/// The parser of the command line, with all help texts.
pub fn parser() -> OptionParser<Options> {
    let configuration = configuration();
    let evacuate = evacuate();
    let status = status();
    let route = route();
    let settings = settings();
    let follow = follow();
    construct!([configuration, evacuate, status, route, settings, follow])
        .to_options()
        .descr("The command line for operators of sandtrack")
        .footer(
            "Exit codes: 0 done; otherwise the hundreds of the code that is told (docs/system/codes.md): 1 settings, \
             2 configuration, 3 control, 4 requests, 5 disk; 64: the command line can't be read",
        )
}
