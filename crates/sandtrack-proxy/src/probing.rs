//! Health probes: asks upstreams that are due, each in a task of its own.
use crate::placement::balancer::DueProbe;
use crate::placement::upstreams::ServerLoad;
use crate::pool::connect;
use crate::shared::Shared;
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
pub async fn run(shared: Rc<Shared>) {
    loop {
        let now = shared.clock.now();
        let due = shared.balancer.borrow_mut().probes_due(now);
        for DueProbe {
            upstream: place,
            address,
            path,
        } in due
        {
            let probing = shared.clone();
            shared
                .executor
                .spawn(async move { probe(probing, place, address, path).await })
                .detach();
        }
        shared.pool.borrow_mut().sweep(now);
        Timer::after(TICK).await;
    }
}

async fn probe(shared: Rc<Shared>, place: usize, address: String, path: String) {
    let began = shared.clock.now();
    let (identifier, patience) = {
        let balancer = shared.balancer.borrow();
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
        ask(&shared, place, &identifier, &address, &path, patience),
        late,
    )
    .await;
    let now = shared.clock.now();
    shared.balancer.borrow_mut().probe_finished(
        now,
        place,
        answered.map(|asked| now - asked.max(began)),
    );
}

/// When the question was written, if the upstream answers that it is well.
async fn ask(
    shared: &Shared,
    place: usize,
    identifier: &str,
    address: &str,
    path: &str,
    patience: Millis,
) -> Option<Millis> {
    let idle = shared
        .pool
        .borrow_mut()
        .take(identifier, shared.clock.now());
    let mut connection = match idle {
        Some(connection) => connection,
        None => connect(&shared.pool, identifier, address, patience)
            .await
            .ok()?,
    };
    let host = [("Host", address)].into_iter();
    let bytes = message::request("GET", path, host, b"");
    let asked = shared.clock.now();
    let mut output = Ring::new(bytes.len());
    if !output.push(&bytes)
        || !write_within(&connection.stream, &mut output, Duration::from_secs(1)).await
    {
        return None;
    }
    let until = asked + patience;
    let mut head = None;
    loop {
        match crate::exchange::next(&mut connection, shared.clock, until).await {
            crate::exchange::Waited::Part(Part::Head(came)) => head = Some(came),
            crate::exchange::Waited::Part(Part::Data(_)) => {}
            crate::exchange::Waited::Part(Part::End) => break,
            _ => return None,
        }
    }
    let head = head?;
    let now = shared.clock.now();
    let load = head.headers.get("server-load").and_then(ServerLoad::parse);
    let cold = head
        .headers
        .get("cold-remaining")
        .and_then(|value| value.trim().parse().ok());
    shared
        .balancer
        .borrow_mut()
        .load_reported(now, place, load, cold);
    let itself = head
        .headers
        .get("instance-id")
        .is_none_or(|instance| instance == identifier);
    let well = head.status == 200 && itself;
    shared
        .pool
        .borrow_mut()
        .give(identifier, connection, &head, now);
    well.then_some(asked)
}
