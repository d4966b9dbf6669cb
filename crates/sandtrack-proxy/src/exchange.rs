//! One exchange: a client's request, the attempts to have it answered, and the one response that its client gets.
//!
//! [`state`] decides; [`forward`] carries the decisions out, with an [`attempt`] for each send to an upstream;
//! [`client_response`] writes to the client, [`event_stream`] splits a stream into events, and [`request_log`] records how
//! the request ended.
pub mod attempt;
pub mod client_response;
pub mod event_stream;
pub mod forward;
pub mod request_log;
pub mod state;
