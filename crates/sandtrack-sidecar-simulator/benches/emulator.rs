//! What an emulated event and a decision cost. No threshold: figures depend on the machine.
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion, Throughput};
use sandtrack_balancer::interface::*;
use sandtrack_balancer::Balancer;
use sandtrack_sidecar_simulator::{node, scenario, world};

fn hall() -> scenario::Scenario {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/hall.toml");
    let text = std::fs::read_to_string(path).expect("the scenario is there");
    let mut hall = scenario::read("hall.toml", &text, &[]).expect("a sound scenario");
    (hall.duration_s, hall.failures) = (10.0, Vec::new());
    hall
}

fn events(c: &mut Criterion) {
    let mut group = c.benchmark_group("events");
    for policy in [
        scenario::Policy::Random,
        scenario::Policy::Module,
        scenario::Policy::Sidecar,
    ] {
        let mut hall = hall();
        hall.policy = policy;
        let events = world::run(&hall, 1).expect("a run").events;
        group
            .throughput(Throughput::Elements(events))
            .sample_size(10);
        group.bench_function(BenchmarkId::from_parameter(format!("{policy:?}")), |b| {
            b.iter(|| world::run(&hall, 1).expect("a run").events);
        });
    }
    group.finish();
}

fn request(c: &mut Criterion) {
    let mut group = c.benchmark_group("request");
    for upstreams in [10_u32, 60, 1000] {
        let settings = node::settings(&hall(), 0).expect("settings").settings;
        let mut balancer = Balancer::new(settings, 1);
        let mut actions = Vec::new();
        let entry = |id| Entry {
            upstream: UpstreamId(id),
            identity: u64::from(id),
            readiness: Readiness::Ready,
            cell: 0,
            machine_type: 0,
            scale: 1.0,
            zone: ZoneId(id % 4),
            started_at: None,
        };
        let entries = (0..upstreams).map(entry).collect();
        balancer.handle(
            0.0,
            Event::List {
                kind: ListKind::Whole,
                entries,
            },
            &mut actions,
        );
        let (mut now, mut id) = (0.0, 0);
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            b.iter(|| {
                (now, id) = (now + 10.0, id + 1);
                let request = RequestId(id);
                let (class, not_after) = (ClassId(0), now + 500.0);
                let arrival = Arrival {
                    request,
                    class,
                    tenant: None,
                    not_after,
                    retry: false,
                    key: None,
                    cost: None,
                };
                actions.clear();
                balancer.handle(now, Event::Request(arrival), &mut actions);
                let end = Finished {
                    request,
                    attempt: 0,
                    outcome: Outcome::Ok,
                    elapsed: 5.0,
                    closed: true,
                    report: None,
                };
                balancer.handle(now + 5.0, Event::Finished(end), &mut actions);
            });
        });
    }
    group.finish();
}

criterion_group!(benches, events, request);
criterion_main!(benches);
