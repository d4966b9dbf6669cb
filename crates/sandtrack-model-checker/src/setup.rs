//! The set-ups of a search: the machines, the script of the operators, the scheduling, and how often each fault may happen.
use crate::machine::Operation;

/// Which steps may come next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Scheduling {
    /// Events happen in the order of their causes, and time advances when there are none; each deviation from that costs one
    /// (delay-bounded scheduling). Reaches deep states.
    Ordered,
    /// Any event may be the next. Complete up to its small depth.
    Free,
}

/// How often each kind of action may still happen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Budget {
    /// All faults and deviations together.
    pub deviations: u8,
    /// Delays of an event.
    pub holds: u8,
    /// Duplicates of a message or a call.
    pub duplicates: u8,
    /// Crashes of one process.
    pub crashes: u8,
    /// Losses of power of all machines.
    pub power_losses: u8,
    /// Losses of a disk.
    pub wipes: u8,
    /// Replacements of a machine by a spare one.
    pub replacements: u8,
    /// Freezes of a process.
    pub freezes: u8,
    /// One-way partitions between two machines.
    pub partitions: u8,
    /// Partitions between one machine and all others.
    pub isolations: u8,
    /// Ticks of all machines.
    pub ticks: u8,
    /// Early ticks of one machine; all ticks in free scheduling.
    pub single_ticks: u8,
    /// Times that operations are sent, all operations together.
    pub sends: u8,
}

/// What a search starts from, and its bounds.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name on the command line and in traces.
    pub name: &'static str,
    /// Which steps may come next.
    pub scheduling: Scheduling,
    /// Initial machines; the first three are the seeds.
    pub machines: usize,
    /// Machines that may replace a removed one.
    pub spares: usize,
    /// The operations of the operators, in their order.
    pub script: Vec<Operation>,
    /// This many operations of the script are sent and acknowledged before the search begins.
    pub prepared_operations: usize,
    /// How often each kind of action may happen.
    pub budget: Budget,
    /// A machine is lost only while no other is, and this many ticks after the last fault. `None`: at any time.
    pub steady_ticks_between_losses: Option<u8>,
    /// Whether heartbeats may be delayed or duplicated as well.
    pub delays_heartbeats: bool,
    /// In free scheduling, a state with more events in flight is not followed.
    pub max_events_in_flight: usize,
    /// Two machines that are partitioned from each other: initially, each is about to propose a view without the other.
    pub partitioned_pair: Option<(usize, usize)>,
    /// Ticks after which an operator gives up the call of an evacuation; it sends the next one only then, or after a response.
    /// `None`: several operators send evacuations at once.
    pub call_timeout_ticks: Option<u8>,
}

/// A caller goes elsewhere after a second, rounded to ticks.
const CALL_TIMEOUT_TICKS: u8 = 4;

fn change(based_on: u64, mark: char) -> Operation {
    Operation::Change {
        based_on,
        version: based_on + 1,
        mark,
    }
}

/// Two operators pick the same version for different changes; then one reads.
fn rivals() -> Vec<Operation> {
    vec![
        change(0, 'a'),
        change(1, 'b'),
        change(1, 'c'),
        Operation::Read,
    ]
}

/// Each of two tenants is given the same key, the second on top of the first: that is invalid, and the first is not.
fn shared_key() -> Vec<Operation> {
    vec![
        change(0, 'a'),
        Operation::GiveKey {
            based_on: 1,
            version: 2,
            tenant: 't',
        },
        Operation::GiveKey {
            based_on: 2,
            version: 3,
            tenant: 'u',
        },
        Operation::Read,
    ]
}

fn evacuation() -> Vec<Operation> {
    vec![
        change(0, 'a'),
        Operation::Evacuate { begin: true },
        Operation::Evacuate { begin: false },
    ]
}

/// A begin and a finish, which may be late and overtaken by another begin.
fn overtaking() -> Vec<Operation> {
    vec![
        change(0, 'a'),
        Operation::Evacuate { begin: true },
        Operation::Evacuate { begin: false },
        Operation::Evacuate { begin: true },
    ]
}

