//! The file system calls that a WAL needs, as a trait, so that tests can inject faults.
use std::fs::{File, OpenOptions};
use std::io::{self, ErrorKind, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// The files of one folder, by their plain names.
///
/// # Errors
///
/// Each call returns the error of the file system.
#[allow(clippy::missing_errors_doc)] // said once, for the trait
pub trait Store {
    /// The content of a file; `None` if there is none.
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>>;
    /// Writes at an offset, extending or creating the file.
    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()>;
    /// The length of a file in bytes.
    fn length(&mut self, name: &str) -> io::Result<u64>;
    /// Truncates a file.
    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes a file's data and length durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file, replacing any of the new name. Durable after `sync_folder`.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file; no error if there is none. Durable after `sync_folder`.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes renames and removals durable.
    fn sync_folder(&mut self) -> io::Result<()>;
    /// The path of a name, for messages to operators.
    fn path(&self, name: &str) -> PathBuf;
}

/// A folder of the real file system. Keeps the last written file open.
pub struct Disk {
    folder: PathBuf,
    open: Option<(String, File)>,
}

impl Disk {
    /// A store in this folder, which has to exist.
    pub fn new(folder: &Path) -> Self {
        Self {
            folder: folder.to_path_buf(),
            open: None,
        }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let path = self.folder.join(name);
            let file = OpenOptions::new()
                .read(true)
                .write(true)
                .create(true)
                .truncate(false)
                .open(path)?;
            self.open = Some((name.to_string(), file));
        }
        match &mut self.open {
            Some((_, file)) => Ok(file),
            None => Err(ErrorKind::NotFound.into()),
        }
    }
}

impl Store for Disk {
    fn read(&mut self, name: &str) -> io::Result<Option<Vec<u8>>> {
        match std::fs::read(self.folder.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> io::Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(offset))?;
        file.write_all(bytes)
    }

    fn length(&mut self, name: &str) -> io::Result<u64> {
        Ok(std::fs::metadata(self.folder.join(name))?.len())
    }

    fn set_length(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_data()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open = None;
        std::fs::rename(self.folder.join(from), self.folder.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
        match std::fs::remove_file(self.folder.join(name)) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        File::open(&self.folder)?.sync_all()
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(name)
    }
}
