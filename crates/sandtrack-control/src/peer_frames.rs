//! The frames between control nodes, and the data in them. Their borsh forms are on the wire: variants and fields keep their
//! places.
use crate::state_machine::RulesVersion;
use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_protocol::frames::{PromptSent, ProxyInfo, ProxyState, UpstreamEntry};
use sandtrack_replication::{Address, Message};
use std::hash::{Hash, Hasher};

/// Version of the protocol between control nodes; a link with a peer of another version is closed.
pub const FORMAT: u16 = 3;

/// Who a control node is, and where it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    /// [`FORMAT`] of the sender.
    pub format: u16,
    /// Where others open links to it: its name among them.
    pub address: Address,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    /// `node_name` of its settings.
    pub node_name: String,
    /// `zone` of its settings.
    pub zone: String,
    /// `region` of its settings.
    pub region: String,
    /// Where operators call it, `IP:PORT`.
    pub control: String,
    /// What its program supports: see [`RulesVersion::supported_by`]. Earlier programs give the address of their directory
    /// here, which no program reads.
    pub features: String,
    /// Where proxies open their sessions.
    pub session: String,
}

impl Hello {
    /// The latest version of the rules that the sender supports.
    pub fn supported_rules(&self) -> RulesVersion {
        RulesVersion::supported_by(&self.features)
    }
}

/// What control nodes say to each other.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerFrame {
    /// First frame of a link, from both ends.
    Hello(Hello),
    /// From replica to replica.
    Replication(Message),
    /// The proxies that have a session with the sender, or what changed of them.
    Sessions {
        /// Proxies that it does not name have no session there.
        is_complete: bool,
        /// Proxies that are new or changed; all where it is complete.
        present: Vec<Member>,
        /// Names of proxies whose session is over.
        removed: Vec<String>,
    },
    /// The digests of sessions differ: the receiver is to send all of them.
    WantSessions,
    /// The platform's list as it was polled, or what changed of it; remaining times are as of this frame.
    Endpoints(EndpointUpdate),
    /// The digests of endpoints differ: the receiver is to send all of them.
    WantEndpoints,
    /// Each [`crate::peers::HEARTBEAT_INTERVAL_MS`].
    Heartbeat(Heartbeat),
    /// Long prompts that the sender's proxies sent.
    PromptsSent(Vec<PromptSent>),
}

/// That a control node is alive, with the digests by which the receiver finds out what it has missed.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Heartbeat {
    /// The highest lease of the poller that the sender knows of.
    pub lease: PollerLease,
    /// The sender has not heard the holder of that lease for too long.
    pub holder_timed_out: bool,
    /// Digest of its own sessions.
    pub session_digest: Digest,
    /// Completed polls of the list that it knows of.
    pub polls: u64,
    /// Digest of the list as it knows it.
    pub endpoint_digest: Digest,
    /// It is shutting down.
    pub is_leaving: bool,
    /// It knows how many proxies there are.
    pub knows_all_proxies: bool,
}

/// What both ends of a link compare to find out whether they know the same.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Digest {
    /// How many entries there are.
    pub count: u32,
    /// Sum of the digests of all entries, modulo 2^64: it does not depend on their order.
    pub sum: u64,
}

/// An update of the platform's list from the control node that polls it.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct EndpointUpdate {
    /// Upstreams that it does not name are no longer listed.
    pub is_complete: bool,
    /// Number of the completed poll that it is of.
    pub poll: u64,
    /// Upstreams that are new or changed; all where it is whole.
    pub entries: Vec<UpstreamEntry>,
    /// Identifiers of those that the list no longer shows.
    pub removed: Vec<String>,
}

/// The lease of the control node that polls the platform's list; the higher one, by its term, wins.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct PollerLease {
    /// Rises with each change of the holder.
    pub term: u64,
    /// Address of the holder; empty before the first.
    pub holder: Address,
}

/// A proxy and what it tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Member {
    /// Who it is.
    pub info: ProxyInfo,
    /// What it said last of its state.
    pub state: ProxyState,
}

impl Member {
    /// What others are told at once when it changes: not how many requests it has in hand.
    pub(crate) fn announced_state(&self) -> (&ProxyInfo, bool, bool, u64) {
        (
            &self.info,
            self.state.ready,
            self.state.draining,
            self.state.version,
        )
    }

    pub(crate) fn digest(&self) -> u64 {
        let mut sum = Fnv(0xcbf2_9ce4_8422_2325);
        self.info.node_name.hash(&mut sum);
        (
            self.info.incarnation,
            self.state.ready,
            self.state.draining,
            self.state.version,
        )
            .hash(&mut sum);
        sum.finish()
    }
}

/// FNV-1a: the same on both ends, whatever the library does.
pub struct Fnv(pub u64);

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        self.0
    }
}
