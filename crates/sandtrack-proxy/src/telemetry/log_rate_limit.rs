//! Bounds the log lines of a second, so that an overload is not made worse by its log. Pure.
use sandtrack_tiers::Millis;

/// Lines in a second; further ones are counted, and reported with the first line of a later second.
const MAX_LINES_PER_SECOND: u32 = 20;
const SECOND_MS: Millis = 1000.0;

/// A fixed-window rate limit of log lines.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimit {
    window_started_at: Millis,
    written: u32,
    suppressed: u64,
}

impl LogRateLimit {
    /// Takes one line; `None` where there is none left in this second, else how many were suppressed before it.
    pub fn take(&mut self, now: Millis) -> Option<u64> {
        if now - self.window_started_at >= SECOND_MS {
            (self.window_started_at, self.written) = (now, 0);
        }
        if self.written >= MAX_LINES_PER_SECOND {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}
