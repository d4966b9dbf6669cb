//! The operators' command-line client: changes and reads the configuration, evacuates zones, and shows the state of the
//! control plane.
//!
//! [`cli`] parses the command line and [`program`] runs it: [`commands`] has one module per group of commands. Calls to the
//! control plane go through [`control_client`], which asks [`retry`] what to do next and sends each attempt with
//! [`transport`]. Clock, sockets and output are behind [`environment::Environment`]; everything else is free of I/O, except
//! for [`input_file`], which reads the files that the operator names.
#![warn(missing_docs)]

pub mod call;
pub mod cli;
pub mod commands;
pub mod control_client;
pub mod difference;
pub mod environment;
pub mod error;
pub mod explain;
pub mod input_file;
mod json;
pub mod program;
pub mod retry;
pub mod settings;
pub mod status;
pub mod transport;

/// A duration, or a point in time of a monotonic clock, in milliseconds.
pub type Millis = f64;
