//! Whether a process was kept from running by the machine and not by the rig. The kernel counts for how long a process was
//! ready to run and had no processor (`/proc/PID/schedstat`); the time of a stopped process is not counted there. Pure:
//! [`crate::process`] reads the count.
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A member that finds its timers so late says that it was stopped (`PAUSE` of `sandtrack_membership::doubt`).
pub const PAUSE: Duration = Duration::from_millis(500);
/// A member says so for two seconds; what was counted this long before a look may be the cause of what it says.
const WINDOW: Duration = Duration::from_secs(4);

/// One reading of the kernel's count.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    /// Total time for which the process had no processor.
    waited: Duration,
}

/// The readings of one process, of the last `WINDOW`.
#[derive(Clone, Debug, Default)]
pub struct Starvation {
    samples: VecDeque<Sample>,
}

impl Starvation {
    /// Takes a reading. A lower count than before is that of a new process.
    pub fn note(&mut self, at: Instant, waited: Duration) {
        if self.samples.back().is_some_and(|last| last.waited > waited) {
            self.samples.clear();
        }
        self.samples.push_back(Sample { at, waited });
        while self
            .samples
            .front()
            .is_some_and(|first| at.duration_since(first.at) > WINDOW)
        {
            self.samples.pop_front();
        }
    }

    /// Whether it had no processor for long enough to be taken for stopped.
    pub fn is_starved(&self) -> bool {
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else {
            return false;
        };
        last.waited - first.waited >= PAUSE
    }
}

/// The total time without a processor, of the text of a `schedstat` file: time run, time waited (both in ns), turns.
pub fn parse_waited(schedstat: &str) -> Option<Duration> {
    let nanoseconds = schedstat.split_ascii_whitespace().nth(1)?.parse().ok()?;
    Some(Duration::from_nanos(nanoseconds))
}
