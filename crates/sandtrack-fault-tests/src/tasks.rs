//! The run's tasks: they end with it, and none keeps the others alive.
use async_executor::LocalExecutor;
use std::future::Future;
use std::rc::{Rc, Weak};

/// Spawns as long as the run lasts.
#[derive(Clone)]
pub struct Spawner<'a>(Weak<LocalExecutor<'a>>);

impl<'a> Spawner<'a> {
    pub fn of(executor: &Rc<LocalExecutor<'a>>) -> Self {
        Spawner(Rc::downgrade(executor))
    }

    pub fn spawn(&self, task: impl Future<Output = ()> + 'a) {
        if let Some(executor) = self.0.upgrade() {
            executor.spawn(task).detach();
        }
    }
}
