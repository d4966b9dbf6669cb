//! The command line for operators: changes and reads the configuration, evacuates zones, and shows what control knows.
//!
//! What is decided is pure: [`cli`] (the command line), [`call`] (the calls of the operators' interface), [`retry`] (what is
//! tried next, and when it ends), [`difference`], [`explain`], [`status`], [`settings`]. [`transport`] owns the socket of one
//! call; [`program`] puts them together over a [`program::World`].
pub mod call;
pub mod cli;
pub mod difference;
pub mod error;
pub mod explain;
pub mod program;
pub mod retry;
pub mod settings;
pub mod status;
pub mod transport;

/// A span, or a moment of a steady clock, in ms.
pub type Millis = f64;
