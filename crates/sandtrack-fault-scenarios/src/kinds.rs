//! The table of all troubles and planned work that a day may hold, with the fields each one takes.

/// What a kind aims at; days are drawn densely on [`Plane::Control`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plane {
    /// Machines with control processes, their disks, links and clocks, and the operator's orders.
    Control,
    /// Fronts, upstreams and clients.
    Data,
}

/// Where an entry stands in a day.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Section {
    /// Work that the operators planned.
    Plan,
    /// Everything else.
    Faults,
}

/// A field that an entry of some kind takes, with the range its value is drawn from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Field {
    /// Duration in seconds.
    Duration(f64, f64),
    /// Pause between steps in seconds.
    Gap(f64, f64),
    /// Share of what fits, 0 to 1.
    Share(f64, f64),
    /// Number of what fits.
    Count(u32, u32),
    /// Strength; the unit is the kind's.
    Strength(f64, f64),
    /// One zone of the site.
    Zone,
    /// Another zone of the site.
    ToZone,
    /// One service of the site.
    Service,
    /// One class of requests of the site.
    Class,
    /// Machines whose loss is counted.
    OnCore,
}

/// Words of `how` of which at most one is taken, with the probability that one is.
pub type Words = (f64, &'static [&'static str]);

/// One kind of trouble or planned work.
#[derive(Debug, Clone, Copy)]
pub struct Kind {
    pub name: &'static str,
    pub plane: Plane,
    pub section: Section,
    pub fields: &'static [Field],
    pub how: &'static [Words],
    /// The kind takes counted machines away, so the bench makes it wait while as many are lost as are tolerated.
    pub loses_core: bool,
    /// The part of the rules that a site must have in force for the kind to be taken.
    pub contract: Option<&'static str>,
}

impl Kind {
    /// Whether a site with these parts of the rules in force takes the kind.
    pub fn fits(&self, contracts: &[String]) -> bool {
        self.contract
            .is_none_or(|contract| contracts.iter().any(|open| open == contract))
    }
}

/// Which machine: the one that acted or acknowledged last, the reader of the platform's list, a seed.
const TARGET: Words = (0.6, &["leader", "reader", "seed"]);
/// Orders are sent to the machine as it returns.
const RETURN: Words = (0.5, &["meet", "race"]);
const HARD: Words = (0.4, &["hard"]);
const DRAIN: Words = (0.3, &["drain"]);
/// What a cut looks like to who sends: silence if none.
const CUT: Words = (0.6, &["reset", "refuse"]);
/// All copies of a service, or none spared.
const SPREAD: Words = (0.4, &["across", "all"]);
const POWER: Words = (0.5, &["power"]);
/// The moment of a loss around an order.
const MOMENT: Words = (0.7, &["kill", "timed", "taken"]);

const fn control(name: &'static str, fields: &'static [Field], how: &'static [Words]) -> Kind {
    Kind {
        name,
        plane: Plane::Control,
        section: Section::Faults,
        fields,
        how,
        loses_core: false,
        contract: None,
    }
}

const fn loss(name: &'static str, fields: &'static [Field], how: &'static [Words]) -> Kind {
    Kind {
        loses_core: true,
        ..control(name, fields, how)
    }
}

const fn order(name: &'static str, fields: &'static [Field], how: &'static [Words]) -> Kind {
    Kind {
        section: Section::Plan,
        ..control(name, fields, how)
    }
}

const fn data(name: &'static str, fields: &'static [Field], how: &'static [Words]) -> Kind {
    Kind {
        plane: Plane::Data,
        ..control(name, fields, how)
    }
}

const fn under(contract: &'static str, kind: Kind) -> Kind {
    Kind {
        contract: Some(contract),
        ..kind
    }
}

const fn work(name: &'static str, fields: &'static [Field], how: &'static [Words]) -> Kind {
    Kind {
        section: Section::Plan,
        ..data(name, fields, how)
    }
}

use Field::{Class, Count, Duration, Gap, OnCore, Service, Share, Strength, ToZone, Zone};

