//! Opening, appending to and rewriting a WAL.
use std::io;
use std::path::{Path, PathBuf};

use crate::format::{self, Content, HEADER_BYTES};
use crate::store::{Disk, Store};

/// What `Wal::open` had to repair.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Bytes of an incomplete frame at the end that were truncated.
    pub dropped_bytes: u64,
    /// Where a file was moved that is not a WAL, or that lost synced frames. Its state counts as lost.
    pub set_aside: Option<PathBuf>,
}

/// An error of the WAL. The codes are in `docs/system/control.md`.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// Nothing of the append or rewrite is in the WAL, nor will be; it can be retried.
    #[error("L1 not written, and nothing of it is kept: {0}")]
    NotWritten(io::Error),
    /// It is unknown what a later open will find: the process has to stop and open the WAL again.
    #[error("L2 the state of the file is unknown: {0}")]
    Unknown(io::Error),
    /// The file can't be read, created or synced.
    #[error("L3 the wal can't be opened: {0}")]
    NotOpened(io::Error),
    /// The file has a newer format, and is left as it is for a program that knows that format.
    #[error("L4 the wal is of format {0}, which this program does not know")]
    Newer(u32),
}

/// An open WAL; only one process may have it open.
pub struct Wal<S: Store = Disk> {
    store: S,
    name: String,
    /// End of the last complete frame.
    length: u64,
    /// There may be an incomplete frame after `length`.
    trailing: bool,
    /// The content of the file is unknown: nothing more is written.
    unknown: bool,
}

impl Wal<Disk> {
    /// Opens or creates the WAL `name` in `folder`, and returns its records in order.
    ///
    /// # Errors
    /// [`WalError::NotOpened`] if the folder can't be read or written, or the file can't be synced;
    /// [`WalError::Newer`] if the file has a newer format.
    pub fn open(folder: &Path, name: &str) -> Result<(Self, Vec<Vec<u8>>, Report), WalError> {
        Self::open_in(Disk::new(folder), name)
    }
}

impl<S: Store> Wal<S> {
    /// As `open`, in any store.
    ///
    /// # Errors
    /// As `open`.
    pub fn open_in(mut store: S, name: &str) -> Result<(Self, Vec<Vec<u8>>, Report), WalError> {
        let bytes = store.read(name).map_err(WalError::NotOpened)?;
        let found = bytes.as_ref().map_or(0, |bytes| bytes.len() as u64);
        let mut report = Report::default();
        let length = HEADER_BYTES as u64;
        let mut wal = Self {
            store,
            name: name.to_string(),
            length,
            trailing: false,
            unknown: false,
        };
        match format::read(&bytes.unwrap_or_default()) {
            Content::Records { records, end } => {
                wal.length = end as u64;
                report.dropped_bytes = found - wal.length;
                wal.trailing = report.dropped_bytes > 0;
                wal.make_durable().map_err(WalError::NotOpened)?;
                return Ok((wal, records, report));
            }
            Content::Newer(format) => return Err(WalError::Newer(format)),
            Content::Uncreated => report.dropped_bytes = found,
            Content::Foreign | Content::Damaged => {
                report.set_aside = Some(wal.set_aside().map_err(WalError::NotOpened)?);
            }
        }
        wal.create().map_err(WalError::NotOpened)?;
        Ok((wal, Vec::new(), report))
    }

    /// Syncs what was found: the previous process may have ended between a write or a rename and its sync, and
    /// the records read here are relied on from now on.
    fn make_durable(&mut self) -> io::Result<()> {
        // On a full disk the cut waits for the next append; what was read stands all the same.
        let _ = self.truncate_trailing();
        self.store.sync(&self.name)?;
        let _ = self.store.remove(&rewrite_name(&self.name)); // left by a rewrite that did not end; harmless if it stays
        self.store.sync_folder()
    }

    /// Creates the file with its header. A file without a complete header is left from an earlier attempt.
    fn create(&mut self) -> io::Result<()> {
        self.store.remove(&self.name)?;
        self.store.write(&self.name, 0, &format::header())?;
        self.store.sync(&self.name)?;
        self.store.sync_folder()
    }

