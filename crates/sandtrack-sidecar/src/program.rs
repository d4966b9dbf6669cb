//! The sidecar's process: the executor, the clock, the signals, and the loop that hands inputs to the reducer and
//! carries out its effects. It owns the tasks and their order channels, and must never change state by itself.
use crate::config::{self, Config, Source};
use crate::handover::{self, Handover};
use crate::net::{Inputs, Order, Orders};
use crate::{admin, catalog, client, fleet, staff, upstream};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use clap::Parser;
use futures_lite::{future, stream, StreamExt};
use sandtrack_net::log_output::LogOutput;
use sandtrack_net::socket::Clock;
use sandtrack_sidecar_core::reducer::{CallId, ConnId, Effect, Input, Reducer, Ways};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

type Sender = async_channel::Sender<Order>;

/// The ways to the tasks, each by what the reducer calls it.
struct Tasks<'a> {
    executor: Rc<LocalExecutor<'a>>,
    inputs: Inputs,
    clients: HashMap<ConnId, Sender>,
    upstreams: HashMap<ConnId, Sender>,
    watches: HashMap<CallId, Sender>,
    admins: HashMap<ConnId, Sender>,
    handover: Rc<RefCell<Handover>>,
    accept: async_channel::Sender<()>,
    stop_accepting: Sender,
    /// To the fleet's socket; none where there is none, or it is closed.
    fleet: Option<async_channel::Sender<(SocketAddrV4, Vec<u8>)>>,
}

/// Datagrams that may wait to be sent: more are not, as if they were lost on the way.
const DATAGRAMS_WAIT: usize = 1024;

/// How often it is looked what another process of this sidecar noted, and whether one lives.
const LOOK_EVERY: Duration = Duration::from_millis(40);

/// The program: with no word on its command line it serves until SIGTERM.
pub fn main() -> ExitCode {
    match staff::Cli::parse().command {
        None => serve_only(),
        Some(command) => match staff::run(&command) {
            Ok(shown) => {
                print!("{shown}");
                ExitCode::SUCCESS
            }
            Err(fault) => {
                eprintln!("{fault}");
                ExitCode::FAILURE
            }
        },
    }
}

/// Serves until SIGTERM, whatever the command line says.
pub fn serve_only() -> ExitCode {
    let level = std::env::var("SANDTRACK_LOG")
        .ok()
        .and_then(|level| level.parse().ok());
    let level = level.unwrap_or(tracing::Level::INFO);
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_writer(|| LogOutput);
    // A line that can't be written now is lost; to tell of that where it can't be written either would end the process.
    log.log_internal_errors(false).init();
    // Before all else: a signal that comes while this process starts would end it, and what waits at its listener.
    let signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(error) => {
            tracing::error!(%error, "can't serve");
            return ExitCode::FAILURE;
        }
    };
    let (config, source) = match config::load(|name| std::env::var(name).ok()) {
        Ok(loaded) => loaded,
        Err(fault) => {
            tracing::error!("configuration: {fault}");
            return ExitCode::from(2);
        }
    };
    let inherited = match config.socket.map(handover::inherited).transpose() {
        Ok(inherited) => inherited,
        Err(error) => {
            tracing::error!(
                "configuration: {}",
                config::wrong(config::SOCKET_FD, error.to_string())
            );
            return ExitCode::from(2);
        }
    };
    let executor = Rc::new(LocalExecutor::new());
    // async-io's own: this thread then polls for events itself, and none has to cross from a helper thread.
    match async_io::block_on(executor.run(serve(
        config,
        inherited,
        source,
        signals,
        executor.clone(),
    ))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            tracing::error!(%error, "can't serve");
            ExitCode::FAILURE
        }
    }
}

