//! Carries out the commands. [`CommandRunner`] holds what all of them share; each submodule has one group of commands.
mod configuration;
mod evacuation;
mod follow;
mod route;
mod settings;
mod status;

use crate::call::Call;
use crate::cli::Command;
use crate::control_client::ControlClient;
use crate::environment::Environment;
use crate::error::CliError;
use sandtrack_protocol::codes;
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::Document;
use sandtrack_sidecar_core::message::Message;

/// Runs one command and prints its results.
pub struct CommandRunner<'a> {
    /// Results are printed as JSON, one object a line.
    json: bool,
    control: ControlClient<'a>,
    environment: &'a mut dyn Environment,
}

/// The configuration in force.
struct CurrentConfiguration {
    /// Empty and of version 0 before the first configuration.
    document: Document,
    /// `None` before the first configuration.
    configuration: Option<Configuration>,
}

impl<'a> CommandRunner<'a> {
    /// A runner that calls control with `control` and prints to `environment`.
    pub fn new(
        json: bool,
        control: ControlClient<'a>,
        environment: &'a mut dyn Environment,
    ) -> CommandRunner<'a> {
        CommandRunner {
            json,
            control,
            environment,
        }
    }

    /// Carries out a command.
    ///
    /// # Errors
    /// Why it was not, or not surely, carried out.
    pub fn run(&mut self, command: Command) -> Result<(), CliError> {
        match command {
            Command::Put(change) => self.put(&change),
            Command::Update(change) => self.update(&change),
            Command::Read => self.read(),
            Command::Difference(file) => self.difference(&file),
            Command::Check(file) => self.check(&file),
            Command::Evacuate { zone, begin } => self.evacuate(&zone, begin),
            Command::EvacuationStatus => self.evacuation_status(),
            Command::Status => self.show_status(),
            Command::Route { host, path, file } => self.route(&host, &path, file.as_deref()),
            Command::CheckSettings(file) => self.check_settings(&file),
            Command::Follow { duration, interval } => self.follow(duration, interval),
        }
    }

    /// Prints a result in the form that the operator chose.
    fn print_result(&mut self, text: &str, json: &str) {
        self.environment.print(if self.json { json } else { text });
    }

    fn print_lines(&mut self, lines: &[String]) {
        for line in lines {
            self.environment.print(line);
        }
    }

    fn call(&mut self, call: &Call) -> Result<Message, CliError> {
        self.control.call(self.environment, call)
    }

    fn current_configuration(&mut self) -> Result<CurrentConfiguration, CliError> {
        match self.call(&Call::read()) {
            Ok(response) => {
                let document = Document::parse(&response.body)?;
                let configuration = Some(Configuration::read(&document)?);
                Ok(CurrentConfiguration {
                    document,
                    configuration,
                })
            }
            Err(CliError::Coded {
                code: codes::NO_CONFIGURATION,
                ..
            }) => Ok(CurrentConfiguration {
                document: Document::default(),
                configuration: None,
            }),
            Err(error) => Err(error),
        }
    }
}
