//! Links of a limited speed: what is sent over one waits behind what was sent before, as on one TCP connection.
use std::collections::BTreeMap;

use sandtrack_replication::Message;

use super::Time;

/// Bytes for each millisecond on a link of 10 Mbit/s.
pub const TEN_MBIT: f64 = 1250.0;
/// Bytes that may wait behind the longest message before a connection takes no more, as in the control plane's sockets.
const WAITING: f64 = 4.0 * 1024.0 * 1024.0;

#[derive(Clone, Debug, Default)]
pub struct Bandwidth {
    /// Bytes for each millisecond, of each machine whose speed is limited; a link is as fast as its slower end.
    speeds: BTreeMap<usize, f64>,
    links: BTreeMap<(usize, usize), Link>,
    /// Bytes that were sent to each machine.
    pub received: BTreeMap<usize, usize>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// When what was sent so far is through.
    free: Time,
    longest: f64,
}

impl Bandwidth {
    pub fn limit(&mut self, machine: usize, bytes_per_ms: f64) {
        self.speeds.insert(machine, bytes_per_ms);
    }

    /// How long a message waits and takes; None when too much waits already, and it is lost.
    pub fn pass(&mut self, now: Time, from: usize, to: usize, message: &Message) -> Option<Time> {
        let speeds = [from, to]
            .into_iter()
            .filter_map(|machine| self.speeds.get(&machine));
        let Some(speed) = speeds.copied().reduce(f64::min) else {
            return Some(0.0);
        };
        let size = borsh::to_vec(message).unwrap().len();
        let link = self.links.entry((from, to)).or_default();
        let begin = link.free.max(now);
        if (begin - now) * speed > WAITING + link.longest {
            return None;
        }
        link.longest = link.longest.max(size as f64);
        link.free = begin + size as f64 / speed;
        *self.received.entry(to).or_default() += size;
        Some(link.free - now)
    }
}
