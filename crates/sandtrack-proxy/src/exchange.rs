//! One exchange: a client's request, the attempts to get it answered by an upstream, and the single final response.
//!
//! [`state`] is the state machine that makes the decisions. [`forward`] performs its actions, with an [`attempt`] for each
//! upstream that the request is sent to. [`client_response`] writes to the client, [`event_stream`] splits a stream into
//! events, and [`request_log`] records the request's outcome.
pub mod attempt;
pub mod client_response;
pub mod event_stream;
pub mod forward;
pub mod request_log;
pub mod state;