/// Every kind. A name may stand twice where two forms of it are worth drawing apart.
pub const KINDS: &[Kind] = &[
    // Orders of the operator.
    order(
        "config_change",
        &[],
        &[(
            0.9,
            &["route", "weights", "timeout", "tenant", "quota", "idle"],
        )],
    ),
    order("config_storm", &[Duration(1.5, 6.0), Gap(0.06, 0.5)], &[]),
    order("config_race", &[Count(1, 4), Gap(0.8, 1.6)], &[]),
    order(
        "bad_config",
        &[Count(1, 4), Gap(0.5, 1.5)],
        &[(
            0.7,
            &[
                "cut_short",
                "unknown_service",
                "same_place",
                "no_weight",
                "no_timeout",
                "old_version",
                "same_version",
                "stale_match",
                "shared_key",
            ],
        )],
    ),
    order("big_config", &[Count(50, 400)], &[]),
    order("evacuate", &[Duration(2.0, 8.0), Zone], &[(0.6, &["warm"])]),
    // Machines and processes of the core.
    loss(
        "node_kill",
        &[OnCore, Count(1, 1), Duration(0.5, 6.0)],
        &[POWER, TARGET, RETURN, HARD, DRAIN],
    ),
    loss(
        "node_freeze",
        &[OnCore, Count(1, 1), Duration(1.0, 8.0)],
        &[TARGET, RETURN, HARD, DRAIN],
    ),
    loss(
        "node_slow",
        &[OnCore, Count(1, 1), Strength(3.0, 12.0), Duration(2.0, 6.0)],
        &[TARGET],
    ),
    loss(
        "replace_core",
        &[Strength(0.5, 3.0)],
        &[(0.4, &["planned"])],
    ),
    loss("after_ack_kill", &[Duration(0.5, 4.0)], &[MOMENT]),
    loss("after_ack_wipe", &[Duration(0.5, 4.0)], &[MOMENT]),
    loss(
        "core_cut",
        &[Count(1, 1), Duration(2.0, 20.0)],
        &[
            (0.6, &["one_way", "seeds", "both"]),
            CUT,
            TARGET,
            RETURN,
            HARD,
            DRAIN,
        ],
    ),
    loss("zone_cut", &[Duration(2.0, 8.0), Zone], &[CUT]),
    loss("zone_loss", &[Duration(2.0, 6.0), Zone], &[]),
    control("herd_kill", &[OnCore], &[(0.7, &["power", "taken"])]),
    control(
        "roll_term",
        &[OnCore, Gap(0.8, 2.0)],
        &[(0.5, &["busy", "remove"]), DRAIN],
    ),
    // Their disks, clocks, links and settings.
    loss(
        "disk_slow",
        &[Count(1, 1), Strength(10.0, 60.0), Duration(2.0, 8.0)],
        &[TARGET],
    ),
    loss("disk_full", &[Count(1, 1), Duration(2.0, 6.0)], &[TARGET]),
    loss("disk_stall", &[Count(1, 1), Duration(1.0, 5.0)], &[TARGET]),
    control(
        "clock_step",
        &[Share(0.2, 1.0), Strength(500.0, 6000.0), Duration(2.0, 8.0)],
        &[(0.7, &["back", "ahead"]), TARGET],
    ),
    control("seed_turnover", &[], &[]),
    control("hup", &[Share(0.3, 1.0), Gap(0.2, 2.0)], &[]),
    control(
        "reset_conns",
        &[OnCore, Share(0.3, 1.0), Strength(0.3, 1.0)],
        &[],
    ),
    control("ack_lost", &[Strength(0.3, 0.95), Duration(3.0, 15.0)], &[]),
    // Fronts.
    data(
        "node_cut",
        &[Share(0.1, 0.4), Duration(2.0, 8.0)],
        &[(0.3, &["servers"]), CUT],
    ),
    data(
        "node_kill",
        &[Share(0.1, 0.3), Duration(0.5, 4.0)],
        &[POWER],
    ),
    data("node_freeze", &[Share(0.1, 0.2), Duration(1.0, 5.0)], &[]),
    data(
        "node_slow",
        &[Share(0.1, 0.2), Strength(3.0, 6.0), Duration(2.0, 6.0)],
        &[],
    ),
    data("herd_kill", &[Share(0.3, 0.7)], &[POWER]),
    data("reset_conns", &[Share(0.1, 0.5), Strength(0.3, 1.0)], &[]),
    work(
        "roll_term",
        &[Share(0.3, 1.0), Strength(1.0, 1.0), Gap(0.8, 1.5)],
        &[(0.5, &["busy", "remove"])],
    ),
    // Upstreams.
    // Without `all`: a service that is gone for good as a whole cannot be served again.
    data(
        "srv_crash",
        &[Service, Share(0.1, 0.25)],
        &[(1.0, &["gone"])],
    ),
    data(
        "srv_crash",
        &[Service, Share(0.1, 0.25), Duration(2.0, 5.0)],
        &[(0.5, &["dark"]), SPREAD],
    ),
    data(
        "srv_slow",
        &[Share(0.1, 0.25), Strength(3.0, 6.0), Duration(3.0, 8.0)],
        &[SPREAD],
    ),
    data(
        "srv_grey",
        &[Share(0.1, 0.25), Strength(0.2, 0.6), Duration(3.0, 8.0)],
        &[(0.9, &["errors", "shed", "busy", "hang", "reset", "mute"])],
    ),
    data(
        "srv_grey",
        &[
            ToZone,
            Share(0.1, 0.25),
            Strength(0.2, 0.6),
            Duration(3.0, 8.0),
        ],
        &[(1.0, &["errors one_zone", "hang one_zone", "reset one_zone"])],
    ),
    data(
        "srv_grey",
        &[Share(0.1, 0.25), Strength(4.0, 8.0), Duration(3.0, 8.0)],
        &[(1.0, &["slow"])],
    ),
    under(
        "health",
        data(
            "srv_lying_health",
            &[Share(0.1, 0.2), Duration(3.0, 8.0)],
            &[(0.9, &["errors", "hang", "reset", "bad"])],
        ),
    ),
    under(
        "health",
        data(
            "srv_flap",
            &[Share(0.1, 0.2), Gap(0.8, 2.0), Duration(3.0, 8.0)],
            &[],
        ),
    ),
    data(
        "cold_return",
        &[Zone, Duration(2.0, 5.0)],
        &[(0.4, &["dark"])],
    ),
    data(
        "answer_lost",
        &[Share(0.3, 0.7), Strength(0.02, 0.08), Duration(3.0, 8.0)],
        &[(0.4, &["reset"])],
    ),
    data(
        "garble",
        &[Share(0.3, 0.7), Strength(0.01, 0.05), Duration(3.0, 8.0)],
        &[(0.6, &["extra", "extra late"])],
    ),
    under(
        "pool",
        data(
            "idle_race",
            &[Share(0.3, 0.7), Strength(100.0, 500.0), Duration(3.0, 8.0)],
            &[],
        ),
    ),
    data(
        "replace_with_reuse",
        &[Share(0.1, 0.2)],
        &[(0.7, &["drain", "dark"])],
    ),
    work(
        "release",
        &[Share(0.2, 0.5), Strength(1.0, 2.0), Gap(0.7, 1.2)],
        &[],
    ),
    work("scale_out", &[Share(0.2, 0.4), Gap(0.5, 2.0)], &[]),
    data(
        "scale_in",
        &[Service, Share(0.1, 0.2), Strength(1.5, 2.5)],
        &[(0.6, &["spot"])],
    ),
    // Clients.
    data(
        "burst",
        &[Class, Strength(1.5, 2.5), Duration(3.0, 8.0)],
        &[],
    ),
    data(
        "shift",
        &[Zone, ToZone, Share(0.3, 0.6), Duration(3.0, 8.0)],
        &[],
    ),
    data(
        "retry_abuse",
        &[Share(0.1, 0.4), Strength(1.0, 3.0), Duration(3.0, 8.0)],
        &[],
    ),
];

/// What may strike at the end of a day, and how.
pub const CLOSINGS: &[(&str, &[&str])] = &[
    ("power_off_all", &["", "timed", "taken"]),
    ("wipe_after_ack", &["", "timed", "taken", "aimed"]),
    ("kill_all", &["", "timed", "taken"]),
];
