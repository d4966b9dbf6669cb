//! State shared by the tasks of a proxy.
use crate::placement::balancer::Balancer;
use crate::policy::Policy;
use crate::telemetry::outcomes::RequestOutcomes;
use crate::upstream_connections::pool::ConnectionPool;
use async_executor::LocalExecutor;
use sandtrack_net::byte_budget::ByteBudget;
use sandtrack_net::socket::Clock;
use sandtrack_protocol::settings::Settings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Share of the process's memory limit for request bodies; collected responses have the same share on top.
const BODY_MEMORY_SHARE: f64 = 0.25;

/// Limits on the total memory of buffered messages.
pub struct MemoryBudgets {
    /// Request bodies.
    pub requests: ByteBudget,
    /// Responses that are collected before they are sent to clients.
    pub responses: ByteBudget,
}

impl MemoryBudgets {
    fn new(settings: &Settings) -> MemoryBudgets {
        let bound = settings.memory_fraction_bytes(BODY_MEMORY_SHARE);
        MemoryBudgets {
            requests: ByteBudget::new(bound),
            responses: ByteBudget::new(bound),
        }
    }
}

/// State shared by all tasks of the process. They run on one thread, so that cells suffice.
pub struct ProxyContext {
    /// The policy constants.
    pub policy: Rc<Policy>,
    /// The settings in force.
    pub settings: RefCell<Settings>,
    /// Upstreams, configuration, and the placement of requests.
    pub balancer: RefCell<Balancer>,
    /// Connections to upstreams.
    pub pool: RefCell<ConnectionPool>,
    /// Limits on the memory of buffered messages.
    pub memory: MemoryBudgets,
    /// Counters of the outcomes of requests.
    pub outcomes: RefCell<RequestOutcomes>,
    /// The process's clock.
    pub clock: Clock,
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Random id that distinguishes this run of the process from earlier ones.
    pub incarnation: u64,
    /// Closed when the process starts to drain.
    pub draining: async_channel::Receiver<()>,
    /// Receives a notification when the proxy's state is to be sent to control immediately.
    pub state_changed: async_channel::Receiver<()>,
    state_changed_sender: async_channel::Sender<()>,
    /// Number of open client connections.
    pub client_connections: Cell<usize>,
}

impl ProxyContext {
    /// The state of a process that has just started.
    #[must_use]
    pub fn new(
        settings: Settings,
        balancer: Balancer,
        executor: Rc<LocalExecutor<'static>>,
        incarnation: u64,
        draining: async_channel::Receiver<()>,
    ) -> ProxyContext {
        // One pending notification covers any number of changes.
        let (state_changed_sender, state_changed) = async_channel::bounded(1);
        let memory = MemoryBudgets::new(&settings);
        let policy = balancer.policy.clone();
        ProxyContext {
            memory,
            settings: RefCell::new(settings),
            balancer: RefCell::new(balancer),
            pool: RefCell::new(ConnectionPool::new(policy.clone())),
            policy,
            outcomes: RefCell::default(),
            clock: Clock::start(),
            executor,
            incarnation,
            draining,
            state_changed,
            state_changed_sender,
            client_connections: Cell::new(0),
        }
    }

    /// Causes the proxy's state to be sent to control immediately.
    pub fn notify_state_changed(&self) {
        // If the channel is full, a notification is already pending.
        let _ = self.state_changed_sender.try_send(());
    }

    /// Adds `change` to the number of open requests.
    pub fn add_open_requests(&self, change: i32) {
        let mut balancer = self.balancer.borrow_mut();
        balancer.open_requests = balancer.open_requests.saturating_add_signed(change);
    }
}
