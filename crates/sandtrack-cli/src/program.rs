//! The program as a function: arguments in, exit code out.
use crate::cli::{parser, Options};
use crate::commands::CommandRunner;
use crate::control_client::ControlClient;
use crate::environment::Environment;
use crate::error::{CliError, EXIT_USAGE};
use bpaf::{Args, ParseFailure};

const PROGRAM_NAME: &str = "sandtrackctl";

/// Runs the program with these arguments and returns its exit code. `control_variable` is the value of the environment
/// variable `SANDTRACK_CONTROL`.
pub fn run(
    arguments: &[String],
    control_variable: Option<&str>,
    environment: &mut dyn Environment,
) -> u8 {
    let options = match parse_arguments(arguments) {
        Ok(options) => options,
        Err(ParseFailure::Stderr(reason)) => {
            environment.print_error(reason.monochrome(true).trim_end());
            return EXIT_USAGE;
        }
        Err(help) => {
            environment.print(help.unwrap_stdout().trim_end());
            return 0;
        }
    };
    let Options { common, command } = options;
    let json = common.json;
    let control = ControlClient::new(common.control, control_variable, common.within);
    let mut runner = CommandRunner::new(json, control, environment);
    match runner.run(command) {
        Ok(()) => 0,
        Err(error) => {
            environment.print_error(&error_line(&error, json));
            error.exit_code()
        }
    }
}

fn parse_arguments(arguments: &[String]) -> Result<Options, ParseFailure> {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    parser().run_inner(Args::from(words.as_slice()).set_name(PROGRAM_NAME))
}

fn error_line(error: &CliError, json: bool) -> String {
    if json {
        error.to_json()
    } else {
        error.to_string()
    }
}
