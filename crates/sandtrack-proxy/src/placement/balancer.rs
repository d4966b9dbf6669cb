//! The balancer: everything that this proxy knows for its decisions on requests, kept up to date from three sources, each in
//! a module of its own: frames of the control plane (`control_updates`), health checks (`health_checks`), and this
//! proxy's own sends (`sends`). `quotas` derives this proxy's share of global limits from it and `timeouts` how long to
//! wait for an upstream; which upstream a request goes to is decided in [`super::selection`].
//!
//! It performs no I/O and reads no clock: the caller passes the time.
mod control_updates;
mod health_checks;
mod quotas;
mod sends;
mod timeouts;

pub use control_updates::ApplyOutcome;
pub use health_checks::DueProbe;
pub use sends::SendOutcome;

use crate::hashing::hash_name;
use crate::placement::budget::RetryBudget;
use crate::placement::first_byte_latency::FirstByteLatency;
use crate::placement::prefill_demand::PrefillDemand;
use crate::placement::prefill_queue::PrefillQueues;
use crate::placement::region_round_trips::RegionRoundTrips;
use crate::placement::upstreams::UpstreamTable;
use crate::placement::zone_health::ZoneFailureDetector;
use crate::policy::Policy;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::Document;
use sandtrack_protocol::frames::ProxyState;
use sandtrack_protocol::settings::{Bounds, Settings};
use sandtrack_tiers::{Millis, Tiers};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;

/// State of one proxy's load balancing. Upstreams are named by their index in [`Balancer::upstreams`].
pub struct Balancer {
    /// Constants of the decisions.
    pub policy: Rc<Policy>,
    /// Zone of this proxy.
    pub zone: String,
    /// Region of this proxy.
    pub region: String,
    /// Region of each zone, from the settings.
    regions: BTreeMap<String, String>,
    /// Limits that hold over all proxies together.
    pub bounds: Bounds,
    /// Number of the committed change that the configuration in force reflects.
    configuration_number: u64,
    /// The configuration in force, as it was received: the base of the next change.
    document: Option<Document>,
    /// The configuration in force.
    pub configuration: Option<Rc<Configuration>>,
    /// Lists and fields of the configuration in force that have no effect.
    pub unread_fields: BTreeSet<String>,
    /// Known upstreams.
    pub upstreams: UpstreamTable,
    /// Whether any list of upstreams was received.
    upstreams_received: bool,
    /// Number of the committed change that `evacuated_zones` reflects.
    evacuated_number: u64,
    /// Zones that are sent nothing, by order of an operator.
    pub evacuated_zones: HashSet<String>,
    /// How many proxies there are, once the control plane has told.
    known_proxy_count: Option<u32>,
    /// Last heartbeat of a control node that is in contact with a majority, and so counts this proxy.
    last_control_heartbeat: Millis,
    /// Addresses of the control nodes, as the control plane gave them.
    pub control_nodes: Vec<String>,
    /// Latency tiers of each service's upstreams.
    tiers: HashMap<String, Tiers>,
    /// Budget of sends beyond the first, by service.
    retry_budgets: HashMap<String, RetryBudget>,
    /// Tokens that upstreams have to prefill, by service.
    pub(super) prefill_demands: HashMap<String, PrefillDemand>,
    /// Prefill backlog and cached prefixes of each upstream.
    pub(super) prefill_queues: PrefillQueues,
    /// Failures of whole zones.
    zone_failures: ZoneFailureDetector,
    /// Until when idle connections to a service's upstreams are not trusted, by service.
    idle_distrusted_until: HashMap<String, Millis>,
    /// Round trips to each region.
    pub(super) region_round_trips: RegionRoundTrips,
    /// When this proxy last sent to another region within its subset, by service and region.
    pub(super) remote_last_used: HashMap<(String, String), Millis>,
    /// Time to first byte by route, and whether the upstream is in another region.
    first_byte_latencies: HashMap<(String, bool), FirstByteLatency>,
    /// When a request with a long prompt was placed last.
    pub long_prompt_at: Option<Millis>,
    /// Source of all random draws.
    pub rng: Pcg32,
    /// Hash of this proxy's name: seeds its subset of upstreams, and picks which proxies get a quota that is under one each.
    pub(super) proxy_hash: u64,
    /// Whether this proxy is draining: it finishes open requests and takes no new connections.
    pub draining: bool,
    /// Client requests in progress.
    pub open_requests: u32,
    /// Set when [`Balancer::state`] changed in a way that the control plane should learn at once.
    pub state_changed: bool,
}

