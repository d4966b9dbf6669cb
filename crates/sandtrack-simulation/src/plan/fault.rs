//! The faults that a plan may hold. Their serialized names are those of the replay files that already exist.
use super::Millis;
use serde::{Deserialize, Serialize};

/// Which machine with a control node a fault strikes, resolved when the fault begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Target {
    /// By its index among the running control nodes, modulo their number.
    #[serde(rename = "Number")]
    Index(usize),
    /// The head of the chain in the newest view.
    Head,
    /// The tail of the chain in the newest view.
    Tail,
    /// The machine whose control node acknowledged a request last.
    #[serde(rename = "Acknowledged")]
    LastAcknowledger,
}

/// Which packets a partition drops, seen from the partitioned machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PartitionDirection {
    /// All of them.
    BothWays,
    /// Those that the machine sends.
    Outward,
    /// Those that are sent to the machine.
    Inward,
}

/// How a disk misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DiskFault {
    /// Every write takes thirty times as long.
    Slow,
    /// No write completes while the fault lasts.
    Stalled,
    /// Every write fails.
    Full,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum FaultKind {
    /// SIGKILL to the machine's processes; they start again when the fault ends.
    Kill(Target),
    /// The machine has no power until the fault ends.
    #[serde(rename = "Power")]
    PowerLoss(Target),
    /// SIGSTOP to the machine's processes; SIGCONT when the fault ends.
    Freeze(Target),
    /// SIGTERM to the control node; it starts again 300 ms after its exit.
    Terminate(Target),
    /// The machine is removed for good and another one joins.
    Replace {
        /// The machine that is removed.
        target: Target,
        /// The new machine joins before the old one shuts down.
        planned: bool,
    },
    /// The machine loses power and comes back with an empty disk.
    Wipe {
        /// The machine that loses its disk.
        target: Target,
        /// All other machines with control nodes lose power at the same time.
        all: bool,
    },
    /// The machine's disk misbehaves.
    Disk {
        /// The machine whose disk it is.
        target: Target,
        /// What the disk does.
        #[serde(rename = "trouble")]
        fault: DiskFault,
    },
    /// A partition between the machine and the others with control nodes.
    #[serde(rename = "CoreCut")]
    ControlPartition {
        /// The partitioned machine.
        target: Target,
        /// Which packets are dropped.
        #[serde(rename = "cut")]
        direction: PartitionDirection,
    },
    /// A partition between a machine that has only a proxy and all control nodes.
    #[serde(rename = "FrontCut")]
    ProxyPartition(usize),
    /// SIGKILL to a proxy on a machine without a control node.
    #[serde(rename = "FrontKill")]
    ProxyKill(usize),
    /// A partition between a zone and all others.
    #[serde(rename = "ZoneCut")]
    ZonePartition(usize),
    /// All machines of a zone lose power.
    #[serde(rename = "ZonePower")]
    ZonePowerLoss(usize),
    /// SIGKILL to the processes of all machines with control nodes at once.
    #[serde(rename = "HerdKill")]
    KillAll,
    /// All machines with control nodes lose power at once.
    #[serde(rename = "HerdPower")]
    PowerLossAll,
    /// Each connection of the control node is reset with probability one half.
    #[serde(rename = "Reset")]
    ConnectionResets(Target),
    /// The machine's link carries 10 Mbit/s.
    SlowLinks(Target),
    /// The API of the cloud platform fails.
    #[serde(rename = "PlatformDown")]
    PlatformOutage,
    /// Seven of ten responses to operators are lost.
    #[serde(rename = "AnswersLost")]
    ResponsesLost,
    /// Every step of the machine takes ten times as long, its disk 26 times, and its link carries 10 Mbit/s.
    SlowNode(Target),
    /// All machines of a zone lose power, and the zone recovers in one of several ways.
    ZoneLoss {
        /// The index of the zone.
        zone: usize,
        /// What is left of its machines.
        #[serde(rename = "back")]
        recovery: ZoneRecovery,
    },
    /// SIGHUP to the control node, with other seeds in the settings.
    Reload(Target),
    /// Armed while the fault lasts; strikes all machines once its trigger fires.
    #[serde(rename = "Closing")]
    Triggered {
        /// What it waits for.
        #[serde(rename = "moment")]
        trigger: Trigger,
        /// What it does then.
        #[serde(rename = "blow")]
        fault: ClusterFault,
    },
}

