//! End-to-end tests of exchanges: the built proxy with scripted clients, upstreams and control nodes on loopback addresses.
//! Tests wait for sockets instead of sleeping. The recorded messages are compared with approved transcripts
//! (tests/transcripts); with `APPROVE_TRANSCRIPTS=1` they are rewritten, to be reviewed before they are committed.
mod api_keys;
mod at_most_once;
mod control_node;
mod control_sessions;
mod deadlines;
mod forwarding;
mod harness;
mod health_responses;
mod http_connection;
mod lifecycle;
mod limits;
mod memory_budget;
mod metrics;
mod proxy_process;
mod repeated_requests;
mod response_integrity;
mod streams;
mod transcript;
mod truncated_streams;
mod upstream;
mod upstream_selection;
