//! The laboratory: an emulator of a whole fleet that drives the very decisions and the very reducer of the sidecar.
//! docs/lab.md says what it models, what it leaves out, and why a figure of it may be trusted.
pub mod baseline;
pub mod closed;
pub mod discovery;
pub mod members;
pub mod node;
pub mod observer;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod server;
pub mod stats;
pub mod world;
