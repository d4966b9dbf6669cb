//! What the system's own processes say to each other over a session: frames of a 4-byte length (big endian) and a borsh
//! value. A proxy (data plane) opens a session with a control node (control plane); it is a member while that stands.
use borsh::{BorshDeserialize, BorshSerialize};

/// The first number of a session: another one is another format, and the session is ended.
pub const FORMAT: u16 = 2;
/// A frame may be this long: 64 MiB is more than a configuration of the largest deployment.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// How often each end of a session says that it is there.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// An end that heard nothing for so long takes the session for broken.
pub const SESSION_TIMEOUT_MS: u64 = 1000;

/// Who a proxy is and where it serves.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ProxyInfo {
    pub node_name: String,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    pub zone: String,
    pub region: String,
    /// Where clients reach it.
    pub client_address: String,
}

/// What a proxy tells of itself with each beat.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ProxyState {
    /// It has a configuration and takes traffic.
    pub ready: bool,
    /// It has been told to stop: out of the directory at once.
    pub draining: bool,
    /// Version of the configuration that it serves by.
    pub version: u64,
    /// Requests in hand.
    pub requests_in_flight: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ToControl {
    /// First frame of a session.
    Hello {
        format: u16,
        info: ProxyInfo,
        state: ProxyState,
    },
    /// Each [`HEARTBEAT_INTERVAL_MS`], and at once when something of it changes.
    State(ProxyState),
    /// A change did not fit what it has: it wants the whole configuration.
    WantConfiguration,
    /// It sent long prompts to upstreams.
    PromptsSent(Vec<PromptSent>),
}

/// A long prompt was sent to an upstream: what others need to know to estimate how much is to be read there, and what is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PromptSent {
    /// A number for the upstream's identifier, the same at every proxy.
    pub upstream: u32,
    /// A number for the parts of the prompt that others may share.
    pub prefix: u32,
    /// Tokens that are to be read.
    pub tokens: u32,
}

/// An upstream as the platform's list shows it.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct UpstreamEntry {
    pub identifier: String,
    pub service: String,
    pub address: String,
    pub zone: String,
    pub slots: u32,
    pub draining: bool,
    /// How much longer it is cold, as of the frame that carries it, in ms.
    pub slow_start_remaining_ms: u32,
    /// Where it is taken away at short notice: what it has left, as of the frame, in ms.
    pub time_left_ms: Option<u32>,
    /// Names of the models that it has loaded.
    pub models: Vec<String>,
}

/// One named item of a configuration, as its JSON text.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ItemChange {
    /// The list it is in: `routes`, `services`, ...
    pub list: String,
    pub name: String,
    /// `None`: it is removed.
    pub json: Option<String>,
}

#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum ToProxy {
    /// First frame: the session stands. `attached`: see [`ToProxy::Heartbeat`].
    Welcome {
        format: u16,
        control_node: String,
        attached: bool,
    },
    /// The whole configuration, as the operator's JSON document. `number` counts committed changes: a proxy never goes
    /// back to a lower one in one life.
    Configuration {
        number: u64,
        version: u64,
        document: String,
    },
    /// What changed between two committed numbers.
    Changes {
        from_number: u64,
        number: u64,
        version: u64,
        items: Vec<ItemChange>,
        fields: Vec<(String, String)>,
    },
    /// All zones that are to get nothing, whole each time.
    Evacuated { number: u64, zones: Vec<String> },
    /// All upstreams of the services, or only those that changed. `round` rises with each reading of the list.
    Upstreams {
        is_complete: bool,
        poll: u64,
        entries: Vec<UpstreamEntry>,
        removed: Vec<String>,
    },
    /// Who is there: addresses of the control nodes for sessions, nearest first, and how many proxies share the bounds
    /// that hold over all of them.
    Census {
        control_nodes: Vec<String>,
        proxies: u32,
        rank: u32,
    },
    /// Each [`HEARTBEAT_INTERVAL_MS`]. `attached`: this control node hears a majority of those that agree on the view; a proxy of one
    /// that does not looks for another that does, and stays only if there is none.
    Heartbeat { attached: bool },
    /// Other proxies sent long prompts.
    PromptsSent(Vec<PromptSent>),
}

/// A frame with its length before it.
///
/// # Panics
/// Never: writing to a vector can't fail.
pub fn encode<T: BorshSerialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    if value.serialize(&mut bytes).is_err() {
        bytes.truncate(4);
    }
    let length = u32::try_from(bytes.len() - 4).unwrap_or(u32::MAX);
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// What is wrong with bytes that should be frames.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    #[error("a frame of {0} bytes is longer than any")]
    TooLong(usize),
    #[error("a frame can't be read")]
    Unreadable,
}

/// Takes the first frame off `bytes`, if it is there whole; gives the value and how many bytes it took.
///
/// # Errors
/// Where the bytes are no frames of this kind: the session is of no further use.
pub fn decode<T: BorshDeserialize>(bytes: &[u8]) -> Result<Option<(T, usize)>, FrameError> {
    let Some(head) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*head) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    let Some(content) = bytes.get(4..4 + length) else {
        return Ok(None);
    };
    let value = T::try_from_slice(content).map_err(|_| FrameError::Unreadable)?;
    Ok(Some((value, 4 + length)))
}
