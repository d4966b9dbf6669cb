//! Whole exchanges: the built proxy between a scripted client, scripted upstreams and a scripted control node, on loopback
//! addresses. Tests wait on sockets and never on the clock. What was said is held against approved transcripts
//! (tests/transcripts): with `APPROVE_TRANSCRIPTS=1` they are written anew, to be read before they are committed.
mod api_keys;
mod at_most_once;
mod control_node;
mod control_sessions;
mod deadlines;
mod forwarding;
mod harness;
mod lifecycle;
mod limits;
mod memory_budget;
mod metrics;
mod proxy_process;
mod response_integrity;
mod streams;
mod transcript;
mod upstream;
mod upstream_selection;
mod wire;