async fn serve(
    config: Config,
    inherited: Option<TcpListener>,
    mut source: Source,
    signals: Signals,
    executor: Rc<LocalExecutor<'_>>,
) -> std::io::Result<()> {
    let clock = Clock::start();
    let wall = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
        * 1000.0;
    let epoch = wall - clock.now();
    let (inputs, received) = Inputs::new(clock);
    let memory = config.memory_mb.saturating_mul(1 << 20);
    let ways = Ways {
        admin: config.admin.is_some(),
        inherited: inherited.is_some(),
        memory,
    };
    let listener = match inherited {
        Some(listener) => Async::new(listener)?,
        None => Async::<TcpListener>::bind(config.listen)?,
    };
    let staff = config.admin.map(Async::<TcpListener>::bind).transpose()?;
    // Where there is nobody to order anything, and no other process, nothing is shared.
    let folder = std::env::var_os("TMPDIR")
        .filter(|_| ways.admin || ways.inherited)
        .map(PathBuf::from);
    let handover = Handover::open(folder.as_deref(), config.listen);
    let shared = folder.is_some();
    let fleet_socket = match &config.fleet {
        Some(fleet) => fleet::bind(fleet.listen, ways.inherited)?,
        None => None,
    };
    let (discovery, descriptors) = (config.discovery, config.descriptors);
    let reducer = Reducer::new(
        config.checked,
        discovery,
        config.seed,
        descriptors,
        epoch.round(),
        clock.now(),
    );
    let other_lives = handover.other_lives();
    let mut reducer = reducer.with(ways, handover.known().clone(), other_lives);
    let mut fleet_orders = None;
    if let Some(fleet) = config.fleet {
        let (sender, datagrams) = async_channel::bounded(DATAGRAMS_WAIT);
        fleet_orders = Some(sender);
        // Two processes of one name and seed must differ: the seed may be a constant of the file.
        reducer = reducer.with_fleet(
            fleet.identity,
            config.seed ^ wall.to_bits() ^ u64::from(std::process::id()),
        );
        executor
            .spawn(fleet::run(
                fleet.listen,
                fleet_socket,
                datagrams,
                inputs.clone(),
            ))
            .detach();
    }
    let handover = Rc::new(RefCell::new(handover));
    let reducer = Rc::new(RefCell::new(reducer));
    let (stop_accepting, stop) = async_channel::unbounded();
    let (accept, accepting) = async_channel::bounded::<()>(1);
    let tasks = Tasks {
        executor: executor.clone(),
        inputs: inputs.clone(),
        clients: HashMap::new(),
        upstreams: HashMap::new(),
        watches: HashMap::new(),
        admins: HashMap::new(),
        handover: handover.clone(),
        accept,
        stop_accepting,
        fleet: fleet_orders,
    };
    let tasks = Rc::new(RefCell::new(tasks));
    let effects = reducer.borrow_mut().start(config.known);
    perform(&tasks, effects);
    tracing::info!(name = config.name, listen = %config.listen, admin = ?config.admin, "serving");

    let opened = {
        let (tasks, reducer) = (tasks.clone(), reducer.clone());
        move |stream: Async<TcpStream>| {
            let conn = reducer.borrow_mut().accepted();
            tasks.borrow_mut().opened(conn, stream);
        }
    };
    let accept = {
        let inputs = inputs.clone();
        async move {
            if accepting.recv().await.is_ok() {
                client::accept(listener, stop, inputs, opened).await;
            }
        }
    };
    executor.spawn(accept).detach();
    if let Some(listener) = staff {
        let (tasks, reducer) = (tasks.clone(), reducer.clone());
        let opened = move |stream: Async<TcpStream>| {
            let conn = reducer.borrow_mut().accepted();
            tasks.borrow_mut().called(conn, stream);
        };
        executor.spawn(admin::listen(listener, opened)).detach();
    }
    if shared {
        executor.spawn(look(handover, other_lives, inputs)).detach();
    }

    let told = signals.filter_map(|signal| match signal.ok()? {
        Signal::Hup => Some(reload(&mut source)),
        _ => Some(Input::Terminate),
    });
    let mut inputs = Box::pin(stream::or(told, received));
    loop {
        let due = reducer.borrow().next_due();
        let tick = async {
            match due {
                Some(at) => Timer::at(clock.at(at)).await,
                None => future::pending().await,
            };
            Some(Input::Tick)
        };
        let input = future::or(inputs.next(), tick).await;
        let Some(input) = input else { return Ok(()) };
        tasks.borrow_mut().forget(&input);
        if matches!(input, Input::Terminate) && shared {
            // Whether this process is the last hangs on it, and it may have changed since it was looked at.
            let lives = tasks.borrow().handover.borrow().other_lives();
            let effects = reducer
                .borrow_mut()
                .handle(clock.now(), Input::OtherLives(lives));
            perform(&tasks, effects);
        }
        let mut next = Some(input);
        while let Some(input) = next {
            let effects = reducer.borrow_mut().handle(clock.now(), input);
            let (exit, noted) = perform(&tasks, effects);
            if exit {
                return Ok(());
            }
            next = noted;
        }
    }
}

/// Looks what another process of this sidecar noted, and whether one lives, for as long as this one does.
async fn look(handover: Rc<RefCell<Handover>>, mut lives: bool, inputs: Inputs) {
    loop {
        Timer::after(LOOK_EVERY).await;
        if let Some(by_hand) = handover.borrow_mut().look() {
            inputs.send(Input::ByHand(by_hand.clone()));
        }
        let now = handover.borrow().other_lives();
        if now != std::mem::replace(&mut lives, now) {
            inputs.send(Input::OtherLives(now));
        }
    }
}

/// SIGHUP: the file is read again. A faulty one changes nothing, and what runs goes on as it was.
fn reload(source: &mut Source) -> Input {
    match source.again() {
        Ok(reload) => {
            let (waiting, settings) = (reload.waiting.join(", "), reload.settings.is_some());
            match reload.discovery {
                Some(address) => {
                    tracing::info!(discovery = %address, settings, waiting, "reloaded");
                }
                None => tracing::info!(settings, waiting, "reloaded: discovery stays"),
            }
            let settings = reload.settings.map(Box::new);
            Input::Reload {
                discovery: reload.discovery,
                settings,
            }
        }
        Err(fault) => {
            tracing::error!("configuration kept as it was: {fault}");
            Input::ReloadFailed
        }
    }
}

