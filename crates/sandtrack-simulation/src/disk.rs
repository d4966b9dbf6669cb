//! A simulated disk under the real [`Wal`](sandtrack_wal::Wal): a directory whose unsynced contents and names are each kept,
//! lost or torn by a loss of power.
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
enum FileChange {
    Write { offset: usize, bytes: Vec<u8> },
    SetLength(usize),
}

impl FileChange {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            FileChange::Write { offset, bytes } => {
                content.resize(content.len().max(offset + bytes.len()), 0);
                content[*offset..offset + bytes.len()].copy_from_slice(bytes);
            }
            FileChange::SetLength(length) => content.resize(*length, 0),
        }
    }
}

/// The content of a file, independent of its name.
#[derive(Clone, Debug, Default)]
struct File {
    synced: Vec<u8>,
    changes: Vec<FileChange>,
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

/// A change of names that no sync of the directory has covered yet; `file` is a key of [`Directory::files`].
#[derive(Clone, Debug)]
enum NameChange {
    Created { name: String, file: u64 },
    Renamed { from: String, to: String, file: u64 },
    Removed { name: String },
}

impl NameChange {
    fn apply(&self, names: &mut BTreeMap<String, u64>) {
        match self {
            NameChange::Created { name, file } => {
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
pub enum DiskMode {
    /// Requests take their normal time.
    #[default]
    Healthy,
    /// Everything takes this many times as long.
    Slow(f64),
    /// No request completes before the disk is healthy again.
    Stalled,
    /// Every write fails.
    Full,
}

#[derive(Debug, Default)]
struct Directory {
    files: BTreeMap<u64, File>,
    names: BTreeMap<String, u64>,
    synced_names: BTreeMap<String, u64>,
    name_changes: Vec<NameChange>,
    next_file: u64,
    full: bool,
    /// Operations that still succeed; `None`: all of them.
    remaining_operations: Option<u32>,
}

/// The disk of a machine; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct Disk(Rc<RefCell<Directory>>);

impl Disk {
    /// Sets whether writes fail from now on.
    pub fn set_full(&self, full: bool) {
        self.0.borrow_mut().full = full;
    }

    /// Lets every operation after this many fail, as if the process died amid its work. `None`: lets all succeed.
    pub fn fail_after(&self, calls: Option<u32>) {
        self.0.borrow_mut().remaining_operations = calls;
    }

    /// Erases everything.
    pub fn wipe(&self) {
        *self.0.borrow_mut() = Directory::default();
    }

    /// Loses power: each unsynced change is kept, lost or torn; sometimes all of them are lost.
    pub fn lose_power(&self, random: &mut Pcg64Mcg) {
        let mut directory = self.0.borrow_mut();
        let directory = &mut *directory;
        let all_gone = random.gen_bool(0.3);
        for file in directory.files.values_mut() {
            for change in std::mem::take(&mut file.changes) {
                if all_gone {
                    continue;
                }
                let kept = match (change, random.gen_range(0..3)) {
                    (_, 0) => continue,
                    (FileChange::Write { offset, bytes }, 1) => {
                        let torn = random.gen_range(0..=bytes.len());
                        FileChange::Write {
                            offset,
                            bytes: bytes[..torn].to_vec(),
                        }
                    }
                    (change, _) => change,
                };
                kept.apply(&mut file.synced);
            }
        }
        let mut names = directory.synced_names.clone();
        for change in std::mem::take(&mut directory.name_changes) {
            if !all_gone && random.gen() {
                change.apply(&mut names);
            }
        }
        (directory.names, directory.synced_names) = (names.clone(), names);
        directory.remaining_operations = None;
    }
}

impl Directory {
    fn count_operation(&mut self) -> Result<()> {
        match &mut self.remaining_operations {
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
        let mut directory = self.0.borrow_mut();
        directory.count_operation()?;
        if directory.full {
            return Err(ErrorKind::StorageFull.into());
        }
        if !directory.names.contains_key(name) {
            directory.next_file += 1;
            let file = directory.next_file;
            directory.files.insert(file, File::default());
            directory.change_names(NameChange::Created {
                name: name.to_owned(),
                file,
            });
        }
        let change = FileChange::Write {
            offset: offset as usize,
            bytes: bytes.to_vec(),
        };
        directory.file(name)?.changes.push(change);
        Ok(())
    }

    fn length(&mut self, name: &str) -> Result<u64> {
        Ok(self.0.borrow_mut().file(name)?.content().len() as u64)
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<()> {
        let mut directory = self.0.borrow_mut();
        directory.count_operation()?;
        directory
            .file(name)?
            .changes
            .push(FileChange::SetLength(length as usize));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        let mut directory = self.0.borrow_mut();
        directory.count_operation()?;
        let file = directory.file(name)?;
        file.synced = file.content();
        file.changes.clear();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        let mut directory = self.0.borrow_mut();
        directory.count_operation()?;
        let file = *directory.names.get(from).ok_or(ErrorKind::NotFound)?;
        directory.change_names(NameChange::Renamed {
            from: from.to_owned(),
            to: to.to_owned(),
            file,
        });
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        let mut directory = self.0.borrow_mut();
        directory.count_operation()?;
        if directory.names.contains_key(name) {
            directory.change_names(NameChange::Removed {
                name: name.to_owned(),
            });
        }
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        let mut directory = self.0.borrow_mut();
        directory.count_operation()?;
        let directory = &mut *directory;
        directory.synced_names = directory.names.clone();
        directory.name_changes.clear();
        let used: Vec<u64> = directory.names.values().copied().collect();
        directory.files.retain(|file, _| used.contains(file));
        Ok(())
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(name)
    }
}
