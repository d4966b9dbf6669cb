//! A write-ahead log: an append-only file of checksummed records, rewritten when it gets long. Blocking; `std::fs` only.
//!
//! The file is a header (name of the format, its number, a checksum) followed by one frame for each append: length,
//! checksum, records. A frame is read completely or not at all, so after a crash no append is found in part.
#![warn(missing_docs)]
#![forbid(unsafe_code)]
mod format;
mod store;
mod wal;

pub use store::{Disk, Store};
pub use wal::{Report, Wal, WalError};
