//! `status`.
use super::CommandRunner;
use crate::call::Call;
use crate::error::CliError;
use crate::status::Status;
use sandtrack_protocol::codes;
use sandtrack_sidecar_core::message::Message;

/// A status with the text that it was read from.
pub(super) struct StatusResponse {
    pub(super) body: String,
    pub(super) status: Status,
}

impl TryFrom<&Message> for StatusResponse {
    type Error = CliError;

    fn try_from(response: &Message) -> Result<StatusResponse, CliError> {
        let unreadable = || CliError::coded(codes::BAD_CALL, "status: the answer can't be read");
        let status = Status::parse(&response.body).ok_or_else(unreadable)?;
        let body = String::from_utf8_lossy(&response.body).into_owned();
        Ok(StatusResponse { body, status })
    }
}

impl CommandRunner<'_> {
    pub(super) fn status(&mut self) -> Result<StatusResponse, CliError> {
        let response = self.call(&Call::status())?;
        StatusResponse::try_from(&response)
    }

    pub(super) fn show_status(&mut self) -> Result<(), CliError> {
        let StatusResponse { body, status } = self.status()?;
        if self.json {
            self.environment.print(&body);
        } else {
            self.print_lines(&status.lines());
        }
        Ok(())
    }
}
