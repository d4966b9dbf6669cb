//! The configurations taken last, so that an order that is sent again is known again. Pure; part of the control state.
use crate::commands::Form;
use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest as _, Sha256};
use std::collections::VecDeque;

/// So many of the configurations taken last are known again when they are sent once more.
pub const TAKEN_KEPT: usize = 256;
/// The first byte of what SHA-256 digests are taken of: another form of the input gets another one.
const DIGEST_FORMAT: u8 = 2;

/// What an order is known again by. The formats never compare equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Digest {
    /// Format 1, of orders in logs of earlier programs: two 64-bit FNV-1a sums.
    Fnv([u64; 2]),
    /// Format 2: SHA-256.
    Sha256([u8; 32]),
}

impl Digest {
    /// As earlier programs computed it. It is on disks: it must stay as it is.
    pub fn fnv(form: Form, based_on: u64, body: &[u8]) -> Digest {
        let head = based_on.to_be_bytes();
        let mut sums = [0xcbf2_9ce4_8422_2325_u64, 0x6c62_272e_07bb_0142];
        for byte in std::iter::once(&kind(form)).chain(&head).chain(body) {
            for (at, sum) in sums.iter_mut().enumerate() {
                *sum = (*sum ^ u64::from(*byte))
                    .wrapping_mul(0x0000_0100_0000_01b3)
                    .rotate_left(at as u32 * 5);
            }
        }
        Digest::Fnv(sums)
    }

    /// SHA-256 of the format, the form, the version built on (big endian) and the body.
    pub fn sha256(form: Form, based_on: u64, body: &[u8]) -> Digest {
        let mut hash = Sha256::new();
        hash.update([DIGEST_FORMAT, kind(form)]);
        hash.update(based_on.to_be_bytes());
        hash.update(body);
        Digest::Sha256(hash.finalize().into())
    }
}

fn kind(form: Form) -> u8 {
    match form {
        Form::Replace => 0,
        Form::Update => 1,
    }
}

/// A configuration that was taken, as a snapshot of format 1 holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FnvRecord {
    version: u64,
    digest: [u64; 2],
}

/// The same in what a snapshot of format 2 adds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Sha256Record {
    version: u64,
    digest: [u8; 32],
}

/// What is remembered of the last [`TAKEN_KEPT`] configurations, in the order of their versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Taken {
    records: VecDeque<(u64, Digest)>,
}

impl Taken {
    /// The version that an order made, if it is one of those remembered. An order is looked for under both formats.
    pub fn version_of(&self, form: Form, based_on: u64, body: &[u8]) -> Option<u64> {
        let (new, old) = (
            Digest::sha256(form, based_on, body),
            Digest::fnv(form, based_on, body),
        );
        let known = self
            .records
            .iter()
            .find(|(_, digest)| *digest == new || *digest == old);
        known.map(|(version, _)| *version)
    }

    /// Whether an order on this version, not among those remembered, may have been taken all the same.
    pub fn may_have_forgotten(&self, based_on: u64) -> bool {
        let oldest = self
            .records
            .front()
            .filter(|_| self.records.len() == TAKEN_KEPT);
        oldest.is_some_and(|(version, _)| based_on < *version)
    }

    /// Versions rise.
    pub fn push(&mut self, version: u64, digest: Digest) {
        self.records.push_back((version, digest));
        while self.records.len() > TAKEN_KEPT {
            self.records.pop_front();
        }
    }

    /// Those of format 1, for a snapshot.
    pub fn fnv_records(&self) -> Vec<FnvRecord> {
        let record = |(version, digest): &(u64, Digest)| match digest {
            Digest::Fnv(digest) => Some(FnvRecord {
                version: *version,
                digest: *digest,
            }),
            Digest::Sha256(_) => None,
        };
        self.records.iter().filter_map(record).collect()
    }

    /// Those of format 2, for a snapshot.
    pub fn sha256_records(&self) -> Vec<Sha256Record> {
        let record = |(version, digest): &(u64, Digest)| match digest {
            Digest::Sha256(digest) => Some(Sha256Record {
                version: *version,
                digest: *digest,
            }),
            Digest::Fnv(_) => None,
        };
        self.records.iter().filter_map(record).collect()
    }

    /// The records of a snapshot.
    pub fn restored(fnv: Vec<FnvRecord>, sha256: Vec<Sha256Record>) -> Taken {
        let old = fnv
            .into_iter()
            .map(|record| (record.version, Digest::Fnv(record.digest)));
        let new = sha256
            .into_iter()
            .map(|record| (record.version, Digest::Sha256(record.digest)));
        let mut records: Vec<(u64, Digest)> = old.chain(new).collect();
        records.sort_by_key(|(version, _)| *version);
        Taken {
            records: records.into(),
        }
    }
}
