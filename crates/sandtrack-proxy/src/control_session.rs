//! The session with the control plane, through which this proxy is a member and gets its configuration and endpoint list:
//! the [`connection`], and the pure [`decisions`] on which control node it is opened with.
pub mod connection;
pub mod decisions;
mod frame_reader;
