//! Standard error as the output of a log: a line that it does not take now is lost and counted. The process must neither end nor wait
//! because its disk is full, or because whoever reads its log stands still.
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::io::{self, Write};
use std::os::fd::AsFd;
use std::sync::atomic::{AtomicU64, Ordering};

/// A pipe that takes bytes takes this many without a wait; a longer line is cut.
const LINE_MAX: usize = 4096;

static LOST: AtomicU64 = AtomicU64::new(0);

/// Lines that were lost since the process began.
#[must_use]
pub fn lost_lines() -> u64 {
    LOST.load(Ordering::Relaxed)
}

/// Writes each buffer that it is given as one line. It never fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogOutput;

impl Write for LogOutput {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        // Whoever asked writes: no other thread takes the room in between.
        let mut stderr = io::stderr().lock();
        if !(takes_bytes(&stderr) && write_line(&mut stderr, line).is_ok()) {
            LOST.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_line(output: &mut impl Write, line: &[u8]) -> io::Result<()> {
    if line.len() <= LINE_MAX {
        return output.write_all(line);
    }
    output.write_all(&[&line[..LINE_MAX - 1], b"\n"].concat())
}

/// Whether the output takes a line without a wait; one that can't be asked is taken for a file, which does.
fn takes_bytes(output: &impl AsFd) -> bool {
    let mut asked = [PollFd::new(output, PollFlags::OUT)];
    match poll(&mut asked, Some(&Timespec::default())) {
        Ok(_) => asked[0]
            .revents()
            .intersects(PollFlags::OUT | PollFlags::ERR | PollFlags::NVAL),
        Err(_) => true,
    }
}
