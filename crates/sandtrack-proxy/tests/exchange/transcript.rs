//! Records the messages of one test as text that is the same on every run.
use std::cell::RefCell;
use std::path::PathBuf;

#[derive(Default)]
pub struct Transcript {
    text: RefCell<String>,
    /// Identifiers of upstreams, in the order of their first requests.
    identifiers: RefCell<Vec<String>>,
}

impl Transcript {
    /// Number of an upstream in the order of first requests, from 1.
    pub fn upstream_number(&self, identifier: &str) -> usize {
        let mut identifiers = self.identifiers.borrow_mut();
        if let Some(at) = identifiers.iter().position(|known| known == identifier) {
            return at + 1;
        }
        identifiers.push(identifier.to_owned());
        identifiers.len()
    }

    pub fn record(&self, label: &str, text: &str) {
        let mut written = self.text.borrow_mut();
        written.push_str(label);
        written.push('\n');
        for line in text.lines() {
            let line = self.normalize(line);
            written.push_str(&format!("    {line}").trim_end().replace('\r', ""));
            written.push('\n');
        }
    }

    /// Replaces what differs from run to run.
    fn normalize(&self, line: &str) -> String {
        if let Some((name, value)) = line.split_once(": ") {
            let is_number = value
                .trim()
                .parse::<f64>()
                .is_ok_and(|number| number >= 0.0);
            match (name.to_ascii_lowercase().as_str(), is_number) {
                ("deadline-remaining", true) => return format!("{name}: (left)"),
                ("retry-after", true) => return format!("{name}: (seconds)"),
                _ => {}
            }
        }
        let mut line = line.to_owned();
        for (at, identifier) in self.identifiers.borrow().iter().enumerate() {
            line = line.replace(identifier.as_str(), &format!("(upstream {})", at + 1));
        }
        if line.len() > 300 {
            line = format!("({} bytes)", line.len());
        }
        line
    }

    /// Asserts that it equals the approved transcript, or rewrites that with `APPROVE_TRANSCRIPTS=1`.
    pub fn assert_approved(&self, name: &str) {
        let path =
            PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/transcripts/{name}.txt"));
        let text = self.text.borrow();
        if std::env::var_os("APPROVE_TRANSCRIPTS").is_some_and(|value| value == "1") {
            std::fs::write(&path, text.as_bytes()).unwrap();
        }
        let approved = std::fs::read_to_string(&path).unwrap_or_default();
        let differs = approved
            .lines()
            .zip(text.lines())
            .position(|(one, other)| one != other);
        let at = differs.unwrap_or(approved.lines().count().min(text.lines().count()));
        assert!(
            approved == *text,
            "{name} differs from the approved transcript from line {} on; the new one is:\n{}",
            at + 1,
            *text
        );
    }
}
