//! What the tasks of a proxy share.
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

/// Part of the process's memory that request bodies may take, and collected responses as much again (ours).
const BODY_MEMORY_SHARE: f64 = 0.25;

/// Bounds on the memory that messages take together.
pub struct MemoryBudgets {
    /// Bodies of requests.
    pub requests: ByteBudget,
    /// Responses that are collected before they are sent to the client.
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

/// State that all tasks of the process share. They run on one thread, so that cells are enough.
pub struct ProxyContext {
    /// The constants of the decisions.
    pub policy: Rc<Policy>,
    /// The settings in force.
    pub settings: RefCell<Settings>,
    /// What is known of upstreams and configuration, and the placement of requests.
    pub balancer: RefCell<Balancer>,
    /// Connections to upstreams.
    pub pool: RefCell<ConnectionPool>,
    /// Bounds on the memory of messages.
    pub memory: MemoryBudgets,
    /// How requests ended so far.
    pub outcomes: RefCell<RequestOutcomes>,
    /// The process's clock.
    pub clock: Clock,
    /// Runs the tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Tells this run of the process from earlier ones.
    pub incarnation: u64,
    /// Closed once the process is draining.
    pub draining: async_channel::Receiver<()>,
    /// Notified when the proxy's state changed in a way that control gets at once.
    pub state_changed: async_channel::Receiver<()>,
    state_changed_sender: async_channel::Sender<()>,
    /// Number of clients' connections.
    pub client_connections: Cell<usize>,
}

impl ProxyContext {
    /// The state of a process that has served nothing yet.
    #[must_use]
    pub fn new(
        settings: Settings,
        balancer: Balancer,
        executor: Rc<LocalExecutor<'static>>,
        incarnation: u64,
        draining: async_channel::Receiver<()>,
    ) -> ProxyContext {
        // One notification is enough, however many changes there are.
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

    /// Has the proxy's state sent to control at once.
    pub fn notify_state_changed(&self) {
        // A full channel holds a notification already.
        let _ = self.state_changed_sender.try_send(());
    }

    /// Changes the number of open requests.
    pub fn add_open_requests(&self, change: i32) {
        let mut balancer = self.balancer.borrow_mut();
        balancer.open_requests = balancer.open_requests.saturating_add_signed(change);
    }
}
