//! SimPeers processes: one process that stands for many proxies, the platform's list, upstreams and an operator, so that a
//! real control node or proxy is measured at sizes that one machine can't hold in real ones. Loopback only; every run is
//! bounded in time and count. `skim`, `document`, `listing` and `slope` are pure.
pub mod control;
pub mod document;
pub mod http;
pub mod listing;
pub mod process;
pub mod program;
pub mod proxy;
pub mod sessions;
pub mod skim;
pub mod slope;

/// Why a run is not one.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("{0}")]
    Run(String),
}
