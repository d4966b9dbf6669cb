//! Health probes: asks upstreams that are due, each in a task of its own.
use crate::context::ProxyContext;
use crate::placement::upstreams::Load;
use crate::upstream_connections::pool::connect;
use async_io::Timer;
use futures_lite::future;
use sandtrack_net::http::Part;
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::write_within;
use sandtrack_sidecar_core::message;
use sandtrack_tiers::Millis;
use std::rc::Rc;
use std::time::Duration;

/// How often it is looked which upstreams are due.
const TICK: Duration = Duration::from_millis(50);

/// Probes for the life of the process.
pub async fn run(context: Rc<ProxyContext>) {
    loop {
        let now = context.clock.now();
        let due = context.balancer.borrow_mut().probes_due(now);
        for (place, address, path) in due {
            let probing = context.clone();
            context
                .executor
                .spawn(async move { probe(probing, place, address, path).await })
                .detach();
        }
        context.pool.borrow_mut().sweep(now);
        Timer::after(TICK).await;
    }
}

async fn probe(context: Rc<ProxyContext>, place: usize, address: String, path: String) {
    let began = context.clock.now();
    let (identifier, patience) = {
        let balancer = context.balancer.borrow();
        (
            balancer.upstreams.get(place).entry.identifier.clone(),
            balancer.probe_timeout(began, place),
        )
    };
    let late = async {
        Timer::after(Duration::from_secs_f64(patience / 1000.0)).await;
        None
    };
    let answered = future::or(
        ask(&context, place, &identifier, &address, &path, patience),
        late,
    )
    .await;
    let now = context.clock.now();
    context
        .balancer
        .borrow_mut()
        .probed(now, place, answered.map(|asked| now - asked.max(began)));
}

/// When the question was written, if the upstream answers that it is well.
async fn ask(
    context: &ProxyContext,
    place: usize,
    identifier: &str,
    address: &str,
    path: &str,
    patience: Millis,
) -> Option<Millis> {
    let idle = context
        .pool
        .borrow_mut()
        .take(identifier, context.clock.now());
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(&context.pool, identifier, address, patience)
            .await
            .ok()?,
    };
    let host = [("Host", address)].into_iter();
    let bytes = message::request("GET", path, host, b"");
    let asked = context.clock.now();
    let mut output = Ring::new(bytes.len());
    if !output.push(&bytes)
        || !write_within(&connection.stream, &mut output, Duration::from_secs(1)).await
    {
        return None;
    }
    let until = asked + patience;
    let mut head = None;
    loop {
        match crate::upstream_connections::wire::next(&mut connection, context.clock, until).await {
            crate::upstream_connections::wire::Waited::Part(Part::Head(came)) => head = Some(came),
            crate::upstream_connections::wire::Waited::Part(Part::Data(_)) => {}
            crate::upstream_connections::wire::Waited::Part(Part::End) => break,
            _ => return None,
        }
    }
    let head = head?;
    let now = context.clock.now();
    let load = head.headers.get("server-load").and_then(Load::parse);
    let cold = head
        .headers
        .get("cold-remaining")
        .and_then(|value| value.trim().parse().ok());
    context.balancer.borrow_mut().told(now, place, load, cold);
    let itself = head
        .headers
        .get("instance-id")
        .is_none_or(|instance| instance == identifier);
    let well = head.status == 200 && itself;
    context
        .pool
        .borrow_mut()
        .give(identifier, connection, &head, now);
    well.then_some(asked)
}
