//! The WAL on a store that fills up at any byte and loses power at any call.
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::path::PathBuf;

use assert_matches::assert_matches;
use sandtrack_wal::{Store, Wal, WalError};

/// A folder in memory: what is seen, and what a loss of power leaves for sure.
#[derive(Clone, Default)]
struct Folder {
    seen: BTreeMap<String, Vec<u8>>,
    lasting: BTreeMap<String, Vec<u8>>,
    /// Bytes that may yet be written.
    room: Option<usize>,
    /// Calls until the power goes.
    calls: Option<usize>,
    /// Whether a full disk refuses to cut files too.
    no_cut: bool,
    /// Whether syncs fail.
    no_sync: bool,
}

impl Folder {
    fn call(&mut self) -> Result<()> {
        match &mut self.calls {
            Some(0) => Err(Error::other("the power went")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// What a loss of power may leave: each file as it lasted, or with a prefix of what came after.
    fn after_power_loss(&self, kept: usize) -> Self {
        let mut seen = self.lasting.clone();
        for (name, bytes) in &mut seen {
            let written = self.seen.get(name).cloned().unwrap_or_default();
            if written.starts_with(bytes) {
                *bytes = written[..(bytes.len() + kept).min(written.len())].to_vec();
            }
        }
        Self { lasting: seen.clone(), seen, ..Self::default() }
    }
}

impl Store for Folder {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        Ok(self.seen.get(name).cloned())
    }

    fn write(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<()> {
        self.call()?;
        let taken = self.room.map_or(bytes.len(), |room| room.min(bytes.len()));
        if let Some(room) = &mut self.room {
            *room -= taken;
        }
        let file = self.seen.entry(name.to_string()).or_default();
        file.resize((offset as usize).max(file.len()), 0);
        let end = (offset as usize + taken).min(file.len());
        file.splice(offset as usize..end, bytes[..taken].iter().copied());
        if taken < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn length(&mut self, name: &str) -> Result<u64> {
        Ok(self.seen.get(name).ok_or(ErrorKind::NotFound)?.len() as u64)
    }

    fn set_length(&mut self, name: &str, length: u64) -> Result<()> {
        self.call()?;
        if self.no_cut {
            return Err(ErrorKind::StorageFull.into());
        }
        self.seen.entry(name.to_string()).or_default().resize(length as usize, 0);
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.call()?;
        if self.no_sync {
            return Err(ErrorKind::StorageFull.into());
        }
        self.lasting.insert(name.to_string(), self.seen.get(name).cloned().unwrap_or_default());
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.call()?;
        let bytes = self.seen.remove(from).ok_or(ErrorKind::NotFound)?;
        self.seen.insert(to.to_string(), bytes);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.call()?;
        self.seen.remove(name);
        Ok(())
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.call()?;
        // Names last; the content of each is what its own sync covered, under whichever name.
        let synced: Vec<Vec<u8>> = self.lasting.values().cloned().collect();
        self.lasting = self.seen.iter().filter(|(_, bytes)| synced.contains(bytes)).fold(
            BTreeMap::new(),
            |mut lasting, (name, bytes)| {
                lasting.insert(name.clone(), bytes.clone());
                lasting
            },
        );
        Ok(())
    }

    fn path(&self, name: &str) -> PathBuf {
        PathBuf::from(name)
    }
}

fn record(number: u8) -> Vec<Vec<u8>> {
    vec![vec![number; 9], vec![number; 4]]
}

fn begun() -> Wal<Folder> {
    let (mut wal, _, _) = Wal::open_in(Folder::default(), "a").unwrap();
    wal.append(&record(1)).unwrap();
    wal
}

fn found(folder: Folder) -> Vec<Vec<u8>> {
    Wal::open_in(folder, "a").unwrap().1
}

/// The same WAL on a folder that was changed in between.
fn with(wal: Wal<Folder>, change: impl FnOnce(&mut Folder)) -> Wal<Folder> {
    let mut folder = wal.into_store();
    change(&mut folder);
    Wal::open_in(folder, "a").unwrap().0
}

#[test]
fn an_append_that_fills_the_disk_at_any_byte_leaves_nothing_and_goes_on_later() {
    for room in 0..29 {
        for no_cut in [false, true] {
            let mut wal = with(begun(), |folder| {
                folder.room = Some(room);
                folder.no_cut = no_cut;
            });
            assert_matches!(wal.append(&record(2)), Err(WalError::NotWritten(_)), "room {room}");
            assert_eq!(found(wal.into_store().clone()), record(1), "room {room}");
            let mut wal = with(begun(), |folder| folder.room = Some(room));
            assert_matches!(wal.append(&record(2)), Err(WalError::NotWritten(_)));
            let mut wal = with(wal, |folder| folder.room = None);
            wal.append(&record(3)).unwrap();
            assert_eq!(found(wal.into_store()), [record(1), record(3)].concat(), "room {room}");
        }
    }
}

#[test]
fn a_full_disk_in_the_middle_of_a_rewrite_leaves_the_former_content() {
    for room in 0..45 {
        let mut wal = with(begun(), |folder| folder.room = Some(room));
        assert_matches!(wal.rewrite(&record(2)), Err(WalError::NotWritten(_)), "room {room}");
        let folder = wal.into_store();
        assert_eq!(found(folder.clone()), record(1), "room {room}");
        assert_eq!(found(folder.after_power_loss(usize::MAX / 2)), record(1), "room {room}");
    }
}

#[test]
fn a_whole_frame_that_could_neither_be_synced_nor_cut_is_told_as_unknown() {
    let mut wal = with(begun(), |folder| {
        folder.no_sync = true;
        folder.no_cut = true;
    });
    assert_matches!(wal.append(&record(2)), Err(WalError::Unknown(_)));
}

#[test]
fn power_lost_at_any_call_leaves_what_was_told_as_written() {
    for calls in 0..40 {
        for kept in [0, 1, 8, 20, 1000] {
            let mut wal = with(begun(), |folder| folder.calls = Some(calls));
            let mut told = record(1);
            let mut next = Vec::new();
            for number in 2..6 {
                let rewritten = number % 2 == 1;
                next = if rewritten { record(number) } else { [told.clone(), record(number)].concat() };
                let result =
                    if rewritten { wal.rewrite(&record(number)) } else { wal.append(&record(number)) };
                if result.is_err() {
                    break;
                }
                told = next.clone();
            }
            let after = found(wal.into_store().after_power_loss(kept));
            assert!(after == told || after == next, "power lost after {calls} calls, {kept} bytes kept");
        }
    }
}
