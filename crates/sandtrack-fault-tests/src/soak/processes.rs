//! What the processes say of themselves: their figures, their logs, their memory.
use crate::http::call;
use crate::plan::Plan as Addresses;
use crate::system::process::Process;
use crate::system::settings::Role;
use sandtrack_protocol::metrics;
use std::path::Path;
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(5);
/// A process may have this at its peak, in kB: half of the users' 260 MB.
const PEAK_MOST_KB: u64 = 130 * 1024;
/// What figures that must be 0 begin with.
const ZERO_FIGURES: [&str; 2] = [
    "sandtrack_invariant_violations_total{",
    "sandtrack_control_configuration_invalid ",
];
/// What no log may hold.
const FAULTS: [&str; 2] = ["invariant ", "panicked at"];

/// What the figures of a running process tell against it.
pub async fn figures_faults(addresses: &Addresses, process: &Process) -> Vec<String> {
    let port = match process.role {
        Role::Control => metrics::CONTROL_PORT,
        Role::Proxy => metrics::PROXY_PORT,
    };
    let at = addresses.announced(process.machine, port);
    let name = process.name();
    let Some((200, body)) = call(at, "GET", metrics::PATH, PATIENCE).await else {
        return vec![format!("{name} tells no figures")];
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let is_zero_expected = |line: &&str| ZERO_FIGURES.iter().any(|name| line.starts_with(name));
    let violated = text
        .lines()
        .filter(is_zero_expected)
        .filter(|line| !line.ends_with(" 0"));
    violated.map(|line| format!("{name}: {line}")).collect()
}

/// Lines of the logs in a folder that tell of a fault of the program.
pub fn log_faults(folder: &Path) -> Vec<String> {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    let logs = files
        .map(|file| file.path())
        .filter(|path| path.extension().is_some_and(|end| end == "log"));
    let mut faults = Vec::new();
    for path in logs {
        let text = std::fs::read_to_string(&path).unwrap_or_default();
        let lines = text
            .lines()
            .filter(|line| FAULTS.iter().any(|fault| line.contains(fault)));
        let name = path
            .file_stem()
            .unwrap_or_default()
            .to_string_lossy()
            .into_owned();
        faults.extend(lines.take(3).map(|line| format!("{name}: {line}")));
    }
    faults
}

/// Memory of a running process at its peak, in kB.
pub fn peak_kb(process: &Process) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.id()?)).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmHWM:"))?;
    line.split_ascii_whitespace().nth(1)?.parse().ok()
}

/// What is told against a process for its memory.
pub fn memory_fault(process: &Process) -> Option<String> {
    let peak = peak_kb(process).filter(|peak| *peak > PEAK_MOST_KB)?;
    Some(format!("{} had {peak} kB at its peak", process.name()))
}
