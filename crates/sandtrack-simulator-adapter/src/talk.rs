//! One instance's part in a fleet that talks over the simulator's wire: the protocol of service, its datagrams as payloads to
//! peers by their numbers. It owns the protocol's state and the next time that it wants; it must never pick, and is there only
//! where the command line asks for it and the settings permit it.
use sandtrack_balancer::interface::Settings;
use sandtrack_membership::budget::Budget;
use sandtrack_membership::config::{DATAGRAM_LEAST, FORGET};
use sandtrack_membership::{Fleet, Identity};
use std::net::{Ipv4Addr, SocketAddrV4};

/// The wire's payloads are as long as this at most.
const PAYLOAD_MOST: usize = 256;
const _: () = assert!(DATAGRAM_LEAST <= PAYLOAD_MOST);
/// A peer's number is an address in the protocol; so many that it asks first.
const PORT: u16 = 1;
const SEEDS: u32 = 3;

pub struct Talk {
    fleet: Fleet,
    budget: Budget,
    /// The settings as they go: with the number of siblings that is counted.
    settings: Settings,
    /// The wake that is asked for: its number, and when.
    wake: Option<(u64, u64)>,
}

/// What follows of a turn.
pub struct Turn {
    /// Payloads, by the peer's number.
    pub payloads: Vec<(u32, Vec<u8>)>,
    /// Settings that go from now on.
    pub settings: Option<Settings>,
    /// A wake that has to be asked for: its number, and when (ms).
    pub wake: Option<(u64, u64)>,
}

fn address(peer: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0A00_0001_u32.wrapping_add(peer)), PORT)
}

fn peer(address: SocketAddrV4) -> u32 {
    u32::from(*address.ip()).wrapping_sub(0x0A00_0001)
}

impl Talk {
    /// `None` where the settings forbid it, or say what no member can go by. `zone`: the name of its own.
    pub fn new(settings: &Settings, zone: &str, seed: u64, wall: f64) -> Option<Talk> {
        let identity = Identity {
            cluster: "drill".into(),
            name: settings.balancer_index.to_string().into(),
            advertise: address(settings.balancer_index),
            zone: zone.into(),
            region: String::new().into(),
            seeds: (0..settings.balancer_count.min(SEEDS))
                .map(address)
                .collect(),
            datagram: PAYLOAD_MOST,
            forget: FORGET,
        };
        if !settings.limits.peers || settings.balancer_index >= 1 << 24 || identity.check().is_err()
        {
            return None;
        }
        let now = wall as u64;
        let mut fleet = Fleet::new(identity, seed, now);
        fleet.start(now);
        let budget = Budget::new(settings.balancer_count, now);
        Some(Talk {
            fleet,
            budget,
            settings: settings.clone(),
            wake: None,
        })
    }

    pub fn payload(&mut self, from: u32, content: &[u8], wall: f64) {
        self.fleet.datagram(address(from), content, wall as u64);
    }

    /// Its wake came; no where it is not the one that was asked for last.
    pub fn woken(&mut self, number: u64, wall: f64) -> bool {
        let mine = self.wake.is_some_and(|(asked, _)| asked == number);
        if mine {
            self.wake = None;
            self.fleet.tick(wall as u64);
        }
        mine
    }

    /// `last_wake`: the number of the instance's last wake, whoever asked for it.
    pub fn turn(&mut self, wall: f64, last_wake: &mut u64) -> Turn {
        let now = wall as u64;
        self.fleet.take_notes();
        let datagrams = self.fleet.take_datagrams().into_iter();
        let payloads = datagrams.map(|(to, bytes)| (peer(to), bytes)).collect();
        let siblings = self.budget.follow(&self.fleet, now);
        let counted = siblings != self.settings.balancer_count;
        self.settings.balancer_count = siblings;
        // A wake for later than it is due would be late; one that is early is asked for anew.
        let due = self
            .fleet
            .next_due()
            .filter(|due| self.wake.is_none_or(|(_, at)| *due < at));
        let wake = due.map(|due| {
            *last_wake += 1;
            (*last_wake, due.max(now + 1))
        });
        self.wake = wake.or(self.wake);
        Turn {
            payloads,
            settings: counted.then(|| self.settings.clone()),
            wake,
        }
    }
}
