//! The other control nodes and the links with them: one link for each pair, which carries the messages of the replicas,
//! updates of sessions and endpoints, and heartbeats. It decides when links are opened and closed and which of two survives;
//! [`crate::program`] owns the sockets.
use crate::endpoint_poller::PeerReport;
pub use crate::peer_frames::{Hello, PeerFrame, FORMAT};
use crate::state_machine::RulesVersion;
use crate::Millis;
use sandtrack_protocol::codes;
use sandtrack_replication::Address;
use std::collections::{BTreeMap, BTreeSet};

/// Interval of heartbeats on a link, in ms.
pub const HEARTBEAT_INTERVAL_MS: Millis = 150.0;
/// A link without a frame for this long, in ms, is closed and dialed again.
pub const PEER_TIMEOUT_MS: Millis = 900.0;
/// Pause before a link is dialed again, in ms. The end with the lower address dials first, so that the two do not collide.
const REDIAL_MS: Millis = 100.0;
/// The same for the end with the higher address.
const REDIAL_SECOND_MS: Millis = 250.0;
/// A peer that no configuration names and that was silent for this long, in ms, is forgotten.
const PEER_RETENTION_MS: Millis = 60_000.0;

/// One link; the program owns its socket.
#[derive(Clone, Debug)]
struct Link {
    /// The address that was dialed, where this end opened it.
    dialed: Option<Address>,
    /// The peer at the other end, after its hello.
    peer: Option<Address>,
    last_heard: Millis,
    /// Positions in the logs of sessions and of endpoints up to which the other end was sent updates.
    sessions: Option<u64>,
    list: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Peer {
    hello: Option<Hello>,
    /// The link that is in use.
    link: Option<u64>,
    /// One that is being opened.
    dialing: Option<u64>,
    dial_at: Millis,
    last_heard: Millis,
    report: PeerReport,
    leaving: bool,
    knows_all_proxies: bool,
}

/// What the program is to do with a link.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    /// Connect to a peer.
    Dial {
        /// Number of the new link.
        link: u64,
        /// The peer.
        address: Address,
    },
    /// Write a frame.
    Send {
        /// Number of the link.
        link: u64,
        /// The frame.
        frame: PeerFrame,
    },
    /// Close the connection after what is queued was written.
    Close {
        /// Number of the link.
        link: u64,
    },
}

/// All peers that are known of, and the links with them.
#[derive(Clone, Debug)]
pub struct Peers {
    /// This control node, as it introduces itself.
    pub me: Hello,
    links: BTreeMap<u64, Link>,
    known: BTreeMap<Address, Peer>,
    next_link: u64,
    next_heartbeat: Millis,
    /// The version of the rules that is in force: links with peers that do not support it are refused, as they would apply
    /// the log otherwise.
    required_rules: RulesVersion,
    /// The processes whose links were refused for that, by address: each is logged once, however often it dials.
    refused: BTreeMap<Address, u64>,
}

/// A change of the link with a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkEvent {
    /// A new link with this peer is in use.
    Established(Address),
    /// There is no link with this peer any more.
    Lost(Address),
}

impl Peers {
    /// No peers yet.
    pub fn new(me: Hello, now: Millis) -> Peers {
        Peers {
            me,
            links: BTreeMap::new(),
            known: BTreeMap::new(),
            next_link: 0,
            next_heartbeat: now,
            required_rules: RulesVersion::INITIAL,
            refused: BTreeMap::new(),
        }
    }

