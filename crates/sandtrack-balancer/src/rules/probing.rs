//! The part of the fleet in use (a subset, drawn by each balancer), when upstreams are probed, and failures.
use super::*;

const PROBE_SPEND: f64 = 0.0015; // fraction of all worth that probes may cost; the price then sets their gap
const ASK_SPEND: f64 = 0.01; // the same for probes sent for one request ...
const ASK_WAIT: f64 = 0.02; // ... and the part of the time wanted that it may wait for them
const COVER: f64 = 8.0; // balancers' parts that each upstream is in, in the mean: few load them unevenly

impl Balancer {
    /// Where many balancers share the upstreams a part drawn at random is used, and the whole design holds in
    /// it: own attempts tell something only of those that get several, and each connection costs. Half of it
    /// is of the zones that the nearest tier is in, so that the tier is populated; what is unhealthy stays in
    /// and is made up for, so that a lost part hands over.
    pub(super) fn choose_part(&mut self, now: Millis) {
        self.part_at = now;
        let mut order: Vec<usize> = (0..self.fleet.upstreams.len())
            .filter(|place| self.fleet[*place].listed)
            .collect();
        order.sort_unstable_by_key(|place| self.fleet[*place].rank);
        let covered = order.len() as f64 * COVER / f64::from(self.settings.balancer_count.max(1));
        self.part_size = covered.clamp(PART_LEAST, PART_MOST);
        let rested = self.rested();
        // The homes of keys are anywhere, the same for all balancers: all are in use, a part is probed.
        for (n, &place) in order.iter().enumerate() {
            self.fleet[place].probed = !self.settings.key_affinity || (n as f64) < self.part_size;
            // Its listed size, unless that moves with load, at the speed that its machine type has shown.
            let entry = &self.fleet[place].entry;
            let listed = if self.settings.weights == Weights::Live {
                1.0
            } else {
                entry.scale.max(1e-3)
            };
            let time = self.traffic.kind_time(entry.machine_type).unwrap_or(rested);
            self.fleet[place].size = listed / time.max(1e-3);
        }
        let size = if self.settings.key_affinity {
            f64::INFINITY
        } else {
            self.part_size
        };
        let nearest = self.part.iter().map(|place| &self.fleet[*place]);
        let nearest = nearest.filter(|u| u.listed && u.tier() == Some(0));
        let mut zones: Vec<ZoneId> = nearest.map(|u| u.entry.zone).collect();
        if zones.is_empty() {
            zones.push(self.settings.zone);
        }
        let before = std::mem::take(&mut self.part);
        before
            .iter()
            .for_each(|place| self.fleet[*place].used = false);
        let mut warm = 0.0;
        for (near, enough) in [(true, size / 2.0), (false, size)] {
            for &place in &order {
                let upstream = &self.fleet[place];
                if warm >= enough {
                    break;
                }
                if upstream.used || near && !zones.contains(&upstream.entry.zone) {
                    continue;
                }
                if upstream.offered() && upstream.healthy() {
                    warm += self.warmth(upstream, now);
                }
                self.fleet[place].used = true;
                self.part.push(place);
                self.time(now, place);
            }
        }
        self.part.sort_unstable();
        if self.part != before {
            self.tiers
                .regroup(&mut self.fleet, self.part.iter().copied());
        }
    }

    /// Gap between probes of one upstream: as short as the price allows for the traffic seen.
    fn probe_gap(&self, now: Millis) -> Millis {
        let most = if self.settings.key_affinity {
            self.part_size
        } else {
            f64::INFINITY
        };
        let paid = self.traffic.rate(now) * PROBE_SPEND / self.settings.penalties.probe.max(1e-9);
        (most.min(self.part.len() as f64) / paid.max(1e-9)).max(PROBE_MIN)
    }

    fn time(&mut self, now: Millis, place: usize) {
        let upstream = &mut self.fleet[place];
        if upstream.is_probed() && !std::mem::replace(&mut upstream.timed, true) {
            self.timers.set(
                next_probe_at(&mut self.rng, now, None, 0.0),
                Timer::Probe(place),
            );
        }
    }

    pub(super) fn probe(&mut self, now: Millis, place: usize, actions: &mut Vec<Action>) {
        let upstream = &mut self.fleet[place];
        upstream.timed = upstream.listed && upstream.is_probed() && self.settings.limits.probes;
        if !upstream.timed {
            return;
        }
        upstream.probe(now, actions);
        let gap = self.probe_gap(now);
        self.timers.set(
            next_probe_at(&mut self.rng, now, Some(now), gap),
            Timer::Probe(place),
        );
    }

    pub(super) fn probed(
        &mut self,
        now: Millis,
        id: UpstreamId,
        elapsed: Millis,
        ok: bool,
        report: Option<Report>,
    ) {
        let Some(place) = self.fleet.place(id) else {
            return;
        };
        let upstream = &mut self.fleet[place];
        let sent = upstream.probe_sent.take();
        if ok {
            upstream.succeeded(now);
            upstream.average.sample(elapsed);
            upstream.take_report(now, report);
            self.tiers
                .regroup(&mut self.fleet, self.part.iter().copied());
        } else if sent.is_some_and(|sent| upstream.heard <= sent) {
            // A slow probe of an upstream that answered meanwhile shows load, not death.
            self.failed(now, place);
        }
    }

    /// One failure more; a lost part is made up for at once.
    pub(super) fn failed(&mut self, now: Millis, place: usize) {
        let lost = self.fleet[place].failures.record_failure();
        self.time(now, place);
        let upstream = &mut self.fleet[place];
        if !upstream.healthy() && upstream.doubted {
            // The list and its silence agree: it has left.
            upstream.listed = false;
            self.choose_part(now);
        } else if !upstream.healthy() && !self.settings.limits.probes {
            // No probe will tell that it is back: it rests, then one more send is its trial.
            upstream.failures.put_on_trial();
            upstream.learnt.rest_until = now + MEMORY;
        } else if lost {
            self.choose_part(now);
        }
    }

    /// Where probes tell the load and cost little beside a request, a few upstreams drawn at random are
    /// probed for it before the pick, so that the skip sees their queues as they are. Gives the time to wait.
    pub(super) fn ask(
        &mut self,
        now: Millis,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> Option<Millis> {
        let told = self.settings.feedback == Feedback::OnProbe && self.settings.limits.probes;
        // Where few balancers send, own attempts are most of the load: one for each balancer is enough.
        let enough = f64::from(self.settings.balancer_count);
        let asks = (ASK_SPEND / self.settings.penalties.probe.max(1e-9)).min(enough);
        if asks < 2.0 || !told {
            return None;
        }
        let mut usable = self.usable(now, request);
        let tier = usable
            .iter()
            .map(|place| self.fleet[*place].membership.tier)
            .min()?;
        usable.retain(|place| self.fleet[*place].membership.tier == tier);
        let mut wait: Millis = 0.0;
        for _ in 0..usable.len().min(asks as usize) {
            let upstream = &mut self.fleet[usable.swap_remove(self.rng.gen_range(0..usable.len()))];
            wait = wait.max(upstream.average.get()? * 2.0);
            upstream.probe(now, actions);
        }
        let aim = self.settings.classes[request.arrival.class.0].target_latency;
        Some(wait + self.settings.event_interval).filter(|wait| *wait < aim * ASK_WAIT)
    }
}
