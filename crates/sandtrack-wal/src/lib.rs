//! An append-only file of checksummed records, rewritten when it gets long. Blocking; std::fs only.
//!
//! The file is a head (name of the format, its number, a checksum) and then one frame for each append:
//! length, checksum, records. A frame is there as a whole or not at all, so what one append holds is never
//! found in part after a loss of power.
#![forbid(unsafe_code)]
mod format;
mod store;
mod wal;

pub use store::{Disk, Store};
pub use wal::{Report, Wal, WalError};
