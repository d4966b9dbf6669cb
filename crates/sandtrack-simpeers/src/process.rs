//! Real processes that are measured: started with a settings file, read through /proc, and ended when dropped.
use crate::Fault;
use std::fs::{self, File};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process that was started here; it is killed when this is dropped.
pub struct Measured {
    child: Child,
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Used {
    /// Processor time of all its threads, in ms.
    pub processor_ms: f64,
    pub resident_kb: u64,
    pub peak_kb: u64,
    pub descriptors: usize,
}

impl Measured {
    /// # Errors
    /// Where it can't be started.
    pub fn start(program: &Path, settings: &Path, log: &Path) -> Result<Measured, Fault> {
        let mut command = Command::new(program);
        command.env("SANDTRACK_BOOT", settings).stdin(Stdio::null()).stdout(Stdio::null());
        let child = command.arg("--log-level").arg("info").stderr(File::create(log)?).spawn()?;
        Ok(Measured { child })
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn used(&self) -> Used {
        let folder = PathBuf::from(format!("/proc/{}", self.id()));
        let tasks = fs::read_dir(folder.join("task")).into_iter().flatten().flatten();
        let ran = |task: fs::DirEntry| -> f64 {
            let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            text.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(0.0) / 1e6
        };
        let status = fs::read_to_string(folder.join("status")).unwrap_or_default();
        let field = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
            line.split_whitespace().next().and_then(|number| number.parse().ok()).unwrap_or(0)
        };
        Used {
            processor_ms: tasks.map(ran).sum(),
            resident_kb: field("VmRSS:"),
            peak_kb: field("VmHWM:"),
            descriptors: fs::read_dir(folder.join("fd")).map_or(0, Iterator::count),
        }
    }
}

impl Drop for Measured {
    fn drop(&mut self) {
        self.kill();
    }
}

/// What a settings file of a process on loopback says.
pub struct Place<'a> {
    pub node_name: &'a str,
    pub ip: &'a str,
    pub zone: usize,
    pub zones: usize,
    pub seeds: &'a [String],
    pub listen: &'a str,
    pub data: Option<&'a Path>,
    pub platform: &'a str,
    pub rate: f64,
}

pub fn zone(at: usize) -> String {
    format!("zone-{at:02}")
}

pub fn region(at: usize) -> String {
    format!("region-{:02}", at / 3)
}

impl Place<'_> {
    pub fn json(&self) -> String {
        let zones: Vec<String> =
            (0..self.zones).map(|at| format!("\"{}\":\"{}\"", zone(at), region(at))).collect();
        let seeds: Vec<String> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let data =
            self.data.map_or(String::new(), |data| format!("\"data_directory\":\"{}\",", data.display()));
        format!(
            "{{\"node_name\":\"{}\",\"role\":\"measured\",\"machine_class\":\"front\",\"ip_address\":\"{}\",\"zone\":\"{}\",\
             \"region\":\"{}\",\"zones\":{{{}}},\"listen_addresses\":{{{}}},\"internal_port_range\":[7720,7735],\
             \"seed_nodes\":[{}],\"first_start\":true,\"loss_counted\":{},{data}\"limits\":{{\"memory_mb\":260,\
             \"file_descriptors\":4100}},\"tolerated_losses\":{{\"machines\":1,\"zones\":1}},\"bounds\":{{}},\
             \"cloud_api\":{{\"address\":\"{}\",\"rate_per_s\":{:.1},\"lag_ms\":0}}}}",
            self.node_name, self.ip, zone(self.zone), region(self.zone), zones.join(","), self.listen,
            seeds.join(","), self.data.is_some(), self.platform, self.rate
        )
    }
}
