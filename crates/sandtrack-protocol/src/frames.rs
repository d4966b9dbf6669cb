//! The protocol between proxies (data plane) and control nodes (control plane): frames of a 4-byte length (big endian) and a
//! borsh value. A proxy opens a session with a control node and is a member while it lasts. Variants and fields keep their
//! places, as processes of different builds exchange them.
use borsh::{BorshDeserialize, BorshSerialize};

/// Version of the protocol; a session with another version is closed.
pub const FORMAT: u16 = 2;
/// Longest content of a frame, in bytes: more than a configuration of the largest deployment.
pub const MAX_FRAME_BYTES: usize = 64 << 20;
/// Interval of heartbeats of both ends of a session, in ms.
pub const HEARTBEAT_INTERVAL_MS: u64 = 250;
/// An end that received nothing for this long, in ms, closes the session.
pub const SESSION_TIMEOUT_MS: u64 = 1000;

/// Identity of a proxy.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ProxyInfo {
    /// `node_name` of its settings.
    pub node_name: String,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where clients reach it, `IP:PORT`.
    pub client_address: String,
}

/// State of a proxy, in each of its heartbeats.
#[derive(Clone, Debug, Default, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ProxyState {
    /// It has a configuration and takes traffic.
    pub ready: bool,
    /// It is shutting down: the directory no longer names it.
    pub draining: bool,
    /// Version of the configuration in force there.
    pub version: u64,
    /// Requests that it has not answered yet.
    pub requests_in_flight: u32,
}

/// Frames from a proxy to a control node.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum ToControl {
    /// First frame of a session.
    Hello {
        /// [`FORMAT`] of the proxy.
        format: u16,
        /// Who it is.
        info: ProxyInfo,
        /// Its state.
        state: ProxyState,
    },
    /// Heartbeat, each [`HEARTBEAT_INTERVAL_MS`], and at once when the state changes.
    State(ProxyState),
    /// A change did not apply to its configuration: it requests the complete one.
    WantConfiguration,
    /// It sent long prompts to upstreams.
    PromptsSent(Vec<PromptSent>),
}

/// A long prompt was sent to an upstream: what other proxies need to estimate its prefill work and its prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct PromptSent {
    /// A number for the upstream's identifier, the same at every proxy.
    pub upstream: u32,
    /// A number for the parts of the prompt that others may share.
    pub prefix: u32,
    /// Tokens of prefill.
    pub tokens: u32,
}

/// An upstream as the platform's list shows it.
#[derive(Clone, Debug, Default, PartialEq, BorshSerialize, BorshDeserialize)]
pub struct UpstreamEntry {
    /// The platform's name for it.
    pub identifier: String,
    /// Name of its service.
    pub service: String,
    /// `IP:PORT`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// It takes no new requests.
    pub draining: bool,
    /// Remaining slow start as of the frame, in ms.
    pub slow_start_remaining_ms: u32,
    /// Remaining lifetime as of the frame, in ms, where the platform has announced its end.
    pub time_left_ms: Option<u32>,
    /// Names of the models that it has loaded.
    pub models: Vec<String>,
}

/// One named item of a configuration, as its JSON text.
#[derive(Clone, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct ItemChange {
    /// The list it is in: `routes`, `services`, ...
    pub list: String,
    /// Its name.
    pub name: String,
    /// `None`: it is removed.
    pub json: Option<String>,
}

/// Frames from a control node to a proxy.
#[derive(Clone, Debug, PartialEq, BorshSerialize, BorshDeserialize)]
pub enum ToProxy {
    /// First frame: the session is accepted.
    Welcome {
        /// [`FORMAT`] of the control node.
        format: u16,
        /// Its `node_name`.
        control_node: String,
        /// See [`ToProxy::Heartbeat`].
        attached: bool,
    },
    /// The complete configuration.
    Configuration {
        /// Number of the command that made it; a proxy ignores a lower one than it has.
        number: u64,
        /// Version of the configuration.
        version: u64,
        /// The operator's JSON document.
        document: String,
    },
    /// What changed between two committed numbers.
    Changes {
        /// Number of the configuration that it applies to.
        from_number: u64,
        /// Number of the configuration that it leads to.
        number: u64,
        /// Version of that configuration.
        version: u64,
        /// Changed and removed items.
        items: Vec<ItemChange>,
        /// Changed fields as JSON texts; an empty text removes the field.
        fields: Vec<(String, String)>,
    },
    /// All evacuated zones: their upstreams get no requests.
    Evacuated {
        /// Number of the command that last changed them.
        number: u64,
        /// Names of the zones.
        zones: Vec<String>,
    },
    /// All upstreams, or only those that changed.
    Upstreams {
        /// Upstreams that it does not name are gone.
        is_complete: bool,
        /// Number of the poll of the platform's list that it is of.
        poll: u64,
        /// New and changed upstreams; all where it is complete.
        entries: Vec<UpstreamEntry>,
        /// Identifiers of upstreams that are no longer listed.
        removed: Vec<String>,
    },
    /// The membership, as far as proxies need it.
    Census {
        /// Session addresses of the control nodes, nearest first.
        control_nodes: Vec<String>,
        /// Number of proxies that share the limits which hold over all of them.
        proxies: u32,
        /// Position of the receiver among the proxies, by name.
        rank: u32,
    },
    /// Each [`HEARTBEAT_INTERVAL_MS`].
    Heartbeat {
        /// The control node has a quorum; a proxy of one without looks for another that has one.
        attached: bool,
    },
    /// Other proxies sent long prompts.
    PromptsSent(Vec<PromptSent>),
}

/// Encodes a value as a frame.
pub fn encode<T: BorshSerialize>(value: &T) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    if value.serialize(&mut bytes).is_err() {
        bytes.truncate(4);
    }
    let length = u32::try_from(bytes.len() - 4).unwrap_or(u32::MAX);
    bytes[..4].copy_from_slice(&length.to_be_bytes());
    bytes
}

/// Why bytes are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Its length is above [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes is longer than any")]
    TooLong(usize),
    /// Its content is not the expected type.
    #[error("a frame can't be read")]
    Unreadable,
}

/// Decodes the first frame of `bytes`: its value and its length with the header; `None` while it is incomplete.
///
/// # Errors
/// Where the bytes are no frame of this type: the connection is to be closed.
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
