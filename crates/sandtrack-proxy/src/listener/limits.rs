//! Limits on client connections, from the operator's configuration.
use crate::context::ProxyContext;
use sandtrack_tiers::Millis;

// Limits that apply until there is a configuration.
/// Longest head of a request, in bytes.
pub(super) const DEFAULT_MAX_HEAD_BYTES: usize = 16 * 1024;
const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
const DEFAULT_IDLE_TIMEOUT_MS: Millis = 15_000.0;
const DEFAULT_HEADER_TIMEOUT_MS: Millis = 3_000.0;

/// The input buffer of a connection is at least twice this size, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8192;

/// Limits of one connection.
pub(super) struct ClientLimits {
    pub(super) max_head_bytes: usize,
    pub(super) max_body_bytes: usize,
    pub(super) idle_timeout: Millis,
    pub(super) header_timeout: Millis,
}

impl ClientLimits {
    /// The limits in the current configuration, or the defaults if there is none.
    pub(super) fn current(context: &ProxyContext) -> ClientLimits {
        let balancer = context.balancer.borrow();
        let limits = balancer
            .configuration
            .as_ref()
            .map(|configuration| &configuration.limits);
        ClientLimits {
            max_head_bytes: limits
                .map_or(DEFAULT_MAX_HEAD_BYTES, |limits| limits.header_size_bytes),
            max_body_bytes: limits.map_or(DEFAULT_MAX_BODY_BYTES, |limits| limits.body_size_bytes),
            idle_timeout: limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms),
            header_timeout: limits
                .map_or(DEFAULT_HEADER_TIMEOUT_MS, |limits| limits.header_timeout_ms),
        }
    }

    /// Size of a connection's input buffer, in bytes: enough for a complete head and the data received with it.
    pub(super) fn input_buffer_bytes(&self) -> usize {
        2 * self.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES)
    }
}
