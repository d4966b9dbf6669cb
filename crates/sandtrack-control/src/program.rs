//! The process: executor, clock, signals, and the loop that hands inputs to the control node and has its effects carried
//! out. It owns the tasks; it must never decide anything.
//!
//! `command_line`, `settings_file` and `error` are about how it starts and ends; `listeners` accepts connections, `effects`
//! carries out what the control node asks for, and `runtime` is what these share.
mod command_line;
mod effects;
mod error;
mod listeners;
mod runtime;
mod settings_file;

use crate::node::{ControlNode, Effect, Input, Start};
use crate::platform_client;
use crate::wal_writer::{self, WalResult};
use async_executor::LocalExecutor;
use async_io::Timer;
use async_signal::{Signal, Signals};
use command_line::{command_line, Subcommand};
use effects::perform;
use error::ProgramError;
use futures_lite::{future, StreamExt};
use listeners::Listeners;
use runtime::Runtime;
use sandtrack_net::byte_budget::ByteBudget;
use sandtrack_net::socket::Clock;
use sandtrack_protocol::codes;
use sandtrack_protocol::logs;
use sandtrack_protocol::settings::Settings;
pub use settings_file::BOOT;
use std::cell::RefCell;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::io::Write;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Calls in hand may take this part of the process's memory (ours).
const CALL_MEMORY_FRACTION: f64 = 0.25;
/// Told to end, it gives its connections this long to write what waits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(50);

/// The program; gives its exit code.
pub fn main() -> ExitCode {
    let command_line = command_line().run();
    // Before all else: a signal that comes while this process starts would end it.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let settings = settings_file::read();
    let node = settings.as_ref().map_or("", |settings| &settings.node_name);
    logs::start(node, &command_line.log_level);
    if let Ok(settings) = &settings {
        settings.log_unsupported_contracts();
    }
    let done = match (command_line.verb, settings) {
        (_, Err(error)) => Err(ProgramError::from(error)),
        (Subcommand::Check, Ok(settings)) => {
            println!("the settings of {} can be run with", settings.node_name);
            Ok(())
        }
        (Subcommand::Run, Ok(settings)) => {
            signals.map_err(ProgramError::from).and_then(|signals| {
                let executor = Rc::new(LocalExecutor::new());
                // async-io's own: this thread polls for events itself.
                async_io::block_on(executor.run(serve(settings, signals, executor.clone())))
            })
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("{fault}");
            // For whoever started it by hand; where it can't be written the exit code tells.
            let _ = writeln!(std::io::stderr(), "control node: {fault}");
            fault.exit_code()
        }
    }
}

/// Runs a control node until it is told to end.
async fn serve(
    settings: Settings,
    mut signals: Signals,
    executor: Rc<LocalExecutor<'_>>,
) -> Result<(), ProgramError> {
    let (inputs, received) = async_channel::unbounded();
    let (wal, recovered) = match &settings.data_directory {
        Some(folder) => {
            let (wal, recovered) =
                wal_writer::open(folder).map_err(|why| ProgramError::Wal { why })?;
            (Some(wal), recovered)
        }
        None => (None, Vec::new()),
    };
    let listeners = Listeners::bind(&settings)?;
    let clock = Clock::start();
    let incarnation = RandomState::new().build_hasher().finish();
    let disk = wal.map(|wal| start_disk(wal, inputs.clone())).transpose()?;
    let start = Start {
        incarnation,
        recovered,
        disk: disk.is_some(),
    };
    let platform = settings.cloud_api.address.clone();
    let calls_memory = ByteBudget::new(settings.memory_fraction_bytes(CALL_MEMORY_FRACTION));
    log::info!(
        "serving control at {}, directory at {}",
        settings.listen["control"],
        settings.listen["directory"]
    );
    let (control_node, effects) = ControlNode::new(settings, start, clock.now());
    let (fetches, fetched) = async_channel::unbounded();
    let runtime = Rc::new(Runtime {
        executor: executor.clone(),
        clock,
        inputs,
        control_node: RefCell::new(control_node),
        links: RefCell::default(),
        sessions: RefCell::default(),
        calls: RefCell::default(),
        calls_memory,
        disk,
        fetches,
        platform: RefCell::new(platform),
    });
    spawn_platform(&runtime, fetched);
    let (paused, queue_recheck) = async_channel::bounded(1);
    listeners.spawn(&runtime, queue_recheck);
    executor
        .spawn(settings_file::watch(runtime.inputs.clone()))
        .detach();
    let _ = perform(&runtime, effects);
    run(&runtime, &received, &mut signals, &paused).await;
    Ok(())
}

