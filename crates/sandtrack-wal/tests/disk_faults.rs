//! The WAL on a disk that fills up at any byte, and where any call fails, ends the process or is the last one before a
//! loss of power.
mod folder;

use std::cell::RefCell;
use std::rc::Rc;

use assert_matches::assert_matches;
use folder::{Fault, Folder, Shared};
use sandtrack_wal::{Store, Wal, WalError};

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
            assert_matches!(
                wal.append(&record(2)),
                Err(WalError::NotWritten(_)),
                "room {room}"
            );
            assert_eq!(
                found(wal.into_store().after_kill()),
                record(1),
                "room {room}"
            );
            let mut wal = with(begun(), |folder| folder.room = Some(room));
            assert_matches!(wal.append(&record(2)), Err(WalError::NotWritten(_)));
            let mut wal = with(wal, |folder| folder.room = None);
            wal.append(&record(3)).unwrap();
            assert_eq!(
                found(wal.into_store()),
                [record(1), record(3)].concat(),
                "room {room}"
            );
        }
    }
}

#[test]
fn a_full_disk_in_the_middle_of_a_rewrite_leaves_the_former_content() {
    for room in 0..45 {
        let mut wal = with(begun(), |folder| folder.room = Some(room));
        assert_matches!(
            wal.rewrite(&record(2)),
            Err(WalError::NotWritten(_)),
            "room {room}"
        );
        let folder = wal.into_store();
        assert_eq!(found(folder.clone()), record(1), "room {room}");
        for left in folder.after_power_loss() {
            assert_eq!(found(left), record(1), "room {room}");
        }
    }
}

#[test]
fn a_complete_frame_that_could_neither_be_synced_nor_cut_is_reported_as_unknown() {
    // Opening syncs twice, the file and its folder; the append writes, and its sync fails.
    let mut wal = with(begun(), |folder| {
        folder.calls = 0;
        folder.fault = Some((4, Fault::Refused));
        folder.no_cut = true;
    });
    assert_matches!(wal.append(&record(2)), Err(WalError::Unknown(_)));
    assert_matches!(
        wal.append(&record(3)),
        Err(WalError::Unknown(_)),
        "and nothing is written any more"
    );
    assert_matches!(wal.rewrite(&record(4)), Err(WalError::Unknown(_)));
}

#[test]
fn what_was_found_is_not_relied_on_before_it_is_synced() {
    let mut folder = begun().into_store();
    folder.no_sync = true;
    assert_matches!(
        Wal::open_in(folder, "a").err(),
        Some(WalError::NotOpened(_))
    );
}

/// What a WAL may hold: what was told as written, or that with the change that was under way.
struct Told {
    surely: Vec<Vec<u8>>,
    perhaps: Vec<Vec<u8>>,
}

impl Told {
    fn check(&self, found: &[Vec<u8>], case: &str) {
        assert!(
            found == self.surely || found == self.perhaps,
            "{case}: found {found:?}"
        );
    }
}

/// Appends and rewrites up to the first failure that ends the process; a change that was refused leaves nothing.
fn work(wal: &mut Wal<Folder>, before: Vec<Vec<u8>>, ends_there: bool) -> Told {
    let mut surely = before;
    for number in 2..7 {
        let rewritten = number % 2 == 1;
        let next = if rewritten {
            record(number)
        } else {
            [surely.clone(), record(number)].concat()
        };
        let result = if rewritten {
            wal.rewrite(&record(number))
        } else {
            wal.append(&record(number))
        };
        match result {
            Ok(()) => surely = next,
            Err(WalError::NotWritten(_)) if !ends_there => {}
            Err(_) => {
                return Told {
                    surely,
                    perhaps: next,
                }
            }
        }
    }
    Told {
        perhaps: surely.clone(),
        surely,
    }
}

/// What a process finds lasts from then on, and so does what it appends.
fn is_lasting(folder: Folder, told: &Told, case: &str) {
    let (mut wal, found, report) = Wal::open_in(folder, "a").unwrap();
    told.check(&found, case);
    assert_eq!(
        report.set_aside, None,
        "{case}: a loss of power is no damage"
    );
    // Relied on, and the power goes before anything else is written.
    let folder = wal.into_store();
    for left in folder.after_power_loss() {
        assert_eq!(
            self::found(left),
            found,
            "{case}: found before, and the power went"
        );
    }
    wal = Wal::open_in(folder, "a").unwrap().0;
    wal.append(&record(9)).unwrap();
    let expected = [found, record(9)].concat();
    for left in wal.into_store().after_power_loss() {
        assert_eq!(
            self::found(left),
            expected,
            "{case}: appended after it, and the power went"
        );
    }
}

/// The calls of `work` on a disk without trouble.
fn calls() -> usize {
    let mut wal = with(begun(), |folder| folder.calls = 0);
    work(&mut wal, record(1), true);
    wal.into_store().calls
}

