//! Identifiers of calls: each attempt of an operation is a call of its own.

/// The number of identifiers for the attempts of one operation.
const MAX_ATTEMPTS_PER_OPERATION: u64 = 16;

/// The identifier of an attempt of the operation at an index of the script.
pub(super) fn call_id(operation: usize, attempt: u8) -> u64 {
    operation as u64 * MAX_ATTEMPTS_PER_OPERATION + u64::from(attempt)
}

/// The index in the script of a call's operation.
pub(super) fn operation_index(call: u64) -> usize {
    (call / MAX_ATTEMPTS_PER_OPERATION) as usize
}