    /// Moves a foreign file to the first free name `NAME.aside.N`.
    fn set_aside(&mut self) -> io::Result<PathBuf> {
        let mut number = 1;
        let mut aside = format!("{}.aside.{number}", self.name);
        while self.store.read(&aside)?.is_some() {
            number += 1;
            aside = format!("{}.aside.{number}", self.name);
        }
        self.store.rename(&self.name, &aside)?;
        self.store.sync_folder()?;
        Ok(self.store.path(&aside))
    }

    /// Truncates the incomplete frame at the end, if any.
    fn truncate_trailing(&mut self) -> io::Result<()> {
        if self.trailing {
            self.store.set_length(&self.name, self.length)?;
            self.store.sync(&self.name)?;
            self.trailing = false;
        }
        Ok(())
    }

    /// Appends all records as one frame and syncs it: afterwards they are durable.
    ///
    /// # Errors
    /// [`WalError::NotWritten`] and [`WalError::Unknown`].
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.ensure_known()?;
        let result = self.try_append(records);
        self.remember_unknown(result)
    }

    fn ensure_known(&self) -> Result<(), WalError> {
        match self.unknown {
            true => Err(WalError::Unknown(io::Error::other(
                "an earlier write left it unknown",
            ))),
            false => Ok(()),
        }
    }

    fn remember_unknown(&mut self, result: Result<(), WalError>) -> Result<(), WalError> {
        self.unknown = matches!(result, Err(WalError::Unknown(_)));
        result
    }

    fn try_append(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.truncate_trailing().map_err(WalError::NotWritten)?;
        let frame = format::frame(records);
        self.trailing = true;
        if let Err(error) = self.store.write(&self.name, self.length, &frame) {
            return Err(self.undo(error, frame.len() as u64));
        }
        if let Err(error) = self.store.sync(&self.name) {
            return Err(self.undo(error, frame.len() as u64));
        }
        self.trailing = false;
        self.length += frame.len() as u64;
        Ok(())
    }

    /// After a failed write: an incomplete frame is never read as one, but a complete one has to be truncated.
    fn undo(&mut self, error: io::Error, frame: u64) -> WalError {
        let whole = !self
            .store
            .length(&self.name)
            .is_ok_and(|length| length < self.length + frame);
        match self.truncate_trailing() {
            Err(_) if whole => WalError::Unknown(error),
            _ => WalError::NotWritten(error),
        }
    }

    /// Replaces the content by `records` through a new file and a rename: a crash leaves either the old or the new content.
    ///
    /// # Errors
    /// [`WalError::NotWritten`] if the old content is kept; [`WalError::Unknown`] if the rename may not be durable.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.ensure_known()?;
        let result = self.try_rewrite(records);
        self.remember_unknown(result)
    }

    fn try_rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        let new = rewrite_name(&self.name);
        let bytes = format::file(records);
        let written = self
            .store
            .remove(&new)
            .and_then(|()| self.store.write(&new, 0, &bytes))
            .and_then(|()| self.store.sync(&new));
        if let Err(error) = written {
            let _ = self.store.remove(&new); // if it stays, the next open or rewrite removes it
            return Err(WalError::NotWritten(error));
        }
        if let Err(error) = self.store.rename(&new, &self.name) {
            return Err(self.undo_rename(&new, error));
        }
        self.length = bytes.len() as u64;
        self.trailing = false;
        self.store.sync_folder().map_err(WalError::Unknown)
    }

    /// After a failed rename: it was not done if the new file is still there under its own name.
    fn undo_rename(&mut self, new: &str, error: io::Error) -> WalError {
        match self.store.read(new) {
            Ok(Some(_)) => {
                let _ = self.store.remove(new); // as above
                WalError::NotWritten(error)
            }
            _ => WalError::Unknown(error),
        }
    }

    /// The length of the file in bytes, without an incomplete frame at its end.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Gives back the store, for tests.
    pub fn into_store(self) -> S {
        self.store
    }
}

fn rewrite_name(name: &str) -> String {
    format!("{name}.new")
}
