//! Connections to upstreams: the [`pool`] of idle ones, and the HTTP/1.1 [`wire`] of one request on one of them.
pub mod pool;
pub mod response_error;
pub mod wire;
