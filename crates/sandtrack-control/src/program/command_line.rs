//! The command line of the program.
use bpaf::{construct, long, OptionParser, Parser};

/// What the process is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Subcommand {
    /// Serve until it is told to stop.
    Run,
    /// Only read the settings file.
    Check,
}

/// What stands on the command line.
#[derive(Clone, Debug)]
pub(super) struct CommandLine {
    /// Name of a level of `log`.
    pub log_level: String,
    /// The subcommand.
    pub verb: Subcommand,
}

/// The parser of the command line.
pub(super) fn command_line() -> OptionParser<CommandLine> {
    let log_level = long("log-level")
        .help("What is logged: off, error, warn, info, debug, trace")
        .argument("LEVEL")
        .fallback("info".to_owned());
    let run = bpaf::pure(Subcommand::Run)
        .to_options()
        .descr("Serves until SIGTERM; SIGHUP reads the settings again")
        .command("run");
    let check = bpaf::pure(Subcommand::Check)
        .to_options()
        .descr("Reads the settings file and says what is wrong with it")
        .command("check");
    let verb = construct!([run, check]).fallback(Subcommand::Run);
    construct!(CommandLine { log_level, verb })
        .to_options()
        .descr(
            "The control plane: configuration, membership, the list of upstreams, the directory. \
         The path of the settings file is in SANDTRACK_BOOT.",
        )
}
