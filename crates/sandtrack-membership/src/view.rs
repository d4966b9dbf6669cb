//! How far a member may trust its own view of the fleet: whole, doubtful or cut off, with hysteresis. It owns that rule, and
//! must never change what is known of anybody. docs/fleet.md has what each consumer of the view does in each of the three.
use crate::Ms;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum View {
    /// It hears nearly all that should be there, and they hear it.
    Whole,
    /// It hears more than half of them, or has reason to doubt itself.
    Doubtful,
    /// It hears half of them or fewer, or nobody hears it: it may be the one that is lost.
    CutOff,
}

impl View {
    pub fn word(self) -> &'static str {
        match self {
            View::Whole => "whole",
            View::Doubtful => "doubtful",
            View::CutOff => "cut-off",
        }
    }
}

/// What the rule looks at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sight {
    /// Members that should be there, itself included: all that did not say that they leave, until they are forgotten ...
    pub expected: usize,
    /// ... and of these the ones that are alive and not suspected.
    pub heard: usize,
    /// Since when nothing was heard of anybody, where there is somebody.
    pub silent: Ms,
    /// Nobody answers its probes.
    pub unheard: bool,
    /// It has been told who is there, or has nobody to ask.
    pub joined: bool,
    /// How long it has tried to be told.
    pub joining: Ms,
    /// Another process goes by its name.
    pub name_taken: bool,
    /// Its doubt about itself, and whether it was stopped a moment ago.
    pub score: u32,
    pub quiet: bool,
}

/// Half of the members or fewer: the others may be the fleet.
const CUT: (usize, usize) = (1, 2);
const CUT_BACK: (usize, usize) = (11, 20);
/// Under three in five it is doubtful: the loss of one zone of three with its members leaves it whole.
const DOUBT: (usize, usize) = (3, 5);
const DOUBT_BACK: (usize, usize) = (13, 20);
const SCORE: u32 = 4;
const SCORE_BACK: u32 = 2;
/// Everybody sends something every second; nothing at all for this long is no chance.
const SILENT: Ms = 4_000;
const SILENT_BACK: Ms = 1_500;
const JOINING: Ms = 10_000;
/// A better view has to last this long before it counts; a worse one counts at once.
const BETTER: Ms = 2_000;

fn at_most(part: usize, whole: usize, share: (usize, usize)) -> bool {
    part * share.1 <= whole * share.0
}

/// The view that this sight gives, and why; `from`: what it was, which a better one must pass by a margin.
fn judge(sight: &Sight, from: View) -> (View, &'static str) {
    let cut_off = from == View::CutOff;
    let well = from == View::Whole;
    let (cut, silent) = if cut_off {
        (CUT_BACK, SILENT_BACK)
    } else {
        (CUT, SILENT)
    };
    let (doubt, score) = if well {
        (DOUBT, SCORE)
    } else {
        (DOUBT_BACK, SCORE_BACK + 1)
    };
    let others = sight.expected > 1;
    if sight.name_taken {
        return (View::CutOff, "another process has its name");
    }
    if !sight.joined && sight.joining >= JOINING {
        return (View::CutOff, "no seed answers");
    }
    if others && sight.silent >= silent {
        return (View::CutOff, "nothing is heard of anybody");
    }
    if others && sight.unheard {
        return (View::CutOff, "nobody answers");
    }
    if others && at_most(sight.heard, sight.expected, cut) {
        return (View::CutOff, "half of the members or fewer are heard");
    }
    if !sight.joined {
        return (View::Doubtful, "it has not been told who is there");
    }
    if sight.quiet {
        return (View::Doubtful, "it was stopped a moment ago");
    }
    if others && sight.score >= score {
        return (View::Doubtful, "its own probes come late or to nothing");
    }
    let few = sight.heard * doubt.1 < sight.expected * doubt.0;
    if others && few {
        return (View::Doubtful, "a good part of the members is not heard");
    }
    (
        View::Whole,
        if others {
            "nearly all are heard"
        } else {
            "it is alone"
        },
    )
}

/// The view as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    view: View,
    reason: &'static str,
    since: Ms,
    /// Since when the sight has been better than the view.
    better: Option<Ms>,
}

