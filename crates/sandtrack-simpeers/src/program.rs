//! The command line: what is measured, and the line of figures that a run leaves.
use crate::{control, proxy, slope, Fault};
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use bpaf::{construct, long, OptionParser, Parser};
use futures_lite::{future, StreamExt};
use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

/// No run takes longer than this, whatever happens.
const MOST: Duration = Duration::from_secs(420);
/// More than these are refused: other work runs on the machine as well.
const PROCESSES_MOST: usize = 100;
const PROXIES_MOST: usize = 4000;

#[derive(Clone, Debug)]
enum Verb {
    Control(control::Plan),
    Proxy(proxy::Plan),
    Line(Ask),
}

/// A line through figures that runs left.
#[derive(Clone, Debug)]
struct Ask {
    from: PathBuf,
    runs: String,
    by: String,
    figure: String,
    at: f64,
}

#[derive(Clone, Debug)]
struct Cli {
    out: Option<PathBuf>,
    why: String,
    verb: Verb,
}

fn number(name: &'static str, help: &'static str, fallback: usize) -> impl Parser<usize> {
    long(name).help(help).argument::<usize>("N").fallback(fallback)
}

fn seconds() -> impl Parser<f64> {
    long("seconds")
        .help("How long the calm stretch is")
        .argument::<f64>("S")
        .fallback(20.0)
        .guard(|seconds| (1.0..=120.0).contains(seconds), "1 to 120 seconds")
}

fn control_plan() -> impl Parser<Verb> {
    let control_node = long("control node")
        .help("The program")
        .argument::<PathBuf>("PATH")
        .fallback(PathBuf::from("target/release/sandtrack-control"));
    let control_nodes = number("control-nodes", "Real control nodes, one a zone", 3)
        .guard(|count| (1..=PROCESSES_MOST).contains(count), "1 to 100 processes");
    let proxies =
        number("proxies", "Simulated proxies", 12).guard(|count| *count <= PROXIES_MOST, "4000 at most");
    let upstreams = number("upstreams", "Upstreams in the list", 14);
    let tenants = number("tenants", "Items of the configuration besides routes and services", 0);
    let seconds = seconds();
    let changes = number("changes", "Changes of one item, a second apart", 10);
    let marks = number("marks", "Upstreams marked as draining, one after the other", 3);
    let rate = long("rate").help("Calls a second that the list takes").argument::<f64>("R").fallback(47.0);
    let page = number("page", "Upstreams on a page of the list", 50);
    let kill = long("kill").help("Kill the control node with most sessions at the end").switch();
    construct!(control::Plan {
        control_node,
        control_nodes,
        proxies,
        upstreams,
        tenants,
        seconds,
        changes,
        marks,
        rate,
        page,
        kill
    })
    .map(Verb::Control)
}

fn proxy_plan() -> impl Parser<Verb> {
    let proxy = long("proxy")
        .help("The program")
        .argument::<PathBuf>("PATH")
        .fallback(PathBuf::from("target/release/sandtrack-proxy"));
    let upstreams = number("upstreams", "Upstreams in the list", 14);
    let tenants = number("tenants", "Items of the configuration besides routes and services", 0);
    let zones = number("zones", "Zones", 41);
    let seconds = seconds();
    let changes = number("changes", "Changes of one item, a second apart", 5);
    construct!(proxy::Plan { proxy, upstreams, tenants, zones, seconds, changes }).map(Verb::Proxy)
}

fn ask() -> impl Parser<Verb> {
    let from = long("from").help("The file of lines").argument::<PathBuf>("FILE");
    let runs = long("runs").help("What the runs were for, as they say").argument::<String>("TEXT");
    let by =
        long("by").help("The size: proxies, upstreams, tenants, control nodes").argument::<String>("SIZE");
    let figure = long("figure").help("The figure").argument::<String>("NAME");
    let at = long("at").help("The size to go on to").argument::<f64>("N");
    construct!(Ask { from, runs, by, figure, at }).map(Verb::Line)
}

/// The line through what was measured, with the standard error of its slope, and where it ends up.
fn drawn(ask: &Ask) -> Result<String, Fault> {
    let points = slope::points(&std::fs::read_to_string(&ask.from)?, &ask.runs, &ask.by, &ask.figure);
    let line = slope::Line::through(&points);
    let line = line.ok_or_else(|| Fault::Run("fewer than three sizes: no slope".to_owned()))?;
    let Ask { by, figure, at, .. } = ask;
    let (base, slope, error, end) = (line.base, line.slope, line.slope_error, line.at(*at));
    Ok(format!(
        "{figure} = {base:.6} + {slope:.3e} (+- {error:.1e}) x {by}: {end:.6} at {at}; points {points:?}"
    ))
}

