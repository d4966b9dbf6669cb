//! The body of a response that is collected before it goes to the client.
use crate::context::ProxyContext;
use crate::upstream_connections::response_error::ResponseError;
use sandtrack_net::byte_budget::Held;

/// Largest collected body, in bytes; a longer one is malformed for these services.
const MAX_BODY_BYTES: usize = 8 << 20;

/// A collected body, with its reservation in the process's memory budget.
pub struct CollectedBody {
    /// What came so far.
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
    /// Where the body is too long, or the memory budget has no room for it.
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
