//! Entry point of `sandtrackctl`; see the library for everything else.
use sandtrack_cli::environment::SystemEnvironment;
use sandtrack_cli::program::run;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let control_variable = std::env::var("SANDTRACK_CONTROL").ok();
    let mut environment = SystemEnvironment::default();
    ExitCode::from(run(
        &arguments,
        control_variable.as_deref(),
        &mut environment,
    ))
}