    /// Links are wanted with the control nodes at these addresses, and with those that were heard a short time ago.
    pub fn set_wanted<'a>(&mut self, now: Millis, addresses: impl Iterator<Item = &'a str>) {
        let named: BTreeSet<&str> = addresses
            .filter(|address| *address != self.me.address)
            .collect();
        for address in &named {
            if !self.known.contains_key(*address) {
                let wait = if self.me.address.as_str() < *address {
                    0.0
                } else {
                    REDIAL_SECOND_MS
                };
                let known = Peer {
                    dial_at: now + wait,
                    last_heard: now,
                    ..Peer::default()
                };
                self.known.insert((*address).to_owned(), known);
            }
        }
        self.known.retain(|address, known| {
            let used = known.link.is_some() || known.dialing.is_some();
            used || named.contains(address.as_str()) || now - known.last_heard < PEER_RETENTION_MS
        });
    }

    /// A number for a link that was opened from the other end.
    pub fn accepted(&mut self, now: Millis) -> u64 {
        self.link(None, now)
    }

    fn link(&mut self, dialed: Option<Address>, now: Millis) -> u64 {
        self.next_link += 1;
        self.links.insert(
            self.next_link,
            Link {
                dialed,
                peer: None,
                last_heard: now,
                sessions: None,
                list: None,
            },
        );
        self.next_link
    }

    /// The connection of a link is established: the hello is sent first.
    pub fn opened(&mut self, now: Millis, link: u64, actions: &mut Vec<LinkAction>) {
        match self.links.get_mut(&link) {
            Some(known) => {
                known.last_heard = now;
                actions.push(LinkAction::Send {
                    link,
                    frame: PeerFrame::Hello(self.me.clone()),
                });
            }
            None => actions.push(LinkAction::Close { link }),
        }
    }

    /// A frame arrived on a link; returns the peer, once it has introduced itself.
    pub fn frame_received(&mut self, now: Millis, link: u64) -> Option<Address> {
        let known = self.links.get_mut(&link)?;
        known.last_heard = now;
        let peer = known.peer.clone()?;
        if let Some(known) = self.known.get_mut(&peer) {
            known.last_heard = now;
        }
        Some(peer)
    }

    /// The other end introduces itself. Of two links of a pair, the one dialed by the lower address is kept; of two
    /// incarnations of a process, the later one.
    pub fn hello(
        &mut self,
        now: Millis,
        link: u64,
        hello: Hello,
        actions: &mut Vec<LinkAction>,
    ) -> Option<LinkEvent> {
        let address = hello.address.clone();
        let dialed_here = self.links.get(&link)?.dialed.is_some();
        if hello.format != FORMAT || address == self.me.address {
            let code = codes::PEER_FORMAT.0;
            log::warn!(
                "E{code} a link with {address} of format {} is ended",
                hello.format
            );
            self.drop_link(now, link, actions);
            return None;
        }
        if hello.supported_rules() < self.required_rules {
            self.warn_of_earlier_program(&address, hello.incarnation);
            self.drop_link(now, link, actions);
            return None;
        }
        let (me, wanted) = (&self.me.address, &address);
        let preferred = if dialed_here {
            me < wanted
        } else {
            wanted < me
        };
        let known = self.known.entry(address.clone()).or_default();
        let same_incarnation = known
            .hello
            .as_ref()
            .is_some_and(|before| before.incarnation == hello.incarnation);
        let rival = known.link.filter(|rival| *rival != link);
        if let Some(rival) = rival {
            let rival_dialed_here = self
                .links
                .get(&rival)
                .is_some_and(|rival| rival.dialed.is_some());
            // The same end opened both: the newer one is kept, as the other end has given up the older.
            if same_incarnation && !preferred && rival_dialed_here != dialed_here {
                self.drop_link(now, link, actions);
                return None;
            }
            self.links.remove(&rival);
            actions.push(LinkAction::Close { link: rival });
        }
        let known = self.known.entry(address.clone()).or_default();
        known.dialing = known.dialing.filter(|dialing| *dialing != link);
        known.link = Some(link);
        (known.last_heard, known.leaving, known.knows_all_proxies) = (now, false, false);
        known.report = PeerReport::default();
        known.hello = Some(hello);
        if let Some(link) = self.links.get_mut(&link) {
            link.peer = Some(address.clone());
        }
        Some(LinkEvent::Established(address))
    }

    /// A version of the rules is in force: the links with peers that do not support it are closed, and refused from now on.
    pub fn require_rules(
        &mut self,
        now: Millis,
        rules: RulesVersion,
        actions: &mut Vec<LinkAction>,
    ) -> Vec<LinkEvent> {
        if rules <= self.required_rules {
            return Vec::new();
        }
        self.required_rules = rules;
        let is_earlier = |hello: &Hello| hello.supported_rules() < rules;
        let earlier = self.known.iter().filter_map(|(address, known)| {
            let link = known.link?;
            let hello = known.hello.as_ref().filter(|hello| is_earlier(hello))?;
            Some((link, address.clone(), hello.incarnation))
        });
        let earlier: Vec<(u64, Address, u64)> = earlier.collect();
        let mut lost = Vec::new();
        for (link, address, incarnation) in earlier {
            self.warn_of_earlier_program(&address, incarnation);
            lost.extend(self.drop_link(now, link, actions));
        }
        lost
    }

    fn warn_of_earlier_program(&mut self, address: &str, incarnation: u64) {
        if self.refused.insert(address.to_owned(), incarnation) == Some(incarnation) {
            return;
        }
        let code = codes::EARLIER_PROGRAM;
        let required = self.required_rules;
        log::warn!(
            "{code} a link with {address} is ended: its program does not support {required}"
        );
    }

    /// Whether each known peer is linked with a process that supports this version of the rules.
    pub fn all_support(&self, rules: RulesVersion) -> bool {
        self.known.values().all(|known| {
            let supports = |hello: &Hello| hello.supported_rules() >= rules;
            known.link.is_some() && known.hello.as_ref().is_some_and(supports)
        })
    }

    /// The connection of a link is closed.
    pub fn closed(&mut self, now: Millis, link: u64) -> Option<LinkEvent> {
        let gone = self.links.remove(&link)?;
        let wait = |me: &str, other: &str| {
            if me < other {
                REDIAL_MS
            } else {
                REDIAL_SECOND_MS
            }
        };
        if let Some(known) = gone
            .dialed
            .as_ref()
            .and_then(|dialed| self.known.get_mut(dialed))
        {
            if known.dialing == Some(link) {
                known.dialing = None;
                known.dial_at =
                    now + wait(&self.me.address, gone.dialed.as_deref().unwrap_or_default());
            }
        }
        let peer = gone.peer?;
        let known = self
            .known
            .get_mut(&peer)
            .filter(|known| known.link == Some(link))?;
        known.link = None;
        known.dial_at = now + wait(&self.me.address, &peer);
        Some(LinkEvent::Lost(peer))
    }

    fn drop_link(
        &mut self,
        now: Millis,
        link: u64,
        actions: &mut Vec<LinkAction>,
    ) -> Option<LinkEvent> {
        actions.push(LinkAction::Close { link });
        self.closed(now, link)
    }

    /// Updates the report of a peer from its heartbeat.
    pub fn update_report(
        &mut self,
        peer: &str,
        report: PeerReport,
        leaving: bool,
        knows_all_proxies: bool,
    ) {
        if let Some(known) = self.known.get_mut(peer) {
            (known.report, known.leaving, known.knows_all_proxies) =
                (report, leaving, knows_all_proxies);
        }
    }

    /// Whether a linked peer knows all proxies.
    pub fn any_peer_knows_all_proxies(&self) -> bool {
        self.known
            .values()
            .any(|known| known.link.is_some() && known.knows_all_proxies)
    }

    /// The process was paused: frames that arrived meanwhile are still to be read, so no peer has timed out yet.
    pub fn resumed(&mut self, now: Millis) {
        self.links
            .values_mut()
            .for_each(|link| link.last_heard = now);
    }

    /// Closes links that timed out and dials missing ones; also gives whether a heartbeat is due.
    pub fn tick(&mut self, now: Millis, actions: &mut Vec<LinkAction>) -> (Vec<LinkEvent>, bool) {
        let silent = self
            .links
            .iter()
            .filter(|(_, link)| now - link.last_heard > PEER_TIMEOUT_MS);
        let silent: Vec<u64> = silent.map(|(link, _)| *link).collect();
        let lost = silent
            .into_iter()
            .filter_map(|link| self.drop_link(now, link, actions))
            .collect();
        let free =
            |known: &Peer| known.link.is_none() && known.dialing.is_none() && now >= known.dial_at;
        let wanted: Vec<Address> = self
            .known
            .iter()
            .filter(|(_, known)| free(known))
            .map(|(address, _)| address.clone())
            .collect();
        for address in wanted {
            let link = self.link(Some(address.clone()), now);
            if let Some(known) = self.known.get_mut(&address) {
                known.dialing = Some(link);
            }
            actions.push(LinkAction::Dial { link, address });
        }
        let heartbeat_due = now >= self.next_heartbeat;
        if heartbeat_due {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL_MS;
        }
        (lost, heartbeat_due)
    }

    /// When the next heartbeat is due.
    pub fn next_due(&self) -> Millis {
        self.next_heartbeat
    }

    /// The link in use with a peer.
    pub fn link_to(&self, peer: &str) -> Option<u64> {
        self.known.get(peer)?.link
    }

    /// The links in use.
    pub fn linked(&self) -> Vec<(u64, Address)> {
        let linked = |(address, known): (&Address, &Peer)| Some((known.link?, address.clone()));
        self.known.iter().filter_map(linked).collect()
    }

    /// Positions up to which the other end of a link was sent updates of sessions and of endpoints.
    pub fn announced(&mut self, link: u64) -> Option<(&mut Option<u64>, &mut Option<u64>)> {
        self.links
            .get_mut(&link)
            .map(|link| (&mut link.sessions, &mut link.list))
    }

    /// The last reports of the linked peers that were heard within `within` ms and are not shutting down.
    pub fn live(&self, now: Millis, within: Millis) -> BTreeMap<Address, PeerReport> {
        let live = self.known.iter().filter(|(_, known)| {
            known.link.is_some() && !known.leaving && now - known.last_heard <= within
        });
        live.map(|(address, known)| (address.clone(), known.report.clone()))
            .collect()
    }

    /// Whether a linked peer was heard within `within` ms.
    pub fn is_seen(&self, now: Millis, peer: &str, within: Millis) -> bool {
        self.known
            .get(peer)
            .is_some_and(|known| known.link.is_some() && now - known.last_heard <= within)
    }

    /// All known peers: address, whether it is linked and not shutting down, and its hello.
    pub fn all(&self) -> impl Iterator<Item = (&str, bool, Option<&Hello>)> {
        self.known.iter().map(|(address, known)| {
            (
                address.as_str(),
                known.link.is_some() && !known.leaving,
                known.hello.as_ref(),
            )
        })
    }
}
