//! The command line: [`parser`] parses the arguments to [`Options`], which [`crate::commands`] carries out.
mod parser;

pub use parser::{parse_addresses, parser};

use crate::Millis;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A command with its arguments.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// `configuration put`: replaces the complete configuration.
    Put(ChangeOptions),
    /// `configuration update`: adds, replaces and removes named items.
    Update(ChangeOptions),
    /// `configuration read`: prints the configuration in force.
    Read,
    /// `configuration diff`: compares a file with the configuration in force.
    Difference(PathBuf),
    /// `configuration check`: checks a file without a running system.
    Check(PathBuf),
    /// `evacuate begin` and `evacuate finish`.
    Evacuate {
        /// Name of the zone.
        zone: String,
        /// Begin the evacuation; else finish it.
        begin: bool,
    },
    /// `evacuate status`: prints the evacuated zones.
    EvacuationStatus,
    /// `status`: prints the status of the system.
    Status,
    /// `route`: explains which route a request takes.
    Route {
        /// Host of the request.
        host: String,
        /// Path of the request, which begins with a slash.
        path: String,
        /// A configuration; `None`: the one in force.
        file: Option<PathBuf>,
    },
    /// `settings check`: checks the settings file of a process.
    CheckSettings(PathBuf),
    /// `follow`: prints changes of the status.
    Follow {
        /// For how long.
        duration: Millis,
        /// Time from the start of one poll to the start of the next.
        interval: Millis,
    },
}

/// Arguments of a change of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct ChangeOptions {
    /// The file to send.
    pub file: PathBuf,
    /// Version that the change builds on; `None`: the current one.
    pub based_on: Option<u64>,
    /// Show the differences and send nothing.
    pub dry_run: bool,
}

/// Options of all commands.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommonOptions {
    /// Print results as JSON.
    pub json: bool,
    /// Control addresses; `None`: those of the environment variable.
    pub control: Option<Vec<SocketAddr>>,
    /// How long a call is retried; `None`: as its kind allows.
    pub within: Option<Millis>,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Options of all commands.
    pub common: CommonOptions,
    /// The command.
    pub command: Command,
}
