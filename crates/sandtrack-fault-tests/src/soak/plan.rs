//! The troubles of a run, drawn from its seed. Pure. Several tracks of troubles run side by side, so that two or three overlap.
//! What the system is to bear holds: one control machine is in trouble at a time but for moments in which all are, and one disk
//! is lost only when the one before has long been back.
use super::records::Seconds;
use super::{CONTROLS, MACHINES, UPSTREAMS};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Troubles side by side.
const TRACKS: usize = 3;
/// A trouble lasts from this to this long, in s.
const LASTS: [Seconds; 2] = [0.4, 5.0];
/// Pause between two troubles of a track, up to this long, in s.
const PAUSE_MOST: Seconds = 2.0;
/// A control machine that was in trouble has so long to come back before the next one is.
const CATCH_UP: Seconds = 4.0;
/// Between two losses of a disk.
const BETWEEN_WIPES: Seconds = 14.0;

/// What is done, and to whom; numbers are machines or addresses of upstreams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    ControlKill(usize),
    ControlFreeze(usize),
    /// SIGTERM; it is started again once it has ended.
    ControlStop(usize),
    /// Killed, and started again with an empty disk.
    ControlWipe(usize),
    /// Cut off from the other control nodes, both ways, or only what it says or hears.
    ControlCut(usize),
    ControlMute(usize),
    ControlDeaf(usize),
    /// Its disk takes no more bytes.
    DiskFull(usize),
    ControlReload(usize),
    /// All control nodes are killed at the same moment.
    AllControlsKilled,
    ProxyKill(usize),
    ProxyFreeze(usize),
    ProxyStop(usize),
    ProxyReload(usize),
    /// Both processes of the machine get SIGTERM at the same moment.
    MachineStop(usize),
    /// The machine is cut off from all control nodes of other machines.
    SessionCut(usize),
    /// All connections of the machine to control nodes are reset.
    SessionReset(usize),
    /// Answers of one control node to operators are lost.
    AnswersLost(usize),
    /// All links between machines take so many ms more.
    SlowLinks(u64),
    UpstreamCrash(usize),
    /// It drains and is replaced by a new one.
    UpstreamReplace(usize),
    /// It crashes, and one of the other service has its address.
    AddressReuse(usize),
    /// Upstreams make trouble for this share of the requests.
    UpstreamTrouble(f64),
    /// The platform answers 429, errors or nothing.
    PlatformTrouble,
}

impl Kind {
    /// The control machine that is in trouble by it.
    pub fn control(self) -> Option<usize> {
        match self {
            Kind::ControlKill(at)
            | Kind::ControlFreeze(at)
            | Kind::ControlStop(at)
            | Kind::ControlWipe(at)
            | Kind::ControlCut(at)
            | Kind::ControlMute(at)
            | Kind::ControlDeaf(at)
            | Kind::DiskFull(at) => Some(at),
            Kind::MachineStop(at) | Kind::SessionCut(at) | Kind::SessionReset(at)
                if at < CONTROLS =>
            {
                Some(at)
            }
            _ => None,
        }
    }

    /// The machine whose proxy is in trouble by it.
    pub fn proxy(self) -> Option<usize> {
        match self {
            Kind::ProxyKill(at)
            | Kind::ProxyFreeze(at)
            | Kind::ProxyStop(at)
            | Kind::ProxyReload(at)
            | Kind::MachineStop(at)
            | Kind::SessionCut(at)
            | Kind::SessionReset(at) => Some(at),
            _ => None,
        }
    }

    /// The address of an upstream that it is about.
    fn upstream(self) -> Option<usize> {
        match self {
            Kind::UpstreamCrash(at) | Kind::UpstreamReplace(at) | Kind::AddressReuse(at) => {
                Some(at)
            }
            _ => None,
        }
    }

    /// It is a signal alone that the platform sends for its own work.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Kind::ControlStop(_)
                | Kind::ControlReload(_)
                | Kind::ProxyStop(_)
                | Kind::ProxyReload(_)
                | Kind::MachineStop(_)
        )
    }

    /// It touches control nodes or the links among them.
    pub fn is_of_core(self) -> bool {
        self.control().is_some() || matches!(self, Kind::AllControlsKilled | Kind::SlowLinks(_))
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Trouble {
    pub kind: Kind,
    pub from: Seconds,
    pub until: Seconds,
}

/// What strikes at the end, right after a change was acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    Nothing,
    AllKilled,
    /// One control machine loses its disk, and all others are killed at the same moment.
    DiskLost(usize),
}

