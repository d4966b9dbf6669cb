//! What a control node knows of itself and the others, as JSON for operators.
use super::ControlNode;
use crate::membership::Member;
use crate::operator_api::Reply;
use crate::Millis;
use sandtrack_protocol::logs::escape;
use sandtrack_replication as replication;

fn quote(text: &str) -> String {
    format!("\"{}\"", escape(text))
}

fn list(items: impl Iterator<Item = String>) -> String {
    format!("[{}]", items.collect::<Vec<_>>().join(","))
}

fn addresses(members: &[replication::Member]) -> String {
    list(members.iter().map(|member| quote(&member.address)))
}

impl ControlNode {
    /// The answer to an operator that asks for the status.
    pub(super) fn status(&self, now: Millis) -> Reply {
        let control_state = self.replica.machine();
        let view = self.replica.view();
        let fault = control_state.fault().map(ToString::to_string);
        let body = format!(
            "{{\"node\":{},\"address\":{},\"attached\":{},\"caught_up\":{},\"version_number\":{},\
             \"configuration_number\":{},\"evacuated\":{},\"view\":{{\"epoch\":{},\"chain\":{},\"voters\":{}}},\
             \"control_nodes\":{},\"proxies\":{},\"reader\":{},\"readings\":{},\"services\":{},\
             \"rules_version\":{},\"configuration_fault\":{}}}",
            quote(&self.settings.node_name),
            quote(&self.peers.me.address),
            self.has_quorum(now),
            self.replica.is_caught_up(),
            control_state.version(),
            control_state.configuration_number(),
            list(control_state.evacuated_zones().map(quote)),
            view.epoch,
            addresses(&view.chain),
            addresses(&view.voters),
            self.status_of_peers(),
            self.status_of_proxies(),
            quote(&self.election.lease().holder),
            self.upstreams.last_poll(),
            self.status_of_services(),
            control_state.rules().number(),
            quote(&fault.unwrap_or_default()),
        );
        Reply::success(body)
    }

    fn status_of_peers(&self) -> String {
        list(self.peers.all().map(|(address, linked, hello)| {
            let name = hello.map_or("", |hello| hello.node_name.as_str());
            format!(
                "{{\"address\":{},\"node\":{},\"linked\":{linked}}}",
                quote(address),
                quote(name)
            )
        }))
    }

    fn status_of_proxies(&self) -> String {
        list(self.membership.members().into_iter().map(|(name, member)| {
            let Member { info, state } = member;
            let here = self.membership.local_members().contains_key(name);
            format!(
                "{{\"node\":{},\"front\":{},\"zone\":{},\"version_number\":{},\"ready\":{},\"leaving\":{},\
                 \"open\":{},\"here\":{here}}}",
                quote(name),
                quote(&info.client_address),
                quote(&info.zone),
                state.version,
                state.ready,
                state.draining,
                state.requests_in_flight,
            )
        }))
    }

    fn status_of_services(&self) -> String {
        list(
            self.upstreams
                .counts()
                .into_iter()
                .map(|(service, (count, draining))| {
                    format!(
                        "{{\"service\":{},\"upstreams\":{count},\"draining\":{draining}}}",
                        quote(service)
                    )
                }),
        )
    }
}
