//! A folder in memory that stands in for a disk: it fills up at any byte, refuses any call, stops at any call, and
//! loses power as DEPLOY.md and LATER.md describe it. A file keeps what its last sync covered; each later write is
//! present, missing or torn. Each name that was made, renamed or removed without a sync of the folder is kept or lost
//! by itself.
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Error, ErrorKind, Result};
use std::path::PathBuf;
use std::rc::Rc;

use sandtrack_wal::Store;

/// A change of a file that no sync has covered.
#[derive(Clone, Debug, PartialEq)]
enum Pending {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

#[derive(Clone, Debug, Default, PartialEq)]
struct File {
    seen: Vec<u8>,
    synced: Vec<u8>,
    pending: Vec<Pending>,
}

impl File {
    fn do_it(bytes: &mut Vec<u8>, pending: &Pending) {
        match pending {
            Pending::Length(length) => bytes.resize(*length, 0),
            Pending::Write {
                offset,
                bytes: written,
            } => {
                bytes.resize(bytes.len().max(offset + written.len()), 0);
                bytes[*offset..offset + written.len()].copy_from_slice(written);
            }
        }
    }

    /// What a loss of power may leave of the file.
    fn after_power_loss(&self) -> Vec<Vec<u8>> {
        let mut all = vec![self.synced.clone()];
        for pending in &self.pending {
            let mut next = Vec::new();
            for bytes in all {
                for part in parts(pending) {
                    let mut bytes = bytes.clone();
                    Self::do_it(&mut bytes, &part);
                    next.push(bytes);
                }
                next.push(bytes);
            }
            next.sort();
            next.dedup();
            all = next;
        }
        all
    }
}

/// The change whole, and torn: its begin alone, its end alone, and its end without its last byte.
fn parts(pending: &Pending) -> Vec<Pending> {
    let Pending::Write { offset, bytes } = pending else {
        return vec![pending.clone()];
    };
    let part = |from: usize, to: usize| Pending::Write {
        offset: offset + from,
        bytes: bytes[from..to].to_vec(),
    };
    let half = bytes.len() / 2;
    let mut parts = vec![pending.clone()];
    parts
        .extend([1, 8, half, bytes.len().saturating_sub(1)].map(|to| part(0, to.min(bytes.len()))));
    parts.extend([
        part(half, bytes.len()),
        part(half, bytes.len().saturating_sub(1).max(half)),
    ]);
    parts
}

/// What happens at a call that changes something.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It is refused, and nothing of it is done.
    Refused,
    /// It is refused after half of it was done; of a write only.
    Half,
    /// It is done, but that is not told.
    DoneAndNotTold,
}

#[derive(Clone, Default)]
pub struct Folder {
    files: Vec<File>,
    /// Which file each name stands for.
    seen: BTreeMap<String, usize>,
    synced: BTreeMap<String, usize>,
    /// Bytes that may yet be written.
    pub room: Option<usize>,
    /// Changes so far, and which of them fail; from the last one on all do where the process is to end there.
    pub calls: usize,
    pub fault: Option<(usize, Fault)>,
    pub ends_there: bool,
    /// Whether a full disk refuses to cut files too.
    pub no_cut: bool,
    /// Whether syncs fail.
    pub no_sync: bool,
}

impl Folder {
    /// True when the call is to be done; the error that is told.
    fn call(&mut self) -> (bool, Result<()>) {
        let call = self.calls;
        self.calls += 1;
        let refused = || Err(Error::other("refused"));
        match self.fault {
            Some((at, fault)) if call == at => (fault == Fault::DoneAndNotTold, refused()),
            Some((at, _)) if call > at && self.ends_there => (false, refused()),
            _ => (true, Ok(())),
        }
    }

    fn file(&mut self, name: &str) -> &mut File {
        let count = self.files.len();
        let number = *self.seen.entry(name.to_string()).or_insert(count);
        if number == count {
            self.files.push(File::default());
        }
        &mut self.files[number]
    }

    /// As the process that starts next finds it, when only the process ended.
    pub fn after_kill(&self) -> Self {
        Self {
            files: self.files.clone(),
            seen: self.seen.clone(),
            synced: self.synced.clone(),
            ..Self::default()
        }
    }

