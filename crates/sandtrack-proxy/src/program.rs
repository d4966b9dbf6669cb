//! The proxy's process: settings, listeners, signals, and the tasks that share one thread.
use crate::context::ProxyContext;
use crate::placement::balancer::Balancer;
use crate::policy::Policy;
use crate::{control_session, health_checks, listener, metrics as process_metrics};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use bpaf::{construct, long, OptionParser, Parser};
use futures_lite::{future, StreamExt};
use sandtrack_net::file_change::FileChange;
use sandtrack_net::text_server;
use sandtrack_protocol::codes;
use sandtrack_protocol::logs;
use sandtrack_protocol::metrics;
use sandtrack_protocol::settings::Settings;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// Clients hold an answer of the directory for up to three times its lifetime of a second: so long after it was told to
/// stop, this process still accepts, in ms.
const ACCEPT_ON: f64 = 3300.0;
/// ... and this part of its grace at most.
const ACCEPT_SHARE: f64 = 0.5;
/// So long after its start a process lets clients wait for a configuration, in ms: a connection that is not read from for a
/// second is given up by its client.
const READY_PATIENCE: f64 = 800.0;
const READY_LOOK: Duration = Duration::from_millis(10);
/// How often it is looked whether the settings file has changed.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);
/// Part of the grace that is kept back, in ms.
const GRACE_MARGIN: f64 = 400.0;

struct Options {
    check: bool,
    log_level: String,
    policy: Policy,
}

fn options() -> OptionParser<Options> {
    let check = long("check")
        .help("Read and check the settings, and end")
        .switch();
    let log_level = long("log-level")
        .help("error, warn, info or debug")
        .argument("LEVEL");
    let log_level = log_level.fallback("info".to_owned());
    let policy = policy();
    construct!(Options {
        check,
        log_level,
        policy
    })
    .to_options()
    .descr("The data plane of sandtrack")
}

/// The constants that decisions go by: in a release build always the default.
#[cfg(not(feature = "ablation"))]
fn policy() -> impl Parser<Policy> {
    bpaf::pure(Policy::default())
}

/// The constants that decisions go by, some of them set anew.
#[cfg(feature = "ablation")]
fn policy() -> impl Parser<Policy> {
    let policy = long("policy")
        .help("Constants set anew: NAME=VALUE,...")
        .argument::<String>("CHANGES");
    policy
        .parse(|changes| Policy::with(&changes))
        .fallback(Policy::default())
}

/// The program; gives its exit code: 0 after SIGTERM, 1 when it can't listen, 2 when its settings are wrong.
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
    logs::start(&settings.node_name, &options.log_level);
    let signals = match Signals::new([Signal::Term, Signal::Int, Signal::Hup]) {
        Ok(signals) => signals,
        Err(error) => {
            log::error!("no signals: {error}");
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

/// Clients wait in the listener's queue until there is a configuration to serve by; after [`READY_PATIENCE`] they are told
/// that there is none.
async fn until_ready(context: &ProxyContext) {
    let late = context.clock.now() + READY_PATIENCE;
    while !context.balancer.borrow().is_ready() && context.clock.now() < late {
        Timer::after(READY_LOOK).await;
    }
}

fn bind(settings: &Settings, name: &str) -> std::io::Result<Option<Async<TcpListener>>> {
    let Some(address) = settings.listen.get(name) else {
        return Ok(None);
    };
    let wrong = |_| std::io::Error::other(format!("{name}: `{address}` is no address"));
    let address: SocketAddr = address.parse().map_err(wrong)?;
    Async::<TcpListener>::bind(address).map(Some)
}

/// Without its figures a process serves all the same.
fn metrics_listener(settings: &Settings) -> Option<Async<TcpListener>> {
    let address = metrics::address(settings, metrics::PROXY_PORT);
    let listener = text_server::listen(&address);
    listener
        .inspect_err(|error| log::warn!("no figures at {address}: {error}"))
        .ok()
}

/// Reads the settings again at SIGHUP, and where their file has changed without one. Returns at any other signal.
async fn until_told_to_stop(context: &ProxyContext, path: &Path, signals: &mut Signals) {
    let mut file = FileChange::of(path.to_owned());
    loop {
        let signal = async { Some(signals.next().await) };
        let look = async {
            Timer::after(SETTINGS_EVERY).await;
            None
        };
        match future::or(signal, look).await {
            Some(Some(Ok(Signal::Hup))) => read_again(context, path),
            Some(_) => return,
            None if file.is_new() => read_again(context, path),
            None => {}
        }
    }
}

/// A faulty file changes nothing.
fn read_again(context: &ProxyContext, path: &Path) {
    match Settings::read(path) {
        Ok(settings) => {
            context.balancer.borrow_mut().settings_changed(&settings);
            *context.settings.borrow_mut() = settings;
            log::info!("settings read again");
        }
        Err(error) => log::error!("settings are kept as they were: {error}"),
    }
}

async fn serve(
    settings: Settings,
    policy: Policy,
    path: PathBuf,
    mut signals: Signals,
    executor: Rc<LocalExecutor<'static>>,
) -> std::io::Result<()> {
    let seed = RandomState::new().build_hasher().finish();
    let (leave, left) = async_channel::bounded::<()>(1);
    let (stop, stopped) = async_channel::bounded::<()>(1);
    let grace = settings.bounds.grace_s * 1000.0;
    let listener = bind(&settings, "front")?;
    let checks = bind(&settings, "readiness")?;
    let scraped = metrics_listener(&settings);
    let balancer = Balancer::with_policy(&settings, seed, Rc::new(policy));
    let context = Rc::new(ProxyContext::new(
        settings,
        balancer,
        executor.clone(),
        seed,
        left,
    ));
    if let Some(listener) = listener {
        let serving = context.clone();
        let accepting = async move {
            until_ready(&serving).await;
            listener::accept(serving, listener, stopped).await;
        };
        executor.spawn(accepting).detach();
    }
    if let Some(checks) = checks {
        executor
            .spawn(listener::readiness(context.clone(), checks))
            .detach();
    }
    if let Some(scraped) = scraped {
        let told = context.clone();
        let serving = async move {
            text_server::serve(scraped, metrics::PATH, || process_metrics::text(&told)).await
        };
        executor.spawn(serving).detach();
    }
    executor
        .spawn(control_session::connection::run(context.clone()))
        .detach();
    executor.spawn(health_checks::run(context.clone())).detach();
    log::info!("proxy started");
    until_told_to_stop(&context, &path, &mut signals).await;
    // Out of the directory first; clients that hold an old answer are served on; then what is open ends.
    let told = context.clock.now();
    context.balancer.borrow_mut().leaving = true;
    context.tell_news();
    leave.close();
    log::info!("told to stop");
    Timer::after(Duration::from_secs_f64(
        ACCEPT_ON.min(grace * ACCEPT_SHARE) / 1000.0,
    ))
    .await;
    stop.close();
    while context.connections.get() > 0 && context.clock.now() - told < grace - GRACE_MARGIN {
        Timer::after(Duration::from_millis(20)).await;
    }
    log::info!("proxy ends");
    Ok(())
}