impl Balancer {
    /// A balancer with the default policy.
    pub fn new(settings: &Settings, seed: u64) -> Balancer {
        Balancer::with_policy(settings, seed, Rc::new(Policy::default()))
    }

    /// A balancer with this policy, whose random draws follow from `seed`.
    pub fn with_policy(settings: &Settings, seed: u64, policy: Rc<Policy>) -> Balancer {
        Balancer {
            zone_failures: ZoneFailureDetector::new(&policy),
            policy,
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            regions: settings.zones.clone(),
            bounds: settings.bounds.clone(),
            configuration_number: 0,
            document: None,
            configuration: None,
            unread_fields: BTreeSet::new(),
            upstreams: UpstreamTable::default(),
            upstreams_received: false,
            evacuated_number: 0,
            evacuated_zones: HashSet::new(),
            known_proxy_count: None,
            last_control_heartbeat: f64::NEG_INFINITY,
            control_nodes: Vec::new(),
            tiers: HashMap::new(),
            retry_budgets: HashMap::new(),
            prefill_demands: HashMap::new(),
            prefill_queues: PrefillQueues::default(),
            idle_distrusted_until: HashMap::new(),
            region_round_trips: RegionRoundTrips::default(),
            remote_last_used: HashMap::new(),
            first_byte_latencies: HashMap::new(),
            long_prompt_at: None,
            rng: Pcg32::seed_from_u64(seed),
            proxy_hash: hash_name(&settings.node_name),
            draining: false,
            open_requests: 0,
            state_changed: false,
        }
    }

    /// Takes over settings that were read again; also upstreams that are listed already get their zone's new region.
    pub fn apply_settings(&mut self, settings: &Settings) {
        self.bounds = settings.bounds.clone();
        self.regions = settings.zones.clone();
        let listed: Vec<usize> = self.upstreams.listed().collect();
        for index in listed {
            let upstream = self.upstreams.get_mut(index);
            upstream.region = self
                .regions
                .get(&upstream.entry.zone)
                .cloned()
                .unwrap_or_default();
        }
    }

    /// Whether this proxy has what it needs to serve, and is not draining.
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.upstreams_received && !self.draining
    }

    /// What the control plane is told of this proxy.
    pub fn state(&self) -> ProxyState {
        ProxyState {
            ready: self.is_ready(),
            draining: self.draining,
            version: self.configuration_version(),
            requests_in_flight: self.open_requests,
        }
    }

    /// Whether API keys may have been revoked without this proxy hearing of it, where that closes the routes that need one.
    /// An attached control node sends a configuration before its next heartbeat.
    pub fn keys_are_outdated(&self, now: Millis) -> bool {
        self.bounds.revocation_closed
            && now - self.last_control_heartbeat > self.bounds.revocation_ms
    }

    /// Draws a number from 0 to 1.
    pub fn draw_fraction(&mut self) -> f64 {
        self.rng.gen()
    }

    /// Version of the configuration in force; 0 before the first.
    fn configuration_version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Indices of the listed upstreams of a service.
    fn upstreams_of<'a>(&'a self, service: &'a str) -> impl Iterator<Item = usize> + 'a {
        self.upstreams
            .listed()
            .filter(move |index| self.upstreams.get(*index).entry.service == service)
    }
}
