//! The disk: the ledger on a thread of its own, as it may take its time. It owns the file; what is in it is the relay's.
use sandtrack_ledger::{Ledger, LedgerError};
use std::path::Path;
use std::time::Duration;

/// Name of the ledger in the data directory.
const NAME: &str = "control.ledger";
/// A disk that refuses to begin the ledger is tried again after this.
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

/// Opens the ledger and gives what it holds, as soon as the disk lets it.
pub fn open(folder: &str) -> (Ledger, Vec<Vec<u8>>) {
    loop {
        match Ledger::open(Path::new(folder), NAME) {
            Ok((ledger, records, report)) => {
                if report.dropped_bytes > 0 || report.set_aside.is_some() {
                    log::warn!(
                        "the ledger: {} bytes after the last whole record dropped, set aside: {:?}",
                        report.dropped_bytes,
                        report.set_aside
                    );
                }
                return (ledger, records);
            }
            Err(error) => {
                log::error!("{error}; trying again");
                std::thread::sleep(AGAIN);
            }
        }
    }
}

/// Starts the thread; it ends with the way to it.
///
/// # Errors
/// Where there is no thread to be had.
pub fn start(
    mut ledger: Ledger, orders: async_channel::Receiver<Order>, done: impl Fn(Done) + Send + 'static,
) -> std::io::Result<()> {
    let work = move || {
        while let Ok(order) = orders.recv_blocking() {
            let (ticket, result) = match order {
                Order::Append { ticket, records } => (ticket, ledger.append(&records)),
                Order::Rewrite { ticket, records } => (ticket, ledger.rewrite(&records)),
            };
            done(match result {
                Ok(()) => Done::Written(ticket),
                Err(error @ LedgerError::Unknown(_)) => {
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
    std::thread::Builder::new().name("disk".to_owned()).stack_size(STACK).spawn(work).map(drop)
}
