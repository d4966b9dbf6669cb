//! The operators' HTTP API, in the order in which a call passes through it: [`call_age`] bounds how old it may be,
//! [`requests`] parses it, [`pending_calls`] follows it through the replica, and [`responses`] writes what came of it;
//! [`call_log`] logs and counts it. Nothing here touches a socket or a clock: [`crate::http_server`] and
//! [`crate::node`] do.
//!
//! PROTOCOL.md describes the API, docs/system/codes.md the result codes.
pub mod call_age;
pub mod call_log;
pub mod pending_calls;
pub mod requests;
pub mod responses;

pub use responses::Reply;
