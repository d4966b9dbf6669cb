//! Versions of the rules by which the state machine decides commands, and how a new version comes into force.
//!
//! All control nodes must decide each command of the log alike, also while programs of two versions run side by side. A rule
//! that an earlier program does not have is therefore bound to a version of the rules, and that version comes into force by
//! an entry of the log: the rule holds for the commands behind the entry, and for none ahead of it.
//!
//! The entry is an order for a zone that can't exist, as zones have no slash in calls of the API. Earlier programs apply such
//! an order without any effect, with the same outcome, and keep it in their snapshots. So logs and snapshots stay readable
//! for them, and the agreement outlasts a node that goes back to an earlier program.
use super::commands::Command;
use std::fmt;

/// What the name of the zone begins with; the number of the version follows.
const AGREEMENT_PREFIX: &str = "rules/";

/// A version of the rules. Later versions have all rules of earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RulesVersion(u16);

impl RulesVersion {
    /// In force from the start: tenants are checked before a command is submitted, and not where it is applied.
    pub const INITIAL: RulesVersion = RulesVersion(1);
    /// The tenants of a configuration are checked where a command that changes them is applied.
    pub const CHECKED_TENANTS: RulesVersion = RulesVersion(2);
    /// The latest version that this program supports.
    pub const LATEST: RulesVersion = RulesVersion::CHECKED_TENANTS;

    /// Its number, from 1.
    pub fn number(self) -> u16 {
        self.0
    }

    /// The command that brings the version into force. It may be repeated.
    pub fn agreement(self) -> Command {
        Command::SetEvacuation {
            zone: self.to_string(),
            begin: false,
            last_known: 0,
        }
    }

    /// The version that an order for a zone of this name brings into force; `None` for a real zone.
    pub fn agreed_by_zone(zone: &str) -> Option<RulesVersion> {
        RulesVersion::parse(zone)
    }

    /// The latest version among those that orders for these zones brought into force.
    pub fn latest_agreed<'a>(zones: impl Iterator<Item = &'a str>) -> RulesVersion {
        zones
            .filter_map(RulesVersion::agreed_by_zone)
            .max()
            .unwrap_or(RulesVersion::INITIAL)
    }

    /// The latest version that a program supports by the features that it names. Programs before
    /// [`RulesVersion::CHECKED_TENANTS`] name none.
    pub fn supported_by(features: &str) -> RulesVersion {
        RulesVersion::parse(features).unwrap_or(RulesVersion::INITIAL)
    }

    fn parse(text: &str) -> Option<RulesVersion> {
        let number = text.strip_prefix(AGREEMENT_PREFIX)?;
        number.parse().ok().map(RulesVersion)
    }
}

/// As in agreements and in the features of a program: `rules/2`.
impl fmt::Display for RulesVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{AGREEMENT_PREFIX}{}", self.0)
    }
}
