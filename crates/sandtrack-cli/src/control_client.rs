//! Calls to the control plane: runs the retry loop of one call after the other over an [`Environment`].
use crate::call::{error_from_response, Call};
use crate::cli::parse_addresses;
use crate::environment::Environment;
use crate::error::CliError;
use crate::retry::{Retry, Step};
use crate::transport::TransportError;
use crate::Millis;
use sandtrack_protocol::codes;
use sandtrack_sidecar_core::message::Message;
use std::net::SocketAddr;

const NO_ADDRESS: &str = "no control address: give --control IP:PORT or set SANDTRACK_CONTROL";

/// A client of the control nodes at a list of addresses.
pub struct ControlClient<'a> {
    /// Addresses of the command line, which take precedence over the variable.
    addresses: Option<Vec<SocketAddr>>,
    /// The value of `SANDTRACK_CONTROL`; parsed only when a call is made, as some commands make none.
    control_variable: Option<&'a str>,
    /// How long the operator wants a call to be retried.
    within: Option<Millis>,
    /// Index of the address that the next call asks first: the one that responded last.
    next_address: usize,
}

impl<'a> ControlClient<'a> {
    /// A client for the addresses of the command line or, without them, those of the environment variable.
    pub fn new(
        addresses: Option<Vec<SocketAddr>>,
        control_variable: Option<&'a str>,
        within: Option<Millis>,
    ) -> ControlClient<'a> {
        ControlClient {
            addresses,
            control_variable,
            within,
            next_address: 0,
        }
    }

    /// Makes a call and retries it for as long as its kind and the operator allow.
    ///
    /// # Errors
    /// [`CliError::Usage`] where no address is known; else the error that control responded with, or that no attempt got a
    /// definite response.
    pub fn call(
        &mut self,
        environment: &mut dyn Environment,
        call: &Call,
    ) -> Result<Message, CliError> {
        let period = call.retry_period(self.within);
        self.call_within(environment, call, period)
    }

    /// Makes a call and retries it for `period`.
    ///
    /// # Errors
    /// As of [`ControlClient::call`].
    pub fn call_within(
        &mut self,
        environment: &mut dyn Environment,
        call: &Call,
        period: Millis,
    ) -> Result<Message, CliError> {
        let mut addresses = self.addresses()?;
        let first = self.next_address % addresses.len();
        addresses.rotate_left(first);
        let now = environment.now();
        let mut retry = Retry::new(&addresses, now, now + period);
        loop {
            let now = environment.now();
            match retry.step(now) {
                Step::Backoff(duration) => environment.sleep(duration),
                Step::Attempt { address, target } => {
                    let target = target.as_deref().unwrap_or(&call.target);
                    let request = call.encode(address, target);
                    let result = environment.exchange(address, &request, call.response_timeout());
                    let now = environment.now();
                    retry.record_result(now, result);
                }
                Step::Responded(response) => {
                    self.next_address = (first + retry.next_address()) % addresses.len();
                    let outcome_unknown = retry.is_outcome_unknown() && call.is_mutating();
                    return success_or_error(response, outcome_unknown);
                }
                Step::GaveUp {
                    last_result,
                    outcome_unknown,
                } => {
                    let outcome_unknown = outcome_unknown && call.is_mutating();
                    return Err(gave_up_error(last_result, outcome_unknown, period));
                }
            }
        }
    }

    fn addresses(&self) -> Result<Vec<SocketAddr>, CliError> {
        let addresses = match (&self.addresses, self.control_variable) {
            (Some(addresses), _) => addresses.clone(),
            (None, Some(variable)) => parse_addresses(variable)
                .map_err(|reason| CliError::Usage(format!("SANDTRACK_CONTROL: {reason}")))?,
            (None, None) => Vec::new(),
        };
        if addresses.is_empty() {
            return Err(CliError::Usage(NO_ADDRESS.to_owned()));
        }
        Ok(addresses)
    }
}

/// A response of status 2xx, or else its error; `outcome_unknown`: an earlier attempt may have been applied.
fn success_or_error(response: Message, outcome_unknown: bool) -> Result<Message, CliError> {
    if (200..300).contains(&response.head.status) {
        return Ok(response);
    }
    match error_from_response(&response) {
        CliError::Coded { code, place, what } if outcome_unknown => Err(CliError::Coded {
            code,
            place,
            what: format!("{what}; an earlier try got no clear answer"),
        }),
        error => Err(error),
    }
}

fn gave_up_error(
    last_result: Option<Result<Message, TransportError>>,
    outcome_unknown: bool,
    period: Millis,
) -> CliError {
    let last = match last_result {
        Some(Ok(response)) => error_from_response(&response).to_string(),
        Some(Err(error)) => error.to_string(),
        None => "none was asked".to_owned(),
    };
    let code = if outcome_unknown {
        codes::UNSURE
    } else {
        codes::NOT_NOW
    };
    let seconds = period / 1000.0;
    CliError::Coded {
        code,
        place: "control".to_owned(),
        what: format!("no answer that ends the call in {seconds:.0} s; at last: {last}"),
    }
}
