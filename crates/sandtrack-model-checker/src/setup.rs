//! What a run starts from: the machines, the script of the operators, how steps are scheduled, and how much of each
//! trouble may happen.
use crate::machine::Order;

/// Which steps may come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Scheduling {
    /// Events happen in the order of their causes, and time goes on when there are none; each departure from that costs one
    /// deviation (delay-bounded scheduling). Goes deep.
    Ordered,
    /// Any event may be the next. Complete up to its depth, which is small.
    Free,
}

/// How often each thing may happen still.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// All that follows together, but for ticks.
    pub deviations: u8,
    pub holds: u8,
    pub duplicates: u8,
    pub crashes: u8,
    pub power_losses: u8,
    pub wipes: u8,
    pub replacements: u8,
    pub freezes: u8,
    /// One way, between two machines.
    pub cuts: u8,
    /// All ways of one machine.
    pub isolations: u8,
    pub ticks: u8,
    /// Early ticks of one machine; all ticks in free scheduling.
    pub single_ticks: u8,
    /// Times that an order is sent, for all orders together.
    pub sends: u8,
}

#[derive(Clone, Debug)]
pub struct Setup {
    pub name: &'static str,
    pub scheduling: Scheduling,
    /// Machines from the start; the first three are the seeds.
    pub machines: usize,
    /// Machines that may take a removed one's place.
    pub spares: usize,
    pub script: Vec<Order>,
    /// Before the run starts, this many of the script's orders are sent and acknowledged.
    pub prepared: usize,
    pub budget: Budget,
    /// A machine is lost only while no other is, and this many calm ticks after the last one came back. `None`: at any time.
    pub calm_between_losses: Option<u8>,
    /// Whether heartbeats may be held or doubled as well.
    pub statuses_too: bool,
    /// No more events than these are under way in free scheduling; a state with more is not followed.
    pub most_events: usize,
    /// Two machines that hear nothing of each other: when the run starts, each is about to propose a view without the other.
    pub apart: Option<(usize, usize)>,
    /// Ticks after which an operator gives up the call of an evacuation; only then, or once it is answered, it sends the
    /// next. `None`: several operators order at once.
    pub patience: Option<u8>,
}

/// A caller goes elsewhere after a second; in whole ticks.
const PATIENCE_TICKS: u8 = 4;

fn change(based_on: u64, mark: char) -> Order {
    Order::Change {
        based_on,
        version: based_on + 1,
        mark,
    }
}

/// Two operators pick the same number for different changes; then one reads.
fn rivals() -> Vec<Order> {
    vec![change(0, 'a'), change(1, 'b'), change(1, 'c'), Order::Read]
}

fn evacuation() -> Vec<Order> {
    vec![
        change(0, 'a'),
        Order::Evacuate { begin: true },
        Order::Evacuate { begin: false },
    ]
}

/// The zone is evacuated; the finish may be late, and is overtaken by a begin that finds the zone evacuated still.
fn overtaking() -> Vec<Order> {
    vec![
        change(0, 'a'),
        Order::Evacuate { begin: true },
        Order::Evacuate { begin: false },
        Order::Evacuate { begin: true },
    ]
}

impl Setup {
    /// Three machines in line with one change committed; rival changes while a view changes.
    fn base(name: &'static str, budget: Budget) -> Self {
        Self {
            name,
            scheduling: Scheduling::Ordered,
            machines: 3,
            spares: 0,
            script: rivals(),
            prepared: 1,
            budget,
            calm_between_losses: None,
            statuses_too: false,
            most_events: 24,
            apart: None,
            patience: None,
        }
    }

    /// All set-ups, by name.
    pub fn all() -> Vec<Self> {
        let none = Budget::default();
        let calls = Budget {
            deviations: 2,
            ticks: 12,
            sends: 4,
            ..none
        };
        vec![
            Self::base(
                "calls",
                Budget {
                    holds: 2,
                    duplicates: 1,
                    ..calls
                },
            ),
            Self::base(
                "crash",
                Budget {
                    crashes: 2,
                    holds: 1,
                    ..calls
                },
            ),
            Self::base(
                "power",
                Budget {
                    power_losses: 2,
                    crashes: 1,
                    holds: 1,
                    ..calls
                },
            ),
            Self::base(
                "freeze",
                Budget {
                    freezes: 2,
                    holds: 1,
                    ticks: 16,
                    ..calls
                },
            ),
            Self::base(
                "cuts",
                Budget {
                    cuts: 2,
                    isolations: 1,
                    ticks: 16,
                    ..calls
                },
            ),
            Self::base(
                "wipe",
                Budget {
                    wipes: 1,
                    holds: 1,
                    crashes: 1,
                    ticks: 16,
                    ..calls
                },
            ),
            Self {
                spares: 1,
                ..Self::base(
                    "replace",
                    Budget {
                        replacements: 1,
                        holds: 1,
                        freezes: 1,
                        ticks: 18,
                        ..calls
                    },
                )
            },
            Self::base(
                "everything",
                Budget {
                    deviations: 4,
                    holds: 2,
                    duplicates: 1,
                    crashes: 2,
                    power_losses: 1,
                    wipes: 1,
                    freezes: 1,
                    cuts: 1,
                    isolations: 1,
                    single_ticks: 1,
                    ticks: 40,
                    sends: 6,
                    ..none
                },
            ),
            Self {
                spares: 1,
                calm_between_losses: Some(6),
                ..Self::base(
                    "spaced",
                    Budget {
                        deviations: 2,
                        crashes: 1,
                        wipes: 1,
                        replacements: 1,
                        freezes: 1,
                        isolations: 1,
                        ticks: 40,
                        sends: 2,
                        ..none
                    },
                )
            },
            Self {
                script: evacuation(),
                ..Self::base(
                    "late-order",
                    Budget {
                        deviations: 1,
                        freezes: 1,
                        holds: 1,
                        ticks: 12,
                        sends: 3,
                        ..none
                    },
                )
            },
            Self {
                script: overtaking(),
                prepared: 2,
                patience: Some(PATIENCE_TICKS),
                ..Self::base(
                    "overtaken-order",
                    Budget {
                        deviations: 2,
                        holds: 1,
                        crashes: 1,
                        freezes: 1,
                        ticks: 5,
                        sends: 2,
                        ..none
                    },
                )
            },
            Self {
                apart: Some((1, 2)),
                ..Self::base(
                    "rival-views",
                    Budget {
                        deviations: 2,
                        crashes: 1,
                        holds: 2,
                        cuts: 1,
                        ticks: 6,
                        ..none
                    },
                )
            },
            Self {
                apart: Some((1, 2)),
                ..Self::base(
                    "rival-views-wipe",
                    Budget {
                        deviations: 1,
                        wipes: 1,
                        ticks: 6,
                        ..none
                    },
                )
            },
            Self {
                scheduling: Scheduling::Free,
                ..Self::base(
                    "free",
                    Budget {
                        deviations: 2,
                        crashes: 1,
                        wipes: 1,
                        duplicates: 1,
                        single_ticks: 2,
                        sends: 3,
                        ..none
                    },
                )
            },
        ]
    }

    pub fn named(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|setup| setup.name == name)
    }
}
