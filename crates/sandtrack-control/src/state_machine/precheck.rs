//! Checks of a command before it is submitted: they refuse early what the chain would refuse. Under
//! [`RulesVersion::INITIAL`](super::RulesVersion::INITIAL) the chain does not make them, as earlier programs in it do not, so
//! that there a command may be submitted only once it was checked against its basis.
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
    /// It is based on a later version, which is needed for the check. It must not be submitted unchecked.
    NeedsBaseVersion,
    /// It is based on a later version, and is checked where it is applied.
    CheckedByChain,
}

/// Checks a command against a committed configuration. The check is exact: there is one document of each version. What the
/// chain refuses by itself passes here.
pub fn check_command(committed: &Document, command: &Command) -> Precheck {
    let Command::Configure {
        kind: ChangeKind::Update,
        based_on,
        body,
    } = command
    else {
        return Precheck::Passed;
    };
    let Ok(update) = Update::parse(body) else {
        return Precheck::Passed;
    };
    if !update.touches(TENANTS_LIST) {
        return Precheck::Passed;
    }
    match based_on.cmp(&committed.version) {
        // The chain answers that another version is current, or that it knows the command.
        Ordering::Less => Precheck::Passed,
        Ordering::Equal => check_tenants(&committed.updated(&update))
            .map_or_else(Precheck::Invalid, |()| Precheck::Passed),
        Ordering::Greater => Precheck::NeedsBaseVersion,
    }
}
