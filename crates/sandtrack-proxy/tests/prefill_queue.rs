//! Estimates of what upstreams have to read, and where long prompts go by them.
mod common;
use common::{balancer, entry, probe_all, request};
use sandtrack_protocol::frames::{PromptSent, ToProxy, UpstreamEntry};
use sandtrack_proxy::placement::balancer::Balancer;
use sandtrack_proxy::placement::prefill_queue::{
    prefix_key, upstream_key, PrefillEstimate, PrefillQueues,
};
use sandtrack_proxy::placement::selection::Placement;
use sandtrack_proxy::policy::Policy;
use sandtrack_proxy::request::ProxyRequest;

fn fleet() -> Vec<UpstreamEntry> {
    let mut all = Vec::new();
    for (zone, count) in [("a", 3), ("b", 3), ("c", 5)] {
        all.extend((0..count).map(|at| entry(&format!("{zone}{at}"), "model", zone)));
    }
    all
}

fn known() -> Balancer {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    balancer
}

/// A letter with this shared prefix and so many tokens of it; 1,000 are its own.
fn letter(balancer: &Balancer, prefix: u32, shared: u32) -> ProxyRequest {
    let parts = format!("{prefix:x}:{shared},ff{prefix:x}:1000");
    let counts = format!("{},50", shared + 1000);
    request(
        balancer,
        "/letters/1",
        &[("Prompt-Prefix", &parts), ("Token-Counts", &counts)],
    )
}

fn placed(balancer: &mut Balancer, now: f64, request: &ProxyRequest) -> usize {
    match balancer.choose_upstream(now, request, &[]) {
        Placement::Send(place) => place,
        other => panic!("{other:?}"),
    }
}

/// Tells the balancer that another proxy sent such a prompt.
fn tell(balancer: &mut Balancer, now: f64, request: &ProxyRequest, place: usize, tokens: u32) {
    let upstream = upstream_key(balancer.upstreams.get(place));
    let sent = PromptSent {
        upstream,
        prefix: prefix_key(request),
        tokens,
    };
    balancer.apply(now, ToProxy::PromptsSent(vec![sent]));
}

#[test]
fn a_prompt_goes_where_its_prefix_was_read_whoever_sent_it_there() {
    let mut balancer = known();
    let letter = letter(&balancer, 7, 13_000);
    let first = placed(&mut balancer, 1.0, &letter);
    let other = balancer
        .upstreams
        .listed()
        .find(|place| *place != first)
        .expect("there are several");
    tell(&mut balancer, 1.0, &letter, other, 14_000);
    // Once that was read there it is the one that has the least to read.
    assert_eq!(placed(&mut balancer, 2000.0, &letter), other);
}

#[test]
fn while_those_that_have_read_it_can_not_begin_in_time_another_reads_it_too() {
    let mut balancer = known();
    let letter = letter(&balancer, 7, 13_000);
    let keeper = placed(&mut balancer, 1.0, &letter);
    tell(&mut balancer, 1.0, &letter, keeper, 14_000);
    assert_eq!(placed(&mut balancer, 2000.0, &letter), keeper);
    tell(&mut balancer, 2000.0, &letter, keeper, 90_000);
    let spare = placed(&mut balancer, 2001.0, &letter);
    assert_ne!(spare, keeper, "1.8 s of reading lie before it there");
    tell(&mut balancer, 2001.0, &letter, spare, 14_000);
    // Both have read it now: the one that is free first.
    assert_eq!(placed(&mut balancer, 2400.0, &letter), spare);
}

#[test]
fn a_queue_counts_in_tokens_and_not_in_requests() {
    let mut balancer = known();
    let heavy = letter(&balancer, 7, 39_000);
    let keeper = placed(&mut balancer, 1.0, &heavy);
    // Another prompt of which the same upstream is the first choice.
    let light = (100..400).map(|prefix| letter(&balancer, prefix, 13_000));
    let light = light
        .collect::<Vec<_>>()
        .into_iter()
        .find(|light| placed(&mut balancer, 1.0, light) == keeper);
    let light = light.expect("one of hundreds");
    // Many short requests there do not move it; one long prompt under way does.
    (0..3).for_each(|_| balancer.send_started(keeper));
    assert_eq!(placed(&mut balancer, 1.0, &light), keeper);
    balancer.long_prompt_sent(1.0, &heavy, keeper);
    assert_ne!(
        placed(&mut balancer, 2.0, &light),
        keeper,
        "0.8 s of reading lie before it there"
    );
    assert_eq!(
        placed(&mut balancer, 1500.0, &light),
        keeper,
        "it has been read"
    );
}

#[test]
fn proxies_that_know_nothing_choose_the_same_one() {
    let (mut one, mut other) = (known(), known());
    for prefix in 1..200 {
        let letter = letter(&one, prefix, 13_000);
        assert_eq!(
            placed(&mut one, 1.0, &letter),
            placed(&mut other, 1.0, &letter)
        );
    }
}

#[test]
fn another_region_is_chosen_while_the_way_there_leaves_time_to_read() {
    let regions = |trip: f64| {
        let mut balancer = known();
        let south = balancer.upstreams.index_of("c0").expect("it is listed");
        for _ in 0..40 {
            balancer.record_round_trip(1.0, south, trip);
        }
        let letters: Vec<ProxyRequest> = (1..100)
            .map(|prefix| letter(&balancer, prefix, 13_000))
            .collect();
        let place = |letter: &ProxyRequest| {
            let place = placed(&mut balancer, 1.0, letter);
            balancer.upstreams.get(place).region.clone()
        };
        letters
            .iter()
            .map(place)
            .filter(|region| region == "south")
            .count()
    };
    let policy = Policy::default();
    let reading = 14_000.0 / policy.default_prefill_rate;
    let fits =
        (1000.0 * policy.first_token_target_ratio - reading) / policy.first_token_round_trips;
    assert!(regions(fits * 0.9) > 30, "it fits");
    assert_eq!(
        regions(fits * 1.2),
        0,
        "it does not fit, and near ones are free"
    );
}

#[test]
fn the_rate_is_learned_from_answers() {
    let policy = Policy::default();
    let mut prefill = PrefillQueues::default();
    for _ in 0..8 {
        let rate = prefill.rate("model", &policy);
        let estimate = PrefillEstimate {
            kept: false,
            tokens: 14_000.0,
            ahead: 0.0,
            time: 14_000.0 / rate,
        };
        prefill.answered("model", &estimate, 14_000.0 / 80.0, &policy);
    }
    let rate = prefill.rate("model", &policy);
    assert!((rate - 80.0).abs() < 8.0, "{rate}");
    assert_eq!(
        prefill.rate("printer", &policy),
        policy.default_prefill_rate,
        "another service's is its own"
    );
}

#[test]
fn what_is_told_is_bounded_and_told_once() {
    let mut balancer = known();
    let letters: Vec<ProxyRequest> = (1..100)
        .map(|prefix| letter(&balancer, prefix, 10_000 + prefix))
        .collect();
    for letter in &letters {
        let place = placed(&mut balancer, 1.0, letter);
        balancer.long_prompt_sent(1.0, letter, place);
    }
    let told = balancer.take_prompt_reports();
    assert!(!told.is_empty() && told.len() <= 16, "{}", told.len());
    assert!(told.iter().all(|sent| sent.tokens >= 11_084), "the largest");
    assert!(balancer.take_prompt_reports().is_empty());
}
