//! How long this proxy waits for upstreams: time-outs of connections and probes, and the delay before a request is hedged.
use super::Balancer;
use crate::request::ProxyRequest;
use sandtrack_tiers::Millis;

impl Balancer {
    /// A round trip to the upstream took `elapsed` ms.
    pub fn record_round_trip(&mut self, now: Millis, index: usize, elapsed: Millis) {
        let region = &self.upstreams.get(index).region;
        self.region_round_trips
            .sample(now, region, elapsed, &self.policy);
    }

    /// The smoothed round trip to a region in ms; `None` before the first measurement.
    #[must_use]
    pub fn region_round_trip(&self, region: &str) -> Option<Millis> {
        self.region_round_trips.get(region)
    }

    /// A connection to the upstream was not established within its time-out.
    pub fn connect_timed_out(&mut self, now: Millis, index: usize) {
        let region = &self.upstreams.get(index).region;
        self.region_round_trips.timed_out(now, region);
    }

    /// Time-out of a connection to the upstream for this request, in ms.
    pub fn connect_timeout(&self, request: &ProxyRequest, index: usize) -> Millis {
        let upstream = self.upstreams.get(index);
        let by_probe_time =
            self.policy.connect_timeout_ms + 2.0 * upstream.probe_time.get().unwrap_or(0.0);
        let target = request.route.target_latency_ms;
        self.region_round_trips
            .connect_timeout(&upstream.region, target, &self.policy)
            .max(by_probe_time)
    }

    /// Time-out of a probe of the upstream, in ms.
    pub fn probe_timeout(&self, now: Millis, index: usize) -> Millis {
        let upstream = self.upstreams.get(index);
        self.region_round_trips.probe_timeout(
            now,
            &upstream.region,
            upstream.probe_time.get(),
            &self.policy,
        )
    }

    /// How long the upstream may leave this request without a first byte before it is hedged, in ms.
    pub fn hedge_delay(&self, request: &ProxyRequest, index: usize) -> Millis {
        let region = &self.upstreams.get(index).region;
        let is_remote = *region != self.region;
        let latency = self
            .first_byte_latencies
            .get(&(request.route.name.clone(), is_remote))
            .copied()
            .unwrap_or_default();
        let round_trip = self.region_round_trips.get(region).unwrap_or(0.0);
        latency.hedge_delay(request.route.target_latency_ms, round_trip, &self.policy)
    }
}