fn at_each_step(ends_there: bool, check: impl Fn(Folder, Told, String)) {
    for call in 2..calls() {
        for fault in [Fault::Refused, Fault::Half, Fault::DoneAndNotTold] {
            let mut folder = begun().into_store();
            (folder.calls, folder.fault, folder.ends_there) = (0, Some((call, fault)), ends_there);
            let Ok((mut wal, _, _)) = Wal::open_in(folder, "a") else {
                continue;
            };
            let told = work(&mut wal, record(1), ends_there);
            check(wal.into_store(), told, format!("call {call}, {fault:?}"));
        }
    }
}

#[test]
fn a_process_killed_at_each_step_keeps_what_was_acknowledged_and_the_next_one_makes_it_last() {
    at_each_step(true, |folder, told, case| {
        is_lasting(folder.after_kill(), &told, &case);
    });
}

#[test]
fn power_lost_at_each_step_keeps_what_was_acknowledged() {
    at_each_step(true, |folder, told, case| {
        for left in folder.after_power_loss() {
            is_lasting(left, &told, &case);
        }
    });
}

#[test]
fn a_call_that_fails_leaves_nothing_and_the_process_goes_on_or_ends() {
    at_each_step(false, |folder, told, case| {
        is_lasting(folder.after_kill(), &told, &case);
        for left in folder.after_power_loss() {
            is_lasting(left, &told, &case);
        }
    });
}

/// The process may end at each step of the beginning too, on an empty disk, or where a file is set aside before.
#[test]
fn a_creation_interrupted_at_each_step_is_repeated() {
    for foreign in [false, true] {
        for call in 0..8 {
            for fault in [Fault::Refused, Fault::Half, Fault::DoneAndNotTold] {
                let mut folder = Folder::default();
                if foreign {
                    folder.write("a", 0, &[7; 30]).unwrap();
                    folder.sync("a").unwrap();
                    folder.sync_folder().unwrap();
                }
                (folder.calls, folder.fault, folder.ends_there) = (0, Some((call, fault)), true);
                let shared = Shared(Rc::new(RefCell::new(folder)));
                let _ = Wal::open_in(shared.clone(), "a");
                let folder = shared.0.borrow().clone();
                is_begun(folder.after_kill());
                for left in folder.after_power_loss() {
                    is_begun(left);
                }
            }
        }
    }
}

fn is_begun(folder: Folder) {
    let (mut wal, found, _) = Wal::open_in(folder, "a").unwrap();
    assert!(found.is_empty());
    wal.append(&record(1)).unwrap();
    for left in wal.into_store().after_power_loss() {
        assert_eq!(self::found(left), record(1));
    }
}

/// An append that was never synced may reach the disk in parts, each present, missing or torn: that is no damage.
#[test]
fn an_append_in_parts_is_cut_off_and_no_damage() {
    let mut folder = begun().into_store();
    let long = vec![vec![2; 40], vec![0; 40], vec![3; 9]];
    let end = folder.length("a").unwrap();
    let (mut wal, _, _) = Wal::open_in(folder.clone(), "a").unwrap();
    wal.append(&long).unwrap();
    let whole = wal.into_store().read("a").unwrap().unwrap();
    let frame = &whole[end as usize..];
    for first in 1..frame.len() - 1 {
        let mut parts = folder.clone();
        for (from, to) in [(0, first), (first, frame.len())] {
            parts
                .write("a", end + from as u64, &frame[from..to])
                .unwrap();
        }
        for left in parts.after_power_loss() {
            let (_, found, report) = Wal::open_in(left, "a").unwrap();
            assert_eq!(report.set_aside, None, "in parts at {first}");
            assert!(
                found == record(1) || found == [record(1), long.clone()].concat(),
                "in parts at {first}"
            );
        }
    }
}

#[test]
fn a_failed_sync_of_the_folder_ends_the_process() {
    // Opening syncs twice; a rewrite removes, writes, syncs, renames, and syncs the folder.
    let mut folder = begun().into_store();
    (folder.calls, folder.fault) = (0, Some((7, Fault::Refused)));
    let (mut wal, _, _) = Wal::open_in(folder, "a").unwrap();
    assert_matches!(wal.rewrite(&record(2)), Err(WalError::Unknown(_)));
    assert_matches!(wal.append(&record(3)), Err(WalError::Unknown(_)));
}

/// Synced data that read as zeros, at any place before the last frame and of any length.
#[test]
fn zeros_in_the_middle_set_the_file_aside() {
    let (mut wal, _, _) = Wal::open_in(Folder::default(), "a").unwrap();
    let mut last = 0;
    for number in 1..5 {
        last = wal.length();
        wal.append(&record(number)).unwrap();
    }
    let folder = wal.into_store();
    let bytes = folder.clone().read("a").unwrap().unwrap();
    for from in 16..last {
        for to in from + 1..=last {
            let length = (to - from) as usize;
            if bytes[from as usize..to as usize]
                .iter()
                .all(|byte| *byte == 0)
            {
                continue;
            }
            let mut damaged = folder.clone();
            damaged.write("a", from, &vec![0; length]).unwrap();
            let (_, found, report) = Wal::open_in(damaged, "a").unwrap();
            assert!(
                found.is_empty() && report.set_aside.is_some(),
                "{from} to {to}"
            );
        }
    }
}
