//! The state machine of the tests: one versioned register, like the operator's configuration.
use sandtrack_replication::StateMachine;

/// Commands are "set BASE VERSION"; the one with the version in place as its base wins.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    pub version: u64,
    /// Commands applied so far.
    pub applied: u64,
    /// Base and version of each command that won.
    pub wins: Vec<(u64, u64)>,
    /// Bytes that a snapshot holds besides.
    pub state_padding: usize,
}

impl StateMachine for Register {
    fn apply(&mut self, number: u64, command: &[u8]) -> Vec<u8> {
        assert_eq!(
            number,
            self.applied + 1,
            "commands are applied without gaps"
        );
        self.applied = number;
        let text = String::from_utf8(command.to_vec()).unwrap();
        let words: Vec<u64> = text
            .split(' ')
            .skip(1)
            .map(|word| word.parse().unwrap())
            .collect();
        if words[0] == self.version && words[1] > self.version {
            self.version = words[1];
            self.wins.push((words[0], words[1]));
        }
        let word = if self.version == words[1] {
            "won"
        } else {
            "lost"
        };
        format!("{word} {number}").into_bytes()
    }

    fn query(&self, _question: &[u8]) -> Vec<u8> {
        format!("{} {}", self.version, self.applied).into_bytes()
    }

    fn snapshot(&self) -> Vec<u8> {
        let mut text = format!("{} {}", self.version, self.applied);
        for (base, version) in &self.wins {
            text.push_str(&format!(" {base} {version}"));
        }
        text.push('\n');
        let mut bytes = text.into_bytes();
        bytes.extend((0..self.state_padding).map(|at| at as u8));
        bytes
    }

    fn restore(&mut self, snapshot: &[u8]) -> bool {
        let end = snapshot.iter().position(|byte| *byte == b'\n').unwrap();
        let text = String::from_utf8(snapshot[..end].to_vec()).unwrap();
        self.state_padding = snapshot.len() - end - 1;
        let words: Vec<u64> = text.split(' ').map(|word| word.parse().unwrap()).collect();
        self.version = words[0];
        self.applied = words[1];
        self.wins = words[2..]
            .chunks(2)
            .map(|pair| (pair[0], pair[1]))
            .collect();
        true
    }
}