#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    /// By their begin.
    pub troubles: Vec<Trouble>,
    pub closing: Closing,
    /// When the last trouble is over at the latest.
    pub lasts: Seconds,
}

impl Plan {
    /// The plan of this seed, with troubles from 1 s to `lasts`.
    pub fn draw(seed: u64, lasts: Seconds) -> Plan {
        let mut rng = Pcg64::seed_from_u64(seed);
        let mut troubles: Vec<Trouble> = Vec::new();
        let mut free: [Seconds; TRACKS] = [1.0; TRACKS];
        loop {
            let track = (0..TRACKS)
                .min_by(|one, other| free[*one].total_cmp(&free[*other]))
                .unwrap_or(0);
            let from = free[track] + rng.gen_range(0.0..PAUSE_MOST);
            let until = from + rng.gen_range(LASTS[0]..LASTS[1]);
            if until > lasts {
                break;
            }
            // What does not fit beside the others is drawn anew; a track that finds nothing waits.
            let drawn = (0..40).map(|_| Trouble {
                kind: draw(&mut rng),
                from,
                until,
            });
            let fits = drawn.into_iter().find(|trouble| fits(trouble, &troubles));
            free[track] = fits.map_or(from, |trouble| trouble.until);
            troubles.extend(fits);
        }
        troubles.sort_by(|one, other| one.from.total_cmp(&other.from));
        let closing = match rng.gen_range(0..4) {
            0 => Closing::Nothing,
            1 => Closing::DiskLost(rng.gen_range(0..CONTROLS)),
            _ => Closing::AllKilled,
        };
        Plan {
            seed,
            troubles,
            closing,
            lasts,
        }
    }
}

fn draw(rng: &mut Pcg64) -> Kind {
    let control = rng.gen_range(0..CONTROLS);
    let machine = rng.gen_range(0..MACHINES);
    let upstream = rng.gen_range(0..UPSTREAMS);
    let kinds = [
        Kind::ControlKill(control),
        Kind::ControlFreeze(control),
        Kind::ControlStop(control),
        Kind::ControlWipe(control),
        Kind::ControlCut(control),
        Kind::ControlMute(control),
        Kind::ControlDeaf(control),
        Kind::DiskFull(control),
        Kind::ControlReload(control),
        Kind::AllControlsKilled,
        Kind::ProxyKill(machine),
        Kind::ProxyFreeze(machine),
        Kind::ProxyStop(machine),
        Kind::ProxyStop(machine),
        Kind::ProxyReload(machine),
        Kind::MachineStop(machine),
        Kind::SessionCut(machine),
        Kind::SessionReset(machine),
        Kind::AnswersLost(control),
        Kind::SlowLinks(rng.gen_range(5..80)),
        Kind::UpstreamCrash(upstream),
        Kind::UpstreamReplace(upstream),
        Kind::UpstreamReplace(upstream),
        Kind::AddressReuse(upstream),
        Kind::UpstreamTrouble(rng.gen_range(0.05..0.4)),
        Kind::UpstreamTrouble(rng.gen_range(0.05..0.4)),
        Kind::PlatformTrouble,
    ];
    *kinds.choose(rng).unwrap_or(&Kind::PlatformTrouble)
}

/// Whether it may come beside the others that were drawn.
fn fits(trouble: &Trouble, others: &[Trouble]) -> bool {
    others.iter().all(|other| fit_together(trouble, other))
}

fn fit_together(one: &Trouble, other: &Trouble) -> bool {
    let overlap =
        |margin: Seconds| one.from < other.until + margin && other.from < one.until + margin;
    let same = |a: Option<usize>, b: Option<usize>| a.is_some() && a == b;
    let is_alike = std::mem::discriminant(&one.kind) == std::mem::discriminant(&other.kind);
    let wipes = |kind: Kind| matches!(kind, Kind::ControlWipe(_));
    if wipes(one.kind) && wipes(other.kind) && overlap(BETWEEN_WIPES) {
        return false;
    }
    let all = |kind: Kind| matches!(kind, Kind::AllControlsKilled);
    let both_of_core = one.kind.is_of_core() && other.kind.is_of_core();
    let heavy = |kind: Kind| kind.control().is_some() || all(kind);
    if both_of_core && heavy(one.kind) && heavy(other.kind) && overlap(CATCH_UP) {
        return false;
    }
    let shares = same(one.kind.proxy(), other.kind.proxy())
        || same(one.kind.upstream(), other.kind.upstream())
        || is_alike && one.kind.upstream().is_none();
    !(shares && overlap(0.5))
}
