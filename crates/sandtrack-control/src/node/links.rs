//! The other control nodes: which of them to link with, the frames that come over a link, and what is told over it.
use super::{ControlNode, Effect};
use crate::peer_frames::Heartbeat;
use crate::peers::{Heard, Hello, LinkOrder, PeerFrame, FORMAT};
use crate::reader::PeerReport;
use crate::Millis;
use sandtrack_protocol::settings::{Settings, PEER_PORT_OFFSET, SESSION_PORT_OFFSET};
use sandtrack_replication::{self as replication, Address, Message};

/// How far all links were told: where nothing is new they are not looked through.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Announced {
    /// Place in the journal of the membership.
    membership: u64,
    /// Place in the journal of the platform's list.
    list: u64,
}

/// The links of the control nodes that the settings name, in their order.
pub(super) fn seeds(settings: &Settings) -> Vec<Address> {
    let link = |seed: &String| settings.internal_address(Settings::ip_of(seed), PEER_PORT_OFFSET);
    settings.seed_nodes.iter().map(link).collect()
}

/// Who a control node with these settings is: the first frame on each of its links.
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
        directory: listen("directory"),
        session: settings.internal_address(&settings.ip_address, SESSION_PORT_OFFSET),
    }
}

impl ControlNode {
    /// Links are wanted with the control nodes that the settings or the replica name.
    pub(super) fn update_wanted_peers(&mut self, now: Millis) {
        let seeds = seeds(&self.settings);
        let known = self.replica.peers();
        self.peers
            .reach(now, seeds.iter().chain(&known).map(String::as_str));
    }

    /// The socket of a link stands.
    pub(super) fn link_opened(&mut self, now: Millis, link: u64, out: &mut Vec<Effect>) {
        let mut orders = Vec::new();
        self.peers.opened(now, link, &mut orders);
        out.extend(orders.into_iter().map(Effect::Link));
    }

    /// The socket of a link is gone.
    pub(super) fn link_closed(&mut self, now: Millis, link: u64, out: &mut Vec<Effect>) {
        let heard = self.peers.closed(now, link);
        self.peer_heard(now, heard, out);
    }

    /// A peer is heard of from now on, or is no longer.
    pub(super) fn peer_heard(&mut self, now: Millis, heard: Option<Heard>, out: &mut Vec<Effect>) {
        match heard {
            Some(Heard::Found(peer)) => {
                log::info!("linked with {peer}");
                self.contact.lost(&peer);
                self.sessions.census_again();
                self.send_heartbeat(now, &peer, out);
            }
            Some(Heard::Lost(peer)) => {
                log::info!("the link with {peer} is lost");
                self.contact.lost(&peer);
                self.membership.lost(now, &peer);
                self.sessions.census_again();
            }
            None => {}
        }
    }

    /// A frame came over a link. Nothing counts before the other end has said who it is.
    pub(super) fn link_frame(
        &mut self,
        now: Millis,
        link: u64,
        frame: PeerFrame,
        out: &mut Vec<Effect>,
    ) {
        let peer = self.peers.heard(now, link);
        if let Some(peer) = &peer {
            self.contact.heard(now, peer, None);
        }
        if let PeerFrame::Hello(hello) = frame {
            return self.peer_hello(now, link, hello, out);
        }
        if let Some(peer) = peer {
            self.peer_frame(now, link, &peer, frame, out);
        }
    }

