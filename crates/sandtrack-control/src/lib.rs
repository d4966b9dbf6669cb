//! The control plane: the replicated configuration, the membership of proxies, the platform's list of upstreams, and the
//! directory.
//!
//! [`node`] puts the parts together as one deterministic state machine; [`program`] carries out its effects on sockets, a
//! disk and a clock. Everything else is used by one of the two:
//! - [`operator_api`] and [`http_server`]: operators' calls, from the socket to the response;
//! - [`state_machine`]: what is replicated, with its commands and snapshots;
//! - [`quorum_lease`]: whether this node may serve committed state;
//! - [`peers`], [`peer_frames`], [`frame_connection`]: links between control nodes;
//! - [`sessions`], [`membership`], [`prompt_relay`], [`directory`]: proxies and the clients that look for them;
//! - [`poller_election`], [`endpoint_poller`], [`platform_client`], [`upstreams`]: the platform's list of upstreams.
#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]
pub mod directory;
pub mod endpoint_poller;
pub mod event_log;
pub mod frame_connection;
pub mod http_server;
pub mod membership;
pub mod node;
pub mod operator_api;
pub mod peer_frames;
pub mod peers;
pub mod platform_client;
pub mod poller_election;
pub mod program;
pub mod prompt_relay;
pub mod quorum_lease;
pub mod sessions;
pub mod state_machine;
pub mod upstreams;
pub mod wal_writer;

/// Milliseconds of the process's own monotonic clock.
pub type Millis = f64;
