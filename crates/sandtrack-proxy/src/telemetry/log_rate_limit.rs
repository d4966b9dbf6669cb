//! Limits the number of log lines per second, so that logging does not aggravate an overload. No I/O.
use sandtrack_tiers::Millis;

/// Maximum number of lines per second. Further lines are suppressed and counted; the count is reported with the next line.
const MAX_LINES_PER_SECOND: u32 = 20;
const SECOND_MS: Millis = 1000.0;

/// A fixed-window rate limit for log lines.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimit {
    window_started_at: Millis,
    written: u32,
    suppressed: u64,
}

impl LogRateLimit {
    /// Takes one line from the limit: `None` if the limit is reached, else how many lines were suppressed before this one.
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