/// How a lost zone recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneRecovery {
    /// Its machines restart with their disks.
    #[serde(rename = "WithDisks")]
    IntactDisks,
    /// Its machines restart with empty disks.
    EmptyDisks,
    /// Its machines are gone for good; others join at new addresses.
    #[serde(rename = "OtherMachines")]
    NewMachines,
}

/// The event that a triggered fault waits for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Trigger {
    /// A control node sends an acknowledgement.
    #[serde(rename = "Acknowledged")]
    Acknowledgement {
        /// The kind of request that is acknowledged.
        of: RequestKind,
        /// The delay from the acknowledgement to the fault, in ms.
        after_ms: Millis,
    },
    /// An operator sends a configuration change.
    #[serde(rename = "Sent")]
    ChangeSent {
        /// The delay from the request to the fault, in ms.
        after_ms: Millis,
    },
}

/// What an operator's request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestKind {
    /// A new configuration.
    Change,
    /// The begin or end of a zone's evacuation.
    Evacuation,
    /// The configuration in force.
    Read,
}

/// A fault that strikes all machines at the same time; each is back within [`MAX_DOWNTIME_MS`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClusterFault {
    /// SIGKILL to all processes.
    Kill,
    /// All machines lose power.
    #[serde(rename = "Power")]
    PowerLoss,
    /// One machine loses power and its disk.
    #[serde(rename = "Disk")]
    DiskLoss {
        /// The machine that loses its disk.
        target: Target,
        /// All other machines lose power.
        all: bool,
    },
    /// The machines of a zone lose power and their disks.
    #[serde(rename = "ZoneDisks")]
    ZoneDiskLoss {
        /// The index of the zone.
        zone: usize,
        /// All other machines lose power.
        all: bool,
    },
}

/// The longest time until a machine is back after a [`ClusterFault`], in ms.
pub const MAX_DOWNTIME_MS: Millis = 1500.0;

impl FaultKind {
    /// The target of a fault that strikes a single control node's machine.
    pub(crate) fn target(&self) -> Option<Target> {
        match self {
            FaultKind::Kill(target)
            | FaultKind::PowerLoss(target)
            | FaultKind::Freeze(target)
            | FaultKind::Terminate(target)
            | FaultKind::Replace { target, .. }
            | FaultKind::Wipe { target, .. }
            | FaultKind::Disk { target, .. }
            | FaultKind::ControlPartition { target, .. }
            | FaultKind::ConnectionResets(target)
            | FaultKind::SlowLinks(target)
            | FaultKind::SlowNode(target)
            | FaultKind::Reload(target) => Some(*target),
            _ => None,
        }
    }
}

/// A fault with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// The begin, from the start of the simulation, in ms.
    #[serde(rename = "at")]
    pub at_ms: Millis,
    /// From begin to end, in ms.
    #[serde(rename = "for_ms")]
    pub duration_ms: Millis,
    /// What it does.
    pub kind: FaultKind,
}

impl Fault {
    /// The end, from the start of the simulation, in ms.
    pub fn ends_at_ms(&self) -> Millis {
        self.at_ms + self.duration_ms
    }
}

/// What a fault struck, kept to be undone at its end.
#[derive(Clone, Debug)]
pub(crate) enum Impact {
    /// These machines.
    Machines(Vec<usize>),
    /// These directed pairs of machines are partitioned.
    Paths(Vec<(usize, usize)>),
    /// The machine that joins in place of a removed one.
    Joining(usize),
    /// The machines that join in place of a lost zone's.
    AllJoining(Vec<usize>),
    /// Nothing that has to be undone.
    None,
}
