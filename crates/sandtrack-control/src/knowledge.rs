//! What a control node knows of zones as it looks at an operator's call, put together from its parts. Pure.
use crate::control_state::{Command, ControlState};
use crate::membership::Membership;
use crate::operator_calls::Known;
use crate::peers::Peers;
use crate::upstreams::Upstreams;
use sandtrack_protocol::settings::Settings;

/// What is known here of zones and their orders.
pub struct Knowledge<'a> {
    pub settings: &'a Settings,
    pub control_state: &'a ControlState,
    pub peers: &'a Peers,
    pub membership: &'a Membership,
    pub upstreams: &'a Upstreams,
    /// It was told to stop.
    pub leaving: bool,
}

impl Known for Knowledge<'_> {
    fn passes_callers_on(&self) -> bool {
        self.leaving && self.peers.all().any(|(_, stays, _)| stays)
    }

    fn last_order(&self, zone: &str) -> u64 {
        self.control_state.last_order(zone)
    }

    fn version_taken(&self, command: &Command) -> Option<u64> {
        self.control_state.version_taken(command)
    }

    fn names_zone(&self, zone: &str) -> bool {
        self.settings.zones.contains_key(zone)
            || self.settings.zone == zone
            || self.control_state.names_zone(zone)
            || self
                .peers
                .all()
                .any(|(_, _, hello)| hello.is_some_and(|hello| hello.zone == zone))
            || self
                .membership
                .members()
                .values()
                .any(|member| member.info.zone == zone)
            || self.upstreams.names_zone(zone)
    }
}
