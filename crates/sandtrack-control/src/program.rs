//! The process: command line, executor, clock, signals, sockets, and the loop that hands inputs to the control node and
//! carries out its effects. It owns the tasks; it must never decide anything.
use crate::arrivals::Arrival;
use crate::control::Reply;
use crate::disk::{self, Done};
use crate::node::{ControlNode, Effect, Input, Start};
use crate::operators;
use crate::peers::{LinkOrder, PeerFrame};
use crate::platform::{self, Fetch};
use crate::sessions::SessionOrder;
use crate::socket::{self, Way};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use bpaf::{construct, long, OptionParser, Parser};
use futures_lite::{future, StreamExt};
use sandtrack_core::message::Message;
use sandtrack_net::socket::Clock;
use sandtrack_protocol::codes;
use sandtrack_protocol::frames::{self, ToControl};
use sandtrack_protocol::logs;
use sandtrack_protocol::settings::{Settings, SettingsError, PEER_PORT, SESSION_PORT};
use std::cell::RefCell;
use std::collections::HashMap;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, SystemTime};

/// Where the path of the settings file is.
pub const BOOT: &str = "SANDTRACK_BOOT";
/// Opening a link may take this long.
const DIAL_PATIENCE: Duration = Duration::from_millis(900);
/// So many new connections may wait to be accepted.
const BACKLOG: i32 = 1024;
/// How often it is looked whether the settings file has changed.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Verb {
    Run,
    Check,
}

#[derive(Clone, Debug)]
struct Cli {
    log_level: String,
    verb: Verb,
}

fn cli() -> OptionParser<Cli> {
    let log_level = long("log-level")
        .help("What is logged: off, error, warn, info, debug, trace")
        .argument("LEVEL")
        .fallback("info".to_owned());
    let run = bpaf::pure(Verb::Run)
        .to_options()
        .descr("Serves until SIGTERM; SIGHUP reads the settings again")
        .command("run");
    let check = bpaf::pure(Verb::Check)
        .to_options()
        .descr("Reads the settings file and says what is wrong with it")
        .command("check");
    let verb = construct!([run, check]).fallback(Verb::Run);
    construct!(Cli { log_level, verb }).to_options().descr(
        "The control plane: configuration, membership, the list of upstreams, the directory. \
         The path of the settings file is in SANDTRACK_BOOT.",
    )
}

/// Why the process can't serve.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("{0}")]
    Settings(#[from] SettingsError),
    #[error("E{} {address} can't be listened on: {why}", codes::LISTEN.0)]
    Listen { address: String, why: std::io::Error },
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("E{code} {why}", code = codes::WAL_FOREIGN.0)]
    Wal { why: sandtrack_wal::WalError },
}

impl Fault {
    /// What the process ends with: the code where there is one.
    fn exit(&self) -> ExitCode {
        match self {
            Fault::Settings(error) => ExitCode::from(u8::try_from(error.code().0).unwrap_or(1)),
            Fault::Listen { .. } => ExitCode::from(u8::try_from(codes::LISTEN.0).unwrap_or(1)),
            Fault::System(_) | Fault::Wal { .. } => ExitCode::FAILURE,
        }
    }
}

/// The program.
pub fn main() -> ExitCode {
    let cli = cli().run();
    // Before all else: a signal that comes while this process starts would end it.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let settings = read_settings();
    let node = settings.as_ref().map_or("", |settings| &settings.node_name);
    logs::start(node, &cli.log_level);
    let done = match (cli.verb, settings) {
        (_, Err(error)) => Err(Fault::from(error)),
        (Verb::Check, Ok(settings)) => {
            println!("the settings of {} can be run with", settings.node_name);
            Ok(())
        }
        (Verb::Run, Ok(settings)) => signals.map_err(Fault::from).and_then(|signals| {
            let executor = Rc::new(LocalExecutor::new());
            // async-io's own: this thread polls for events itself.
            async_io::block_on(executor.run(serve(settings, signals, executor.clone())))
        }),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("{fault}");
            eprintln!("control node: {fault}");
            fault.exit()
        }
    }
}

