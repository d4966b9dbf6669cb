//! The log of a simulation: its events and the log records of the real code, each line with its simulated time. There is one
//! for each thread, as simulations run in parallel.
use crate::plan::Millis;
use std::cell::RefCell;

#[derive(Default)]
struct Lines {
    on: bool,
    time: Millis,
    machine: usize,
    lines: Vec<String>,
}

thread_local! {
    static LINES: RefCell<Lines> = RefCell::default();
}

struct Logger;

impl log::Log for Logger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| {
            if lines.on {
                let line = format!(
                    "{:9.1} machine {}: {}",
                    lines.time,
                    lines.machine,
                    record.args()
                );
                lines.lines.push(line);
            }
        });
    }

    fn flush(&self) {}
}

/// Starts to keep the lines of this thread.
pub fn start() {
    if log::set_logger(&Logger).is_ok() {
        log::set_max_level(log::LevelFilter::Debug);
    }
    LINES.with_borrow_mut(|lines| {
        *lines = Lines {
            on: true,
            ..Lines::default()
        }
    });
}

/// Takes the kept lines, and stops to keep lines.
pub fn take() -> Vec<String> {
    LINES.with_borrow_mut(|lines| std::mem::take(lines).lines)
}

pub(crate) fn set_time(time: Millis) {
    LINES.with_borrow_mut(|lines| lines.time = time);
}

pub(crate) fn set_machine(machine: usize) {
    LINES.with_borrow_mut(|lines| lines.machine = machine);
}

pub(crate) fn record(what: impl FnOnce() -> String) {
    let time = LINES.with_borrow(|lines| lines.on.then_some(lines.time));
    if let Some(time) = time {
        let line = format!("{time:9.1} {}", what());
        LINES.with_borrow_mut(|lines| lines.lines.push(line));
    }
}
