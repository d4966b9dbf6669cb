//! A write-ahead log: an append-only file of checksummed records, rewritten when it gets long. Blocking; `std::fs` only.
//!
//! The file is a header (name of the format, its number, a checksum) followed by one frame for each append: length,
//! checksum, records. A frame is read completely or not at all, so after a crash no append is found in part.
#![warn(
    missing_docs,
    clippy::missing_errors_doc,
    clippy::needless_pass_by_value,
    clippy::struct_excessive_bools,
    clippy::too_many_lines,
    clippy::wildcard_imports
)]
#![forbid(unsafe_code)]
mod format;
mod store;
mod wal;

pub use store::{Disk, Store};
pub use wal::{Report, Wal, WalError};
