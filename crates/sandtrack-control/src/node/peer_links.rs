//! The links with the other control nodes: which are wanted, the frames that arrive, and the updates that are sent.
use super::{ControlNode, Effect};
use crate::endpoint_poller::PeerReport;
use crate::peer_frames::Heartbeat;
use crate::peers::{Hello, LinkAction, LinkEvent, PeerFrame, FORMAT};
use crate::state_machine::RulesVersion;
use crate::Millis;
use sandtrack_protocol::settings::{Settings, PEER_PORT_OFFSET, SESSION_PORT_OFFSET};
use sandtrack_replication::{self as replication, Address, Message};

/// Positions up to which all links were brought; while they are unchanged, the links need not be looked through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AnnouncedPositions {
    /// Position in the log of the membership.
    membership: u64,
    /// Position in the log of the endpoints.
    endpoints: u64,
}

/// The links of the control nodes that the settings name, in their order.
pub(super) fn seeds(settings: &Settings) -> Vec<Address> {
    let link = |seed: &String| settings.internal_address(Settings::ip_of(seed), PEER_PORT_OFFSET);
    settings.seed_nodes.iter().map(link).collect()
}

/// How a control node with these settings introduces itself: the first frame on each of its links.
pub(super) fn hello(settings: &Settings, incarnation: u64) -> Hello {
    let listen = |name: &str| settings.listen.get(name).cloned().unwrap_or_default();
    Hello {
        format: FORMAT,
        address: settings.internal_address(&settings.ip_address, PEER_PORT_OFFSET),
        incarnation,
        node_name: settings.node_name.clone(),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        control: listen("control"),
        features: RulesVersion::LATEST.to_string(),
        session: settings.internal_address(&settings.ip_address, SESSION_PORT_OFFSET),
    }
}

impl ControlNode {
    /// Links are wanted with the control nodes that the settings or the replica name.
    pub(super) fn update_wanted_peers(&mut self, now: Millis) {
        let seeds = seeds(&self.settings);
        let known = self.replica.peers();
        self.peers
            .set_wanted(now, seeds.iter().chain(&known).map(String::as_str));
    }

    /// The connection of a link is established.
    pub(super) fn link_opened(&mut self, now: Millis, link: u64, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        self.peers.opened(now, link, &mut actions);
        out.extend(actions.into_iter().map(Effect::Link));
    }

    /// The connection of a link is closed.
    pub(super) fn link_closed(&mut self, now: Millis, link: u64, out: &mut Vec<Effect>) {
        let heard = self.peers.closed(now, link);
        self.peer_link_event(now, heard, out);
    }

    /// A link with a peer was established or lost.
    pub(super) fn peer_link_event(
        &mut self,
        now: Millis,
        event: Option<LinkEvent>,
        out: &mut Vec<Effect>,
    ) {
        match event {
            Some(LinkEvent::Established(peer)) => {
                log::info!("linked with {peer}");
                self.quorum_lease.remove_peer(&peer);
                self.sessions.invalidate_census();
                self.send_heartbeat(now, &peer, out);
            }
            Some(LinkEvent::Lost(peer)) => {
                log::info!("the link with {peer} is lost");
                self.quorum_lease.remove_peer(&peer);
                self.membership.control_node_lost(now, &peer);
                self.sessions.invalidate_census();
            }
            None => {}
        }
    }

    /// A frame arrived on a link. Frames before the hello of the other end are ignored.
    pub(super) fn link_frame(
        &mut self,
        now: Millis,
        link: u64,
        frame: PeerFrame,
        out: &mut Vec<Effect>,
    ) {
        let peer = self.peers.frame_received(now, link);
        if let Some(peer) = &peer {
            self.quorum_lease.record(now, peer, None);
        }
        if let PeerFrame::Hello(hello) = frame {
            return self.peer_hello(now, link, hello, out);
        }
        if let Some(peer) = peer {
            self.peer_frame(now, link, &peer, frame, out);
        }
    }

    fn peer_hello(&mut self, now: Millis, link: u64, hello: Hello, out: &mut Vec<Effect>) {
        let mut actions = Vec::new();
        let heard = self.peers.hello(now, link, hello, &mut actions);
        out.extend(actions.into_iter().map(Effect::Link));
        self.peer_link_event(now, heard, out);
    }

