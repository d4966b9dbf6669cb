//! Which upstream an attempt goes to: those allowed, homes of keys, cold ones by chance, the design's pick.
use super::*;

// A cold upstream's share of the picks is its warmth times this part of the rule's multiple, and never more
// than its warmth: the traffic may be more than the fleet can do, repeats included, and sends scatter.
const COLD_USE: f64 = 0.4;
const COLD_HOME: f64 = 0.5; // of that, where keys have homes: it knows none yet, and has more work for each
const COLD_OVER: f64 = 1.5; // times what it would be sent in a warm one's place, where these can't take all
const HOME_SHARE: f64 = 0.5; // of a mean upstream's traffic: the most that a home gets from one key alone
const HOMES_MORE: usize = 3; // where the homes have no room, so many times as many are looked at, twice
const SKIP: f64 = 1.3; // times its tier's mean time to answer: one that would take more is far above it
const SPILL_MORE: f64 = 1.5; // times the room, if none has any: a far one goes before a near one nearly full

impl Balancer {
    pub(super) fn crosses(&self, upstream: &Upstream) -> bool {
        self.settings.penalties.cross_zone > CROSSING && upstream.entry.zone != self.settings.zone
    }

    /// Where crossing costs much the own zone comes first, whatever probes say; then the tier, if it has one.
    fn rank(&self, place: usize) -> (bool, Option<usize>) {
        (self.crosses(&self.fleet[place]), self.fleet[place].tier())
    }

    /// Upstreams that the request may go to by the rules, and of these the ones it should: untried, healthy,
    /// not full.
    pub(super) fn usable(&self, now: Millis, request: &Request) -> Vec<usize> {
        let mut usable: Vec<usize> = self.part.clone();
        usable.retain(|place| self.fleet[*place].offered() && self.in_group(request, *place, now));
        // Prefer what the request has not tried, then what is healthy; if nobody is, anyone may be.
        let tried = |place: &usize| request.attempts.iter().any(|a| a.upstream == *place);
        if !usable.iter().all(tried) {
            usable.retain(|place| !tried(place));
        }
        let healthy = |place: &usize| self.fleet[*place].healthy();
        if usable.iter().any(healthy) {
            usable.retain(healthy);
        }
        let rested = |place: &usize| now >= self.fleet[*place].learnt.rest_until;
        // A first error alone must not end a request that may go nowhere else.
        let erred = request
            .attempts
            .last()
            .is_some_and(|a| a.outcome == Some(Outcome::Error));
        let first = |place: &usize| erred && self.fleet[*place].learnt.turned_away <= 1;
        let any = usable.iter().any(rested);
        usable.retain(|place| if any { rested(place) } else { first(place) });
        usable
    }

    /// Where upstreams need less work for a key that they met, it has homes, the same for all balancers: the
    /// first by a hash of both names, weighted by size. Keeps these and the next, and gives their number.
    fn homes(&self, now: Millis, key: u64, usable: &mut Vec<usize>) -> usize {
        let share = self.traffic.key_share(key, now);
        let homes = ((share * self.part.len() as f64 / HOME_SHARE).ceil() as usize).max(1);
        *usable = self
            .fleet
            .nearest(key, usable, homes * HOMES_MORE * HOMES_MORE);
        homes
    }