impl Setup {
    /// Three machines with one committed change; rival changes while a view changes.
    fn base(name: &'static str, budget: Budget) -> Self {
        Self {
            name,
            scheduling: Scheduling::Ordered,
            machines: 3,
            spares: 0,
            script: rivals(),
            prepared_operations: 1,
            budget,
            steady_ticks_between_losses: None,
            delays_heartbeats: false,
            max_events_in_flight: 24,
            partitioned_pair: None,
            call_timeout_ticks: None,
        }
    }

    /// All set-ups.
    pub fn all() -> Vec<Self> {
        [
            Self::single_fault_setups(),
            Self::combined_fault_setups(),
            Self::overtaking_setups(),
            Self::dependent_change_setups(),
            Self::rival_view_setups(),
            Self::free_setups(),
        ]
        .concat()
    }

    /// The budget of most set-ups, before their faults.
    fn usual_budget() -> Budget {
        Budget {
            deviations: 2,
            ticks: 12,
            sends: 4,
            ..Budget::default()
        }
    }

    /// Few faults of one kind each.
    fn single_fault_setups() -> Vec<Self> {
        let usual = Self::usual_budget();
        vec![
            Self::base(
                "calls",
                Budget {
                    holds: 2,
                    duplicates: 1,
                    ..usual
                },
            ),
            Self::base(
                "crash",
                Budget {
                    crashes: 2,
                    holds: 1,
                    ..usual
                },
            ),
            Self::base(
                "power",
                Budget {
                    power_losses: 2,
                    crashes: 1,
                    holds: 1,
                    ..usual
                },
            ),
            Self::base(
                "freeze",
                Budget {
                    freezes: 2,
                    holds: 1,
                    ticks: 16,
                    ..usual
                },
            ),
            Self::base(
                "cuts",
                Budget {
                    partitions: 2,
                    isolations: 1,
                    ticks: 16,
                    ..usual
                },
            ),
            Self::base(
                "wipe",
                Budget {
                    wipes: 1,
                    holds: 1,
                    crashes: 1,
                    ticks: 16,
                    ..usual
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
                        ..usual
                    },
                )
            },
        ]
    }

    /// Faults of many kinds together.
    fn combined_fault_setups() -> Vec<Self> {
        let none = Budget::default();
        vec![
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
                    partitions: 1,
                    isolations: 1,
                    single_ticks: 1,
                    ticks: 40,
                    sends: 6,
                    ..none
                },
            ),
            Self {
                spares: 1,
                steady_ticks_between_losses: Some(6),
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
        ]
    }

    /// Late operations, and operations that others overtake.
    fn overtaking_setups() -> Vec<Self> {
        let none = Budget::default();
        vec![
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
                prepared_operations: 2,
                call_timeout_ticks: Some(CALL_TIMEOUT_TICKS),
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
        ]
    }

    /// Changes under way at once, of which the later ones are valid or not by the earlier ones.
    fn dependent_change_setups() -> Vec<Self> {
        let budget = Budget {
            deviations: 2,
            holds: 2,
            crashes: 1,
            freezes: 1,
            ticks: 6,
            sends: 3,
            ..Budget::default()
        };
        vec![Self {
            script: shared_key(),
            ..Self::base("dependent-changes", budget)
        }]
    }

    /// Two partitioned machines propose rival views.
    fn rival_view_setups() -> Vec<Self> {
        let none = Budget::default();
        vec![
            Self {
                partitioned_pair: Some((1, 2)),
                ..Self::base(
                    "rival-views",
                    Budget {
                        deviations: 2,
                        crashes: 1,
                        holds: 2,
                        partitions: 1,
                        ticks: 6,
                        ..none
                    },
                )
            },
            Self {
                partitioned_pair: Some((1, 2)),
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
        ]
    }

    /// Any order of events.
    fn free_setups() -> Vec<Self> {
        let none = Budget::default();
        vec![Self {
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
        }]
    }

    /// The set-up with this name.
    pub fn by_name(name: &str) -> Option<Self> {
        Self::all().into_iter().find(|setup| setup.name == name)
    }
}