fn cli() -> OptionParser<Cli> {
    let out =
        long("out").help("Append the line of figures to this file").argument::<PathBuf>("FILE").optional();
    let why = long("why").help("What the run is for").argument::<String>("TEXT").fallback(String::new());
    let control =
        control_plan().to_options().descr("Real control nodes with simulated proxies").command("control");
    let proxy = proxy_plan().to_options().descr("One real proxy with stand-ins around it").command("proxy");
    let line = ask().to_options().descr("A line through the figures of runs").command("line");
    let verb = construct!([control, proxy, line]);
    construct!(Cli { out, why, verb })
        .to_options()
        .descr("Measures processes of the system at a size, on loopback")
}

/// The machine's load over a minute: figures of a busy machine are told as such.
fn load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().and_then(|load| load.parse().ok()).unwrap_or(-1.0)
}

/// The line that a run leaves.
fn line(cli: &Cli, load: f64, figures: &BTreeMap<String, f64>) -> String {
    let (kind, sizes) = match &cli.verb {
        Verb::Control(plan) => (
            "control",
            format!(
                "\"postmasters\":{},\"couriers\":{},\"upstreams\":{},\"tenants\":{},\"rate\":{},\"page\":{}",
                plan.control_nodes, plan.proxies, plan.upstreams, plan.tenants, plan.rate, plan.page
            ),
        ),
        Verb::Proxy(plan) => {
            ("proxy", format!("\"upstreams\":{},\"tenants\":{}", plan.upstreams, plan.tenants))
        }
        Verb::Line(_) => ("line", String::new()),
    };
    let figures: Vec<String> = figures.iter().map(|(name, figure)| format!("\"{name}\":{figure}")).collect();
    let why = cli.why.replace(['"', '\\'], "'");
    format!(
        "{{\"kind\":\"{kind}\",\"why\":\"{why}\",\"load_before\":{load},{sizes},\"figures\":{{{}}}}}",
        figures.join(",")
    )
}

fn play(cli: &Cli, folder: &Path) -> Result<String, Fault> {
    let executor = Rc::new(LocalExecutor::new());
    let load = load();
    let here = executor.clone();
    let run = async move {
        match &cli.verb {
            Verb::Control(plan) => control::run(plan, here, folder).await,
            Verb::Proxy(plan) => proxy::run(plan, here, folder).await,
            Verb::Line(_) => Ok(BTreeMap::new()),
        }
    };
    let late = async {
        async_io::Timer::after(MOST).await;
        Err(Fault::Run("the run took too long and was ended".to_owned()))
    };
    // A run that is ended ends what it started: the processes go with what holds them.
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    let told = async {
        signals.next().await;
        Err(Fault::Run("the run was told to end".to_owned()))
    };
    let run = future::or(told, future::or(run, late));
    let figures = async_io::block_on(executor.run(run))?;
    Ok(line(cli, load, &figures))
}

/// The program.
pub fn main() -> ExitCode {
    let cli = cli().run();
    if let Verb::Line(ask) = &cli.verb {
        return match drawn(ask) {
            Ok(line) => {
                println!("{line}");
                ExitCode::SUCCESS
            }
            Err(fault) => {
                eprintln!("simulated: {fault}");
                ExitCode::FAILURE
            }
        };
    }
    let folder = std::env::temp_dir().join(format!("simulated-{}", std::process::id()));
    let played = std::fs::create_dir_all(&folder).map_err(Fault::from).and_then(|()| play(&cli, &folder));
    let keep = std::env::var_os("SIMPEERS_KEEP").is_some();
    if !keep {
        let _ = std::fs::remove_dir_all(&folder);
    }
    let line = match played {
        Ok(line) => line,
        Err(fault) => {
            eprintln!("simulated: {fault}");
            return ExitCode::FAILURE;
        }
    };
    println!("{line}");
    let file = cli.out.map(|out| std::fs::OpenOptions::new().create(true).append(true).open(out));
    match file.transpose().and_then(|file| file.map(|mut file| writeln!(file, "{line}")).transpose()) {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulated: the line was not kept: {error}");
            ExitCode::FAILURE
        }
    }
}