    fn peer_frame(
        &mut self,
        now: Millis,
        link: u64,
        peer: &str,
        frame: PeerFrame,
        out: &mut Vec<Effect>,
    ) {
        match frame {
            PeerFrame::Hello(_) => {}
            PeerFrame::Replication(message) => self.replica_message(now, peer, message, out),
            PeerFrame::Sessions {
                is_complete,
                present,
                removed,
            } => {
                self.membership
                    .apply_sessions(now, peer, is_complete, present, &removed);
            }
            PeerFrame::WantSessions => {
                if let Some((sessions, _)) = self.peers.announced(link) {
                    *sessions = None;
                }
                self.announce_to(now, link, out);
            }
            PeerFrame::WantEndpoints => {
                if let Some((_, list)) = self.peers.announced(link) {
                    *list = None;
                }
                self.announce_to(now, link, out);
            }
            PeerFrame::Endpoints(update) => {
                if self.election.accepts_endpoints_from(peer) {
                    self.upstreams.apply(now, update);
                }
            }
            PeerFrame::Heartbeat(heartbeat) => self.heartbeat(now, link, peer, heartbeat, out),
            PeerFrame::PromptsSent(sent) => self.prompts.from_peer(sent),
        }
    }

    fn replica_message(
        &mut self,
        now: Millis,
        peer: &str,
        message: Message,
        out: &mut Vec<Effect>,
    ) {
        let received = replication::Input::Received {
            from: peer.to_owned(),
            message,
        };
        self.step_replica(now, received, out);
        self.quorum_lease
            .record(now, peer, self.replica.view_attestation_of(peer));
    }

    /// A heartbeat arrived from a peer, with digests of what it knows: where a digest differs from what is known of it here,
    /// its complete state is requested.
    fn heartbeat(
        &mut self,
        now: Millis,
        link: u64,
        peer: &str,
        heartbeat: Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let Heartbeat {
            lease,
            holder_timed_out,
            session_digest,
            polls,
            endpoint_digest,
            is_leaving,
            knows_all_proxies,
        } = heartbeat;
        self.peer_lease(now, peer, &lease);
        let is_poller = lease.holder == peer && *self.election.lease() == lease;
        self.peers.update_report(
            peer,
            PeerReport {
                lease,
                holder_timed_out,
            },
            is_leaving,
            knows_all_proxies,
        );
        if session_digest != self.membership.remote_digest(peer) {
            out.push(Effect::Link(LinkAction::Send {
                link,
                frame: PeerFrame::WantSessions,
            }));
        }
        if !is_poller {
            return;
        }
        if endpoint_digest == self.upstreams.digest() {
            self.upstreams.poll_finished(polls);
        } else {
            out.push(Effect::Link(LinkAction::Send {
                link,
                frame: PeerFrame::WantEndpoints,
            }));
        }
    }

    /// Sends a peer the updates that it lacks, and a heartbeat.
    pub(super) fn send_heartbeat(&mut self, now: Millis, peer: &str, out: &mut Vec<Effect>) {
        let Some(link) = self.peers.link_to(peer) else {
            return;
        };
        self.announce_to(now, link, out);
        let heartbeat = Heartbeat {
            lease: self.election.lease().clone(),
            holder_timed_out: self.election.is_holder_timed_out(now),
            session_digest: self.membership.digest(),
            polls: self.upstreams.last_poll(),
            endpoint_digest: self.upstreams.digest(),
            is_leaving: self.leaving_since.is_some(),
            knows_all_proxies: self.knows_all_proxies,
        };
        out.push(Effect::Link(LinkAction::Send {
            link,
            frame: PeerFrame::Heartbeat(heartbeat),
        }));
    }

    /// Sends a heartbeat to each peer.
    pub(super) fn send_heartbeats(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for (_, peer) in self.peers.linked() {
            self.send_heartbeat(now, &peer, out);
        }
    }

    /// Sends all peers what changed, if anything did.
    pub(super) fn announce_changes(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let ends = AnnouncedPositions {
            membership: self.membership.end(),
            endpoints: self.upstreams.end(),
        };
        if std::mem::replace(&mut self.announced, ends) != ends {
            self.announce_to_all(now, out);
        }
    }

    /// Sends each peer the updates that it lacks.
    pub(super) fn announce_to_all(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for (link, _) in self.peers.linked() {
            self.announce_to(now, link, out);
        }
    }

    /// Sends the other end of a link what changed of the sessions here, and of the endpoints if they are polled here.
    fn announce_to(&mut self, now: Millis, link: u64, out: &mut Vec<Effect>) {
        let ends = AnnouncedPositions {
            membership: self.membership.end(),
            endpoints: self.upstreams.end(),
        };
        let tells_list = self.election.is_holder() && self.upstreams.last_poll() > 0;
        let Some((sessions, list)) = self.peers.announced(link) else {
            return;
        };
        if *sessions != Some(ends.membership) {
            let frame = self.membership.frame_since(*sessions);
            *sessions = Some(ends.membership);
            out.push(Effect::Link(LinkAction::Send { link, frame }));
        }
        if tells_list && *list != Some(ends.endpoints) {
            let frame = PeerFrame::Endpoints(self.upstreams.update_since(now, *list));
            *list = Some(ends.endpoints);
            out.push(Effect::Link(LinkAction::Send { link, frame }));
        }
        if !tells_list {
            // Another node polls and announces the endpoints: positions in the log here mean nothing to the peers.
            *list = None;
        }
    }
}
