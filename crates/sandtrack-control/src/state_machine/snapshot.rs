//! The forms of a snapshot of the control state. They are on disks and on the wire: fields and variants keep their places.
use super::accepted_configurations::{FnvRecord, Sha256Record};
use super::evacuations::EvacuationCommandNumbers;
use borsh::{BorshDeserialize, BorshSerialize};

/// The state as programs of format 1 wrote it. What later formats add follows it.
#[derive(BorshSerialize, BorshDeserialize)]
pub(super) struct SnapshotBase {
    /// The configuration as JSON; empty before the first.
    pub document: String,
    pub configuration_number: u64,
    pub evacuation_number: u64,
    pub accepted: Vec<FnvRecord>,
    pub evacuated: Vec<String>,
}

/// What follows a [`SnapshotBase`]; nothing does in format 1. New formats are added at the end.
#[derive(BorshSerialize, BorshDeserialize)]
pub(super) enum SnapshotExtension {
    Format2 {
        accepted: Vec<Sha256Record>,
        command_numbers: EvacuationCommandNumbers,
    },
}

/// Splits a snapshot of either format; `None` where it can't be read.
pub(super) fn parse(
    mut snapshot: &[u8],
) -> Option<(SnapshotBase, Vec<Sha256Record>, EvacuationCommandNumbers)> {
    let base = SnapshotBase::deserialize(&mut snapshot).ok()?;
    if snapshot.is_empty() {
        let command_numbers = EvacuationCommandNumbers::from_format_1(base.evacuation_number);
        return Some((base, Vec::new(), command_numbers));
    }
    let SnapshotExtension::Format2 {
        accepted,
        command_numbers,
    } = borsh::from_slice(snapshot).ok()?;
    Some((base, accepted, command_numbers))
}
