//! The proxy process: command line, settings, listeners, signals, and tasks, all on one thread.
mod options;
mod settings_reload;

use crate::context::ProxyContext;
use crate::placement::balancer::Balancer;
use crate::policy::Policy;
use crate::{control_session, health_checks, listener, metrics as process_metrics};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use options::{options, Options};
use sandtrack_net::text_server;
use sandtrack_protocol::codes;
use sandtrack_protocol::logs;
use sandtrack_protocol::metrics;
use sandtrack_protocol::settings::Settings;
use settings_reload::reload_until_stopped;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// How long the process accepts connections after it started to drain, in ms, limited to [`DRAINING_ACCEPT_SHARE`] of the grace
/// period. Clients keep a directory entry for up to three times its lifetime of 1 s.
const DRAINING_ACCEPT_MS: f64 = 3300.0;
/// Largest share of the grace period in which a draining process accepts connections.
const DRAINING_ACCEPT_SHARE: f64 = 0.5;
/// How long a starting process waits for a configuration before it accepts connections, in ms. Clients give up a connection that
/// is not read from for 1 s.
const READY_TIMEOUT_MS: f64 = 800.0;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The process exits this long before the end of the grace period, in ms.
const GRACE_MARGIN_MS: f64 = 400.0;
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sockets that the process listens on.
struct Listeners {
    /// Client connections.
    clients: Option<Async<TcpListener>>,
    /// The platform's readiness check.
    readiness: Option<Async<TcpListener>>,
    metrics: Option<Async<TcpListener>>,
}

/// Runs the program. Exit codes: 0 after SIGTERM, 1 if it can't listen, 2 if its settings are invalid.
pub fn main() -> ExitCode {
    let options = options().run();
    let path = PathBuf::from(std::env::var_os("SANDTRACK_BOOT").unwrap_or_default());
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            logs::start("", &options.log_level);
            log::error!("{error}");
            return ExitCode::from(2);
        }
    };
    if options.check {
        return ExitCode::SUCCESS;
    }
    run(settings, options, path)
}

fn run(settings: Settings, options: Options, path: PathBuf) -> ExitCode {
    logs::start(&settings.node_name, &options.log_level);
    settings.log_unsupported_contracts();
    let signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("installing signal handlers failed: {error}");
            return ExitCode::FAILURE;
        }
    };
    let executor = Rc::new(LocalExecutor::new());
    let serving = serve(settings, options.policy, path, signals, executor.clone());
    match async_io::block_on(executor.run(serving)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{} {error}", codes::LISTEN);
            ExitCode::FAILURE
        }
    }
}

/// Serves until the process receives a stop signal, then drains it.
async fn serve(
    settings: Settings,
    policy: Policy,
    path: PathBuf,
    mut signals: Signals,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    let seed = RandomState::new().build_hasher().finish();
    let (start_draining, draining) = async_channel::bounded::<()>(1);
    let (stop_accepting, accepting_stopped) = async_channel::bounded::<()>(1);
    let grace = settings.bounds.grace_s * 1000.0;
    let listeners = Listeners::bind(&settings)?;
    let balancer = Balancer::with_policy(&settings, seed, Rc::new(policy));
    let context = Rc::new(ProxyContext::new(
        settings, balancer, executor, seed, draining,
    ));
    start_tasks(&context, listeners, accepting_stopped);
    log::info!("proxy started");
    reload_until_stopped(&context, &path, &mut signals).await;
    // First the proxy is removed from the directory, while clients with an old entry are still served; then it waits for open
    // connections to end.
    let stopped_at = context.clock.now();
    context.balancer.borrow_mut().draining = true;
    context.notify_state_changed();
    start_draining.close();
    log::info!("told to stop");
    let accept_for = DRAINING_ACCEPT_MS.min(grace * DRAINING_ACCEPT_SHARE);
    Timer::after(Duration::from_secs_f64(accept_for / 1000.0)).await;
    stop_accepting.close();
    while context.client_connections.get() > 0
        && context.clock.now() - stopped_at < grace - GRACE_MARGIN_MS
    {
        Timer::after(DRAIN_POLL_INTERVAL).await;
    }
    log::info!("proxy ends");
    Ok(())
}

impl Listeners {
    fn bind(settings: &Settings) -> std::io::Result<Listeners> {
        Ok(Listeners {
            clients: bind(settings, "front")?,
            readiness: bind(settings, "readiness")?,
            metrics: bind_metrics(settings),
        })
    }
}

/// Binds the listen address with this name; `None` if the settings have none.
fn bind(settings: &Settings, name: &str) -> std::io::Result<Option<Async<TcpListener>>> {
    let Some(address) = settings.listen.get(name) else {
        return Ok(None);
    };
    let invalid = |_| std::io::Error::other(format!("{name}: `{address}` is no address"));
    let address: SocketAddr = address.parse().map_err(invalid)?;
    Async::<TcpListener>::bind(address).map(Some)
}

/// Binds the metrics address. If that fails, the process serves without a metrics endpoint.
fn bind_metrics(settings: &Settings) -> Option<Async<TcpListener>> {
    let address = metrics::address(settings, metrics::PROXY_PORT);
    let listener = text_server::listen(&address);
    listener
        .inspect_err(|error| log::warn!("metrics endpoint unavailable at {address}: {error}"))
        .ok()
}

fn start_tasks(
    context: &Rc<ProxyContext>,
    listeners: Listeners,
    accepting_stopped: async_channel::Receiver<()>,
) {
    let executor = &context.executor;
    if let Some(clients) = listeners.clients {
        let task_context = context.clone();
        let accepting = async move {
            until_ready(&task_context).await;
            listener::accept(task_context, clients, accepting_stopped).await;
        };
        executor.spawn(accepting).detach();
    }
    if let Some(readiness) = listeners.readiness {
        executor
            .spawn(listener::readiness::run(context.clone(), readiness))
            .detach();
    }
    if let Some(metrics_listener) = listeners.metrics {
        let task_context = context.clone();
        let serving = async move {
            let render = || process_metrics::render(&task_context);
            text_server::serve(metrics_listener, metrics::PATH, render).await;
        };
        executor.spawn(serving).detach();
    }
    executor
        .spawn(control_session::connection::run(context.clone()))
        .detach();
    executor.spawn(health_checks::run(context.clone())).detach();
}

/// Waits until there is a configuration, at most [`READY_TIMEOUT_MS`]; clients wait in the listener's backlog meanwhile.
async fn until_ready(context: &ProxyContext) {
    let deadline = context.clock.now() + READY_TIMEOUT_MS;
    while !context.balancer.borrow().is_ready() && context.clock.now() < deadline {
        Timer::after(READY_POLL_INTERVAL).await;
    }
}
