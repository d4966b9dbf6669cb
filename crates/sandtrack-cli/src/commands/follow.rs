//! `follow`: polls the status and prints what changed since the previous poll.
use super::status::StatusResponse;
use super::CommandRunner;
use crate::call::Call;
use crate::error::CliError;
use crate::json::quote;
use crate::status::{changed_facts, FactChange, Facts};
use crate::Millis;

/// How long one poll is retried.
const POLL_RETRY_MS: Millis = 2000.0;

/// Name of the fact that says whether control responds.
const CONTROL_FACT: &str = "control";

impl CommandRunner<'_> {
    /// Polls every `interval` for `duration`; the result is that of the last poll.
    pub(super) fn follow(&mut self, duration: Millis, interval: Millis) -> Result<(), CliError> {
        let started = self.environment.now();
        let mut known: Option<Facts> = None;
        loop {
            let poll_started = self.environment.now();
            let polled = self.poll_facts();
            let elapsed = self.environment.now() - started;
            let (mut facts, control_state, outcome) = match polled {
                Ok(facts) => (facts, "answers", Ok(())),
                Err(error @ CliError::Usage(_)) => return Err(error),
                Err(error) => {
                    let facts = known.clone().unwrap_or_default();
                    (facts, "does not answer", Err(error))
                }
            };
            facts.insert(CONTROL_FACT.to_owned(), control_state.to_owned());
            for change in changed_facts(&known.unwrap_or_default(), &facts) {
                let line = change_line(self.json, elapsed, &change);
                self.environment.print(&line);
            }
            known = Some(facts);
            let next_poll = poll_started + interval;
            if next_poll > started + duration {
                return outcome;
            }
            let now = self.environment.now();
            if next_poll > now {
                self.environment.sleep(next_poll - now);
            }
        }
    }

    fn poll_facts(&mut self) -> Result<Facts, CliError> {
        let response =
            self.control
                .call_within(self.environment, &Call::status(), POLL_RETRY_MS)?;
        let StatusResponse { status, .. } = StatusResponse::try_from(&response)?;
        Ok(status.facts())
    }
}

fn change_line(json: bool, elapsed: Millis, change: &FactChange) -> String {
    let seconds = elapsed / 1000.0;
    if json {
        json_change_line(seconds, change)
    } else {
        text_change_line(seconds, change)
    }
}

fn json_change_line(seconds: f64, change: &FactChange) -> String {
    let value = |side: &Option<String>| side.as_deref().map_or_else(|| "null".to_owned(), quote);
    format!(
        "{{\"at_s\":{seconds:.1},\"what\":{},\"from\":{},\"to\":{}}}",
        quote(&change.name),
        value(&change.from),
        value(&change.to)
    )
}

fn text_change_line(seconds: f64, change: &FactChange) -> String {
    let name = &change.name;
    match (&change.from, &change.to) {
        (None, Some(to)) => format!("{seconds:6.1} s  + {name}: {to}"),
        (Some(from), None) => format!("{seconds:6.1} s  - {name}: {from}"),
        (from, to) => {
            let from = from.as_deref().unwrap_or_default();
            let to = to.as_deref().unwrap_or_default();
            format!("{seconds:6.1} s  ~ {name}: {from} -> {to}")
        }
    }
}
