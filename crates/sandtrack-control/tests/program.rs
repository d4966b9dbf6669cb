//! The program as a process on loopback: its command line, its sockets and its ends. It waits for what the process says and
//! answers, and never sleeps.
mod common;
use common::{configuration, route, valid_configuration};
use sandtrack_control::operator_api::requests::MAX_BODY_BYTES;
use sandtrack_protocol::frames::{self, ProxyInfo, ProxyState, ToControl, ToProxy};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

/// A folder of this test's own, with a settings file for a control node that is alone at this address.
struct Place {
    folder: PathBuf,
    ip: String,
}

impl Place {
    fn new(name: &str, ip: &str) -> Place {
        let folder =
            std::env::temp_dir().join(format!("control node-{name}-{}", std::process::id()));
        std::fs::create_dir_all(folder.join("data")).expect("a folder");
        let place = Place {
            folder,
            ip: ip.to_owned(),
        };
        place.write(&place.settings());
        place
    }

    fn settings(&self) -> String {
        let (ip, data) = (&self.ip, self.folder.join("data"));
        format!(
            r#"{{"node_name":"front-odori-hall-1","ip_address":"{ip}","zone":"odori-hall","region":"ishikari",
            "zones":{{"odori-hall":"ishikari"}},"listen_addresses":{{"control":"{ip}:8166","directory":"{ip}:8164"}},
            "internal_port_range":[7720,7735],"seed_nodes":["{ip}:8166"],"first_start":true,
            "data_directory":"{}","tolerated_losses":{{"machines":0,"zones":0}},
            "cloud_api":{{"address":"","rate_per_s":47.0}}}}"#,
            data.display()
        )
    }

    fn write(&self, text: &str) {
        std::fs::write(self.folder.join("settings.json"), text).expect("a file");
    }

    fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sandtrack-control"));
        command
            .args(words)
            .env("SANDTRACK_BOOT", self.folder.join("settings.json"));
        command
    }

    /// Starts it and waits until it serves.
    fn start(&self) -> Running {
        let mut child = self
            .command(&["run"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("a process");
        let mut lines = BufReader::new(child.stderr.take().expect("its errors")).lines();
        let serving = lines.find(|line| {
            line.as_ref()
                .is_ok_and(|line| line.contains("serving control"))
        });
        assert!(serving.is_some(), "it does not serve");
        // What it says further must not hold it up.
        std::thread::spawn(move || lines.count());
        Running { child }
    }

    fn exchange(&self, port: u16, text: &str) -> String {
        let mut stream = TcpStream::connect((self.ip.as_str(), port)).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time limit");
        stream.write_all(text.as_bytes()).expect("written");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    fn call(&self, method: &str, target: &str, body: &str) -> String {
        let length = body.len();
        self.exchange(
            8166,
            &format!(
                "{method} {target} HTTP/1.1\r\nHost: x\r\nBased-On-Version: 0\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
            ),
        )
    }

    /// The same, repeated until it is acknowledged, as a caller does.
    fn call_until_taken(&self, method: &str, target: &str, body: &str) -> String {
        for _ in 0..100 {
            let answer = self.call(method, target, body);
            if !answer.starts_with("HTTP/1.1 503") {
                return answer;
            }
        }
        panic!("never acknowledged");
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

struct Running {
    child: Child,
}

impl Running {
    fn end(mut self, signal: rustix::process::Signal) -> ExitStatus {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, signal).expect("a signal");
        self.child.wait().expect("its end")
    }
}

impl Running {
    /// SIGSTOP; returns once it stands still.
    fn stop(&self) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, rustix::process::Signal::STOP).expect("a signal");
        rustix::process::waitpid(Some(id), rustix::process::WaitOptions::UNTRACED)
            .expect("it stands still");
    }

    fn go_on(&self) {
        let id = rustix::process::Pid::from_child(&self.child);
        rustix::process::kill_process(id, rustix::process::Signal::CONT).expect("a signal");
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[test]
fn settings_are_checked_with_numbered_errors() {
    let place = Place::new("check", "127.0.7.1");
    let run = |place: &Place, words: &[&str]| {
        let output = place.command(words).output().expect("an end");
        let said = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
        (output.status.code(), said)
    };
    let (code, said) = run(&place, &["check"]);
    assert_eq!(code, Some(0), "{said}");
    place.write(&place.settings().replace("\"control\"", "\"other\""));
    for words in [&["check"][..], &["run"], &[]] {
        let (code, said) = run(&place, words);
        assert_eq!(code, Some(102), "{said}");
        assert!(
            said.contains("E102") && said.contains("listen_addresses.control"),
            "{said}"
        );
    }
    place.write("{\"node_name\":");
    let (code, said) = run(&place, &["check"]);
    assert!(code == Some(101) && said.contains("E101"), "{said}");
    place.write(
        &place
            .settings()
            .replace(":8166\",\"directory\"", ":none\",\"directory\""),
    );
    let (code, said) = run(&place, &["run"]);
    assert!(code == Some(103) && said.contains("E103"), "{said}");
    let (code, said) = run(&place, &["--help"]);
    assert!(
        code == Some(0) && said.contains("check") && said.contains("--log-level"),
        "{said}"
    );
    let (code, _) = run(&place, &["nonsense"]);
    assert_eq!(code, Some(1));
}

#[test]
fn it_takes_a_configuration_tells_a_proxy_and_ends_in_order() {
    let place = Place::new("serve", "127.0.7.2");
    let running = place.start();
    let whole = valid_configuration(7);
    // A body cut short: nothing happens.
    let mut cut = TcpStream::connect((place.ip.as_str(), 8166)).expect("a connection");
    let head = format!(
        "POST /v1/configuration/replace HTTP/1.1\r\nBased-On-Version: 0\r\nContent-Length: {}\r\n\r\n",
        whole.len()
    );
    cut.write_all(head.as_bytes()).expect("written");
    cut.write_all(&whole.as_bytes()[..100]).expect("written");
    cut.shutdown(Shutdown::Write).expect("ended");
    let mut nothing = Vec::new();
    let _ = cut.read_to_end(&mut nothing);
    assert!(nothing.is_empty());
    assert!(place
        .call_until_taken("GET", "/v1/configuration/read", "")
        .starts_with("HTTP/1.1 404"));
    assert!(place
        .call_until_taken("POST", "/v1/configuration/replace", &whole)
        .starts_with("HTTP/1.1 200"));
    assert!(
        place
            .call("POST", "/v1/configuration/replace", &whole)
            .starts_with("HTTP/1.1 200"),
        "a repeat"
    );
    assert!(place
        .call("GET", "/v1/configuration/read", "")
        .contains("\"version_number\":7"));
    assert!(place
        .call("PUT", "/v1/configuration/read", "")
        .starts_with("HTTP/1.1 405"));
    assert!(place
        .exchange(8166, "rubbish\r\n\r\n")
        .starts_with("HTTP/1.1 400"));
    let ask = "GET /v1/resolution?name=x HTTP/1.1\r\nConnection: close\r\n\r\n";
    assert!(
        place.exchange(8164, ask).starts_with("HTTP/1.1 503"),
        "nobody is ready"
    );
    let mut session = TcpStream::connect((place.ip.as_str(), 7721)).expect("a session");
    session
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a time limit");
    let info = ProxyInfo {
        node_name: "c".to_owned(),
        client_address: "10.1.0.9:8161".to_owned(),
        ..ProxyInfo::default()
    };
    let state = ProxyState {
        ready: true,
        ..ProxyState::default()
    };
    let hello = ToControl::Hello {
        format: frames::FORMAT,
        info,
        state,
    };
    session.write_all(&frames::encode(&hello)).expect("written");
    let (mut bytes, mut told) = (Vec::new(), Vec::new());
    while told.len() < 3 {
        let mut piece = [0; 4096];
        let count = session.read(&mut piece).expect("frames");
        assert!(count > 0, "the session stands");
        bytes.extend_from_slice(&piece[..count]);
        while let Some((frame, length)) = frames::decode::<ToProxy>(&bytes).expect("frames") {
            bytes.drain(..length);
            told.push(frame);
        }
    }
    assert!(matches!(told[0], ToProxy::Welcome { .. }), "{told:?}");
    assert!(
        matches!(told[1], ToProxy::Configuration { version: 7, .. }),
        "{told:?}"
    );
    assert!(place
        .exchange(8164, ask)
        .contains("{\"addresses\":[\"10.1.0.9:8161\"],\"lifetime_s\":1}"));
    let status = place.call("GET", "/v1/status", "");
    let body = status.split("\r\n\r\n").nth(1).unwrap_or_default();
    let status = simd_json::to_owned_value(&mut body.as_bytes().to_vec()).expect("JSON");
    assert_eq!(status["version_number"], 7);
    assert_eq!(status["proxies"][0]["node"], "c");
    assert_eq!(running.end(rustix::process::Signal::TERM).code(), Some(0));
    let mut rest = Vec::new();
    let _ = session.read_to_end(&mut rest);
    // What was acknowledged is on the disk, also after a kill.
    let again = place.start();
    assert!(place
        .call_until_taken("GET", "/v1/configuration/read", "")
        .contains("\"version_number\":7"));
    assert!(place
        .call_until_taken("POST", "/v1/evacuation/odori-hall/begin", "")
        .starts_with("HTTP/1.1 200"));
    again.end(rustix::process::Signal::KILL);
    let third = place.start();
    assert!(place
        .call_until_taken("GET", "/v1/configuration/read", "")
        .contains("\"version_number\":7"));
    assert!(place
        .call("GET", "/v1/status", "")
        .contains("\"evacuated\":[\"odori-hall\"]"));
    third.end(rustix::process::Signal::INT);
}

const BEGIN: &str =
    "POST /v1/evacuation/odori-hall/begin HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

fn is_evacuated(place: &Place) -> bool {
    place
        .call("GET", "/v1/status", "")
        .contains("\"evacuated\":[\"odori-hall\"]")
}

#[test]
fn a_connection_carries_one_call() {
    let place = Place::new("one-call", "127.0.7.3");
    let running = place.start();
    // It does not ask for the connection to be closed, and has sent a second call.
    let answer = place.exchange(
        8166,
        &"GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n".repeat(2),
    );
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("Connection: close"),
        "{answer}"
    );
    assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{answer}");
    running.end(rustix::process::Signal::TERM);
}

#[test]
fn a_call_whose_caller_has_left_is_not_made() {
    let place = Place::new("left", "127.0.7.4");
    let running = place.start();
    assert!(place
        .call_until_taken("GET", "/v1/configuration/read", "")
        .starts_with("HTTP/1.1 404"));
    running.stop();
    let mut stream = TcpStream::connect((place.ip.as_str(), 8166)).expect("a connection");
    stream.write_all(BEGIN.as_bytes()).expect("written");
    drop(stream);
    running.go_on();
    // This one came after it, and is committed after it.
    let whole = valid_configuration(7);
    assert!(place
        .call_until_taken("POST", "/v1/configuration/replace", &whole)
        .starts_with("HTTP/1.1 200"));
    assert!(!is_evacuated(&place));
    running.end(rustix::process::Signal::TERM);
}

#[test]
fn calls_accepted_after_a_pause_are_rejected() {
    let place = Place::new("still", "127.0.7.5");
    let running = place.start();
    assert!(place
        .call_until_taken("GET", "/v1/configuration/read", "")
        .starts_with("HTTP/1.1 404"));
    // One connection has been accepted before, the other waits in the queue.
    let mut accepted = TcpStream::connect((place.ip.as_str(), 8166)).expect("a connection");
    assert!(place
        .call("GET", "/v1/status", "")
        .starts_with("HTTP/1.1 200"));
    running.stop();
    let mut queued = TcpStream::connect((place.ip.as_str(), 8166)).expect("a connection");
    for stream in [&mut accepted, &mut queued] {
        stream.write_all(BEGIN.as_bytes()).expect("written");
        stream
            .set_read_timeout(Some(Duration::from_millis(600)))
            .expect("a time limit");
        assert!(
            stream.read(&mut [0; 1]).is_err(),
            "no answer from a process that stands still"
        );
    }
    running.go_on();
    for stream in [&mut accepted, &mut queued] {
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time limit");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        assert!(
            answer.starts_with("HTTP/1.1 503") && answer.contains("E308"),
            "{answer}"
        );
    }
    assert!(!is_evacuated(&place));
    let begin = "/v1/evacuation/odori-hall/begin";
    assert!(place
        .call_until_taken("POST", begin, "")
        .starts_with("HTTP/1.1 200"));
    assert!(is_evacuated(&place));
    running.end(rustix::process::Signal::TERM);
}

const REPLACE: &str = "/v1/configuration/replace";

/// The head of an order for the first configuration, with these headers about its body.
fn replace_head(framing: &str) -> String {
    format!("POST {REPLACE} HTTP/1.1\r\nHost: x\r\nBased-On-Version: 0\r\n{framing}\r\n\r\n")
}

/// A configuration that is many times as long as what is read from a socket at once.
fn large(version: u64) -> String {
    let routes: Vec<String> = (0..1500)
        .map(|number| {
            route(
                &format!("r-{number}"),
                &format!("/p{number}/"),
                r#""service":"print""#,
            )
        })
        .collect();
    configuration(version, &routes)
}

impl Place {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect((self.ip.as_str(), 8166)).expect("a connection");
        stream
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time limit");
        stream
    }

    /// Whether there is no configuration yet.
    fn is_empty(&self) -> bool {
        self.call_until_taken("GET", "/v1/configuration/read", "")
            .starts_with("HTTP/1.1 404")
    }
}