/// Starts the thread that writes the WAL.
///
/// # Errors
/// Where there is no thread to be had.
fn start_disk(
    wal: sandtrack_wal::Wal,
    inputs: async_channel::Sender<Input>,
) -> Result<async_channel::Sender<wal_writer::WalRequest>, ProgramError> {
    let (orders, ordered) = async_channel::unbounded();
    wal_writer::start(wal, ordered, move |done| {
        let input = match done {
            WalResult::Written(ticket) => Input::Written { ticket },
            WalResult::Failed(ticket) => Input::WriteFailed { ticket },
            WalResult::Unknown => {
                log::error!("{}: it starts anew", codes::WAL_FULL);
                std::process::exit(1);
            }
        };
        // It fails only when the process is on its way out.
        let _ = inputs.try_send(input);
    })?;
    Ok(orders)
}

/// Spawns the task that calls the platform.
fn spawn_platform(
    runtime: &Rc<Runtime<'_>>,
    fetched: async_channel::Receiver<platform_client::Fetch>,
) {
    let inputs = runtime.inputs.clone();
    let calls = platform_client::run(fetched, move |call| {
        // It fails only when the process is on its way out.
        let _ = inputs.try_send(Input::PageFetched(call));
    });
    runtime.executor.spawn(calls).detach();
}

/// The loop: hands over what comes, and has the effects carried out, until the process is to end. `paused` is told each
/// time that the process did not run for a while.
async fn run(
    runtime: &Rc<Runtime<'_>>,
    received: &async_channel::Receiver<Input>,
    signals: &mut Signals,
    paused: &async_channel::Sender<()>,
) {
    let mut running_since = runtime.control_node.borrow().running_since();
    loop {
        let next = next_input(runtime, received, signals).await;
        let effects = handle_all(runtime, received, next);
        let since = runtime.control_node.borrow().running_since();
        if std::mem::replace(&mut running_since, since) != since {
            // A full channel holds the same already.
            let _ = paused.try_send(());
        }
        if perform(runtime, effects).is_break() {
            return close_connections(runtime).await;
        }
        future::yield_now().await;
    }
}

/// Waits for a signal, an input or the next tick. Nothing where a signal leads to none.
async fn next_input(
    runtime: &Runtime<'_>,
    received: &async_channel::Receiver<Input>,
    signals: &mut Signals,
) -> Option<Input> {
    let due = runtime.clock.at(runtime.control_node.borrow().next_due());
    let signal = async {
        match signals.next().await {
            Some(Ok(Signal::Hup)) => settings_file::reload(),
            Some(Ok(_)) => Some(Input::Terminate),
            _ => future::pending().await,
        }
    };
    let input = async { received.recv().await.ok() };
    let tick = async {
        Timer::at(due).await;
        Some(Input::Tick)
    };
    future::or(future::or(signal, input), tick).await
}

/// Hands over an input and all that wait behind it, and a tick where one is due by then.
fn handle_all(
    runtime: &Runtime<'_>,
    received: &async_channel::Receiver<Input>,
    mut next: Option<Input>,
) -> Vec<Effect> {
    let mut effects = Vec::new();
    let mut control_node = runtime.control_node.borrow_mut();
    while let Some(input) = next {
        if let Input::Reload(settings) = &input {
            runtime.platform.replace(settings.cloud_api.address.clone());
        }
        control_node.handle(runtime.clock.now(), input, &mut effects);
        next = received.try_recv().ok();
    }
    if runtime.clock.at(control_node.next_due()) <= Instant::now() {
        control_node.handle(runtime.clock.now(), Input::Tick, &mut effects);
    }
    effects
}

/// Closes all connections, so that what is still to be written goes out before the process ends.
async fn close_connections(runtime: &Runtime<'_>) {
    runtime.links.borrow_mut().clear();
    runtime.sessions.borrow_mut().clear();
    Timer::after(FLUSH_TIMEOUT).await;
}
