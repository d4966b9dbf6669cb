//! Plumbing beneath the sidecar, the control plane, the data plane and the operators' client: an incremental HTTP/1.1
//! parser (`http`), the buffer between a socket and a parser or writer (`ring`), and moves between sockets and buffers
//! (`socket`), and the bound on what messages take together (`byte_budget`), whether a file has changed (`file_change`), and the output of logs (`log_output`). It decides nothing and keeps no state of its own.
#![forbid(unsafe_code)]
pub mod byte_budget;
pub mod file_change;
pub mod http;
pub mod log_output;
pub mod ring;
pub mod socket;
pub mod text_server;
