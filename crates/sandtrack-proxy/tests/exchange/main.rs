//! Whole exchanges: the built proxy between a scripted client, scripted upstreams and a scripted control node, on loopback
//! addresses. Tests wait on sockets and never on the clock. What was said is held against approved transcripts
//! (tests/transcripts): with `APPROVE_TRANSCRIPTS=1` they are written anew, to be read before they are committed.
mod control_node;
mod deadlines;
mod harness;
mod limits;
mod memory;
mod mixed;
mod once;
mod placing;
mod plain;
mod process;
mod sessions;
mod stops;
mod streams;
mod transcript;
mod upstream;
mod wire;
