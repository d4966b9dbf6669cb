//! Approved transcripts of whole exchanges: a command line goes in; the bytes on the wire both ways, the pauses, the output and
//! the exit code are compared with `tests/transcripts/NAME.txt`. The same file is the script of the stand-in for control: a
//! block of `A<` lines is what A, a listener on loopback, answers to the next call, and then it closes; `A< (nothing)` is no
//! byte, `A< (silence)` no byte and no close. `Z` is an address where nobody listens. Time is played: a pause takes none.
//!
//! Where one differs, what was received is in the target's tmp folder, to be read and, if it is right, copied over.
use sandtrack_cli::program::{run, World};
use sandtrack_cli::transport::{exchange, TransportError};
use sandtrack_cli::Millis;
use sandtrack_sidecar_core::message::Message;
use std::collections::VecDeque;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;

/// What a stand-in does when it has read a call.
#[derive(Clone, Debug)]
enum Answer {
    Bytes(Vec<u8>),
    Silence,
}

struct Stage {
    listeners: Vec<(&'static str, TcpListener)>,
    names: Vec<(&'static str, String)>,
    script: VecDeque<(String, Answer)>,
    transcript: String,
    now: Millis,
}

impl Stage {
    fn new(script: VecDeque<(String, Answer)>) -> Stage {
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
        Stage {
            listeners,
            names,
            script,
            transcript: String::new(),
            now: 0.0,
        }
    }

    fn note(&mut self, line: &str) {
        self.transcript.push_str(line.trim_end_matches('\n'));
        self.transcript.push('\n');
    }

    /// Addresses as they are for names in braces, or the other way round.
    fn real(&self, text: &str) -> String {
        self.names
            .iter()
            .fold(text.to_owned(), |text, (name, real)| {
                text.replace(&format!("{{{name}}}"), real)
            })
    }

    fn named(&self, text: &str) -> String {
        self.names
            .iter()
            .fold(text.to_owned(), |text, (name, real)| {
                text.replace(real, &format!("{{{name}}}"))
            })
    }

    /// Lines of bytes on the wire; every line of a head ends with CR LF, and a body is as it is.
    fn wire(&mut self, mark: &str, bytes: &[u8]) {
        let text = self.named(std::str::from_utf8(bytes).expect("text"));
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
            self.note(format!("{mark} {line}").trim_end());
        }
    }
}

impl World for Stage {
    fn now(&mut self) -> Millis {
        self.now
    }

    fn pause(&mut self, length: Millis) {
        self.note(&format!("-- pause {length:.0} ms"));
        self.now += length;
    }

    fn exchange(
        &mut self,
        address: SocketAddr,
        request: &[u8],
        silence: Millis,
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
            let result = exchange(address, request, silence);
            self.note(&format!(
                "{name}! {}",
                result.as_ref().expect_err("nobody listens")
            ));
            return result;
        };
        let (scripted, answer) = self.script.pop_front().unwrap_or_else(|| {
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
        let answer = match answer {
            Answer::Bytes(bytes) => Some(
                self.real(std::str::from_utf8(&bytes).expect("text"))
                    .into_bytes(),
            ),
            Answer::Silence => None,
        };
        let listener = self.listeners[at].1.try_clone().expect("the listener");
        let (received, result) = std::thread::scope(|scope| {
            let standing_in = scope.spawn(|| {
                let (mut stream, _) = listener.accept().expect("a connection");
                let mut received = vec![0; request.len()];
                stream.read_exact(&mut received).expect("the whole request");
                match &answer {
                    Some(bytes) => stream.write_all(bytes).expect("the answer is taken"),
                    None => assert_eq!(
                        stream.read(&mut [0]).expect("the end"),
                        0,
                        "more than the request"
                    ),
                }
                received
            });
            let patience = if answer.is_some() { 10_000.0 } else { 5.0 };
            let result = exchange(address, request, patience);
            (standing_in.join().expect("the stand-in"), result)
        });
        self.wire(&format!("{name}>"), &received);
        match &answer {
            Some(bytes) if bytes.is_empty() => self.note(&format!("{name}< (nothing)")),
            Some(bytes) => self.wire(&format!("{name}<"), bytes),
            None => {
                self.note(&format!("{name}< (silence)"));
                self.now += silence;
            }
        }
        if let Err(error) = &result {
            self.note(&format!("{name}! {error}"));
        }
        result
    }

    fn print(&mut self, line: &str) {
        let line = self.named(line);
        line.split('\n')
            .for_each(|line| self.note(format!("out: {line}").trim_end()));
    }

    fn complain(&mut self, line: &str) {
        let line = self.named(line);
        line.split('\n')
            .for_each(|line| self.note(format!("err: {line}").trim_end()));
    }
}

/// The answers that a transcript holds, in order.
fn script(approved: &str) -> VecDeque<(String, Answer)> {
    let mut answers: VecDeque<(String, Answer)> = VecDeque::new();
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
            let answer = match lines.as_slice() {
                ["(nothing)"] => Answer::Bytes(Vec::new()),
                ["(silence)"] => Answer::Silence,
                lines => {
                    let end = lines
                        .iter()
                        .position(|line| line.is_empty())
                        .unwrap_or(lines.len());
                    let head = lines[..end].join("\r\n");
                    let body = lines.get(end + 1..).unwrap_or_default().join("\n");
                    Answer::Bytes(format!("{head}\r\n\r\n{body}").into_bytes())
                }
            };
            answers.push_back((of, answer));
        }
        if !name.is_empty() {
            block = Some((name.to_owned(), vec![rest]));
        }
    }
    answers
}

/// Plays a transcript and compares.
fn play(name: &str) {
    let path = Path::new("tests/transcripts").join(format!("{name}.txt"));
    let approved = std::fs::read_to_string(&path).expect("the approved transcript");
    let mut stage = Stage::new(script(&approved));
    let mut environment = None;
    for line in approved.lines() {
        if line.starts_with('#') || line.is_empty() {
            stage.note(line);
        } else if let Some(value) = line.strip_prefix("env SANDTRACK_CONTROL=") {
            stage.note(line);
            environment = Some(stage.real(value));
        } else if let Some(words) = line.strip_prefix("$ sandtrackctl") {
            stage.note(line);
            let words = stage.real(words);
            let words: Vec<String> = words.split_whitespace().map(str::to_owned).collect();
            let code = run(&words, environment.as_deref(), &mut stage);
            stage.note(&format!("exit: {code}"));
        }
    }
    let left: Vec<&str> = stage.script.iter().map(|(name, _)| name.as_str()).collect();
    assert!(
        left.is_empty(),
        "answers that nobody asked for, of {left:?}, after:\n{}",
        stage.transcript
    );
    if stage.transcript != approved {
        let received = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.txt"));
        std::fs::write(&received, &stage.transcript).expect("the target's folder");
        let differs = stage
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
        $(#[test] fn $name() { play(stringify!($name)); })*

        #[test]
        fn every_transcript_is_played() {
            let mut files: Vec<String> = std::fs::read_dir("tests/transcripts")
                .expect("the folder")
                .map(|file| file.expect("a file").file_name().to_string_lossy().into_owned())
                .collect();
            files.sort_unstable();
            let mut played = vec![$(concat!(stringify!($name), ".txt")),*];
            played.sort_unstable();
            assert_eq!(files, played);
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
