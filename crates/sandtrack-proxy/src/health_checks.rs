//! Health checks: asks upstreams that are due, each in a task of its own.
use crate::context::ProxyContext;
use crate::placement::balancer::DueProbe;
use crate::placement::upstreams::ServerLoad;
use crate::upstream_connections::pool::{connect, Connection};
use crate::upstream_connections::wire::{read_part, WaitResult};
use async_io::Timer;
use futures_lite::future;
use sandtrack_net::http::Part;
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::write_within;
use sandtrack_sidecar_core::message::{self, Head};
use sandtrack_tiers::Millis;
use std::rc::Rc;
use std::time::Duration;

/// How often upstreams that are due are looked for.
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(50);
/// How long the write of a health check may take.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

/// One health check of one upstream.
struct HealthCheck {
    /// Index of the upstream.
    upstream: usize,
    identifier: String,
    address: String,
    path: String,
    timeout: Millis,
}

/// Checks upstreams for the life of the process.
pub async fn run(context: Rc<ProxyContext>) {
    loop {
        let now = context.clock.now();
        let due = context.balancer.borrow_mut().probes_due(now);
        for probe in due {
            let task_context = context.clone();
            context
                .executor
                .spawn(async move { check_upstream(&task_context, probe).await })
                .detach();
        }
        context.pool.borrow_mut().remove_expired(now);
        Timer::after(SCHEDULE_INTERVAL).await;
    }
}

async fn check_upstream(context: &ProxyContext, probe: DueProbe) {
    let DueProbe {
        upstream,
        address,
        path,
    } = probe;
    let started_at = context.clock.now();
    let (identifier, timeout) = {
        let balancer = context.balancer.borrow();
        (
            balancer.upstreams.get(upstream).entry.identifier.clone(),
            balancer.probe_timeout(started_at, upstream),
        )
    };
    let health_check = HealthCheck {
        upstream,
        identifier,
        address,
        path,
        timeout,
    };
    let timer = async {
        Timer::after(Duration::from_secs_f64(timeout / 1000.0)).await;
        None
    };
    let written_at = future::or(request_health(context, &health_check), timer).await;
    let now = context.clock.now();
    context.balancer.borrow_mut().probe_finished(
        now,
        upstream,
        written_at.map(|written_at| now - written_at.max(started_at)),
    );
}

/// When the request was written, if the upstream answers that it is healthy.
async fn request_health(context: &ProxyContext, health_check: &HealthCheck) -> Option<Millis> {
    let mut connection = open_connection(context, health_check).await?;
    let host = [("Host", health_check.address.as_str())].into_iter();
    let request = message::request("GET", &health_check.path, host, b"");
    let written_at = context.clock.now();
    let mut output = Ring::new(request.len());
    if !output.push(&request) || !write_within(&connection.stream, &mut output, WRITE_TIMEOUT).await
    {
        return None;
    }
    let deadline = written_at + health_check.timeout;
    let HealthResponse {
        head,
        follows_surplus,
    } = read_response(context, &mut connection, deadline).await?;
    let now = context.clock.now();
    apply_load_report(context, now, health_check.upstream, &head);
    let identifier = health_check.identifier.as_str();
    let is_expected_instance = head
        .headers
        .get("instance-id")
        .is_none_or(|instance| instance == identifier);
    let is_healthy = head.status == 200 && is_expected_instance;
    if !follows_surplus {
        let mut pool = context.pool.borrow_mut();
        pool.release(identifier, connection, &head, now);
    }
    is_healthy.then_some(written_at)
}

async fn open_connection(context: &ProxyContext, health_check: &HealthCheck) -> Option<Connection> {
    let HealthCheck {
        identifier,
        address,
        timeout,
        ..
    } = health_check;
    let idle = context
        .pool
        .borrow_mut()
        .take_idle(identifier, &[], context.clock.now());
    match idle {
        Some(connection) => Some(connection),
        None => connect(&context.pool, identifier, address, *timeout)
            .await
            .ok(),
    }
}

/// The response to a health check.
struct HealthResponse {
    head: Head,
    /// Whether a surplus response to an earlier request came before it.
    follows_surplus: bool,
}

/// Whether a response on a connection that health checks share with requests is a late one to a request: only that has a
/// request's id, and only a health check's names the upstream.
fn is_surplus(head: &Head) -> bool {
    head.headers
        .get("request-id")
        .is_some_and(|id| !id.is_empty())
        && head.headers.get("instance-id").is_none()
}

/// Reads the response to the health check to its end, behind surplus ones to earlier requests.
async fn read_response(
    context: &ProxyContext,
    connection: &mut Connection,
    deadline: Millis,
) -> Option<HealthResponse> {
    let mut head = None;
    let mut follows_surplus = false;
    loop {
        match read_part(connection, context.clock, deadline).await {
            WaitResult::Part(Part::Head(received)) => head = Some(received),
            WaitResult::Part(Part::Data(_)) => {}
            WaitResult::Part(Part::End) => match head.take() {
                Some(head) if is_surplus(&head) => follows_surplus = true,
                head => {
                    return head.map(|head| HealthResponse {
                        head,
                        follows_surplus,
                    })
                }
            },
            WaitResult::Failed(_) | WaitResult::TimedOut => return None,
        }
    }
}

fn apply_load_report(context: &ProxyContext, now: Millis, upstream: usize, head: &Head) {
    let load = head.headers.get("server-load").and_then(ServerLoad::parse);
    let cold_remaining = head
        .headers
        .get("cold-remaining")
        .and_then(|value| value.trim().parse().ok());
    context
        .balancer
        .borrow_mut()
        .load_reported(now, upstream, load, cold_remaining);
}