/// Reads the settings, and whether what a control node serves is among them.
fn read_settings() -> Result<Settings, SettingsError> {
    let path =
        std::env::var_os(BOOT).ok_or_else(|| SettingsError::Unreadable(format!("no path in {BOOT}")))?;
    let settings = Settings::read(&PathBuf::from(path))?;
    for served in ["control", "directory"] {
        if !settings.listen.contains_key(served) {
            return Err(SettingsError::Field(format!("listen_addresses.{served}")));
        }
    }
    Ok(settings)
}

fn bind(address: &str) -> Result<Async<TcpListener>, Fault> {
    let wrong = |why| Fault::Listen { address: address.to_owned(), why };
    let parsed: SocketAddr = address
        .parse()
        .map_err(|error| wrong(std::io::Error::new(std::io::ErrorKind::InvalidInput, error)))?;
    let listener = Async::<TcpListener>::bind(parsed).map_err(wrong)?;
    // The library's own is short: where hundreds come at once, the rest would come again only after a second.
    if let Err(error) = rustix::net::listen(&listener, BACKLOG) {
        log::debug!("a queue of new connections stays short: {error}");
    }
    Ok(listener)
}

/// What tasks and the loop share.
struct Runtime<'a> {
    executor: Rc<LocalExecutor<'a>>,
    clock: Clock,
    inputs: async_channel::Sender<Input>,
    control_node: RefCell<ControlNode>,
    links: RefCell<HashMap<u64, Way>>,
    sessions: RefCell<HashMap<u64, Way>>,
    calls: RefCell<HashMap<u64, async_channel::Sender<Reply>>>,
    disk: Option<async_channel::Sender<disk::Order>>,
    fetches: async_channel::Sender<Fetch>,
    platform: RefCell<String>,
}

impl Runtime<'_> {
    fn tell(&self, input: Input) {
        // It fails only when the process is on its way out.
        let _ = self.inputs.try_send(input);
    }
}

async fn serve(
    settings: Settings, mut signals: Signals, executor: Rc<LocalExecutor<'_>>,
) -> Result<(), Fault> {
    let (inputs, received) = async_channel::unbounded();
    let (recovered, wal) = match &settings.data_directory {
        Some(folder) => {
            let (wal, recovered) = disk::open(folder).map_err(|why| Fault::Wal { why })?;
            (recovered, Some(wal))
        }
        None => (Vec::new(), None),
    };
    let control = bind(&settings.listen["control"])?;
    let directory = bind(&settings.listen["directory"])?;
    let peers = bind(&settings.internal_address(&settings.ip_address, PEER_PORT))?;
    let sessions = bind(&settings.internal_address(&settings.ip_address, SESSION_PORT))?;
    let clock = Clock::start();
    let incarnation = RandomState::new().build_hasher().finish();
    let disk = match wal {
        Some(wal) => {
            let (orders, ordered) = async_channel::unbounded();
            let inputs = inputs.clone();
            disk::start(wal, ordered, move |done| {
                let _ = inputs.try_send(match done {
                    Done::Written(ticket) => Input::Written { ticket },
                    Done::Failed(ticket) => Input::WriteFailed { ticket },
                    Done::Unknown => {
                        log::error!("E{}: it starts anew", codes::WAL_FULL.0);
                        std::process::exit(1);
                    }
                });
            })?;
            Some(orders)
        }
        None => None,
    };
    let start = Start { incarnation, recovered, disk: disk.is_some() };
    let platform = settings.cloud_api.address.clone();
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
        disk,
        fetches,
        platform: RefCell::new(platform),
    });
    let called = runtime.inputs.clone();
    executor
        .spawn(platform::run(fetched, move |call| {
            let _ = called.try_send(Input::Called(call));
        }))
        .detach();
    let (held_up, look_again) = async_channel::bounded(1);
    spawn_listeners(&runtime, control, directory, peers, sessions, look_again);
    executor.spawn(watch_settings(runtime.inputs.clone())).detach();
    perform(&runtime, effects);
    let mut awake_since = runtime.control_node.borrow().awake_since();

    loop {
        let due = clock.at(runtime.control_node.borrow().next_due());
        let input = async { received.recv().await.ok() };
        let signal = async {
            match signals.next().await {
                Some(Ok(Signal::Hup)) => reload(),
                Some(Ok(_)) => Some(Input::Terminate),
                _ => future::pending().await,
            }
        };
        let tick = async {
            Timer::at(due).await;
            Some(Input::Tick)
        };
        let mut next = future::or(future::or(signal, input), tick).await;
        let mut effects = Vec::new();
        while let Some(input) = next {
            if let Input::Reload(settings) = &input {
                runtime.platform.replace(settings.cloud_api.address.clone());
            }
            runtime.control_node.borrow_mut().handle(clock.now(), input, &mut effects);
            next = received.try_recv().ok();
        }
        if clock.at(runtime.control_node.borrow().next_due()) <= std::time::Instant::now() {
            runtime.control_node.borrow_mut().handle(clock.now(), Input::Tick, &mut effects);
        }
        let since = runtime.control_node.borrow().awake_since();
        if std::mem::replace(&mut awake_since, since) != since {
            let _ = held_up.try_send(());
        }
        if perform(&runtime, effects) {
            // What is still to be written goes out before the process does.
            runtime.links.borrow_mut().clear();
            runtime.sessions.borrow_mut().clear();
            Timer::after(Duration::from_millis(50)).await;
            return Ok(());
        }
        future::yield_now().await;
    }
}

