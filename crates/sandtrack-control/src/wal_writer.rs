//! Writes the WAL on a thread of its own, as a write blocks until the disk has it. The records are the replica's.
use sandtrack_wal::{Wal, WalError};
use std::path::Path;
use std::time::Duration;

/// Name of the WAL in the data directory.
const WAL_FILE_NAME: &str = "control.ledger";
/// Pause before the WAL is opened again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The thread's stack, in bytes: it does little.
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// What is to be made durable.
#[derive(Debug)]
pub enum WalRequest {
    /// Append records.
    Append {
        /// Names the request in its result.
        ticket: u64,
        /// The records.
        records: Vec<Vec<u8>>,
    },
    /// Replace the content of the WAL.
    Rewrite {
        /// Names the request in its result.
        ticket: u64,
        /// The new content.
        records: Vec<Vec<u8>>,
    },
}

/// The result of a [`WalRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WalResult {
    /// The request of this ticket is durable.
    Written(u64),
    /// Nothing of the request of this ticket is in the WAL.
    Failed(u64),
    /// The state of the file is unknown: the process has to restart.
    Unknown,
}

/// Opens the WAL and reads its records; blocks and retries while the disk fails.
///
/// # Errors
/// Where the WAL is of a later format: this program can't serve on it, and leaves it as it is.
pub fn open(folder: &str) -> Result<(Wal, Vec<Vec<u8>>), WalError> {
    loop {
        match Wal::open(Path::new(folder), WAL_FILE_NAME) {
            Ok((wal, records, report)) => {
                if report.dropped_bytes > 0 || report.set_aside.is_some() {
                    log::warn!(
                        "the WAL: {} bytes after the last whole record dropped, set aside: {:?}",
                        report.dropped_bytes,
                        report.set_aside
                    );
                }
                return Ok((wal, records));
            }
            Err(error @ WalError::Newer(_)) => return Err(error),
            Err(error) => {
                log::error!("{error}; trying again");
                std::thread::sleep(RETRY_INTERVAL);
            }
        }
    }
}

/// Reports a panic of the thread: without it the process would wait for its disk for ever.
struct ReportPanic<F: Fn(WalResult)>(F);

impl<F: Fn(WalResult)> Drop for ReportPanic<F> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            (self.0)(WalResult::Unknown);
        }
    }
}

/// Starts the thread; it ends with the way to it. A fault of the program in it is told as [`WalResult::Unknown`].
///
/// # Errors
/// Where there is no thread to be had.
pub fn start(
    mut wal: Wal,
    orders: async_channel::Receiver<WalRequest>,
    done: impl Fn(WalResult) + Send + 'static,
) -> std::io::Result<()> {
    let work = move || {
        let done = ReportPanic(done);
        while let Ok(order) = orders.recv_blocking() {
            let (ticket, result) = match order {
                WalRequest::Append { ticket, records } => (ticket, wal.append(&records)),
                WalRequest::Rewrite { ticket, records } => (ticket, wal.rewrite(&records)),
            };
            (done.0)(match result {
                Ok(()) => WalResult::Written(ticket),
                Err(error @ WalError::Unknown(_)) => {
                    log::error!("{error}");
                    WalResult::Unknown
                }
                Err(error) => {
                    log::warn!("{error}");
                    WalResult::Failed(ticket)
                }
            });
        }
    };
    std::thread::Builder::new()
        .name("disk".to_owned())
        .stack_size(THREAD_STACK_BYTES)
        .spawn(work)
        .map(drop)
}
