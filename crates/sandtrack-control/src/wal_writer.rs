//! The disk: the WAL on a thread of its own, as it may take its time. It owns the file; what is in it is the replica's.
use sandtrack_wal::{Wal, WalError};
use std::path::Path;
use std::time::Duration;

/// Name of the WAL in the data directory.
const WAL_FILE_NAME: &str = "control.ledger";
/// A disk that refuses to begin the WAL is tried again after this.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The thread's stack, in bytes: it does little.
const THREAD_STACK_BYTES: usize = 256 * 1024;

/// What is to be made durable.
#[derive(Debug)]
pub enum WalRequest {
    Append { ticket: u64, records: Vec<Vec<u8>> },
    Rewrite { ticket: u64, records: Vec<Vec<u8>> },
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WalResult {
    Written(u64),
    Failed(u64),
    /// It is not known what the file holds: the process has to start anew.
    Unknown,
}

/// Opens the WAL and gives what it holds, as soon as the disk lets it.
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

/// Tells that the thread has ended by a fault of the program: without it the process would wait for its disk for ever.
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
