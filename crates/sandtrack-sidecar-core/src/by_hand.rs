//! What staff ordered by hand, as plain data. It owns how orders add up, and must never note them anywhere or decide what
//! follows from them: the handover and the reducer do.
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// When an upstream came back matters while it may be cold: it is kept for longer than any takes to warm up.
const BACK_KEPT_MS: i64 = 600_000;

/// What staff ordered and did not take back.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ByHand {
    /// Clients are sent away.
    pub drained: bool,
    /// Upstreams that are left out, by discovery's ids.
    pub out: BTreeSet<String>,
    /// When upstreams were taken back (Unix, ms).
    pub back: BTreeMap<String, i64>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    Out(String),
    /// `at`: Unix time in milliseconds.
    Back {
        id: String,
        at: i64,
    },
    Drain,
    Resume,
}

impl ByHand {
    /// The order given twice is the order given once.
    pub fn apply(&mut self, change: Change) {
        match change {
            Change::Out(id) => {
                self.back.remove(&id);
                self.out.insert(id);
            }
            Change::Back { id, at } => {
                self.back.retain(|_, back| at - *back < BACK_KEPT_MS);
                if self.out.remove(&id) {
                    self.back.insert(id, at);
                }
            }
            Change::Drain => self.drained = true,
            Change::Resume => self.drained = false,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_calls_out_need_one_back_and_a_call_back_alone_is_nothing() {
        let mut by_hand = ByHand::default();
        by_hand.apply(Change::Back {
            id: "a".to_owned(),
            at: 1,
        });
        assert_eq!(
            by_hand,
            ByHand::default(),
            "it was never out, and is not cold"
        );
        by_hand.apply(Change::Out("a".to_owned()));
        by_hand.apply(Change::Out("a".to_owned()));
        by_hand.apply(Change::Back {
            id: "a".to_owned(),
            at: 2,
        });
        assert!(by_hand.out.is_empty() && by_hand.back["a"] == 2);
    }
}
