//! What control nodes say to each other, and the plain data in it. It owns the forms and decides nothing.
use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_protocol::frames::{PromptSent, ProxyInfo, ProxyState, UpstreamEntry};
use sandtrack_replication::{Address, Message};
use std::hash::{Hash, Hasher};

/// The first number of a link: another one is another format, and the link is ended.
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
    /// Where clients ask it for proxies, `IP:PORT`.
    pub directory: String,
    /// Where proxies open their sessions.
    pub session: String,
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
        is_complete: bool,
        present: Vec<Member>,
        removed: Vec<String>,
    },
    /// What was told of sessions does not add up: all of them are wanted.
    WantSessions,
    /// The platform's list as it was read, or what changed of it; remaining times are as of this frame.
    Endpoints(EndpointUpdate),
    /// What was told of the list does not add up: all of it is wanted.
    WantEndpoints,
    /// Each [`crate::peers::HEARTBEAT_INTERVAL_MS`].
    Heartbeat(Heartbeat),
    /// Long prompts that the sender's proxies sent.
    PromptsSent(Vec<PromptSent>),
}

/// That a control node is there, and what the other end should know of it.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Heartbeat {
    /// Who reads the platform's list, as far as the sender knows.
    pub lease: PollerLease,
    /// It does not hear the one who reads the list.
    pub holder_timed_out: bool,
    /// Its own sessions.
    pub session_digest: Digest,
    /// How many readings of the list it knows of.
    pub polls: u64,
    /// The list as the sender knows it.
    pub endpoint_digest: Digest,
    /// It was told to stop.
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

/// What is passed on of the platform's list: all of it, or what changed.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct EndpointUpdate {
    /// Whether upstreams that it does not name are gone.
    pub is_complete: bool,
    /// How many readings of the list it rests on.
    pub poll: u64,
    /// Upstreams that are new or changed; all where it is whole.
    pub entries: Vec<UpstreamEntry>,
    /// Identifiers of those that the list no longer shows.
    pub removed: Vec<String>,
}

/// Who reads the platform's list: the higher lease holds.
#[derive(
    Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize,
)]
pub struct PollerLease {
    /// Rises with each change of the holder.
    pub term: u64,
    /// Empty: nobody yet.
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
