//! What the tasks of a proxy share.
use crate::placement::balancer::Balancer;
use crate::policy::Policy;
use crate::telemetry::outcomes::Outcomes;
use crate::upstream_connections::pool::Pool;
use async_executor::LocalExecutor;
use sandtrack_net::byte_budget::ByteBudget;
use sandtrack_net::socket::Clock;
use sandtrack_protocol::settings::Settings;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Bodies of requests in hand may take this part of the process's memory, and collected answers as much again (ours).
const BODIES: f64 = 0.25;

/// Bounds on what messages take together.
pub struct Memory {
    /// Bodies of requests.
    pub requests: ByteBudget,
    /// Answers that are collected whole before they are passed on.
    pub answers: ByteBudget,
}

impl Memory {
    fn of(settings: &Settings) -> Memory {
        let bound = settings.memory_part(BODIES);
        Memory {
            requests: ByteBudget::new(bound),
            answers: ByteBudget::new(bound),
        }
    }
}

pub struct ProxyContext {
    /// The constants that decisions go by.
    pub policy: Rc<Policy>,
    pub settings: RefCell<Settings>,
    pub balancer: RefCell<Balancer>,
    pub pool: RefCell<Pool>,
    pub memory: Memory,
    /// How requests ended so far.
    pub outcomes: RefCell<Outcomes>,
    pub clock: Clock,
    pub executor: Rc<LocalExecutor<'static>>,
    pub incarnation: u64,
    /// Closed once this process was told to stop.
    pub left: async_channel::Receiver<()>,
    /// Something changed that control is told at once.
    pub news: async_channel::Receiver<()>,
    news_sender: async_channel::Sender<()>,
    /// Clients' connections.
    pub connections: Cell<usize>,
}

impl ProxyContext {
    pub fn new(
        settings: Settings,
        balancer: Balancer,
        executor: Rc<LocalExecutor<'static>>,
        incarnation: u64,
        left: async_channel::Receiver<()>,
    ) -> ProxyContext {
        let (news_sender, news) = async_channel::bounded(1);
        let memory = Memory::of(&settings);
        let policy = balancer.policy.clone();
        ProxyContext {
            memory,
            settings: RefCell::new(settings),
            balancer: RefCell::new(balancer),
            pool: RefCell::new(Pool::new(policy.clone())),
            policy,
            outcomes: RefCell::default(),
            clock: Clock::start(),
            executor,
            incarnation,
            left,
            news,
            news_sender,
            connections: Cell::new(0),
        }
    }

    pub fn tell_news(&self) {
        let _ = self.news_sender.try_send(());
    }

    /// Counts requests in hand.
    pub fn open(&self, change: i32) {
        let mut balancer = self.balancer.borrow_mut();
        balancer.open = balancer.open.saturating_add_signed(change);
    }
}
