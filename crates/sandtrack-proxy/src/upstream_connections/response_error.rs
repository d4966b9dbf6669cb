//! Why reading a response from an upstream failed. Pure.

/// Why a response could not be read whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum ResponseError {
    /// The connection was closed or reset before the end of the response.
    #[error("the connection was lost")]
    ConnectionLost,
    /// The bytes are no HTTP response, or not one to this request.
    #[error("the response is malformed")]
    Malformed,
    /// The process's memory budget has no room for the response.
    #[error("no memory for the response")]
    OutOfMemory,
}
