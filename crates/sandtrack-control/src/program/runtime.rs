//! What the loop and the tasks of the process share.
use crate::frame_connection::FrameSender;
use crate::node::{ControlNode, Input};
use crate::operator_api::Reply;
use crate::platform_client::Fetch;
use crate::wal_writer;
use async_executor::LocalExecutor;
use sandtrack_net::byte_budget::ByteBudget;
use sandtrack_net::socket::Clock;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// The control node, and the ways to everything that its effects reach.
pub(super) struct Runtime<'a> {
    /// Runs all tasks, on one thread.
    pub executor: Rc<LocalExecutor<'a>>,
    /// The steady clock that all inputs are stamped by.
    pub clock: Clock,
    /// To the loop.
    pub inputs: async_channel::Sender<Input>,
    /// Decides everything.
    pub control_node: RefCell<ControlNode>,
    /// Open links with other control nodes, by number.
    pub links: RefCell<HashMap<u64, FrameSender>>,
    /// Open sessions of proxies, by number.
    pub sessions: RefCell<HashMap<u64, FrameSender>>,
    /// Operators that wait for an answer, by the number of the call.
    pub calls: RefCell<HashMap<u64, async_channel::Sender<Reply>>>,
    /// What the calls of operators and of the directory's clients may take together.
    pub calls_memory: ByteBudget,
    /// To the thread that writes the WAL; none where there is no data directory.
    pub disk: Option<async_channel::Sender<wal_writer::WalRequest>>,
    /// To the task that calls the platform.
    pub fetches: async_channel::Sender<Fetch>,
    /// Address of the platform.
    pub platform: RefCell<String>,
}

impl Runtime<'_> {
    /// Hands an input to the loop.
    pub fn tell(&self, input: Input) {
        // It fails only when the process is on its way out.
        let _ = self.inputs.try_send(input);
    }
}
