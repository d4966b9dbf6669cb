//! The command line.
use crate::policy::Policy;
use bpaf::{construct, long, OptionParser, Parser};

/// Command line options.
pub(super) struct Options {
    pub(super) check: bool,
    pub(super) log_level: String,
    pub(super) policy: Policy,
}

pub(super) fn options() -> OptionParser<Options> {
    let check = long("check")
        .help("Read and check the settings, and end")
        .switch();
    let log_level = long("log-level")
        .help("error, warn, info or debug")
        .argument("LEVEL");
    let log_level = log_level.fallback("info".to_owned());
    let policy = policy();
    construct!(Options {
        check,
        log_level,
        policy
    })
    .to_options()
    .descr("The data plane of sandtrack")
}

/// The policy constants: always the defaults in a build without the `ablation` feature.
#[cfg(not(feature = "ablation"))]
fn policy() -> impl Parser<Policy> {
    bpaf::pure(Policy::default())
}

/// The policy constants, with the changes from `--policy`.
#[cfg(feature = "ablation")]
fn policy() -> impl Parser<Policy> {
    let policy = long("policy")
        .help("Constants set anew: NAME=VALUE,...")
        .argument::<String>("CHANGES");
    policy
        .parse(|changes| Policy::with(&changes))
        .fallback(Policy::default())
}
