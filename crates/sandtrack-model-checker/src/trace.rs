//! Trace files: the set-up and the state machine on the first two lines, then one action a line. `#` begins a comment.
use std::fmt::Write;

use crate::action::{Action, ParseActionError};
use crate::checker::ReplicationModel;
use crate::cluster::Cluster;
use crate::machine::Machine;
use crate::setup::Setup;

/// Which state machine the replicas run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineKind {
    /// [`crate::machine::Register`]
    Register,
    /// The control state of `sandtrack-control`.
    Control,
    /// [`crate::machine::Unstamped`]
    Unstamped,
    /// [`crate::machine::LatestRules`]
    LatestRules,
}

impl MachineKind {
    /// The name on the command line and in traces.
    pub fn name(self) -> &'static str {
        match self {
            Self::Register => "register",
            Self::Control => "control",
            Self::Unstamped => "control-unstamped",
            Self::LatestRules => "control-latest-rules",
        }
    }

    /// The kind with this name.
    pub fn by_name(name: &str) -> Option<Self> {
        [
            Self::Register,
            Self::Control,
            Self::Unstamped,
            Self::LatestRules,
        ]
        .into_iter()
        .find(|kind| kind.name() == name)
    }
}

/// A sequence of actions from the initial state of a set-up.
#[derive(Clone, Debug)]
pub struct Trace {
    /// The set-up.
    pub setup: Setup,
    /// The state machine that the replicas run.
    pub kind: MachineKind,
    /// The actions, in their order.
    pub actions: Vec<Action>,
}

/// Why a trace can't be read or replayed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TraceError {
    /// A line of the header is missing, or names nothing that is known.
    #[error("no line `{0} NAME` with a known name")]
    Header(&'static str),
    /// A line is not an action.
    #[error(transparent)]
    Action(#[from] ParseActionError),
    /// An action is not enabled.
    #[error("step {step}: `{action}` can't be taken there")]
    NotPossible {
        /// The number of the step, from 1.
        step: usize,
        /// The action.
        action: Action,
    },
}

/// The result of a replay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Actions taken until the first property was violated, or all.
    pub steps: usize,
    /// The names of the violated properties.
    pub violations: Vec<&'static str>,
}

impl Trace {
    /// The content of a trace file.
    pub fn to_text(&self) -> String {
        let mut text = format!("setup {}\nmachine {}\n", self.setup.name, self.kind.name());
        for action in &self.actions {
            // Writing into memory can't fail.
            let _ = writeln!(text, "{action}");
        }
        text
    }

    /// # Errors
    /// Fails on a line that is not understood.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let lines = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or_default().trim());
        let mut lines = lines.filter(|line| !line.is_empty());
        let setup = lines
            .next()
            .and_then(|line| Setup::by_name(line.strip_prefix("setup ")?));
        let setup = setup.ok_or(TraceError::Header("setup"))?;
        let kind = lines
            .next()
            .and_then(|line| MachineKind::by_name(line.strip_prefix("machine ")?));
        let kind = kind.ok_or(TraceError::Header("machine"))?;
        let actions = lines
            .map(str::parse)
            .collect::<Result<Vec<Action>, ParseActionError>>()?;
        Ok(Self {
            setup,
            kind,
            actions,
        })
    }

    /// Replays the trace until a property is violated; `observer` gets each action with the state before it.
    ///
    /// # Errors
    /// Fails on an action that is not enabled.
    pub fn play<M: Machine>(
        &self,
        mut observer: impl FnMut(&Action, &Cluster<M>),
    ) -> Result<Outcome, TraceError> {
        let model = ReplicationModel::<M>::new(&self.setup, None);
        let mut cluster = Cluster::<M>::prepared(&self.setup);
        for (at, action) in self.actions.iter().enumerate() {
            observer(action, &cluster);
            let next = cluster.after(*action);
            cluster = next.ok_or(TraceError::NotPossible {
                step: at + 1,
                action: *action,
            })?;
            let violations = model.violations(&cluster);
            if !violations.is_empty() {
                return Ok(Outcome {
                    steps: at + 1,
                    violations,
                });
            }
        }
        Ok(Outcome {
            steps: self.actions.len(),
            violations: Vec::new(),
        })
    }
}