fn rest(stream: &mut TcpStream) -> String {
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// Sends an order for the first configuration in chunks, with other calls between them; the chunks end at odd places.
fn replace_in_chunks(place: &Place, body: &str) -> String {
    let mut stream = place.connect();
    let head = replace_head("Transfer-Encoding: chunked\r\nExpect: 100-continue");
    stream.write_all(head.as_bytes()).expect("written");
    let mut told = [0; 25];
    stream.read_exact(&mut told).expect("an interim answer");
    assert_eq!(&told, b"HTTP/1.1 100 Continue\r\n\r\n");
    for piece in body.as_bytes().chunks(30_011) {
        stream
            .write_all(format!("{:x};a=b\r\n", piece.len()).as_bytes())
            .expect("written");
        let (one, other) = piece.split_at(piece.len() / 3);
        stream.write_all(one).expect("written");
        assert!(place
            .call("GET", "/v1/status", "")
            .starts_with("HTTP/1.1 200"));
        stream.write_all(other).expect("written");
        stream.write_all(b"\r\n").expect("written");
    }
    stream.write_all(b"0\r\n\r\n").expect("written");
    rest(&mut stream)
}

#[test]
fn a_large_body_that_arrives_slowly_in_chunks_is_accepted() {
    let place = Place::new("chunks", "127.0.7.6");
    let running = place.start();
    assert!(place.is_empty());
    let body = large(7);
    // A process that did not run for a while on a busy machine does not carry out what came meanwhile.
    let answers = std::iter::repeat_with(|| replace_in_chunks(&place, &body)).take(100);
    let answer = answers
        .into_iter()
        .find(|answer| !answer.starts_with("HTTP/1.1 503"));
    let answer = answer.expect("an acknowledgement");
    assert!(
        answer.starts_with("HTTP/1.1 200") && answer.contains("\"version_number\":7"),
        "{answer}"
    );
    // With a length it is the same order.
    let again = place.call_until_taken("POST", REPLACE, &body);
    assert!(
        again.starts_with("HTTP/1.1 200") && again.contains("\"version_number\":7"),
        "{again}"
    );
    let other = place.call_until_taken("POST", REPLACE, &valid_configuration(7));
    assert!(
        other.starts_with("HTTP/1.1 412") && other.contains("current 7"),
        "{other}"
    );
    running.end(rustix::process::Signal::TERM);
}

#[test]
fn a_body_that_is_cut_short_or_too_long_changes_nothing() {
    let place = Place::new("body", "127.0.7.7");
    let running = place.start();
    assert!(place.is_empty());
    let body = valid_configuration(7);
    let chunk = format!("{:x}\r\n{body}\r\n", body.len());
    let cut_short = [
        replace_head(&format!("Content-Length: {}", body.len() + 1)) + &body,
        replace_head("Transfer-Encoding: chunked") + &chunk,
        replace_head("Transfer-Encoding: chunked") + &chunk + "0\r\n",
    ];
    for text in cut_short {
        let mut stream = place.connect();
        stream.write_all(text.as_bytes()).expect("written");
        stream.shutdown(Shutdown::Write).expect("its end");
        assert_eq!(rest(&mut stream), "", "nobody waits for an answer");
    }
    // One byte more than it takes, in both framings; blanks at its end do no harm in themselves.
    let long = format!("{body}{}", " ".repeat(MAX_BODY_BYTES + 1 - body.len()));
    let chunked = format!("{:x}\r\n{long}\r\n0\r\n\r\n", long.len());
    let too_long = [
        replace_head(&format!("Content-Length: {}", long.len())) + &long,
        replace_head("Transfer-Encoding: chunked") + &chunked,
    ];
    for text in too_long {
        let mut stream = place.connect();
        // It may stop reading before all is written.
        let _ = stream.write_all(text.as_bytes());
        let answer = rest(&mut stream);
        assert!(
            answer.starts_with("HTTP/1.1 413") && answer.contains("E301"),
            "{answer}"
        );
    }
    assert!(place.is_empty());
    assert!(place
        .call_until_taken("POST", REPLACE, &body)
        .starts_with("HTTP/1.1 200"));
    running.end(rustix::process::Signal::TERM);
}

#[test]
fn a_full_log_does_not_end_the_process() {
    let full = std::fs::File::options()
        .write(true)
        .open("/dev/full")
        .expect("the device that is always full");
    serves_and_ends("full-log", "127.0.7.8", full.into());
}

/// A reader of the log that stands still: what it has not read fills the pipe.
#[test]
fn a_log_that_nobody_reads_does_not_block_the_process() {
    let (_reader, mut writer) = std::io::pipe().expect("a pipe");
    rustix::io::ioctl_fionbio(&writer, true).expect("a pipe that does not wait");
    while writer.write(&[b'\n'; 1024]).is_ok() {}
    rustix::io::ioctl_fionbio(&writer, false).expect("a pipe that waits");
    serves_and_ends("stuck-log", "127.0.7.9", writer.into());
}

/// Started with such a log it takes a configuration and ends in order.
fn serves_and_ends(name: &str, ip: &str, log: Stdio) {
    let place = Place::new(name, ip);
    let child = place
        .command(&["run"])
        .stdout(Stdio::null())
        .stderr(log)
        .spawn()
        .expect("a process");
    let mut running = Running { child };
    let began = std::time::Instant::now();
    while TcpStream::connect((place.ip.as_str(), 8166)).is_err() {
        let ended = running.child.try_wait().expect("its state");
        assert!(
            ended.is_none() && began.elapsed() < Duration::from_secs(20),
            "it ended: {ended:?}"
        );
        std::thread::yield_now();
    }
    let taken =
        place.call_until_taken("POST", "/v1/configuration/replace", &valid_configuration(7));
    assert!(taken.starts_with("HTTP/1.1 200"), "{taken}");
    assert!(
        running.end(rustix::process::Signal::TERM).success(),
        "it ends in order"
    );
}

/// Callers that each stay within the size of a call: together they were as much as they liked, and a process that passes its
/// memory is killed.
#[test]
fn long_calls_at_once_stay_within_the_memory_and_short_ones_are_answered() {
    const MEMORY_MB: f64 = 64.0;
    const BEGUN: usize = 4 << 20;
    let place = Place::new("long-calls", "127.0.4.31");
    let limits = format!("\"limits\":{{\"memory_mb\":{MEMORY_MB}}},\"cloud_api\"");
    place.write(&place.settings().replace("\"cloud_api\"", &limits));
    let running = place.start();
    let body = "x".repeat(BEGUN);
    // Each call is as long as a call may be, and stops within its body.
    let callers: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut stream = TcpStream::connect((place.ip.as_str(), 8166)).expect("a connection");
            stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time limit");
            let head =
                "POST /v1/configuration/replace HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
            // One that is refused closes under what still comes.
            let _ = stream.write_all(format!("{head}{BEGUN:x}\r\n{body}\r\n").as_bytes());
            stream
        })
        .collect();
    let answer = place.call("GET", "/v1/configuration/read", "");
    assert!(
        answer.starts_with("HTTP/1.1 404"),
        "a short call is answered: {answer}"
    );
    let peak = peak_memory_mb(&running);
    assert!(peak < MEMORY_MB, "{peak:.0} MB of {MEMORY_MB}");
    let refused = callers.into_iter().filter_map(|mut stream| {
        stream.set_nonblocking(true).expect("a socket");
        let mut answer = String::new();
        let _ = stream.read_to_string(&mut answer);
        (!answer.is_empty()).then_some(answer)
    });
    let refused: Vec<String> = refused.collect();
    assert!(!refused.is_empty(), "some are sent elsewhere");
    for answer in refused {
        assert!(
            answer.starts_with("HTTP/1.1 503") && answer.contains("E408"),
            "{answer}"
        );
        assert!(answer.contains("Retry-After"), "{answer}");
    }
}

/// The most memory that a process has had so far, in MB.
fn peak_memory_mb(running: &Running) -> f64 {
    let status =
        std::fs::read_to_string(format!("/proc/{}/status", running.child.id())).expect("it runs");
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
