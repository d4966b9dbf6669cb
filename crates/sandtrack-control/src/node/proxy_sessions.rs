//! The proxies' sessions with a control node: the frames that arrive, and the updates that are sent.
use super::{ControlNode, Effect};
use crate::membership::{Member, SessionEnd};
use crate::peers::{Hello, LinkAction, PeerFrame};
use crate::sessions::{SessionAction, SharedState};
use crate::Millis;
use sandtrack_protocol::frames::{self, ProxyInfo, ProxyState, ToControl, ToProxy};

/// After this time since its start, in ms, a control node assumes that it knows all proxies; earlier if a peer does.
const PROXY_DISCOVERY_MS: Millis = 2500.0;

impl ControlNode {
    /// A frame arrived on a session. Frames before the hello of the proxy are ignored.
    pub(super) fn session_frame(
        &mut self,
        now: Millis,
        session: u64,
        frame: ToControl,
        out: &mut Vec<Effect>,
    ) {
        match (self.sessions.frame_received(now, session), frame) {
            (
                _,
                ToControl::Hello {
                    format,
                    info,
                    state,
                },
            ) => {
                self.proxy_hello(session, format, info, state, out);
            }
            (Some(info), ToControl::State(state)) => self.membership.update_state(info, state),
            (Some(_), ToControl::WantConfiguration) => self.sessions.want_configuration(session),
            (Some(_), ToControl::PromptsSent(sent)) => self.prompts.from_session(session, sent),
            (None, _) => {}
        }
    }

    fn proxy_hello(
        &mut self,
        session: u64,
        format: u16,
        info: ProxyInfo,
        state: ProxyState,
        out: &mut Vec<Effect>,
    ) {
        let mut actions = Vec::new();
        if format != frames::FORMAT || self.leaving_since.is_some() {
            log::warn!(
                "a session of format {format} from {} is ended",
                info.node_name
            );
            actions.push(SessionAction::Close { session });
            self.sessions.closed(session);
        } else {
            log::info!("a session of {} at {}", info.node_name, info.client_address);
            self.sessions.hello(session, info.clone(), &mut actions);
            self.membership.set_local(Member { info, state });
        }
        out.extend(actions.into_iter().map(Effect::Session));
    }

    /// The connection of a session is closed.
    pub(super) fn session_closed(&mut self, now: Millis, session: u64) {
        if let Some(info) = self.sessions.closed(session) {
            log::info!("the session of {} is over", info.node_name);
            self.membership
                .session_ended(now, &info.node_name, SessionEnd::Disconnected);
        }
    }

    /// Closes sessions that timed out and sends heartbeats on the others.
    pub(super) fn tick_sessions(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let attached = self.has_quorum(now);
        if attached && !self.knows_all_proxies {
            self.knows_all_proxies =
                now - self.started >= PROXY_DISCOVERY_MS || self.peers.any_peer_knows_all_proxies();
            self.sessions.invalidate_census();
        }
        let mut actions = Vec::new();
        for gone in self.sessions.tick(now, attached, &mut actions) {
            log::info!("{} fell silent", gone.node_name);
            self.membership
                .session_ended(now, &gone.node_name, SessionEnd::TimedOut);
        }
        out.extend(actions.into_iter().map(Effect::Session));
    }

    /// Sends the proxies what changed, if anything did.
    pub(super) fn update_proxies(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let mut shared = SharedState {
            control_state: self.replica.machine(),
            upstreams: &self.upstreams,
            membership: &self.membership,
            attached: false,
            may_push: self.sessions.is_holding_back() && self.may_push_configuration(now),
            knows_all_proxies: self.knows_all_proxies,
        };
        if !self.sessions.is_due(now, &shared) {
            return;
        }
        shared.attached = self.has_quorum(now);
        shared.may_push = self.may_push_configuration(now);
        let peers = self.peers.all().filter(|(_, linked, _)| *linked);
        let others: Vec<&Hello> = peers.filter_map(|(_, _, hello)| hello).collect();
        let mut actions = Vec::new();
        self.sessions
            .push_updates(now, &self.peers.me, &others, &shared, &mut actions);
        out.extend(actions.into_iter().map(Effect::Session));
    }

    /// Relays to proxies and the other control nodes which long prompts were sent to which upstreams.
    pub(super) fn relay_prompts(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(due) = self.prompts.take_due(now) else {
            return;
        };
        if !due.to_peers.is_empty() {
            for (link, _) in self.peers.linked() {
                let frame = PeerFrame::PromptsSent(due.to_peers.clone());
                out.push(Effect::Link(LinkAction::Send { link, frame }));
            }
        }
        let mut actions = Vec::new();
        self.sessions.relay_prompts(&due, &mut actions);
        out.extend(actions.into_iter().map(Effect::Session));
    }

    /// Closes all sessions, so that the proxies go to other control nodes.
    pub(super) fn close_proxy_sessions(&mut self, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.sessions
            .broadcast(&ToProxy::Heartbeat { attached: false }, &mut actions);
        self.sessions.close_all(&mut actions);
        out.extend(actions.into_iter().map(Effect::Session));
    }
}