/// SIGHUP: a faulty file changes nothing.
fn reload() -> Option<Input> {
    match read_settings() {
        Ok(settings) => Some(Input::Reload(Box::new(settings))),
        Err(error) => {
            log::error!("settings kept as they were: {error}");
            None
        }
    }
}

/// The file may also change without a signal.
async fn watch_settings(inputs: async_channel::Sender<Input>) {
    let changed = || -> Option<SystemTime> {
        std::fs::metadata(std::env::var_os(BOOT)?).and_then(|file| file.modified()).ok()
    };
    let mut before = changed();
    loop {
        Timer::after(SETTINGS_EVERY).await;
        let now = changed();
        if now.is_some() && now != std::mem::replace(&mut before, now) {
            if let Some(input) = reload() {
                let _ = inputs.try_send(input);
            }
        }
    }
}

fn spawn_listeners(
    runtime: &Rc<Runtime<'_>>, control: Async<TcpListener>, directory: Async<TcpListener>,
    peers: Async<TcpListener>, sessions: Async<TcpListener>, look_again: async_channel::Receiver<()>,
) {
    let here = runtime.clone();
    let accept = operators::listen(control, runtime.clock, look_again, move |stream, arrival| {
        let runtime = here.clone();
        let run = async move {
            let submit = |message| submit(&runtime, arrival, message);
            operators::serve_call(&stream, runtime.clock, submit).await;
        };
        here.executor.spawn(run).detach();
    });
    runtime.executor.spawn(accept).detach();
    let here = runtime.clone();
    let accept = socket::listen(directory, move |stream| {
        let runtime = here.clone();
        let run = async move {
            let answer = |message: &Message| {
                runtime.control_node.borrow_mut().resolve(runtime.clock.now(), &message.head)
            };
            operators::serve_calls(&stream, answer).await;
        };
        here.executor.spawn(run).detach();
    });
    runtime.executor.spawn(accept).detach();
    let here = runtime.clone();
    let accept = socket::listen(peers, move |stream| {
        let link = here.control_node.borrow_mut().link_accepted(here.clock.now());
        let (way, outgoing) = socket::way();
        here.links.borrow_mut().insert(link, way);
        let runtime = here.clone();
        here.executor.spawn(async move { run_link(&runtime, link, &stream, &outgoing).await }).detach();
    });
    runtime.executor.spawn(accept).detach();
    let here = runtime.clone();
    let accept = socket::listen(sessions, move |stream| {
        let session = here.control_node.borrow_mut().session_accepted(here.clock.now());
        let (way, outgoing) = socket::way();
        here.sessions.borrow_mut().insert(session, way);
        let runtime = here.clone();
        let run = async move {
            let told = |frame: ToControl| runtime.tell(Input::SessionFrame { session, frame });
            socket::carry(&stream, &outgoing, told).await;
            runtime.sessions.borrow_mut().remove(&session);
            runtime.tell(Input::SessionClosed { session });
        };
        here.executor.spawn(run).detach();
    });
    runtime.executor.spawn(accept).detach();
}

