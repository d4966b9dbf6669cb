//! The figures: counts since the process began, and their text form. It owns the counts and the names, and must never
//! look at anything else: what is counted, and when, the reducer says, at one place each.
use std::collections::BTreeMap;
use std::fmt::Write;

/// All names begin with this.
const PREFIX: &str = "node";

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole 200 answer.
    Completed,
    /// 429 or 503: trying again is harmless.
    Rejected,
    /// Any other answer, or one that was cut off.
    Failed,
}

impl End {
    pub fn of(status: u16) -> Self {
        match status {
            200 => End::Completed,
            429 | 503 => End::Rejected,
            _ => End::Failed,
        }
    }
}

#[derive(Default)]
pub struct Figures {
    /// By class: completed, rejected, failed.
    ends: Vec<[u64; 3]>,
    pub upstream_requests: u64,
    pub config_reloads: u64,
    pub config_reload_errors: u64,
}

/// What is so at the moment of the call.
pub struct Levels {
    pub pending: usize,
    pub members: usize,
    pub members_unavailable: usize,
    /// Of the fleet, by name; none where it is in none.
    pub fleet: Vec<(&'static str, u64)>,
}

impl Figures {
    pub fn ended(&mut self, class: usize, how: End) {
        if self.ends.len() <= class {
            self.ends.resize(class + 1, [0; 3]);
        }
        self.ends[class][how as usize] += 1;
    }

    /// One line a figure. A class that has other terms since a reload counts on under its name.
    pub fn text(&self, classes: &[String], levels: &Levels) -> String {
        let mut by_name: BTreeMap<&str, [u64; 3]> = BTreeMap::new();
        for (n, name) in classes.iter().enumerate() {
            let sums = by_name.entry(name).or_default();
            let counts = self.ends.get(n).copied().unwrap_or_default();
            sums.iter_mut()
                .zip(counts)
                .for_each(|(sum, count)| *sum += count);
        }
        let mut lines = Vec::new();
        for (n, figure) in ["completed", "rejected", "failed"].into_iter().enumerate() {
            lines.extend(
                by_name
                    .iter()
                    .map(|(class, sums)| (format!("{figure}.{class}"), sums[n])),
            );
        }
        let plain = [
            ("upstream_requests", self.upstream_requests),
            ("pending", levels.pending as u64),
            ("members", levels.members as u64),
            ("members_unavailable", levels.members_unavailable as u64),
            ("config_reloads", self.config_reloads),
            ("config_reload_errors", self.config_reload_errors),
        ];
        let fleet = levels.fleet.iter().copied();
        lines.extend(
            plain
                .into_iter()
                .chain(fleet)
                .map(|(name, value)| (name.to_owned(), value)),
        );
        lines
            .into_iter()
            .fold(String::new(), |mut text, (name, value)| {
                // Writing to a string can't fail.
                let _ = writeln!(text, "{PREFIX}.{name}={value}");
                text
            })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_class_has_its_lines_from_the_start_and_one_with_two_terms_counts_once() {
        let mut figures = Figures::default();
        figures.ended(0, End::of(200));
        figures.ended(2, End::of(200));
        figures.ended(2, End::of(503));
        figures.ended(2, End::of(504));
        figures.upstream_requests = 5;
        let classes = ["pay", "read", "pay"].map(str::to_owned);
        let levels = Levels {
            pending: 3,
            members: 9,
            members_unavailable: 1,
            fleet: Vec::new(),
        };
        let expected = "node.completed.pay=2\nnode.completed.read=0\nnode.rejected.pay=1\nnode.rejected.read=0\n\
                        node.failed.pay=1\nnode.failed.read=0\nnode.upstream_requests=5\nnode.pending=3\nnode.members=9\n\
                        node.members_unavailable=1\nnode.config_reloads=0\nnode.config_reload_errors=0\n";
        assert_eq!(figures.text(&classes, &levels), expected);
    }
}