    /// The pick among all usable ones: the homes of a key first, then ever more. Rule 4: a cold one gets a
    /// request only where an equal draw among all, full ones too, falls on it and its chance lets it through:
    /// whatever others can't take, it is sent only the part of a warm one's share that it can do at least.
    pub(super) fn place(&mut self, now: Millis, request: &Request, peers: Peers) -> Option<usize> {
        let mut usable = self.usable(now, request);
        let offered = self
            .part
            .iter()
            .filter(|place| self.fleet[**place].offered())
            .count();
        let left = usable.len() as f64 / offered.max(1) as f64;
        let key = request.arrival.key.filter(|_| self.settings.key_affinity);
        let lowest = usable
            .iter()
            .map(|place| self.rank(*place))
            .filter(|rank| rank.1.is_some())
            .min();
        // Equal among all, and as often as a warm one in its place is sent anything: where few are near, or
        // more come than can be done, one in the nearest tier would get several times a warm one's share.
        let drawn = *usable.get(self.rng.gen_range(0..usable.len().max(1)))?;
        let warmth = self.warmth(&self.fleet[drawn], now);
        let taken = (self.traffic.taken.get().unwrap_or(1.0) * COLD_OVER).min(1.0);
        let left = left * taken * if key.is_some() { COLD_HOME } else { 1.0 };
        let chance = warmth * (COLD_USE * self.settings.rules.overload_factor).min(1.0) * left;
        let (far, tier) = self.rank(drawn);
        let is_of = |lowest: (bool, _)| far == lowest.0 && (tier.is_none() || tier == lowest.1);
        let near = key.is_some() || lowest.is_none_or(is_of);
        if near && warmth < 1.0 && self.rng.gen::<f64>() < chance {
            if let Some(place) = self.pick(now, request, &[drawn], peers) {
                return Some(place);
            }
        }
        usable.retain(|place| self.warmth(&self.fleet[*place], now) >= 1.0);
        let homes = key.map(|key| self.homes(now, key, &mut usable));
        // Those whose load was asked for come first: what is known of the others is older.
        let asked = request.asked.unwrap_or(f64::INFINITY);
        let told = |place: &&usize| self.fleet[**place].told_since(asked);
        let told: Vec<usize> = usable.iter().filter(told).copied().collect();
        let mut place = self.pick(now, request, &told, peers);
        let (mut looked_at, homes) = (0, homes.unwrap_or(usable.len()));
        for count in [homes, homes * HOMES_MORE, homes * HOMES_MORE * HOMES_MORE] {
            let count = count.min(usable.len());
            if place.is_none() && count > std::mem::replace(&mut looked_at, count) {
                place = self.pick(now, request, &usable[..count], peers);
            }
        }
        if warmth >= 1.0 {
            self.traffic
                .went_on(request.arrival.class, place.is_some(), CLASS_WEIGHT);
        }
        place
    }

    /// The design's pick. `None`: no upstream can answer in time, or none is allowed.
    fn pick(
        &mut self,
        now: Millis,
        request: &Request,
        usable: &[usize],
        peers: Peers,
    ) -> Option<usize> {
        if usable.is_empty() {
            return None;
        }
        let predict = |place: &usize| {
            let told = request
                .asked
                .is_some_and(|asked| self.fleet[*place].told_since(asked));
            self.predict(*place, usize::from(told), peers, now)
        };
        let predicted: Vec<Millis> = usable.iter().map(predict).collect();
        let tiers = group_by_tier(0..usable.len(), |n| self.rank(usable[n]));
        let own = |n: usize| self.fleet[usable[n]].out.len();
        let crowd = overload_limit((0..usable.len()).map(own));
        let class = request.arrival.class;
        let aim = self.settings.classes[class.0].target_latency / self.class_share(class);
        let most = self.room(now, request);
        // A tier in which every upstream is full has none to offer: the next is asked, and when all are
        // full, the lowest from which an answer would still be in time.
        let in_room = |room: f64| {
            pick_in_lowest(&mut self.rng, &tiers, |members| {
                let mean =
                    members.iter().map(|n| predicted[*n]).sum::<f64>() / members.len() as f64;
                let limit = (aim * room).min(most).min(mean * SKIP);
                let near = |n: &usize| predicted[*n] <= limit && (own(*n) as f64) < crowd;
                members.iter().copied().filter(near).collect()
            })
        };
        [SPILL, SPILL * SPILL_MORE, f64::INFINITY]
            .into_iter()
            .find_map(in_room)
            .map(|n| usable[n])
    }
}
