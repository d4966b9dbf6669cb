//! Endpoint for the platform's readiness check: whether this process accepts traffic.
use super::limits::DEFAULT_MAX_HEAD_BYTES;
use super::read_request::read_request;
use crate::context::ProxyContext;
use async_io::{Async, Timer};
use sandtrack_net::http::{Parser, Side};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::write_within;
use sandtrack_sidecar_core::message;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const PATH: &str = "/v1/readiness";
/// Pause after an error of `accept`.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves readiness checks for the lifetime of the process.
pub async fn run(context: Rc<ProxyContext>, listener: Async<TcpListener>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let task_context = context.clone();
                context
                    .executor
                    .spawn(async move { serve(&task_context, stream).await })
                    .detach();
            }
            Err(_) => {
                Timer::after(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

async fn serve(context: &ProxyContext, stream: Async<TcpStream>) {
    let mut input = Ring::new(DEFAULT_MAX_HEAD_BYTES);
    let mut parser = Parser::new(Side::Request);
    while let Ok(request) = read_request(context, &stream, &mut parser, &mut input, None).await {
        let head = request.head;
        let ready = context.balancer.borrow().is_ready();
        let (status, body): (u16, &[u8]) = match (head.target.as_str(), ready) {
            (PATH, true) => (200, b"{\"ready\":true}"),
            (PATH, false) => (503, b"{\"ready\":false}"),
            _ => (404, b"{}"),
        };
        let headers = [("Content-Type", "application/json")].into_iter();
        let response = message::response(status, headers, body, !head.keep_alive);
        let mut output = Ring::new(response.len());
        if !output.push(&response) || !write_within(&stream, &mut output, WRITE_TIMEOUT).await {
            return;
        }
        if !head.keep_alive {
            return;
        }
    }
}
