//! Approval tests of complete runs: the bytes on the wire both ways, the backoffs, the output and the exit code of command
//! lines are compared with `tests/transcripts/NAME.txt`. The same file is the script of a fake control node: a block of `A<`
//! lines is the response of A, a listener on loopback, to the next request, after which it closes the connection; for
//! `A< (nothing)` it closes without a response, for `A< (silence)` it keeps the connection open. `Z` is an address without
//! a listener. The clock is simulated: a backoff takes no time.
//!
//! Where a run differs, its transcript is written to the target's tmp directory, to be read and, if it is right, copied
//! over.
use sandtrack_cli::environment::Environment;
use sandtrack_cli::program::run;
use sandtrack_cli::transport::{exchange, TransportError};
use sandtrack_cli::Millis;
use sandtrack_sidecar_core::message::Message;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

/// What the fake control node does when it has read a request.
#[derive(Clone, Debug)]
enum ScriptedResponse {
    Bytes(Vec<u8>),
    NoResponse,
}

struct ScriptedEnvironment {
    listeners: Vec<(&'static str, TcpListener)>,
    names: Vec<(&'static str, String)>,
    script: VecDeque<(String, ScriptedResponse)>,
    transcript: String,
    now: Millis,
}

impl ScriptedEnvironment {
    fn new(script: VecDeque<(String, ScriptedResponse)>) -> ScriptedEnvironment {
        let open = |name| {
            (
                name,
                TcpListener::bind("127.0.0.1:0").expect("a port of loopback"),
            )
        };
        let listeners = vec![open("A"), open("B"), open("C")];
        let address = |(name, listener): &(&'static str, TcpListener)| {
            (
                *name,
                listener.local_addr().expect("its address").to_string(),
            )
        };
        let mut names: Vec<_> = listeners.iter().map(address).collect();
        names.push(("Z", "127.0.0.1:1".to_owned()));
        ScriptedEnvironment {
            listeners,
            names,
            script,
            transcript: String::new(),
            now: 0.0,
        }
    }

    fn record(&mut self, line: &str) {
        self.transcript.push_str(line.trim_end_matches('\n'));
        self.transcript.push('\n');
    }

    /// Replaces names in braces by the addresses that they stand for.
    fn with_real_addresses(&self, text: &str) -> String {
        self.names
            .iter()
            .fold(text.to_owned(), |text, (name, real)| {
                text.replace(&format!("{{{name}}}"), real)
            })
    }

    /// Replaces addresses by their names in braces.
    fn with_names(&self, text: &str) -> String {
        self.names
            .iter()
            .fold(text.to_owned(), |text, (name, real)| {
                text.replace(real, &format!("{{{name}}}"))
            })
    }

    /// Lines of bytes on the wire; every line of a head ends with CR LF, and a body is as it is.
    fn record_message(&mut self, prefix: &str, bytes: &[u8]) {
        let text = self.with_names(std::str::from_utf8(bytes).expect("text"));
        let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
        let mut lines: Vec<&str> = head.split("\r\n").collect();
        assert!(
            lines.iter().all(|line| !line.contains('\n')),
            "a bare line feed in {head:?}"
        );
        lines.push("");
        lines.extend(
            (!body.is_empty())
                .then(|| body.split('\n'))
                .into_iter()
                .flatten(),
        );
        for line in lines {
            self.record(format!("{prefix} {line}").trim_end());
        }
    }
}

impl Environment for ScriptedEnvironment {
    fn now(&mut self) -> Millis {
        self.now
    }

    fn sleep(&mut self, duration: Millis) {
        self.record(&format!("-- pause {duration:.0} ms"));
        self.now += duration;
    }

    fn exchange(
        &mut self,
        address: SocketAddr,
        request: &[u8],
        timeout: Millis,
    ) -> Result<Message, TransportError> {
        let name = self
            .names
            .iter()
            .find(|(_, real)| *real == address.to_string());
        let name = name.map_or("?", |(name, _)| name);
        let Some(at) = self
            .listeners
            .iter()
            .position(|(listening, _)| *listening == name)
        else {
            let result = exchange(address, request, timeout);
            self.record(&format!(
                "{name}! {}",
                result.as_ref().expect_err("nobody listens")
            ));
            return result;
        };
        let (scripted, response) = self.script.pop_front().unwrap_or_else(|| {
            panic!(
                "a call that is not in the script, to {name}, after:\n{}",
                self.transcript
            )
        });
        assert_eq!(
            scripted, name,
            "another address is called, after:\n{}",
            self.transcript
        );
        let response = match response {
            ScriptedResponse::Bytes(bytes) => Some(
                self.with_real_addresses(std::str::from_utf8(&bytes).expect("text"))
                    .into_bytes(),
            ),
            ScriptedResponse::NoResponse => None,
        };
        let listener = self.listeners[at].1.try_clone().expect("the listener");
        let (received, result) = std::thread::scope(|scope| {
            let server = scope.spawn(|| {
                let (mut stream, _) = listener.accept().expect("a connection");
                let mut received = vec![0; request.len()];
                stream.read_exact(&mut received).expect("the whole request");
                match &response {
                    Some(bytes) => stream.write_all(bytes).expect("the response is taken"),
                    None => assert_eq!(
                        stream.read(&mut [0]).expect("the end"),
                        0,
                        "more than the request"
                    ),
                }
                received
            });
            let real_timeout = if response.is_some() { 10_000.0 } else { 5.0 };
            let result = exchange(address, request, real_timeout);
            (server.join().expect("the server thread"), result)
        });
        self.record_message(&format!("{name}>"), &received);
        match &response {
            Some(bytes) if bytes.is_empty() => self.record(&format!("{name}< (nothing)")),
            Some(bytes) => self.record_message(&format!("{name}<"), bytes),
            None => {
                self.record(&format!("{name}< (silence)"));
                self.now += timeout;
            }
        }
        if let Err(error) = &result {
            self.record(&format!("{name}! {error}"));
        }
        result
    }

    fn print(&mut self, line: &str) {
        let line = self.with_names(line);
        line.split('\n')
            .for_each(|line| self.record(format!("out: {line}").trim_end()));
    }

    fn print_error(&mut self, line: &str) {
        let line = self.with_names(line);
        line.split('\n')
            .for_each(|line| self.record(format!("err: {line}").trim_end()));
    }
}

/// The responses that a transcript contains, in order.
fn script(approved: &str) -> VecDeque<(String, ScriptedResponse)> {
    let mut responses: VecDeque<(String, ScriptedResponse)> = VecDeque::new();
    let mut block: Option<(String, Vec<&str>)> = None;
    for line in approved.lines().chain([""]) {
        let (name, rest) = line
            .split_once('<')
            .filter(|(name, _)| name.len() == 1)
            .unwrap_or_default();
        let rest = rest.strip_prefix(' ').unwrap_or(rest);
        if let Some((of, lines)) = block.as_mut().filter(|(of, _)| of == name) {
            assert!(!of.is_empty());
            lines.push(rest);
            continue;
        }
        if let Some((of, lines)) = block.take() {
            let response = match lines.as_slice() {
                ["(nothing)"] => ScriptedResponse::Bytes(Vec::new()),
                ["(silence)"] => ScriptedResponse::NoResponse,
                lines => {
                    let end = lines
                        .iter()
                        .position(|line| line.is_empty())
                        .unwrap_or(lines.len());
                    let head = lines[..end].join("\r\n");
                    let body = lines.get(end + 1..).unwrap_or_default().join("\n");
                    ScriptedResponse::Bytes(format!("{head}\r\n\r\n{body}").into_bytes())
                }
            };
            responses.push_back((of, response));
        }
        if !name.is_empty() {
            block = Some((name.to_owned(), vec![rest]));
        }
    }
    responses
}

/// Runs the commands of a transcript and compares.
fn check_transcript(name: &str) {
    let path = Path::new("tests/transcripts").join(format!("{name}.txt"));
    let approved = std::fs::read_to_string(&path).expect("the approved transcript");
    let mut environment = ScriptedEnvironment::new(script(&approved));
    let mut control_variable = None;
    for line in approved.lines() {
        if line.starts_with('#') || line.is_empty() {
            environment.record(line);
        } else if let Some(value) = line.strip_prefix("env SANDTRACK_CONTROL=") {
            environment.record(line);
            control_variable = Some(environment.with_real_addresses(value));
        } else if let Some(words) = line.strip_prefix("$ sandtrackctl") {
            environment.record(line);
            let words = environment.with_real_addresses(words);
            let words: Vec<String> = words.split_whitespace().map(str::to_owned).collect();
            let code = run(&words, control_variable.as_deref(), &mut environment);
            environment.record(&format!("exit: {code}"));
        }
    }
    let unused: Vec<&str> = environment
        .script
        .iter()
        .map(|(name, _)| name.as_str())
        .collect();
    assert!(
        unused.is_empty(),
        "answers that nobody asked for, of {unused:?}, after:\n{}",
        environment.transcript
    );
    if environment.transcript != approved {
        let received = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.txt"));
        std::fs::write(&received, &environment.transcript).expect("the target's directory");
        let differs = environment
            .transcript
            .lines()
            .zip(approved.lines())
            .find(|(one, other)| one != other);
        panic!(
            "{name}: received {} differs, first at {differs:#?}",
            received.display()
        );
    }
}

macro_rules! transcripts {
    ($($name:ident)*) => {
        $(#[test] fn $name() { check_transcript(stringify!($name)); })*

        #[test]
        fn every_transcript_file_has_a_test() {
            let mut files: Vec<String> = std::fs::read_dir("tests/transcripts")
                .expect("the directory")
                .map(|file| file.expect("a file").file_name().to_string_lossy().into_owned())
                .collect();
            files.sort_unstable();
            let mut tested = vec![$(concat!(stringify!($name), ".txt")),*];
            tested.sort_unstable();
            assert_eq!(files, tested);
        }
    };
}

transcripts! {
    check
    diff
    evacuate
    evacuate_gives_up
    evacuate_repeats
    follow
    help
    no_control
    put_dry_run
    put_first
    put_given_up_unsure
    put_in_force_already
    put_invalid
    put_on_current
    put_race_lost
    put_refused_by_all
    put_repeated_unchanged
    read
    redirects
    route
    settings_check
    status
    update
}
