//! The data plane of the system: takes clients' requests and carries each to an upstream of its route's service.
//!
//! What is decided is pure and apart from sockets: [`placement::balancer`] (what is known, and where a request goes), [`placement::budget`]
//! (bounds that hold over all proxies), [`exchange_state`] (one request: where it is sent, and what its client gets),
//! [`events`] (pieces of a stream), [`session_policy`] (which control node). The rest owns sockets, one task each: [`front`] (clients), [`carry`] (one request) with
//! [`attempt`] (one send of it) and [`answers`], [`exchange`] and [`pool`] (upstream connections), [`probing`], [`session`]
//! (the control plane), [`outcomes`], [`lateness`] and [`request_log`] (how requests ended), [`figures`], [`program`].
pub mod answers;
pub mod attempt;
pub mod carry;
pub mod events;
pub mod exchange;
pub mod exchange_state;
pub mod figures;
pub mod front;
pub mod hashing;
pub mod lateness;
pub mod outcomes;
pub mod placement;
pub mod policy;
pub mod pool;
pub mod probing;
pub mod program;
pub mod reading;
pub mod request;
pub mod request_log;
pub mod session;
pub mod session_policy;
pub mod shared;
