//! The program; all of it is in the library.
use sandtrack_cli::program::{run, System};
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let control = std::env::var("SANDTRACK_CONTROL").ok();
    ExitCode::from(run(&arguments, control.as_deref(), &mut System::default()))
}
