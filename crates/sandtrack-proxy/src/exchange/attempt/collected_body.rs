//! The body of a response that is collected before it is sent to the client.
use crate::context::ProxyContext;
use crate::upstream_connections::response_error::ResponseError;
use sandtrack_net::byte_budget::Held;

/// Largest collected body, in bytes; these services send none that is longer, and such a response counts as malformed.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A collected body, with its reservation in the process's memory budget.
pub struct CollectedBody {
    /// The bytes received so far.
    pub bytes: Vec<u8>,
    reservation: Held,
}

impl CollectedBody {
    /// An empty body.
    pub(super) fn new(context: &ProxyContext) -> CollectedBody {
        CollectedBody {
            bytes: Vec::new(),
            reservation: context.memory.responses.message(),
        }
    }

    /// Appends a chunk.
    ///
    /// # Errors
    /// If the body is too long or the memory budget is exhausted.
    pub(super) fn append(&mut self, chunk: &[u8]) -> Result<(), ResponseError> {
        if self.bytes.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(ResponseError::Malformed);
        }
        match self.reservation.extend(&mut self.bytes, chunk) {
            true => Ok(()),
            false => Err(ResponseError::OutOfMemory),
        }
    }
}
