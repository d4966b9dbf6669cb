//! The time that an answer would take: the pace that an upstream taught, times the requests that it holds.
use super::*;

const PACE_TURNS: f64 = 2.0; // where all are in use what one taught counts for so many turns of requests ...
const MEMORY_MOST: f64 = 4.0; // ... and for so many times `MEMORY` at most

impl Balancer {
    /// The wanted time of each class, in time of the mean class.
    pub(super) fn aims(&self) -> impl Iterator<Item = (f64, Millis)> + '_ {
        let aim = |(n, class): (usize, &Class)| {
            (
                class.value,
                class.target_latency / self.class_share(ClassId(n)),
            )
        };
        self.settings
            .classes
            .iter()
            .enumerate()
            .filter(|(_, class)| class.enabled)
            .map(aim)
    }

    /// Pace of one that has room for any class.
    pub(super) fn rested(&self) -> Millis {
        self.aims()
            .map(|(_, aim)| aim)
            .fold(f64::INFINITY, f64::min)
            * SPILL
    }

    /// How long what was learnt counts: where all are in use, some turns, or it would be forgotten between.
    pub(super) fn memory(&self, now: Millis) -> Millis {
        let turns = if self.settings.key_affinity {
            self.turn(now) * PACE_TURNS
        } else {
            MEMORY
        };
        turns.clamp(MEMORY, MEMORY * MEMORY_MOST)
    }

    /// Middle pace of the warm upstreams in use, as far as it is not long past: one slow answer must not keep
    /// a balancer for ever from all that taught nothing yet. Near and far ones apart: a queue in the own zone
    /// says nothing of the others.
    pub(super) fn peers(&mut self, now: Millis) -> Peers {
        let (rested, memory) = (self.rested(), self.memory(now));
        if self.part.len() as f64 > PART_MOST && now - self.typical.0 < PROBE_MIN {
            return Peers {
                pace: self.typical.1,
                rested,
                memory,
            };
        }
        let mut paces = [Vec::new(), Vec::new()];
        let part = self.part.iter().map(|place| &self.fleet[*place]);
        for upstream in part.filter(|u| u.listed && self.warmth(u, now) >= 1.0) {
            let learnt = upstream.learnt.pace.map(|pace| pace[0]);
            let faded = learnt.map(|pace| upstream.faded(pace, pace.min(rested), now, memory));
            paces[usize::from(self.crosses(upstream))].extend(faded);
        }
        let pace = paces.map(median);
        self.typical = (now, pace);
        Peers {
            pace,
            rested,
            memory,
        }
    }

    /// Time an answer would take, from the pace learnt and the requests held: by load 1, the report, where
    /// that was asked for the request; else by load 0, own attempts, as older reports make balancers flock.
    pub(super) fn predict(&self, place: usize, load: usize, peers: Peers, now: Millis) -> Millis {
        let upstream = &self.fleet[place];
        // Between its least warmth and a warm one: the least is what rule 4 asks for, most can do more.
        let cold = peers.pace[usize::from(self.crosses(upstream))]
            .map(|pace| pace * 2.0 / (1.0 + self.warmth(upstream, now)));
        let pace = match (upstream.learnt.pace.map(|pace| pace[load]), cold) {
            // Let an upstream back by trials: what it taught fades towards its peers once it is not used, and
            // to what has room: if all were slow once, none would be tried again and nothing ever learnt.
            (Some(pace), Some(typical)) => {
                upstream.faded(pace, typical.min(peers.rested), now, peers.memory)
            }
            (Some(pace), None) | (None, Some(pace)) => pace,
            (None, None) => 1.0,
        };
        let predicted = pace * (upstream.held()[load] + 1.0);
        // An upstream that answers probes but no requests: its eldest unanswered attempt is a lower bound.
        match upstream.out.first() {
            Some(&eldest) if upstream.heard <= eldest => predicted.max(now - eldest),
            _ => predicted,
        }
    }
}
