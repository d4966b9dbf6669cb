//! The data plane of the system: accepts clients' requests and forwards each to an upstream of its route's service.
//!
//! Decisions are pure and apart from sockets: [`placement`] (which upstream a request is sent to), [`exchange::state`]
//! (one request: where it is sent, and which response its client gets), [`exchange::event_stream`] (events of a stream),
//! [`control_session::decisions`] (which control node). All tasks run on one thread and share a [`context::ProxyContext`].
//!
//! The way of a request: [`listener`] reads it, [`request`] decodes it, [`exchange::forward`] runs its exchange, with an
//! [`exchange::attempt`] for each send to an upstream over [`upstream_connections`].
#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]

pub mod authentication;
pub mod context;
pub mod control_session;
pub mod exchange;
pub mod hashing;
pub mod health_checks;
pub mod home_regions;
pub mod listener;
pub mod metrics;
pub mod placement;
pub mod policy;
pub mod program;
pub mod request;
pub mod socket_read;
pub mod telemetry;
pub mod upstream_connections;