/// Carries out effects in order; yes when the process is to end, and what the reducer has to know before anything else.
fn perform(tasks: &RefCell<Tasks<'_>>, effects: Vec<Effect>) -> (bool, Option<Input>) {
    let mut tasks = tasks.borrow_mut();
    let (mut exit, mut told) = (false, None);
    for effect in effects {
        match effect {
            Effect::Answer {
                conn,
                bytes,
                close,
                bad,
            } => {
                order(&tasks.clients, conn, Order::Answer { bytes, close, bad });
            }
            Effect::Relay { conn, bytes } => order(&tasks.clients, conn, Order::Piece { bytes }),
            Effect::Begin { conn } => order(&tasks.upstreams, conn, Order::Begin),
            Effect::More { conn } => order(&tasks.upstreams, conn, Order::More),
            Effect::CloseClient { conn } => order(&tasks.clients, conn, Order::Close),
            Effect::RetireClient { conn } => order(&tasks.clients, conn, Order::Retire),
            Effect::Connect { conn, address } => tasks.connect(conn, address),
            Effect::Write {
                conn,
                bytes,
                streamed,
                more,
            } => {
                order(
                    &tasks.upstreams,
                    conn,
                    Order::Ask {
                        bytes,
                        streamed,
                        more,
                    },
                );
            }
            Effect::Pass { conn, bytes, last } => {
                order(&tasks.upstreams, conn, Order::Pass { bytes, last });
            }
            Effect::MoreClient { conn } => order(&tasks.clients, conn, Order::More),
            Effect::CloseUpstream { conn } => order(&tasks.upstreams, conn, Order::Close),
            Effect::Withdraw { conn } => order(&tasks.upstreams, conn, Order::Withdraw),
            Effect::Watch {
                call,
                address,
                after,
            } => tasks.watch(call, address, after),
            Effect::CloseWatch { call } => order(&tasks.watches, call, Order::Close),
            Effect::AnswerAdmin { conn, bytes } => {
                order(
                    &tasks.admins,
                    conn,
                    Order::Answer {
                        bytes,
                        close: true,
                        bad: false,
                    },
                );
            }
            Effect::CloseAdmin { conn } => order(&tasks.admins, conn, Order::Close),
            Effect::Change { conn, change } => {
                let noted = tasks.handover.borrow_mut().change(change).cloned();
                told = Some(Input::Changed {
                    conn,
                    noted: noted.map_err(|error| error.to_string()),
                });
            }
            Effect::Datagram { to, bytes } => {
                let _ = tasks
                    .fleet
                    .as_ref()
                    .map(|fleet| fleet.try_send((to, bytes)));
            }
            Effect::CloseFleet => drop(tasks.fleet.take()),
            Effect::Accept => {
                let _ = tasks.accept.try_send(());
            }
            Effect::StopAccepting { leave } => {
                // It fails only when the listener has ended already.
                let _ =
                    tasks
                        .stop_accepting
                        .try_send(if leave { Order::Retire } else { Order::Close });
            }
            Effect::Exit => exit = true,
        }
    }
    (exit, told)
}

/// Keeps the way to a new task, and gives the task's end of it.
fn way(tasks: &mut HashMap<u64, Sender>, id: u64) -> Orders {
    let (sender, orders) = async_channel::unbounded();
    tasks.insert(id, sender);
    orders
}

/// A task that has ended takes no orders; its end is on its way to the reducer.
fn order(tasks: &HashMap<u64, Sender>, id: u64, order: Order) {
    if let Some(task) = tasks.get(&id) {
        let _ = task.try_send(order);
    }
}

impl Tasks<'_> {
    fn opened(&mut self, conn: ConnId, stream: Async<TcpStream>) {
        let orders = way(&mut self.clients, conn);
        self.inputs.send(Input::ClientOpened { conn });
        self.executor
            .spawn(client::serve(conn, stream, orders, self.inputs.clone()))
            .detach();
    }

    fn called(&mut self, conn: ConnId, stream: Async<TcpStream>) {
        let orders = way(&mut self.admins, conn);
        self.inputs.send(Input::AdminOpened { conn });
        self.executor
            .spawn(admin::serve(conn, stream, orders, self.inputs.clone()))
            .detach();
    }

    fn connect(&mut self, conn: ConnId, address: SocketAddr) {
        let orders = way(&mut self.upstreams, conn);
        self.executor
            .spawn(upstream::run(conn, address, orders, self.inputs.clone()))
            .detach();
    }

    fn watch(&mut self, call: CallId, address: SocketAddr, after: Option<u64>) {
        let orders = way(&mut self.watches, call);
        let watch = catalog::watch(call, address, after, orders, self.inputs.clone());
        self.executor.spawn(watch).detach();
    }

    /// Gives back the way to a task that tells its end.
    fn forget(&mut self, input: &Input) {
        match input {
            Input::ClientClosed { conn } => drop(self.clients.remove(conn)),
            Input::UpstreamClosed { conn, .. } => drop(self.upstreams.remove(conn)),
            Input::AdminClosed { conn } => drop(self.admins.remove(conn)),
            Input::WatchEnded { call } => drop(self.watches.remove(call)),
            _ => {}
        }
    }
}
