//! The proxies' sessions with a control node: what proxies say, and what they are told.
use super::{ControlNode, Effect};
use crate::membership::{Lost, Member};
use crate::peers::{Hello, LinkOrder, PeerFrame};
use crate::sessions::{News, SessionOrder};
use crate::Millis;
use sandtrack_protocol::frames::{self, ProxyInfo, ProxyState, ToControl, ToProxy};

/// After its start, in ms, it takes the proxies that have come for all that there are; sooner where a peer knows.
const SETTLE_MS: Millis = 2500.0;

impl ControlNode {
    /// A frame came over a session. Nothing counts before the proxy has said who it is.
    pub(super) fn session_frame(
        &mut self,
        now: Millis,
        session: u64,
        frame: ToControl,
        out: &mut Vec<Effect>,
    ) {
        match (self.sessions.heard(now, session), frame) {
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
            (Some(info), ToControl::State(state)) => self.membership.state(info, state),
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
        let mut orders = Vec::new();
        if format != frames::FORMAT || self.leaving_since.is_some() {
            log::warn!(
                "a session of format {format} from {} is ended",
                info.node_name
            );
            orders.push(SessionOrder::Close { session });
            self.sessions.closed(session);
        } else {
            log::info!("a session of {} at {}", info.node_name, info.client_address);
            self.sessions.hello(session, info.clone(), &mut orders);
            self.membership.set(Member { info, state });
        }
        out.extend(orders.into_iter().map(Effect::Session));
    }

    /// The socket of a session is gone.
    pub(super) fn session_closed(&mut self, now: Millis, session: u64) {
        if let Some(info) = self.sessions.closed(session) {
            log::info!("the session of {} is over", info.node_name);
            self.membership.gone(now, &info.node_name, Lost::Broken);
        }
    }

    /// Ends silent sessions and sends heartbeats over the others.
    pub(super) fn tick_sessions(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let attached = self.is_attached(now);
        if attached && !self.settled {
            self.settled = now - self.started >= SETTLE_MS || self.peers.is_any_settled();
            self.sessions.census_again();
        }
        let mut orders = Vec::new();
        for gone in self.sessions.tick(now, attached, &mut orders) {
            log::info!("{} fell silent", gone.node_name);
            self.membership.gone(now, &gone.node_name, Lost::Silent);
        }
        out.extend(orders.into_iter().map(Effect::Session));
    }

    /// Tells the proxies what is new, if anything is.
    pub(super) fn update_proxies(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let mut news = News {
            control_state: self.replica.machine(),
            upstreams: &self.upstreams,
            membership: &self.membership,
            attached: false,
            may_feed: self.sessions.is_holding_back() && self.may_feed_proxies(now),
            settled: self.settled,
        };
        if !self.sessions.is_due(now, &news) {
            return;
        }
        news.attached = self.is_attached(now);
        news.may_feed = self.may_feed_proxies(now);
        let peers = self.peers.all().filter(|(_, linked, _)| *linked);
        let others: Vec<&Hello> = peers.filter_map(|(_, _, hello)| hello).collect();
        let mut orders = Vec::new();
        self.sessions
            .tell(now, &self.peers.me, &others, &news, &mut orders);
        out.extend(orders.into_iter().map(Effect::Session));
    }

    /// Tells proxies and the other control nodes which long prompts were sent where.
    pub(super) fn pass_on_prompts(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let Some(passed) = self.prompts.take_due(now) else {
            return;
        };
        if !passed.to_peers.is_empty() {
            for (link, _) in self.peers.linked() {
                let frame = PeerFrame::PromptsSent(passed.to_peers.clone());
                out.push(Effect::Link(LinkOrder::Send { link, frame }));
            }
        }
        let mut orders = Vec::new();
        self.sessions.pass_on(&passed, &mut orders);
        out.extend(orders.into_iter().map(Effect::Session));
    }

    /// Sends all proxies to other control nodes.
    pub(super) fn dismiss_proxies(&mut self, out: &mut Vec<Effect>) {
        let mut orders = Vec::new();
        self.sessions
            .to_all(&ToProxy::Heartbeat { attached: false }, &mut orders);
        self.sessions.close_all(&mut orders);
        out.extend(orders.into_iter().map(Effect::Session));
    }
}
