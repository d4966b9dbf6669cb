//! Whether a file has changed since it was last looked at: by the time of its last change, which is compared for being another
//! one and for nothing else, and by its length.
use std::path::PathBuf;
use std::time::SystemTime;

/// A file that is looked at again and again.
#[derive(Debug)]
pub struct FileChange {
    path: PathBuf,
    seen: Option<Stamp>,
}

/// What tells one content from another.
type Stamp = (SystemTime, u64);

impl FileChange {
    /// Of the file as it is now.
    #[must_use]
    pub fn of(path: PathBuf) -> FileChange {
        let mut file = FileChange { path, seen: None };
        file.seen = file.stamp();
        file
    }

    /// Whether it has changed since the last look. One that is not there has not.
    pub fn is_new(&mut self) -> bool {
        let now = self.stamp();
        now.is_some() && now != std::mem::replace(&mut self.seen, now)
    }

    fn stamp(&self) -> Option<Stamp> {
        let file = std::fs::metadata(&self.path).ok()?;
        Some((file.modified().ok()?, file.len()))
    }
}
