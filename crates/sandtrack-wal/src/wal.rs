//! Opening, appending, rewriting.
use std::io;
use std::path::{Path, PathBuf};

use crate::format::{self, Content, HEAD};
use crate::store::{Disk, Store};

/// What was found at `Wal::open`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Bytes after the last whole frame that were cut off.
    pub dropped_bytes: u64,
    /// Where a file went that is not a WAL, or that lost what was synced: its state is lost, and it is never an
    /// authority.
    pub set_aside: Option<PathBuf>,
}

/// Why the disk did not do what was asked. The codes are in `docs/system/control.md`.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// Nothing of the append or rewrite is in the WAL nor will be; it can be tried again.
    #[error("L1 not written, and nothing of it is kept: {0}")]
    NotWritten(io::Error),
    /// It is not known what a later open will find; the process must stop and open the WAL anew.
    #[error("L2 the state of the file is unknown: {0}")]
    Unknown(io::Error),
    #[error("L3 the wal can't be opened: {0}")]
    NotOpened(io::Error),
    /// Left as it is: a program of that format can go on with it.
    #[error("L4 the wal is of format {0}, which this program does not know")]
    Newer(u32),
}

/// An open WAL; only one process may have it open.
pub struct Wal<S: Store = Disk> {
    store: S,
    name: String,
    /// Where the whole frames end.
    length: u64,
    /// Something that is no whole frame may stand after `length`.
    trailing: bool,
    /// It is not known what the file holds: nothing more is written.
    unknown: bool,
}

impl Wal<Disk> {
    /// Opens or begins the WAL `name` in `folder`; gives the whole records in order.
    ///
    /// # Errors
    /// `NotOpened` when the folder can't be read, nothing can be begun in it, or what was found can't be synced;
    /// `Newer` as told there.
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
        let length = HEAD as u64;
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
                wal.settle().map_err(WalError::NotOpened)?;
                return Ok((wal, records, report));
            }
            Content::Newer(format) => return Err(WalError::Newer(format)),
            Content::Unbegun => report.dropped_bytes = found,
            Content::Foreign | Content::Damaged => {
                report.set_aside = Some(wal.set_aside().map_err(WalError::NotOpened)?);
            }
        }
        wal.begin().map_err(WalError::NotOpened)?;
        Ok((wal, Vec::new(), report))
    }

    /// Makes last what was found: the process before may have ended between a write or a rename and its sync, and
    /// what is read here is relied on from now on.
    fn settle(&mut self) -> io::Result<()> {
        // On a full disk the cut waits for the next append; what was read stands all the same.
        let _ = self.cut();
        self.store.sync(&self.name)?;
        let _ = self.store.remove(&rewritten(&self.name)); // left by a rewrite that did not end; harmless if it stays
        self.store.sync_folder()
    }

    /// A name without a head in it may be what is left of an earlier try.
    fn begin(&mut self) -> io::Result<()> {
        self.store.remove(&self.name)?;
        self.store.write(&self.name, 0, &format::head())?;
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

    /// Drops what stands after the whole frames.
    fn cut(&mut self) -> io::Result<()> {
        if self.trailing {
            self.store.set_length(&self.name, self.length)?;
            self.store.sync(&self.name)?;
            self.trailing = false;
        }
        Ok(())
    }

    /// Appends all and syncs: afterwards all of it lasts.
    ///
    /// # Errors
    /// `NotWritten` and `Unknown`, as told there.
    pub fn append(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.refuse_if_unknown()?;
        let result = self.try_append(records);
        self.note_unknown(result)
    }

    fn refuse_if_unknown(&self) -> Result<(), WalError> {
        match self.unknown {
            true => Err(WalError::Unknown(io::Error::other(
                "an earlier write left it unknown",
            ))),
            false => Ok(()),
        }
    }

    fn note_unknown(&mut self, result: Result<(), WalError>) -> Result<(), WalError> {
        self.unknown = matches!(result, Err(WalError::Unknown(_)));
        result
    }

    fn try_append(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.cut().map_err(WalError::NotWritten)?;
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

    /// After a write that failed: a part of a frame is never read as one, but a whole one has to go.
    fn undo(&mut self, error: io::Error, frame: u64) -> WalError {
        let whole = !self
            .store
            .length(&self.name)
            .is_ok_and(|length| length < self.length + frame);
        match self.cut() {
            Err(_) if whole => WalError::Unknown(error),
            _ => WalError::NotWritten(error),
        }
    }

    /// Replaces the content by `records` through a new file; at every moment the one or the other stands.
    ///
    /// # Errors
    /// `NotWritten` when the former content stands; `Unknown` when the new name may not last.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        self.refuse_if_unknown()?;
        let result = self.try_rewrite(records);
        self.note_unknown(result)
    }

    fn try_rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), WalError> {
        let new = rewritten(&self.name);
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

    /// After a rename that failed: it was not done where the new file is still there under its own name.
    fn undo_rename(&mut self, new: &str, error: io::Error) -> WalError {
        match self.store.read(new) {
            Ok(Some(_)) => {
                let _ = self.store.remove(new); // as above
                WalError::NotWritten(error)
            }
            _ => WalError::Unknown(error),
        }
    }

    /// Bytes of the file.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// The store, for tests.
    pub fn into_store(self) -> S {
        self.store
    }
}

fn rewritten(name: &str) -> String {
    format!("{name}.new")
}