impl Standing {
    pub fn new(now: Ms) -> Self {
        let reason = "it has not been told who is there";
        Standing {
            view: View::Doubtful,
            reason,
            since: now,
            better: None,
        }
    }

    pub fn view(&self) -> View {
        self.view
    }

    pub fn reason(&self) -> &'static str {
        self.reason
    }

    pub fn since(&self) -> Ms {
        self.since
    }

    /// Looks anew; gives the view before, where it changed.
    pub fn look(&mut self, sight: &Sight, now: Ms) -> Option<View> {
        let (view, reason) = judge(sight, self.view);
        if view >= self.view {
            self.better = None;
        } else {
            let since = *self.better.get_or_insert(now);
            if now.saturating_sub(since) < BETTER {
                return None;
            }
            self.better = None;
        }
        self.reason = reason;
        if view == self.view {
            return None;
        }
        self.since = now;
        Some(std::mem::replace(&mut self.view, view))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sight(heard: usize, expected: usize) -> Sight {
        Sight {
            expected,
            heard,
            silent: 0,
            unheard: false,
            joined: true,
            joining: 0,
            name_taken: false,
            score: 0,
            quiet: false,
        }
    }

    /// The view after each of these was seen for this long.
    fn after(seen: &[(Sight, Ms)]) -> View {
        let (mut standing, mut now) = (Standing::new(0), 0);
        for (sight, time) in seen {
            for _ in 0..time / 100 {
                now += 100;
                standing.look(sight, now);
            }
        }
        standing.view()
    }

    #[test]
    fn a_zone_of_three_lost_with_its_members_leaves_the_rest_whole_and_half_of_two_cut_off() {
        let whole = (sight(30, 30), 5_000);
        assert_eq!(after(&[whole, (sight(20, 30), 200)]), View::Whole);
        assert_eq!(after(&[whole, (sight(17, 30), 200)]), View::Doubtful);
        assert_eq!(
            after(&[whole, (sight(15, 30), 200)]),
            View::CutOff,
            "the other half may be the fleet"
        );
        assert_eq!(
            after(&[(sight(1, 1), 5_000)]),
            View::Whole,
            "alone, and nobody else was ever heard of"
        );
    }

    /// Without the margins and the wait a member at the edge would change its view with each probe.
    #[test]
    fn better_counts_after_a_while_and_past_a_margin_and_worse_at_once() {
        let (whole, cut) = ((sight(30, 30), 5_000), (sight(10, 30), 200));
        assert_eq!(after(&[whole, cut, (sight(30, 30), 1_900)]), View::CutOff);
        assert_eq!(after(&[whole, cut, (sight(30, 30), 2_200)]), View::Whole);
        assert_eq!(
            after(&[whole, cut, (sight(16, 30), 20_000)]),
            View::CutOff,
            "by a hair is not better"
        );
        assert_eq!(
            after(&[whole, (sight(17, 30), 200), (sight(19, 30), 20_000)]),
            View::Doubtful
        );
        let mut edge = vec![whole];
        edge.extend((0..20).flat_map(|_| [(sight(15, 30), 100), (sight(30, 30), 1_000)]));
        assert_eq!(after(&edge), View::CutOff, "it does not flap");
    }

    #[test]
    fn who_hears_nothing_is_unheard_or_was_stopped_doubts_itself_first() {
        let whole = (sight(30, 30), 5_000);
        let with = |edit: fn(&mut Sight)| {
            let mut sight = sight(30, 30);
            edit(&mut sight);
            after(&[whole, (sight, 100)])
        };
        assert_eq!(with(|s| s.silent = 4_000), View::CutOff);
        assert_eq!(with(|s| s.unheard = true), View::CutOff);
        assert_eq!(with(|s| s.name_taken = true), View::CutOff);
        assert_eq!(with(|s| s.quiet = true), View::Doubtful);
        assert_eq!(with(|s| s.score = 4), View::Doubtful);
        assert_eq!(with(|s| s.score = 3), View::Whole);
        assert_eq!(with(|s| s.joined = false), View::Doubtful);
        assert_eq!(
            with(|s| (s.joined, s.joining) = (false, 10_000)),
            View::CutOff,
            "no seed answers"
        );
    }
}
