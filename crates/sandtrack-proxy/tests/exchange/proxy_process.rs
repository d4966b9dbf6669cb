//! The built proxy as a process: its settings file, its log, signals and its end.
use crate::wire::PATIENCE;
use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Default)]
struct Log {
    lines: Vec<String>,
    ended: bool,
}

pub struct ProxyProcess {
    child: Child,
    pub settings: PathBuf,
    log: Arc<(Mutex<Log>, Condvar)>,
}

impl ProxyProcess {
    /// Starts it with a settings file of this content; `None`: there is no such file.
    pub fn start(name: &str, settings: Option<&str>) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("{name}-{}.json", std::process::id()));
        match settings {
            Some(settings) => std::fs::write(&path, settings).unwrap(),
            None => {
                let _ = std::fs::remove_file(&path);
            }
        }
        let mut child = Command::new(env!("CARGO_BIN_EXE_sandtrack-proxy"))
            .args(["--log-level", "debug"])
            .env("SANDTRACK_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let log = Arc::new((Mutex::new(Log::default()), Condvar::new()));
        let (stderr, written) = (child.stderr.take().unwrap(), log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                written.0.lock().unwrap().lines.push(line);
                written.1.notify_all();
            }
            written.0.lock().unwrap().ended = true;
            written.1.notify_all();
        });
        ProxyProcess {
            child,
            settings: path,
            log,
        }
    }

    /// Waits until so many lines of its log have this text.
    pub fn wait_for_log_lines(&self, text: &str, times: usize) {
        let (log, changed) = &*self.log;
        let count = |log: &Log| log.lines.iter().filter(|line| line.contains(text)).count();
        let missing = |log: &mut Log| !log.ended && count(log) < times;
        let (log, _) = changed
            .wait_timeout_while(log.lock().unwrap(), PATIENCE, missing)
            .unwrap();
        let found = count(&log);
        drop(log);
        assert!(found >= times, "logged {found} of {times} times: {text}");
    }

    pub fn logged(&self) -> String {
        self.log.0.lock().unwrap().lines.join("\n")
    }

    /// The proxy's own time of the first line with this text, in s.
    pub fn logged_at(&self, text: &str) -> f64 {
        let log = self.log.0.lock().unwrap();
        let line = log.lines.iter().find(|line| line.contains(text)).cloned();
        drop(log);
        let line = line.unwrap_or_else(|| panic!("never logged: {text}"));
        let time = line
            .strip_prefix("{\"at\":")
            .and_then(|rest| rest.split(',').next()?.parse().ok());
        time.unwrap_or_else(|| panic!("a line without its time: {line}"))
    }

    /// It ends with status 0, and by its own clock so many seconds after it was told to stop at most: what a busy machine
    /// takes until the test sees it is not counted.
    pub fn assert_exits_within(&mut self, grace: f64) {
        assert_eq!(self.wait_for_exit(PATIENCE).code(), Some(0));
        let took = self.logged_at("proxy ends") - self.logged_at("told to stop");
        assert!(took < grace, "it took {took:.3} s of {grace} s");
    }

    /// Sends a signal by its short name.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(
            Command::new("sh")
                .args(["-c", &kill])
                .status()
                .unwrap()
                .success(),
            "{kill}"
        );
    }

    /// Its exit status; it must end within this time.
    pub fn wait_for_exit(&mut self, within: Duration) -> ExitStatus {
        let until = Instant::now() + within;
        let (log, changed) = &*self.log;
        let left = until.saturating_duration_since(Instant::now());
        let running = |log: &mut Log| !log.ended;
        let (log, _) = changed
            .wait_timeout_while(log.lock().unwrap(), left, running)
            .unwrap();
        let over = log.ended;
        drop(log);
        assert!(over, "it had not ended after {within:?}");
        self.child.wait().unwrap()
    }

    /// The most memory that it has had so far, in MB.
    pub fn peak_memory_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("a peak");
        let kilobytes: f64 = peak
            .trim_end_matches("kB")
            .trim()
            .parse()
            .expect("a number");
        kilobytes / 1024.0
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for ProxyProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
        if std::thread::panicking() {
            eprintln!("the proxy's log:\n{}", self.logged());
        }
    }
}
