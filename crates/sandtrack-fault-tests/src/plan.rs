//! Addresses of one run: every process, relay, upstream and list has one to itself on loopback, so that any two runs can go on
//! side by side. It owns the block of addresses for as long as it lives.
use std::io;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};

pub struct Plan {
    block: u8,
    /// Held: no other run of the rig takes this block.
    _held: TcpListener,
}

const FIRST: u8 = 96;
const LAST: u8 = 250;
const HOLD: u16 = 45_999;

impl Plan {
    pub fn take() -> io::Result<Plan> {
        let from = FIRST + (std::process::id() % u32::from(LAST - FIRST)) as u8;
        let blocks = (from..=LAST).chain(FIRST..from);
        for block in blocks {
            if let Ok(held) =
                TcpListener::bind(SocketAddrV4::new(Ipv4Addr::new(127, block, 0, 1), HOLD))
            {
                return Ok(Plan { block, _held: held });
            }
        }
        Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "no block of loopback addresses is free",
        ))
    }

    /// What this run alone has.
    pub fn block(&self) -> u8 {
        self.block
    }

    fn at(&self, kind: u8, number: usize, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(
            Ipv4Addr::new(127, self.block, kind, (number + 1).min(254) as u8),
            port,
        )
    }

    /// Where a process receives datagrams, and the address that others are told: the relay's.
    pub fn fleet(&self, process: usize) -> SocketAddrV4 {
        self.at(1, process, 7946)
    }

    pub fn relay(&self, process: usize) -> SocketAddrV4 {
        self.at(2, process, 7946)
    }

    pub fn clients(&self, process: usize) -> SocketAddrV4 {
        self.at(3, process, 8000)
    }

    pub fn admin(&self, process: usize) -> SocketAddrV4 {
        self.at(4, process, 9800)
    }

    /// Where a process finds its list.
    pub fn discovery(&self, process: usize) -> SocketAddrV4 {
        self.at(5, process, 8500)
    }

    /// An upstream, as the processes of one zone are told it: so each knows from where it is called.
    pub fn upstream(&self, upstream: usize, zone: usize) -> SocketAddrV4 {
        self.at(16 + zone as u8, upstream, 9000)
    }

    /// Where a machine of the whole system is reached by others: relays listen there, and what is not relayed.
    pub fn announced(&self, machine: usize, port: u16) -> SocketAddrV4 {
        self.at(8, machine, port)
    }

    /// Where a machine's processes listen behind the relays.
    pub fn behind(&self, machine: usize, port: u16) -> SocketAddrV4 {
        self.at(9, machine, port)
    }

    /// The stand-in for the platform's list of the whole system.
    pub fn platform(&self) -> SocketAddrV4 {
        self.at(10, 0, 8169)
    }

    /// An upstream of the whole system.
    pub fn system_upstream(&self, upstream: usize) -> SocketAddrV4 {
        self.at(11, upstream, 9000)
    }

    /// A socket of the rig's own, for what nobody else sends.
    pub fn stranger(&self) -> SocketAddrV4 {
        self.at(6, 0, 7946)
    }
}
