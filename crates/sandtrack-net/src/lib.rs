//! Plumbing beneath the sidecar, the control plane, the data plane and the operators' client: an incremental HTTP/1.1
//! parser (`http`), the buffer between a socket and a parser or writer (`ring`), moves between sockets and buffers
//! (`socket`), the bound on what messages take together (`byte_budget`), the look whether a file has changed (`file_change`), and the
//! output of logs (`log_output`). It decides nothing; what it keeps are counts.
#![forbid(unsafe_code)]
pub mod byte_budget;
pub mod file_change;
pub mod http;
pub mod log_output;
pub mod ring;
pub mod socket;
pub mod text_server;
