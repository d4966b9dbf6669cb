//! A simulated disk under the real [`Wal`](sandtrack_wal::Wal): a folder whose unsynced content and names are kept, lost or
//! torn by a loss of power, each by itself (DEPLOY.md, "Disk"; LATER.md, "On the machines").
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use sandtrack_wal::Store;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::path::PathBuf;
use std::rc::Rc;

/// What was written to a file since its last sync.
#[derive(Clone, Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

impl Change {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            Change::Write { offset, bytes } => {
                content.resize(content.len().max(offset + bytes.len()), 0);
                content[*offset..offset + bytes.len()].copy_from_slice(bytes);
            }
            Change::Length(length) => content.resize(*length, 0),
        }
    }
}

/// Content of one file, whatever its name.
#[derive(Clone, Debug, Default)]
struct File {
    synced: Vec<u8>,
    changes: Vec<Change>,
}

impl File {
    fn content(&self) -> Vec<u8> {
        let mut content = self.synced.clone();
        self.changes
            .iter()
            .for_each(|change| change.apply(&mut content));
        content
    }
}

/// A change of names that a sync of the folder has not covered yet; `file` is a number in `Folder::files`.
#[derive(Clone, Debug)]
enum NameChange {
    Made { name: String, file: u64 },
    Renamed { from: String, to: String, file: u64 },
    Removed { name: String },
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, u64>) {
        match self {
            NameChange::Made { name, file } => {
                names.insert(name.clone(), *file);
            }
            NameChange::Renamed { from, to, file } => {
                names.remove(from);
                names.insert(to.clone(), *file);
            }
            NameChange::Removed { name } => {
                names.remove(name);
            }
        }
    }
}

/// How a disk behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Mode {
    #[default]
    Well,
    /// Everything takes so many times as long.
    Slow(f64),
    /// Nothing ends before the disk is well again.
    Stalled,
    /// Every write is refused.
    Full,
}

#[derive(Debug, Default)]
struct Folder {
    files: BTreeMap<u64, File>,
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    name_changes: Vec<NameChange>,
    next_file: u64,
    full: bool,
    /// Calls that are still carried out; none: all.
    calls_left: Option<u32>,
}

/// The disk of a machine; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct Disk(Rc<RefCell<Folder>>);

impl Disk {
    /// Whether writes are refused from now on.
    pub fn set_full(&self, full: bool) {
        self.0.borrow_mut().full = full;
    }

    /// After so many calls every one fails: the process dies amid its work. `None`: no more.
    pub fn stop_after(&self, calls: Option<u32>) {
        self.0.borrow_mut().calls_left = calls;
    }

    /// Everything is gone.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = Folder::default();
    }

    /// What was not synced is kept, lost or torn, each by itself; at some losses of power, all of it is gone.
    pub fn lose_power(&self, random: &mut Pcg64Mcg) {
        let mut folder = self.0.borrow_mut();
        let folder = &mut *folder;
        let all_gone = random.gen_bool(0.3);
        for file in folder.files.values_mut() {
            for change in std::mem::take(&mut file.changes) {
                if all_gone {
                    continue;
                }
                let kept = match (change, random.gen_range(0..3)) {
                    (_, 0) => continue,
                    (Change::Write { offset, bytes }, 1) => {
                        let torn = random.gen_range(0..=bytes.len());
                        Change::Write {
                            offset,
                            bytes: bytes[..torn].to_vec(),
                        }
                    }
                    (change, _) => change,
                };
                kept.apply(&mut file.synced);
            }
        }
        let mut names = folder.synced_names.clone();
        for change in std::mem::take(&mut folder.name_changes) {
            if !all_gone && random.gen() {
                change.apply(&mut names);
            }
        }
        (folder.names, folder.synced_names) = (names.clone(), names);
        folder.calls_left = None;
    }
}

impl Folder {
    fn call(&mut self) -> Result<()> {
        match &mut self.calls_left {
            Some(0) => Err(Error::other("the process has ended")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn file(&mut self, name: &str) -> Result<&mut File> {
        let file = self.names.get(name).ok_or(ErrorKind::NotFound)?;
        self.files
            .get_mut(file)
            .ok_or_else(|| ErrorKind::NotFound.into())
    }

    fn change_names(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.name_changes.push(change);
    }
}

impl Store for Disk {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        Ok(self
            .0
            .borrow_mut()
            .file(name)
            .ok()
            .map(|file| file.content()))
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()> {
        let mut folder = self.0.borrow_mut();
        folder.call()?;
        if folder.full {
            return Err(ErrorKind::StorageFull.into());
        }
        if !folder.names.contains_key(name) {
            folder.next_file += 1;
            let file = folder.next_file;
            folder.files.insert(file, File::default());
            folder.change_names(NameChange::Made {
                name: name.to_owned(),
                file,
            });
        }
        let change = Change::Write {
            offset: offset as usize,
            bytes: bytes.to_vec(),
        };
        folder.file(name)?.changes.push(change);
        Ok(())
    }

    fn length(&mut self, name: &str) -> Result<u64> {
        Ok(self.0.borrow_mut().file(name)?.content().len() as u64)
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<()> {
        let mut folder = self.0.borrow_mut();
        folder.call()?;
        folder
            .file(name)?
            .changes
            .push(Change::Length(length as usize));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let mut folder = self.0.borrow_mut();
        folder.call()?;
        let file = folder.file(name)?;
        file.synced = file.content();
        file.changes.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let mut folder = self.0.borrow_mut();
        folder.call()?;
        let file = *folder.names.get(from).ok_or(ErrorKind::NotFound)?;
        folder.change_names(NameChange::Renamed {
            from: from.to_owned(),
            to: to.to_owned(),
            file,
        });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let mut folder = self.0.borrow_mut();
        folder.call()?;
        if folder.names.contains_key(name) {
            folder.change_names(NameChange::Removed {
                name: name.to_owned(),
            });
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        let mut folder = self.0.borrow_mut();
        folder.call()?;
        let folder = &mut *folder;
        folder.synced_names = folder.names.clone();
        folder.name_changes.clear();
        let used: Vec<u64> = folder.names.values().copied().collect();
        folder.files.retain(|file, _| used.contains(file));
        Ok(())
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(name)
    }
}
