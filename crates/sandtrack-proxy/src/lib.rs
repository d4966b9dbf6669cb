//! The data plane of the system: accepts clients' requests and forwards each to an upstream of its route's service.
//!
//! The decision logic does no I/O and is kept apart from sockets: [`placement`] (selects an upstream for a request),
//! [`exchange::state`] (the attempts and the final response of one request), [`exchange::event_stream`] (splits streams into
//! events), [`control_session::decisions`] (selects a control node). All tasks run on one thread and share a
//! [`context::ProxyContext`].
//!
//! Request path: [`listener`] reads a request, [`request`] decodes it, and [`exchange::forward`] runs its exchange, with one
//! [`exchange::attempt`] for each upstream that the request is sent to over [`upstream_connections`].
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
