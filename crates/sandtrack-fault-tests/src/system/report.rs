//! What a scenario found: verdicts by what operators, clients and upstreams saw.
use super::process::EndedByItself;
use std::fmt::Write;
use std::time::Duration;

/// One thing that must hold, and whether it did.
#[derive(Clone, Debug)]
pub struct Verdict {
    pub what: String,
    pub kept: bool,
    /// What was seen.
    pub seen: String,
}

/// Why a scenario came to no end.
#[derive(Debug, thiserror::Error)]
pub enum Stopped {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Ended(#[from] EndedByItself),
    #[error("not so within {limit:?}: {what}; {seen}")]
    Late {
        what: String,
        limit: Duration,
        seen: String,
    },
}

#[derive(Clone, Debug, Default)]
pub struct Report {
    pub scenario: &'static str,
    pub verdicts: Vec<Verdict>,
    /// What happened, for whoever looks into a broken verdict.
    pub notes: Vec<String>,
    pub took: Duration,
}

impl Report {
    /// Notes a verdict; `broken` is what was seen against it.
    pub fn judge(&mut self, what: &str, broken: &[String]) {
        let seen = if broken.is_empty() {
            "held".to_owned()
        } else {
            broken.join("; ")
        };
        self.verdicts.push(Verdict {
            what: what.to_owned(),
            kept: broken.is_empty(),
            seen,
        });
    }

    pub fn is_kept(&self) -> bool {
        !self.verdicts.is_empty() && self.verdicts.iter().all(|verdict| verdict.kept)
    }

    pub fn text(&self) -> String {
        let mut text = format!("{} in {:.1} s\n", self.scenario, self.took.as_secs_f64());
        for Verdict { what, kept, seen } in &self.verdicts {
            let mark = if *kept { "held  " } else { "BROKEN" };
            let _ = match kept {
                true => writeln!(text, "  {mark} {what}"),
                false => writeln!(text, "  {mark} {what}: {seen}"),
            };
        }
        text
    }
}
