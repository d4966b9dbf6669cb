//! Runs the built proxy as a process, with its settings file, log, signals and exit status.
use crate::http_connection::TEST_TIMEOUT;
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
    /// Starts the proxy with a settings file of this content; `None`: the file does not exist.
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
        let (stderr, thread_log) = (child.stderr.take().unwrap(), log.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                thread_log.0.lock().unwrap().lines.push(line);
                thread_log.1.notify_all();
            }
            thread_log.0.lock().unwrap().ended = true;
            thread_log.1.notify_all();
        });
        ProxyProcess {
            child,
            settings: path,
            log,
        }
    }

    /// Waits until this many log lines contain the text.
    pub fn wait_for_log_lines(&self, text: &str, times: usize) {
        let (log, changed) = &*self.log;
        let count = |log: &Log| log.lines.iter().filter(|line| line.contains(text)).count();
        let missing = |log: &mut Log| !log.ended && count(log) < times;
        let (log, _) = changed
            .wait_timeout_while(log.lock().unwrap(), TEST_TIMEOUT, missing)
            .unwrap();
        let found = count(&log);
        drop(log);
        assert!(found >= times, "logged {found} of {times} times: {text}");
    }

    pub fn log_text(&self) -> String {
        self.log.0.lock().unwrap().lines.join("\n")
    }

    /// Timestamp of the first log line that contains the text, in s.
    pub fn log_time_s(&self, text: &str) -> f64 {
        let log = self.log.0.lock().unwrap();
        let line = log.lines.iter().find(|line| line.contains(text)).cloned();
        drop(log);
        let line = line.unwrap_or_else(|| panic!("never logged: {text}"));
        let time = line
            .strip_prefix("{\"at\":")
            .and_then(|rest| rest.split(',').next()?.parse().ok());
        time.unwrap_or_else(|| panic!("a line without a timestamp: {line}"))
    }

    /// Asserts that it exits with status 0 within `grace` seconds after the stop signal, by the timestamps in its log: delays of
    /// the test on a busy machine do not count.
    pub fn assert_exits_within(&mut self, grace: f64) {
        assert_eq!(self.wait_for_exit(TEST_TIMEOUT).code(), Some(0));
        let took = self.log_time_s("proxy ends") - self.log_time_s("told to stop");
        assert!(took < grace, "draining took {took:.3} s of {grace} s");
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

    /// Waits for its exit and returns the status; it must exit within this time.
    pub fn wait_for_exit(&mut self, within: Duration) -> ExitStatus {
        let until = Instant::now() + within;
        let (log, changed) = &*self.log;
        let left = until.saturating_duration_since(Instant::now());
        let running = |log: &mut Log| !log.ended;
        let (log, _) = changed
            .wait_timeout_while(log.lock().unwrap(), left, running)
            .unwrap();
        let ended_in_time = log.ended;
        drop(log);
        assert!(ended_in_time, "it had not exited after {within:?}");
        self.child.wait().unwrap()
    }

    /// Its peak resident memory, in MB.
    pub fn peak_memory_mb(&self) -> f64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the process runs");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("VmHWM");
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
            eprintln!("the proxy's log:\n{}", self.log_text());
        }
    }
}
