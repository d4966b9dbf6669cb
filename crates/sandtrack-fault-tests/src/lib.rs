//! The rig: many real processes of the program on loopback, a relay between every two of them, stand-in upstreams, lists and
//! clients, and faults on a script. docs/rig.md has the scenario's form and what may be concluded from a run.
pub mod book;
pub mod client;
pub mod discovery;
pub mod http;
pub mod plan;
pub mod process;
pub mod relay;
pub mod report;
pub mod run;
pub mod scenario;
pub mod soak;
pub mod starvation;
pub mod system;
pub mod tasks;
pub mod upstream;
pub mod watch;
