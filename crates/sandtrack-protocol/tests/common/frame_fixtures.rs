//! Fixture files of frames. The tests of control include this file too, beside `fixtures.rs`.
use super::fixtures;
use borsh::{BorshDeserialize, BorshSerialize};
use sandtrack_protocol::frames::{decode, encode};
use std::fmt::Debug;

/// Compares values to a fixture of frames: each value as it is encoded equals the fixture, and the fixture as it is decoded
/// equals the value.
///
/// # Panics
/// Where a value or its bytes differ.
pub fn compare<T: BorshSerialize + BorshDeserialize + PartialEq + Debug>(
    package: &str,
    file: &str,
    values: &[(&str, T)],
) {
    let encoded: Vec<_> = values
        .iter()
        .map(|(name, value)| ((*name).to_owned(), encode(value)))
        .collect();
    fixtures::compare(package, file, &encoded);
    for ((name, bytes), (_, value)) in fixtures::read(package, file).iter().zip(values) {
        let (decoded, length) = decode::<T>(bytes).expect("a frame").expect("a whole frame");
        assert_eq!((&decoded, length), (value, bytes.len()), "{name}");
        assert_eq!(&encode(&decoded), bytes, "{name}");
    }
}
