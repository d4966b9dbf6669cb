//! Digests of the configurations accepted last, by which a repeated command is recognised: it is acknowledged again, and not
//! rejected for being based on a version that it has replaced itself.
use super::commands::ChangeKind;
use borsh::{BorshDeserialize, BorshSerialize};
use sha2::{Digest as _, Sha256};
use std::collections::VecDeque;

/// Most configurations that are remembered.
pub const MAX_ACCEPTED_CONFIGURATIONS: usize = 256;
/// First byte of the input of SHA-256 digests; another composition of the input needs another one.
const DIGEST_FORMAT: u8 = 2;
/// Start values of the two FNV-1a sums; the first is the standard's.
const FNV_OFFSETS: [u64; 2] = [0xcbf2_9ce4_8422_2325, 0x6c62_272e_07bb_0142];
/// The 64-bit FNV prime.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Digest of a command's kind, expected version and body. Digests of different formats are never equal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Digest {
    /// Format 1, of commands in logs of earlier programs: two 64-bit FNV-1a sums, each rotated by its own number of bits.
    Fnv([u64; 2]),
    /// Format 2: SHA-256.
    Sha256([u8; 32]),
}

impl Digest {
    /// The digest of format 1. It is in snapshots on disks, so its computation must not change.
    pub fn fnv(kind: ChangeKind, based_on: u64, body: &[u8]) -> Digest {
        let based_on = based_on.to_be_bytes();
        let mut sums = FNV_OFFSETS;
        for byte in std::iter::once(&kind_byte(kind))
            .chain(&based_on)
            .chain(body)
        {
            for (index, sum) in sums.iter_mut().enumerate() {
                *sum = (*sum ^ u64::from(*byte))
                    .wrapping_mul(FNV_PRIME)
                    .rotate_left(index as u32 * 5);
            }
        }
        Digest::Fnv(sums)
    }

    /// The digest of format 2: SHA-256 of the format, the kind, the expected version (big endian) and the body.
    pub fn sha256(kind: ChangeKind, based_on: u64, body: &[u8]) -> Digest {
        let mut hash = Sha256::new();
        hash.update([DIGEST_FORMAT, kind_byte(kind)]);
        hash.update(based_on.to_be_bytes());
        hash.update(body);
        Digest::Sha256(hash.finalize().into())
    }
}

fn kind_byte(kind: ChangeKind) -> u8 {
    match kind {
        ChangeKind::Replace => 0,
        ChangeKind::Update => 1,
    }
}

/// An accepted configuration in a snapshot of format 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct FnvRecord {
    version: u64,
    digest: [u64; 2],
}

/// An accepted configuration in what a snapshot of format 2 adds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub struct Sha256Record {
    version: u64,
    digest: [u8; 32],
}

/// Versions and digests of the last [`MAX_ACCEPTED_CONFIGURATIONS`] configurations, in the order of their versions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AcceptedConfigurations {
    records: VecDeque<(u64, Digest)>,
}

impl AcceptedConfigurations {
    /// The version that a command made, if it is remembered under a digest of either format.
    pub fn version_of(&self, kind: ChangeKind, based_on: u64, body: &[u8]) -> Option<u64> {
        let (new, old) = (
            Digest::sha256(kind, based_on, body),
            Digest::fnv(kind, based_on, body),
        );
        let known = self
            .records
            .iter()
            .find(|(_, digest)| *digest == new || *digest == old);
        known.map(|(version, _)| *version)
    }

    /// Whether a command based on this version may have been accepted although it is not remembered.
    pub fn may_have_evicted(&self, based_on: u64) -> bool {
        let oldest = self
            .records
            .front()
            .filter(|_| self.records.len() == MAX_ACCEPTED_CONFIGURATIONS);
        oldest.is_some_and(|(version, _)| based_on < *version)
    }

    /// Remembers a configuration; versions rise from call to call.
    pub fn push(&mut self, version: u64, digest: Digest) {
        self.records.push_back((version, digest));
        while self.records.len() > MAX_ACCEPTED_CONFIGURATIONS {
            self.records.pop_front();
        }
    }

    /// Those with a digest of format 1, for a snapshot.
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

    /// Those with a digest of format 2, for a snapshot.
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

    /// What a snapshot holds.
    pub fn from_snapshot(fnv: Vec<FnvRecord>, sha256: Vec<Sha256Record>) -> AcceptedConfigurations {
        let old = fnv
            .into_iter()
            .map(|record| (record.version, Digest::Fnv(record.digest)));
        let new = sha256
            .into_iter()
            .map(|record| (record.version, Digest::Sha256(record.digest)));
        let mut records: Vec<(u64, Digest)> = old.chain(new).collect();
        records.sort_by_key(|(version, _)| *version);
        AcceptedConfigurations {
            records: records.into(),
        }
    }
}
