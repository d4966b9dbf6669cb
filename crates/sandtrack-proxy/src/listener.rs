//! Client connections: accepts them, reads requests one after another, and forwards each.
//!
//! [`connection`] serves one connection, [`read_request`] reads a request from it, and [`readiness`] answers the platform's
//! readiness check.
pub mod connection;
pub mod limits;
pub mod read_request;
pub mod readiness;

use crate::context::ProxyContext;
use async_io::{Async, Timer};
use futures_lite::future;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Pause after an error of `accept`, for example when the process is out of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Accepts client connections until the sender of `stop` is closed.
pub async fn accept(
    context: Rc<ProxyContext>,
    listener: Async<TcpListener>,
    stop: async_channel::Receiver<()>,
) {
    loop {
        let stopped = async {
            let _ = stop.recv().await;
            None
        };
        match future::or(async { Some(listener.accept().await) }, stopped).await {
            None => return,
            Some(Ok((stream, _))) => {
                let task_context = context.clone();
                context
                    .executor
                    .spawn(async move { connection::serve(task_context, stream).await })
                    .detach();
                future::yield_now().await;
            }
            Some(Err(_)) => {
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}
