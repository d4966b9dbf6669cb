//! Traces in files: the set-up and the machine on the first two lines, then one action a line. `#` begins a comment.
use std::fmt::Write;

use crate::action::{Action, NotAnAction};
use crate::checker::ReplicationModel;
use crate::machine::Machine;
use crate::setup::Setup;
use crate::world::World;

/// Which state machine the replicas run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// [`crate::machine::Register`]
    Register,
    /// The control state of `sandtrack-control`.
    Control,
    /// [`crate::machine::Unstamped`]
    Unstamped,
}

impl Kind {
    pub fn name(self) -> &'static str {
        match self {
            Self::Register => "register",
            Self::Control => "control",
            Self::Unstamped => "control-unstamped",
        }
    }

    pub fn named(name: &str) -> Option<Self> {
        [Self::Register, Self::Control, Self::Unstamped]
            .into_iter()
            .find(|kind| kind.name() == name)
    }
}

#[derive(Clone, Debug)]
pub struct Trace {
    pub setup: Setup,
    pub kind: Kind,
    pub actions: Vec<Action>,
}

/// Why a trace can't be read or played.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TraceError {
    #[error("no line `{0} NAME` with a known name")]
    Header(&'static str),
    #[error(transparent)]
    Action(#[from] NotAnAction),
    #[error("step {step}: `{action}` can't be taken there")]
    NotPossible { step: usize, action: Action },
}

/// What came of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Actions taken until the first property fell, or all.
    pub steps: usize,
    pub broken: Vec<&'static str>,
}

impl Trace {
    pub fn to_text(&self) -> String {
        let mut text = format!("setup {}\nmachine {}\n", self.setup.name, self.kind.name());
        for action in &self.actions {
            // Writing into memory can't fail.
            let _ = writeln!(text, "{action}");
        }
        text
    }

    /// # Errors
    /// Where a line is not understood.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let lines = text
            .lines()
            .map(|line| line.split('#').next().unwrap_or_default().trim());
        let mut lines = lines.filter(|line| !line.is_empty());
        let setup = lines
            .next()
            .and_then(|line| Setup::named(line.strip_prefix("setup ")?));
        let setup = setup.ok_or(TraceError::Header("setup"))?;
        let kind = lines
            .next()
            .and_then(|line| Kind::named(line.strip_prefix("machine ")?));
        let kind = kind.ok_or(TraceError::Header("machine"))?;
        let actions = lines
            .map(str::parse)
            .collect::<Result<Vec<Action>, NotAnAction>>()?;
        Ok(Self {
            setup,
            kind,
            actions,
        })
    }

    /// Plays the trace until a property falls; `told` hears of each action with the state before it.
    ///
    /// # Errors
    /// Where an action can't be taken.
    pub fn play<M: Machine>(
        &self,
        mut told: impl FnMut(&Action, &World<M>),
    ) -> Result<Outcome, TraceError> {
        let model = ReplicationModel::<M>::new(&self.setup, None);
        let mut world = World::<M>::prepared(&self.setup);
        for (at, action) in self.actions.iter().enumerate() {
            told(action, &world);
            let next = world.after(*action);
            world = next.ok_or(TraceError::NotPossible {
                step: at + 1,
                action: *action,
            })?;
            let broken = model.broken(&world);
            if !broken.is_empty() {
                return Ok(Outcome {
                    steps: at + 1,
                    broken,
                });
            }
        }
        Ok(Outcome {
            steps: self.actions.len(),
            broken: Vec::new(),
        })
    }
}
