//! Rules about changes and reads of the configuration.
use super::{Oracle, SubmittedConfiguration};
use std::collections::BTreeSet;

impl Oracle {
    /// An operator submits a configuration for the first time.
    pub fn configuration_submitted(
        &mut self,
        operation: usize,
        version: u64,
        document: Option<String>,
    ) {
        self.sent.insert(
            operation,
            SubmittedConfiguration {
                version,
                document,
                acknowledged: false,
                rejected_with: None,
            },
        );
    }

    /// CONFIG: no two changes are acknowledged on one base version, and no invalid one.
    pub fn acknowledged(&mut self, operation: usize, based_on: u64) {
        let Some(sent) = self.sent.get_mut(&operation) else {
            return;
        };
        sent.acknowledged = true;
        let (version, valid) = (sent.version, sent.document.is_some());
        self.newest_acknowledged = self.newest_acknowledged.max(version);
        self.check(valid, "invalid_is_not_acknowledged", || {
            format!("operation {operation}, version {version}")
        });
        let first = *self.acknowledged_on.entry(based_on).or_insert(operation);
        let same = self.sent.get(&first).map(|sent| &sent.document)
            == self.sent.get(&operation).map(|sent| &sent.document);
        self.check(first == operation, "one_change_on_a_version", || {
            let details = if same {
                "of one content"
            } else {
                "of two contents"
            };
            format!(
                "operations {first} and {operation}, {details}, were both acknowledged on version {based_on}"
            )
        });
    }

    /// CONFIG: an acknowledged change that is submitted again is not rejected, as long as nothing else was changed.
    pub fn resubmission_answered(&mut self, operation: usize, status: u16) {
        let refused = (400..500).contains(&status);
        self.check(!refused, "a_repeat_is_not_refused", || {
            format!(
                "operation {operation} was acknowledged, and refused with {status} when sent again"
            )
        });
    }

    /// A change was definitely rejected with this status.
    pub fn rejected(&mut self, operation: usize, status: u16) {
        if let Some(sent) = self.sent.get_mut(&operation) {
            sent.rejected_with = Some(status);
        }
    }

    /// A control node shows a committed configuration: it was submitted, and is the same on all control nodes.
    pub fn configuration_applied(
        &mut self,
        machine: usize,
        number: u64,
        version: u64,
        document: &str,
    ) {
        let known = self
            .applied
            .entry(number)
            .or_insert_with(|| (version, document.to_owned()));
        let same = known.0 == version && known.1 == document;
        self.check(same, "states_agree", || {
            format!("machine {machine} differs at number {number}")
        });
        let was_sent = self
            .sent
            .values()
            .any(|sent| sent.version == version && sent.document.as_deref() == Some(document));
        self.check(was_sent, "only_what_was_sent_is_in_force", || {
            format!(
                "machine {machine} shows version {version} at number {number}, which nobody sent"
            )
        });
    }

    /// Checks that the versions of applied configurations rise with the numbers of their commands.
    pub fn check_versions_rise(&mut self) {
        let versions: Vec<u64> = self.applied.values().map(|(version, _)| *version).collect();
        let rise = versions.windows(2).all(|pair| pair[0] < pair[1]);
        self.check(rise, "versions_rise", || format!("{versions:?}"));
    }

    /// CONFIG: checks that no rejected configuration was applied.
    pub fn check_nothing_rejected_applied(&mut self) {
        let applied: BTreeSet<&String> = self
            .applied
            .values()
            .map(|(_, document)| document)
            .collect();
        let wrong = self.sent.iter().find_map(|(operation, sent)| {
            let status = sent.rejected_with?;
            let document = sent.document.as_ref()?;
            (applied.contains(document) && !sent.acknowledged).then_some((
                *operation,
                sent.version,
                status,
            ))
        });
        if let Some((operation, version, status)) = wrong {
            self.fail(
                "nothing_refused_in_force",
                format!("operation {operation}, version {version}, answered {status}"),
            );
        }
    }

    /// Checks that every acknowledged change was applied, directly after the version that it is based on.
    pub fn check_acknowledged_was_applied(&mut self) {
        let line: Vec<u64> = self.applied.values().map(|(version, _)| *version).collect();
        let acknowledged_on: Vec<(u64, usize)> = self
            .acknowledged_on
            .iter()
            .map(|(based_on, operation)| (*based_on, *operation))
            .collect();
        for (based_on, operation) in acknowledged_on {
            let Some(sent) = self.sent.get(&operation) else {
                continue;
            };
            let version = sent.version;
            let document = sent.document.clone().unwrap_or_default();
            let came = self
                .applied
                .values()
                .any(|known| *known == (version, document.clone()));
            self.check(came, "acknowledged_was_in_force", || {
                format!("operation {operation}, version {version}")
            });
            let at = line.iter().position(|known| *known == version);
            let before = at.map_or(0, |at| at.checked_sub(1).map_or(0, |before| line[before]));
            self.check(at.is_none() || before == based_on, "one_change_on_a_version", || {
                format!("operation {operation}, version {version}, was based on {based_on} and came after {before}")
            });
        }
    }

    /// A read is at least as new as what was acknowledged before it began.
    pub fn read_is_fresh(&mut self, version: u64, at_least: u64) {
        self.check(version >= at_least, "a_read_is_fresh", || {
            format!("read {version}, and {at_least} was acknowledged before")
        });
    }

    /// What was acknowledged last is read back byte for byte.
    pub fn read_back(&mut self, version: u64, document: &str) {
        let newest = self.newest_acknowledged;
        self.check(version >= newest, "acknowledged_is_read_back", || {
            format!("read back {version}, and {newest} was acknowledged")
        });
        self.read_is_what_was_sent(version, document);
    }

    /// What is read is byte for byte what was acknowledged, or else submitted, under its version.
    pub fn read_is_what_was_sent(&mut self, version: u64, document: &str) {
        let candidates: Vec<&SubmittedConfiguration> = self
            .sent
            .values()
            .filter(|sent| sent.version == version)
            .collect();
        let acknowledged = candidates.iter().find(|sent| sent.acknowledged);
        let matches = |sent: &&SubmittedConfiguration| sent.document.as_deref() == Some(document);
        let same = acknowledged.map_or_else(|| candidates.iter().any(matches), matches);
        self.check(same, "acknowledged_is_read_back", || {
            format!("version {version} differs from what was sent under it")
        });
    }
}
