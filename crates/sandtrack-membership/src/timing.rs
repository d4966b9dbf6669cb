//! The pace of the protocol: how often, how long, how many. It owns the figures and what follows from the fleet's size, and
//! must never know a member.
use crate::table::CONFIRM;
use crate::Ms;

/// Between two probes: in turn of one drawn from all, and of the next one in a ring by hashes of names. Each is so probed
/// about as often, however many there are, and by one at least every second.
pub const PROBE: Ms = 500;
/// An answer to a ping is late after this ...
pub const ACK: Ms = 200;
/// ... or after this many times what both sides are used to wait for answers, in halves, and never later than this ...
pub const ACK_HALVES: Ms = 3;
pub const ACK_MOST: Ms = 4_000;
/// (a ping of which the answer came too late is remembered for so long, and so many of them) ...
pub const LATE: Ms = 10_000;
pub const LATE_MOST: usize = 16;
/// ... and so many others are asked to try, who have this long.
pub const HELPERS: usize = 3;
pub const ASK: Ms = 400;
/// One that was asked says so when it got no answer within this.
pub const ASKED: Ms = 200;
/// Where one that failed is back, so many others that did are tried at once, while no more probes than this are out.
pub const REACH: usize = 4;
/// One that failed is tried by so many a second, whatever the fleet's size.
pub const REACHED: f64 = 4.0;
pub const REACH_MOST: usize = 32;
/// Who was cut off tells what it held of others then, once it has had this long to reach them.
pub const OWN_UP: Ms = 3_000;
/// Rumours go to so many others, so often.
pub const GOSSIP: Ms = 200;
pub const FANOUT: usize = 3;
/// Over so many rumours in hand each is told on only so often.
pub const RUMOURS_MANY: usize = 200;
pub const RETELL_FEW: u32 = 4;
/// About so many members give a second opinion on one that is suspected, whatever the fleet's size, and as many look at one
/// of the others in its zone: failures come by zones.
pub const OPINIONS: f64 = 8.0;
/// Probes out at a time, at most.
pub const PROBES: usize = 8;
/// Suspects are judged so often.
pub const JUDGE: Ms = 100;
/// The view is looked at so often.
pub const LOOK: Ms = 500;
/// What is known is compared with another's this soon after a difference, and ever less often while there is none.
pub const COMPARE: Ms = 1_000;
pub const COMPARE_MOST: Ms = 10_000;
/// A seed is asked again after this, and ever less often ...
pub const JOIN: Ms = 200;
pub const JOIN_MOST: Ms = 5_000;
/// ... and so many at a time. An answer of which pieces are missing is taken for whole after this.
pub const SEEDS: usize = 3;
pub const WELCOME: Ms = 1_000;
/// Once in, seeds that are nobody's address are asked this often: they may be another part of the fleet.
pub const SEED_AGAIN: Ms = 15_000;
/// Pieces of what is known go out this far apart, and one newcomer is told so many.
pub const PIECE: Ms = 10;
pub const WELCOME_PIECES: usize = 4;
/// Exchanges in turn at most; more are not begun.
pub const EXCHANGES: usize = 16;
/// Ended states are looked through this often.
pub const SWEEP: Ms = 5_000;
/// Whether a name is another's: so many pings, so far apart.
pub const CLAIMS: u32 = 3;
pub const CLAIM: Ms = 500;
/// One that stood down looks this often whether its name is free.
pub const CLAIM_AGAIN: Ms = 5_000;
/// Bytes of facts in one datagram.
pub const FACT_BYTES: usize = 300;
/// Datagrams a second that go out at most, and that are looked at.
pub const OUT: f64 = 400.0;
pub const IN: f64 = 2_000.0;
/// Strangers that are answered beyond what they ask, a second.
pub const STRANGERS: f64 = 20.0;
/// Pings for others in hand.
pub const ERRANDS: usize = 64;
/// Lines on strangers, garbage and doubled names are this far apart at least.
pub const SAY: Ms = 30_000;

/// Doublings that make so many of one: how long it takes for news to reach all.
fn doublings(members: usize) -> f64 {
    (members as f64 + 1.0).log2().max(1.0)
}

/// A suspicion lasts this long at least: news of it has to reach the suspect, and its answer all the others.
pub fn suspicion_least(members: usize) -> Ms {
    (1_400.0 + 120.0 * doublings(members)) as Ms
}

/// ... three times as long where nobody else accuses it, and between with each that does. `members`: all, the suspect too.
pub fn suspicion(members: usize, accusers: usize) -> Ms {
    let least = suspicion_least(members) as f64;
    // In a small fleet there are not so many who could.
    let most = (CONFIRM + 1).min(members.saturating_sub(1)).max(1) as f64;
    let accusers = (accusers.max(1) as f64).min(most);
    let part = if most > 1.0 {
        accusers.ln() / most.ln()
    } else {
        1.0
    };
    (least * (3.0 - 2.0 * part)).round() as Ms
}

/// Each member tells a rumour on so many times.
pub fn retell(members: usize) -> u32 {
    (1.5 * doublings(members)).ceil() as u32 + 2
}

/// What may be done a second: saved up for one second.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    rate: f64,
    saved: f64,
    at: Ms,
}

impl Pace {
    pub fn new(rate: f64, now: Ms) -> Self {
        Pace {
            rate,
            saved: rate,
            at: now,
        }
    }

    /// Takes one, or says no; `keep`: this part of what is saved is for others.
    pub fn take(&mut self, now: Ms, keep: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1000.0;
        self.at = self.at.max(now);
        self.saved = (self.saved + passed * self.rate).min(self.rate);
        let may = self.saved >= 1.0 + self.rate * keep;
        if may {
            self.saved -= 1.0;
        }
        may
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_that_accuses_shortens_a_suspicion_and_one_alone_has_three_times_as_long() {
        let least = suspicion_least(100);
        let times: Vec<Ms> = (1..=5).map(|accusers| suspicion(100, accusers)).collect();
        assert!(times.windows(2).all(|two| two[0] >= two[1]), "{times:?}");
        assert_eq!((times[0], times[3], times[4]), (3 * least, least, least));
        assert!(suspicion_least(10_000) < 4_000);
        assert_eq!(
            suspicion(3, 2),
            suspicion_least(3),
            "nobody else is there who could accuse it"
        );
        assert_eq!(suspicion(2, 1), suspicion_least(2));
    }

    #[test]
    fn a_pace_gives_so_many_a_second_whatever_the_clock_does() {
        let mut pace = Pace::new(10.0, 1_000);
        let mut taken = |now: Ms, keep: f64| (0..100).filter(|_| pace.take(now, keep)).count();
        assert_eq!(taken(1_000, 0.0), 10);
        assert_eq!(taken(1_500, 0.0), 5);
        assert_eq!(taken(500, 0.0), 0, "back in time nothing is earned");
        assert_eq!(taken(3_600_000, 0.5), 5, "the rest is for others");
    }
}
