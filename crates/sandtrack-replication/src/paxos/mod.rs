//! Agreement on views: single-decree Paxos, one instance for each epoch (Lamport, "Paxos Made Simple", 2001).
//!
//! The view after `epoch` is decided among the voters of `epoch`. An acceptor promises and accepts only on its disk,
//! and a promise reports what was accepted before, so two different views of one epoch can't both be decided.
mod acceptor;
mod proposer;

pub(crate) use proposer::Proposer;
