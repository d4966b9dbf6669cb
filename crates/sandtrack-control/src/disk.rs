//! The disk: the WAL on a thread of its own, as it may take its time. It owns the file; what is in it is the replica's.
use sandtrack_wal::{Wal, WalError};
use std::path::Path;
use std::time::Duration;

/// Name of the WAL in the data directory.
const NAME: &str = "control.ledger";
/// A disk that refuses to begin the WAL is tried again after this.
const AGAIN: Duration = Duration::from_millis(300);
/// The thread's stack, in bytes: it does little.
const STACK: usize = 256 * 1024;

/// What is to be made durable.
#[derive(Debug)]
pub enum Order {
    Append { ticket: u64, records: Vec<Vec<u8>> },
    Rewrite { ticket: u64, records: Vec<Vec<u8>> },
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Done {
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
        match Wal::open(Path::new(folder), NAME) {
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
                std::thread::sleep(AGAIN);
            }
        }
    }
}

/// Tells that the thread has ended by a fault of the program: without it the process would wait for its disk for ever.
struct EndsByFault<F: Fn(Done)>(F);

impl<F: Fn(Done)> Drop for EndsByFault<F> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            (self.0)(Done::Unknown);
        }
    }
}

/// Starts the thread; it ends with the way to it. A fault of the program in it is told as [`Done::Unknown`].
///
/// # Errors
/// Where there is no thread to be had.
pub fn start(
    mut wal: Wal,
    orders: async_channel::Receiver<Order>,
    done: impl Fn(Done) + Send + 'static,
) -> std::io::Result<()> {
    let work = move || {
        let done = EndsByFault(done);
        while let Ok(order) = orders.recv_blocking() {
            let (ticket, result) = match order {
                Order::Append { ticket, records } => (ticket, wal.append(&records)),
                Order::Rewrite { ticket, records } => (ticket, wal.rewrite(&records)),
            };
            (done.0)(match result {
                Ok(()) => Done::Written(ticket),
                Err(error @ WalError::Unknown(_)) => {
                    log::error!("{error}");
                    Done::Unknown
                }
                Err(error) => {
                    log::warn!("{error}");
                    Done::Failed(ticket)
                }
            });
        }
    };
    std::thread::Builder::new()
        .name("disk".to_owned())
        .stack_size(STACK)
        .spawn(work)
        .map(drop)
}