async fn run_link(runtime: &Runtime<'_>, link: u64, stream: &Async<TcpStream>, outgoing: &socket::Outgoing) {
    runtime.tell(Input::LinkOpened { link });
    let told = |frame: PeerFrame| runtime.tell(Input::LinkFrame { link, frame });
    socket::carry(stream, outgoing, told).await;
    runtime.links.borrow_mut().remove(&link);
    runtime.tell(Input::LinkClosed { link });
}

/// Carries out effects in order; yes when the process is to end.
fn perform(runtime: &Rc<Runtime<'_>>, effects: Vec<Effect>) -> bool {
    let mut exit = false;
    for effect in effects {
        match effect {
            Effect::Reply { call, reply } => {
                if let Some(caller) = runtime.calls.borrow_mut().remove(&call) {
                    let _ = caller.try_send(reply);
                }
            }
            Effect::Link(order) => link_order(runtime, order),
            Effect::Session(SessionOrder::Send { session, bytes }) => {
                let mut sessions = runtime.sessions.borrow_mut();
                if sessions.get(&session).is_some_and(|way| !way.send(bytes)) {
                    sessions.remove(&session);
                }
            }
            Effect::Session(SessionOrder::Close { session }) => {
                runtime.sessions.borrow_mut().remove(&session);
            }
            Effect::Write { ticket, records } => {
                let _ =
                    runtime.disk.as_ref().map(|disk| disk.try_send(disk::Order::Append { ticket, records }));
            }
            Effect::Rewrite { ticket, records } => {
                let _ =
                    runtime.disk.as_ref().map(|disk| disk.try_send(disk::Order::Rewrite { ticket, records }));
            }
            Effect::Fetch { token } => {
                let address = runtime.platform.borrow().clone();
                let _ = runtime.fetches.try_send(Fetch { address, token });
            }
            Effect::Exit => exit = true,
        }
    }
    exit
}

fn link_order(runtime: &Rc<Runtime<'_>>, order: LinkOrder) {
    match order {
        LinkOrder::Dial { link, address } => {
            let (way, outgoing) = socket::way();
            runtime.links.borrow_mut().insert(link, way);
            let here = runtime.clone();
            let run = async move {
                match socket::connect(&address, DIAL_PATIENCE).await {
                    Ok(stream) => run_link(&here, link, &stream, &outgoing).await,
                    Err(error) => {
                        log::debug!("no link with {address}: {error}");
                        here.links.borrow_mut().remove(&link);
                        here.tell(Input::LinkClosed { link });
                    }
                }
            };
            runtime.executor.spawn(run).detach();
        }
        LinkOrder::Send { link, frame } => {
            let mut links = runtime.links.borrow_mut();
            if links.get(&link).is_some_and(|way| !way.send(frames::frame(&frame).into())) {
                log::warn!("a link takes nothing: it is given up");
                links.remove(&link);
            }
        }
        LinkOrder::Close { link } => {
            runtime.links.borrow_mut().remove(&link);
        }
    }
}

async fn submit(runtime: &Runtime<'_>, arrival: Arrival, message: Message) -> Option<Reply> {
    let (sender, reply) = async_channel::bounded(1);
    let call = runtime.control_node.borrow_mut().call_begun(arrival);
    runtime.calls.borrow_mut().insert(call, sender);
    runtime.tell(Input::Call { call, message });
    reply.recv().await.ok()
}
