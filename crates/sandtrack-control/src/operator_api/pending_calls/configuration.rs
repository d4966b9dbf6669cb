//! Calls that change the configuration. A change is submitted at once where nothing speaks against it here. Else the newest
//! configuration is read through the chain first, which also gives its basis time to get there.
use super::super::responses;
use super::{Awaiting, CallContext, IfMissing, PendingCalls, Step};
use crate::operator_api::call_age::Arrival;
use crate::state_machine::{precheck, Command, Precheck, Query, QueryResult};
use crate::Millis;
use sandtrack_protocol::document::Document;
use sandtrack_replication::CallError;

impl PendingCalls {
    /// A call that replaces or updates the configuration.
    pub(super) fn configure(
        &mut self,
        now: Millis,
        call: u64,
        arrival: Arrival,
        command: Command,
        known: &impl CallContext,
    ) -> Step {
        if let Some(version) = known.accepted_version(&command) {
            // Its body need not pass along the chain again, which may take longer than its caller waits.
            self.wait(now, call, arrival, Awaiting::Repeat { version });
            let query = Query::Liveness;
            return Step::Read { call, query };
        }
        match known.precheck(&command) {
            Precheck::Passed => {
                self.wait(now, call, arrival, Awaiting::Configuration);
                Step::Submit { call, command }
            }
            // This node may be cut off: the chain tells whether the basis is the newest configuration.
            Precheck::Invalid(_) | Precheck::NeedsBaseVersion => {
                self.read_base_version(now, call, arrival, command, IfMissing::Barrier)
            }
            Precheck::CheckedByChain => {
                self.read_base_version(now, call, arrival, command, IfMissing::Submit)
            }
        }
    }

    fn read_base_version(
        &mut self,
        now: Millis,
        call: u64,
        arrival: Arrival,
        command: Command,
        if_missing: IfMissing,
    ) -> Step {
        let awaiting = Awaiting::BaseVersion {
            command,
            if_missing,
        };
        self.wait(now, call, arrival, awaiting);
        let query = Query::Configuration;
        Step::Read { call, query }
    }

    /// Submits an update once it was checked against its basis, or once another version is the newest: the chain says so
    /// then. While the newest configuration is older than the basis, that may be in the log and not committed yet.
    pub(super) fn submit_on_base_version(
        &mut self,
        call: u64,
        command: Command,
        if_missing: IfMissing,
        newest: Result<Vec<u8>, CallError>,
    ) -> Step {
        let newest = match newest {
            Ok(newest) => configuration_of(&newest),
            Err(refusal) => return self.end(call, responses::refused(refusal)),
        };
        match precheck::check_command(&newest, &command) {
            Precheck::Invalid(invalid) => self.end(call, responses::invalid(&invalid)),
            Precheck::Passed => self.submit(call, command),
            Precheck::NeedsBaseVersion | Precheck::CheckedByChain => match if_missing {
                IfMissing::Submit => self.submit(call, command),
                IfMissing::Conflict => self.end(call, responses::version_conflict(newest.version)),
                IfMissing::Barrier => {
                    self.await_next(call, Awaiting::Barrier { command });
                    let command = Command::barrier();
                    Step::Submit { call, command }
                }
            },
        }
    }

    fn submit(&mut self, call: u64, command: Command) -> Step {
        self.await_next(call, Awaiting::Configuration);
        Step::Submit { call, command }
    }

    /// Reads the newest configuration again, now that all that was ahead in the log has been applied.
    pub(super) fn read_behind_barrier(
        &mut self,
        call: u64,
        command: Command,
        barrier: &Result<Vec<u8>, CallError>,
    ) -> Step {
        if barrier.is_err() {
            // The update itself was not submitted.
            return self.end(call, responses::refused(CallError::NoMajority));
        }
        self.await_next(
            call,
            Awaiting::BaseVersion {
                command,
                if_missing: IfMissing::Conflict,
            },
        );
        Step::Read {
            call,
            query: Query::Configuration,
        }
    }
}

/// The configuration in the result of a query; the empty one before the first.
fn configuration_of(result: &[u8]) -> Document {
    let text = borsh::from_slice::<QueryResult>(result).ok().flatten();
    text.and_then(|text| Document::parse(text.as_bytes()).ok())
        .unwrap_or_default()
}
