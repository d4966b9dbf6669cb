//! Fingerprints that are the same in every run: SipHash with fixed keys.
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{Result, Write};

/// A writer that hashes what is written to it.
#[derive(Default)]
pub struct HashWriter(DefaultHasher);

impl HashWriter {
    /// The hash of all that was written.
    pub fn finish(&self) -> u64 {
        self.0.finish()
    }
}

impl Write for HashWriter {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.0.write(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        Ok(())
    }
}

/// The hash of a value.
pub fn hash_of(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// The hash of a value's borsh bytes.
pub fn hash_of_bytes(value: &impl borsh::BorshSerialize) -> u64 {
    let mut writer = HashWriter::default();
    // A hasher refuses nothing.
    let _ = value.serialize(&mut writer);
    writer.finish()
}