    /// All that a loss of power may leave.
    pub fn after_power_loss(&self) -> Vec<Self> {
        let names: BTreeSet<&String> = self.seen.keys().chain(self.synced.keys()).collect();
        let mut folders = vec![BTreeMap::new()];
        for name in names {
            let choices: BTreeSet<Option<&usize>> =
                [self.seen.get(name), self.synced.get(name)].into();
            folders = folders
                .iter()
                .flat_map(|folder: &BTreeMap<String, usize>| {
                    choices.iter().map(|choice| {
                        let mut folder = folder.clone();
                        folder.extend(choice.map(|file| (name.clone(), *file)));
                        folder
                    })
                })
                .collect();
        }
        folders
            .into_iter()
            .flat_map(|names| self.with_contents(&names))
            .collect()
    }

    fn with_contents(&self, names: &BTreeMap<String, usize>) -> Vec<Self> {
        let mut all = vec![self.files.clone()];
        let used: BTreeSet<usize> = names.values().copied().collect();
        for number in used {
            let contents = self.files[number].after_power_loss();
            all = all
                .iter()
                .flat_map(|files| {
                    contents.iter().map(|bytes| {
                        let mut files = files.clone();
                        files[number] = File {
                            seen: bytes.clone(),
                            synced: bytes.clone(),
                            pending: Vec::new(),
                        };
                        files
                    })
                })
                .collect();
        }
        all.into_iter()
            .map(|files| Self {
                files,
                seen: names.clone(),
                synced: names.clone(),
                ..Self::default()
            })
            .collect()
    }
}

impl Store for Folder {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        Ok(self
            .seen
            .get(name)
            .map(|number| self.files[*number].seen.clone()))
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()> {
        let half = self.fault == Some((self.calls, Fault::Half));
        let (done, told) = self.call();
        let mut taken = self.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        if half {
            taken = taken.min(bytes.len() / 2);
        } else if !done {
            return told;
        }
        if let Some(room) = &mut self.room {
            *room -= taken;
        }
        let pending = Pending::Write {
            offset: offset as usize,
            bytes: bytes[..taken].to_vec(),
        };
        let file = self.file(name);
        File::do_it(&mut file.seen, &pending);
        file.pending.push(pending);
        if taken < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        told
    }

    fn length(&mut self, name: &str) -> Result<u64> {
        let number = *self.seen.get(name).ok_or(ErrorKind::NotFound)?;
        Ok(self.files[number].seen.len() as u64)
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<()> {
        let (done, told) = self.call();
        if self.no_cut {
            return Err(ErrorKind::StorageFull.into());
        }
        if done {
            let pending = Pending::Length(length as usize);
            let file = self.file(name);
            File::do_it(&mut file.seen, &pending);
            file.pending.push(pending);
        }
        told
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let (done, told) = self.call();
        if self.no_sync {
            return Err(ErrorKind::StorageFull.into());
        }
        if done {
            let file = self.file(name);
            file.synced = file.seen.clone();
            file.pending.clear();
        }
        told
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let (done, told) = self.call();
        if done {
            let number = self.seen.remove(from).ok_or(ErrorKind::NotFound)?;
            self.seen.insert(to.to_string(), number);
        }
        told
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let (done, told) = self.call();
        if done {
            self.seen.remove(name);
        }
        told
    }

    fn sync_folder(&mut self) -> Result<()> {
        let (done, told) = self.call();
        if self.no_sync {
            return Err(ErrorKind::StorageFull.into());
        }
        if done {
            self.synced = self.seen.clone();
        }
        told
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(name)
    }
}

/// The same folder, also after what worked on it is gone.
#[derive(Clone, Default)]
pub struct Shared(pub Rc<RefCell<Folder>>);

impl Store for Shared {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        self.0.borrow_mut().read(name)
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()> {
        self.0.borrow_mut().write(name, offset, bytes)
    }

    fn length(&mut self, name: &str) -> Result<u64> {
        self.0.borrow_mut().length(name)
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<()> {
        self.0.borrow_mut().set_length(name, length)
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.0.borrow_mut().sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.0.borrow_mut().rename(from, to)
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.0.borrow_mut().remove(name)
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.0.borrow_mut().sync_folder()
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(name)
    }
}
