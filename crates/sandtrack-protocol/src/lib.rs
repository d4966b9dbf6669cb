//! What the processes of the system share: the settings of a process, the operator's configuration, the frames between
//! the system's own processes, numbered result codes, and logs.
#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]
pub mod codes;
pub mod configuration;
pub mod document;
pub mod frames;
mod json_fields;
pub mod logs;
pub mod metrics;
pub mod priorities;
pub mod schema;
pub mod settings;
pub mod tenants;