    fn peer_hello(&mut self, now: Millis, link: u64, hello: Hello, out: &mut Vec<Effect>) {
        let mut orders = Vec::new();
        let heard = self.peers.hello(now, link, hello, &mut orders);
        out.extend(orders.into_iter().map(Effect::Link));
        self.peer_heard(now, heard, out);
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
                whole,
                present,
                gone,
            } => {
                self.membership.told(now, peer, whole, present, &gone);
            }
            PeerFrame::WantSessions => {
                if let Some((sessions, _)) = self.peers.told(link) {
                    *sessions = None;
                }
                self.announce_to(now, link, out);
            }
            PeerFrame::WantList => {
                if let Some((_, list)) = self.peers.told(link) {
                    *list = None;
                }
                self.announce_to(now, link, out);
            }
            PeerFrame::List(excerpt) => {
                if self.election.takes_list_of(peer) {
                    self.upstreams.apply(now, excerpt);
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
        self.contact
            .heard(now, peer, self.replica.view_attestation_of(peer));
    }

    /// A peer says that it is there, and what it knows: whatever differs from what it told before is asked for.
    fn heartbeat(
        &mut self,
        now: Millis,
        link: u64,
        peer: &str,
        heartbeat: Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        let Heartbeat {
            claim,
            silent,
            sessions,
            list_round,
            list,
            leaving,
            settled,
        } = heartbeat;
        self.reader_claimed(now, peer, &claim);
        let reads_list = claim.holder == peer && *self.election.claim() == claim;
        self.peers
            .report(peer, PeerReport { claim, silent }, leaving, settled);
        if sessions != self.membership.digest_of(peer) {
            out.push(Effect::Link(LinkOrder::Send {
                link,
                frame: PeerFrame::WantSessions,
            }));
        }
        if !reads_list {
            return;
        }
        if list == self.upstreams.digest() {
            self.upstreams.reading_ended(list_round);
        } else {
            out.push(Effect::Link(LinkOrder::Send {
                link,
                frame: PeerFrame::WantList,
            }));
        }
    }

    /// Tells a peer what is new, and that this control node is there.
    pub(super) fn send_heartbeat(&mut self, now: Millis, peer: &str, out: &mut Vec<Effect>) {
        let Some(link) = self.peers.link_to(peer) else {
            return;
        };
        self.announce_to(now, link, out);
        let heartbeat = Heartbeat {
            claim: self.election.claim().clone(),
            silent: self.election.is_silent(now),
            sessions: self.membership.digest(),
            list_round: self.upstreams.round(),
            list: self.upstreams.digest(),
            leaving: self.leaving_since.is_some(),
            settled: self.settled,
        };
        out.push(Effect::Link(LinkOrder::Send {
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

    /// Tells all peers what is new, if anything is.
    pub(super) fn announce_news(&mut self, now: Millis, out: &mut Vec<Effect>) {
        let ends = Announced {
            membership: self.membership.end(),
            list: self.upstreams.end(),
        };
        if std::mem::replace(&mut self.announced, ends) != ends {
            self.announce_to_all(now, out);
        }
    }

    /// Tells all peers what each was not told yet.
    pub(super) fn announce_to_all(&mut self, now: Millis, out: &mut Vec<Effect>) {
        for (link, _) in self.peers.linked() {
            self.announce_to(now, link, out);
        }
    }

    /// Tells the other end of a link what changed of the sessions here, and of the list if it is read here.
    fn announce_to(&mut self, now: Millis, link: u64, out: &mut Vec<Effect>) {
        let ends = Announced {
            membership: self.membership.end(),
            list: self.upstreams.end(),
        };
        let tells_list = self.election.is_holder() && self.upstreams.round() > 0;
        let Some((sessions, list)) = self.peers.told(link) else {
            return;
        };
        if *sessions != Some(ends.membership) {
            let frame = self.membership.frame_since(*sessions);
            *sessions = Some(ends.membership);
            out.push(Effect::Link(LinkOrder::Send { link, frame }));
        }
        if tells_list && *list != Some(ends.list) {
            let frame = PeerFrame::List(self.upstreams.excerpt_since(now, *list));
            *list = Some(ends.list);
            out.push(Effect::Link(LinkOrder::Send { link, frame }));
        }
        if !tells_list {
            // Another one reads and tells it: the place is one in a journal that is not continued from here.
            *list = None;
        }
    }
}
