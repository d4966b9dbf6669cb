//! The network between the processes: a socket for each process's advertised address, and the rules for every ordered pair.
//! It owns those sockets and rules, and must never change a datagram or answer one.
use crate::plan::Plan;
use crate::scenario::Net;
use crate::tasks::Spawner;
use async_io::{Async, Timer};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

/// Datagrams that went by, to be sent again as old ones.
const KEPT: usize = 512;

#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct Counts {
    pub passed: u64,
    pub bytes: u64,
    pub lost: u64,
    pub cut: u64,
    pub doubled: u64,
    pub strange: u64,
}

pub struct Relay {
    sockets: Vec<Async<UdpSocket>>,
    /// Where each process receives.
    ends: Vec<SocketAddrV4>,
    numbers: HashMap<SocketAddrV4, usize>,
    all: Net,
    /// What one sends is under rules of its own.
    of: HashMap<usize, Net>,
    cuts: Vec<(Vec<bool>, Vec<bool>)>,
    rng: Pcg64,
    pub counts: Counts,
    pub kept: Vec<(usize, Vec<u8>)>,
}

pub type Shared = Rc<RefCell<Relay>>;

impl Relay {
    pub fn open(plan: &Plan, processes: usize, net: Net, seed: u64) -> io::Result<Shared> {
        let bind = |process| Async::<UdpSocket>::bind(SocketAddr::V4(plan.relay(process)));
        let sockets = (0..processes).map(bind).collect::<io::Result<_>>()?;
        let ends: Vec<SocketAddrV4> = (0..processes).map(|process| plan.fleet(process)).collect();
        let numbers = ends.iter().enumerate().map(|(n, end)| (*end, n)).collect();
        Ok(Rc::new(RefCell::new(Relay {
            sockets,
            ends,
            numbers,
            all: net,
            of: HashMap::new(),
            cuts: Vec::new(),
            rng: Pcg64::seed_from_u64(seed),
            counts: Counts::default(),
            kept: Vec::new(),
        })))
    }

    pub fn set(&mut self, net: Net, whose: Option<&[usize]>) {
        match whose {
            None => {
                self.all = net;
                self.of.clear();
            }
            Some(whose) => self
                .of
                .extend(whose.iter().map(|process| (*process, net.clone()))),
        }
    }

    pub fn cut(&mut self, from: &[usize], to: &[usize]) {
        let mask = |whose: &[usize]| (0..self.ends.len()).map(|n| whose.contains(&n)).collect();
        self.cuts.push((mask(from), mask(to)));
    }

    pub fn mend(&mut self) {
        self.cuts.clear();
    }

    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts
            .iter()
            .any(|(ones, others)| ones[from] && others[to])
    }

    /// When copies of a datagram arrive; none: it is lost.
    fn fate(&mut self, from: usize, to: usize) -> Vec<Duration> {
        if self.is_cut(from, to) {
            self.counts.cut += 1;
            return Vec::new();
        }
        let net = self.of.get(&from).unwrap_or(&self.all).clone();
        if self.rng.gen::<f64>() < net.loss {
            self.counts.lost += 1;
            return Vec::new();
        }
        let copies = if self.rng.gen::<f64>() < net.twice {
            2
        } else {
            1
        };
        self.counts.doubled += copies - 1;
        let late = |rng: &mut Pcg64| {
            let overtaken = if rng.gen::<f64>() < net.reorder {
                20.0 + 80.0 * rng.gen::<f64>()
            } else {
                0.0
            };
            Duration::from_secs_f64(
                (net.delay_ms + net.jitter_ms * rng.gen::<f64>() + overtaken) / 1000.0,
            )
        };
        (0..copies).map(|_| late(&mut self.rng)).collect()
    }

    /// Sends as if the one had sent it to the other. A datagram that can't be sent is lost, as on any network.
    pub fn deliver(&self, from: usize, to: usize, bytes: &[u8]) {
        let _ = self.sockets[from].get_ref().send_to(bytes, self.ends[to]);
    }
}

/// Serves one process's advertised address.
pub async fn serve(relay: Shared, to: usize, executor: Spawner<'_>) {
    // The socket lives as long as the relay; a clone of its descriptor is read here, so that no borrow is held over a wait.
    let clone = relay.borrow().sockets[to]
        .get_ref()
        .try_clone()
        .and_then(Async::new);
    let Ok(socket) = clone else { return };
    let mut bytes = [0; 2048];
    loop {
        let Ok((count, SocketAddr::V4(source))) = socket.recv_from(&mut bytes).await else {
            continue;
        };
        let now = {
            let mut relay = relay.borrow_mut();
            let Some(from) = relay.numbers.get(&source).copied() else {
                relay.counts.strange += 1;
                // Nobody's: it goes on as it is, from the address that it was sent to.
                relay.deliver(to, to, &bytes[..count]);
                continue;
            };
            relay.counts.passed += 1;
            relay.counts.bytes += count as u64;
            if relay.kept.len() < KEPT {
                relay.kept.push((from, bytes[..count].to_vec()));
            }
            (from, relay.fate(from, to))
        };
        let (from, copies) = now;
        for delay in copies {
            if delay.is_zero() {
                relay.borrow().deliver(from, to, &bytes[..count]);
                continue;
            }
            let (relay, bytes) = (relay.clone(), bytes[..count].to_vec());
            let later = async move {
                Timer::after(delay).await;
                // Cut meanwhile, it does not come any more.
                if !relay.borrow().is_cut(from, to) {
                    relay.borrow().deliver(from, to, &bytes);
                }
            };
            executor.spawn(later);
        }
    }
}
