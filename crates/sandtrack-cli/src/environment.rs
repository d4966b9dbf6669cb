//! What the program needs of the operating system: a clock, connections and the two output streams. Tests replace it with a
//! scripted one whose clock does not wait.
use crate::transport::{exchange, TransportError};
use crate::Millis;
use sandtrack_sidecar_core::message::Message;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Clock, network and output of the program.
pub trait Environment {
    /// The time of a monotonic clock.
    fn now(&mut self) -> Millis;

    /// Blocks for `duration`.
    fn sleep(&mut self, duration: Millis);

    /// Sends `request` to `address` and reads the response; `timeout` bounds the time without progress.
    ///
    /// # Errors
    /// Where no complete response arrived.
    fn exchange(
        &mut self,
        address: SocketAddr,
        request: &[u8],
        timeout: Millis,
    ) -> Result<Message, TransportError>;

    /// Writes a line of results to the standard output.
    fn print(&mut self, line: &str);

    /// Writes a line to the standard error stream.
    fn print_error(&mut self, line: &str);
}

/// The [`Environment`] of a real process.
pub struct SystemEnvironment {
    started: Instant,
}

impl Default for SystemEnvironment {
    fn default() -> SystemEnvironment {
        SystemEnvironment {
            started: Instant::now(),
        }
    }
}

impl Environment for SystemEnvironment {
    fn now(&mut self) -> Millis {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn sleep(&mut self, duration: Millis) {
        std::thread::sleep(Duration::from_secs_f64(duration.max(0.0) / 1000.0));
    }

    fn exchange(
        &mut self,
        address: SocketAddr,
        request: &[u8],
        timeout: Millis,
    ) -> Result<Message, TransportError> {
        exchange(address, request, timeout)
    }

    fn print(&mut self, line: &str) {
        // A closed pipe (`sandtrackctl follow | head`) ends the program without an error.
        if writeln!(std::io::stdout().lock(), "{line}").is_err() {
            std::process::exit(0);
        }
    }

    fn print_error(&mut self, line: &str) {
        // There is no other stream to which a failure of this write could be reported.
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }
}
