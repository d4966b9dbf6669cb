//! How many members budgets are to be shared by. It owns that figure, and must never let it fall because members are not
//! heard: one that is merely not heard still sends.
//!
//! The figure rises at once. It falls only to the largest that held at any time in the last while of a whole view: so a rolling
//! restart, a start of the whole fleet, or a member that says nothing change no budget.
use crate::view::View;
use crate::{Fleet, Ms};

/// What was so in this much time of a whole view counts.
pub const HOLD: Ms = 30_000;
/// It is looked at in so many parts.
const PARTS: usize = 6;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The largest figure of each part of the time, the newest last.
    parts: [u32; PARTS],
    /// How long the newest part has lasted in a whole view.
    lasted: Ms,
    at: Ms,
}

impl Budget {
    /// `told`: the figure of the settings, which holds until the fleet is known.
    pub fn new(told: u32, now: Ms) -> Self {
        Budget {
            parts: [told.max(1); PARTS],
            lasted: 0,
            at: now,
        }
    }

    /// Notes what this member knows of its fleet; gives the figure that goes.
    pub fn follow(&mut self, fleet: &Fleet, now: Ms) -> u32 {
        self.note(fleet.expected() as u32, fleet.view().0, now);
        self.figure()
    }

    /// Notes how many are there, or may be: all that did not say that they leave.
    pub fn note(&mut self, count: u32, view: View, now: Ms) {
        let passed = now.saturating_sub(self.at);
        self.at = self.at.max(now);
        // Time in which the view was not whole shows nothing, and neither does time in which nobody looked.
        if view == View::Whole {
            self.lasted += passed.min(HOLD / PARTS as Ms);
        } else {
            self.lasted = 0;
        }
        if self.lasted >= HOLD / PARTS as Ms {
            self.lasted = 0;
            self.parts.rotate_left(1);
            self.parts[PARTS - 1] = count;
        }
        let newest = &mut self.parts[PARTS - 1];
        *newest = (*newest).max(count);
    }

    pub fn figure(&self) -> u32 {
        self.parts.iter().copied().max().unwrap_or(1).max(1)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn over(budget: &mut Budget, from: Ms, time: Ms, count: u32, view: View) -> Ms {
        for at in (from..from + time).step_by(500) {
            budget.note(count, view, at);
        }
        from + time
    }

    #[test]
    fn it_rises_at_once_and_falls_after_a_while_of_a_whole_view() {
        let mut budget = Budget::new(40, 0);
        let now = over(&mut budget, 0, 20_000, 3, View::Whole);
        assert_eq!(budget.figure(), 40, "who starts first knows of few");
        let now = over(&mut budget, now, 20_000, 3, View::Whole);
        assert_eq!(budget.figure(), 3);
        budget.note(3, View::Whole, now);
        budget.note(9, View::Whole, now + 1);
        assert_eq!(budget.figure(), 9, "at once");
        let now = over(&mut budget, now, 5_000, 8, View::Whole);
        assert_eq!(budget.figure(), 9, "a restart, for example");
        over(&mut budget, now, 40_000, 8, View::Whole);
        assert_eq!(budget.figure(), 8);
    }

    /// A fleet that is cut in two for an hour must not send twice what its upstreams bear.
    #[test]
    fn it_never_falls_while_the_view_is_not_whole() {
        let mut budget = Budget::new(1, 0);
        let mut now = over(&mut budget, 0, 40_000, 30, View::Whole);
        for view in [View::Doubtful, View::CutOff] {
            now = over(&mut budget, now, 3_600_000, 5, view);
            assert_eq!(budget.figure(), 30);
        }
        // Whole for moments only, again and again.
        for _ in 0..100 {
            now = over(&mut budget, now, 4_000, 5, View::Whole);
            now = over(&mut budget, now, 2_000, 5, View::Doubtful);
        }
        assert_eq!(budget.figure(), 30);
        budget.note(5, View::Whole, now + 3_600_000);
        assert_eq!(budget.figure(), 30, "a jump of the clock is no time seen");
    }
}
