//! Checks of a command before it is submitted. The chain does not repeat them: the control nodes must agree on the outcome of
//! each command in the log, also where an earlier program has accepted what these checks refuse.
use super::commands::{ChangeKind, Command};
use sandtrack_protocol::document::{ConfigurationError, Document, Update};
use sandtrack_protocol::tenants::{check_tenants, TENANTS_LIST};
use std::cmp::Ordering;

/// What a configuration says of a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Precheck {
    /// Nothing speaks against it.
    Passed,
    /// It makes an invalid configuration.
    Invalid(ConfigurationError),
    /// It is based on a later version, which is needed for the check.
    NeedsBasis,
}

/// Checks a command against a committed configuration. The check is exact: there is one document of each version.
pub fn command(committed: &Document, command: &Command) -> Precheck {
    let Command::Configure {
        kind: ChangeKind::Update,
        based_on,
        body,
    } = command
    else {
        return Precheck::Passed;
    };
    match based_on.cmp(&committed.version) {
        // The chain answers that another version is current, or that it knows the command.
        Ordering::Less => Precheck::Passed,
        Ordering::Equal => update(committed, body),
        Ordering::Greater => Precheck::NeedsBasis,
    }
}

/// Checks an update against the document that it is based on.
fn update(basis: &Document, body: &[u8]) -> Precheck {
    let checked = Update::parse(body).and_then(|update| match update.touches(TENANTS_LIST) {
        true => check_tenants(&basis.updated(&update)),
        false => Ok(()),
    });
    checked.map_or_else(Precheck::Invalid, |()| Precheck::Passed)
}
