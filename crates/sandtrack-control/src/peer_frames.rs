//! What control nodes say to each other, and the plain data in it. It owns the forms and decides nothing.
use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_protocol::frames::{ProxyInfo, ProxyState, UpstreamEntry};
use sandtrack_replication::{Address, Message};
use std::hash::{Hash, Hasher};

/// The first number of a link: another one is another format, and the link is ended.
pub const FORMAT: u16 = 2;

/// Who a control node is, and where it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Hello {
    pub format: u16,
    /// Where others open links to it: its name among them.
    pub address: Address,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    pub node_name: String,
    pub zone: String,
    pub region: String,
    pub control: String,
    pub directory: String,
    /// Where proxies open their sessions.
    pub session: String,
}

/// What control nodes say to each other.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum PeerFrame {
    /// First frame of a link, from both ends.
    Hello(Hello),
    Replication(Message),
    /// The proxies that have a session with the sender, or what changed of them.
    Sessions {
        whole: bool,
        present: Vec<Member>,
        gone: Vec<String>,
    },
    /// What was told of sessions does not add up: all of them are wanted.
    WantSessions,
    /// The platform's list as it was read, or what changed of it; remaining times are as of this frame.
    List {
        whole: bool,
        round: u64,
        entries: Vec<UpstreamEntry>,
        gone: Vec<String>,
    },
    WantList,
    /// Each [`BEAT_MS`]: that it is there, and what the other end should know of it.
    Beat {
        claim: Claim,
        /// It does not hear the holder of the duty to read.
        silent: bool,
        /// How many sessions it has, and their digest.
        sessions: (u32, u64),
        /// Readings of the list it knows of; how many upstreams, and their digest.
        list: (u64, u32, u64),
        /// It was told to stop.
        leaving: bool,
        /// It knows how many proxies there are.
        settled: bool,
    },
}

/// Who has the duty: the higher one holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, BorshSerialize, BorshDeserialize)]
pub struct Claim {
    /// Rises with each change of the holder.
    pub term: u64,
    /// Empty: nobody yet.
    pub holder: Address,
}

/// A proxy and what it tells of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Member {
    pub info: ProxyInfo,
    pub state: ProxyState,
}

impl Member {
    /// What others are told at once when it changes: not how many requests it has in hand.
    pub(crate) fn marks(&self) -> (&ProxyInfo, bool, bool, u64) {
        (&self.info, self.state.ready, self.state.leaving, self.state.version)
    }

    pub(crate) fn digest(&self) -> u64 {
        let mut sum = Fnv(0xcbf2_9ce4_8422_2325);
        self.info.node_name.hash(&mut sum);
        (self.info.incarnation, self.state.ready, self.state.leaving, self.state.version).hash(&mut sum);
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
