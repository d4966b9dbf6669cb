//! What a control node knows when it looks at an operator's call, from all of its parts.
use crate::membership::Membership;
use crate::operator_api::pending_calls::CallContext;
use crate::peers::Peers;
use crate::state_machine::{Command, ControlState, Precheck};
use crate::upstreams::Upstreams;
use sandtrack_protocol::settings::Settings;

/// The parts of a control node that know of zones and of earlier commands.
pub struct NodeCallContext<'a> {
    pub settings: &'a Settings,
    pub control_state: &'a ControlState,
    pub peers: &'a Peers,
    pub membership: &'a Membership,
    pub upstreams: &'a Upstreams,
    /// It was told to stop.
    pub leaving: bool,
}

impl CallContext for NodeCallContext<'_> {
    fn redirects_callers(&self) -> bool {
        self.leaving && self.peers.all().any(|(_, stays, _)| stays)
    }

    fn last_evacuation_command(&self, zone: &str) -> u64 {
        self.control_state.last_evacuation_command(zone)
    }

    fn accepted_version(&self, command: &Command) -> Option<u64> {
        self.control_state.accepted_version(command)
    }

    fn precheck(&self, command: &Command) -> Precheck {
        self.control_state.precheck(command)
    }

    fn is_known_zone(&self, zone: &str) -> bool {
        self.settings.zones.contains_key(zone)
            || self.settings.zone == zone
            || self.control_state.is_known_zone(zone)
            || self
                .peers
                .all()
                .any(|(_, _, hello)| hello.is_some_and(|hello| hello.zone == zone))
            || self
                .membership
                .members()
                .values()
                .any(|member| member.info.zone == zone)
            || self.upstreams.has_upstream_in_zone(zone)
    }
}
