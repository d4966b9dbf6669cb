//! Estimates of prefill queues, and where long prompts go by them.
mod common;
use common::{balancer, fleet, index_of, probe_all, request};
use sandtrack_protocol::frames::{PromptSent, ToProxy};
use sandtrack_proxy::placement::balancer::Balancer;
use sandtrack_proxy::placement::prefill_queue::{
    prefix_key, upstream_key, PrefillEstimate, PrefillQueues,
};
use sandtrack_proxy::placement::selection::Placement;
use sandtrack_proxy::policy::Policy;
use sandtrack_proxy::request::ProxyRequest;

fn probed_balancer() -> Balancer {
    let mut balancer = balancer(fleet());
    probe_all(&mut balancer, 0.0);
    balancer
}

/// A letter with this shared prefix and so many tokens of it; 1,000 are its own.
fn long_prompt(balancer: &Balancer, prefix: u32, shared: u32) -> ProxyRequest {
    let parts = format!("{prefix:x}:{shared},ff{prefix:x}:1000");
    let counts = format!("{},50", shared + 1000);
    request(
        balancer,
        "/letters/1",
        &[("Prompt-Prefix", &parts), ("Token-Counts", &counts)],
    )
}

fn chosen(balancer: &mut Balancer, now: f64, request: &ProxyRequest) -> usize {
    match balancer.choose_upstream(now, request, &[]) {
        Placement::Send(index) => index,
        other => panic!("{other:?}"),
    }
}

/// Reports to the balancer that another proxy sent such a prompt.
fn report(balancer: &mut Balancer, now: f64, request: &ProxyRequest, index: usize, tokens: u32) {
    let upstream = upstream_key(balancer.upstreams.get(index));
    let sent = PromptSent {
        upstream,
        prefix: prefix_key(request),
        tokens,
    };
    balancer.apply(now, ToProxy::PromptsSent(vec![sent]));
}

#[test]
fn a_prompt_goes_where_its_prefix_is_cached_whichever_proxy_sent_it_there() {
    let mut balancer = probed_balancer();
    let prompt = long_prompt(&balancer, 7, 13_000);
    let first = chosen(&mut balancer, 1.0, &prompt);
    let other = balancer
        .upstreams
        .listed()
        .find(|index| *index != first)
        .expect("there are several");
    report(&mut balancer, 1.0, &prompt, other, 14_000);
    // Once its prefill is over, that one has the least to prefill.
    assert_eq!(chosen(&mut balancer, 2000.0, &prompt), other);
}

#[test]
fn while_the_owners_of_a_prefix_can_not_begin_in_time_another_prefills_it_too() {
    let mut balancer = probed_balancer();
    let prompt = long_prompt(&balancer, 7, 13_000);
    let owner = chosen(&mut balancer, 1.0, &prompt);
    report(&mut balancer, 1.0, &prompt, owner, 14_000);
    assert_eq!(chosen(&mut balancer, 2000.0, &prompt), owner);
    report(&mut balancer, 2000.0, &prompt, owner, 90_000);
    let spare = chosen(&mut balancer, 2001.0, &prompt);
    assert_ne!(spare, owner, "1.8 s of prefill are queued there");
    report(&mut balancer, 2001.0, &prompt, spare, 14_000);
    // Both own it now: the one that is free first.
    assert_eq!(chosen(&mut balancer, 2400.0, &prompt), spare);
}

#[test]
fn a_prefill_queue_counts_in_tokens_and_not_in_requests() {
    let mut balancer = probed_balancer();
    let heavy = long_prompt(&balancer, 7, 39_000);
    let owner = chosen(&mut balancer, 1.0, &heavy);
    // Another prompt of which the same upstream is the first choice.
    let light = (100..400).map(|prefix| long_prompt(&balancer, prefix, 13_000));
    let light = light
        .collect::<Vec<_>>()
        .into_iter()
        .find(|light| chosen(&mut balancer, 1.0, light) == owner);
    let light = light.expect("one of hundreds");
    // Many short requests there do not move it; one long prompt under way does.
    (0..3).for_each(|_| balancer.send_started(owner));
    assert_eq!(chosen(&mut balancer, 1.0, &light), owner);
    balancer.long_prompt_sent(1.0, &heavy, owner);
    assert_ne!(
        chosen(&mut balancer, 2.0, &light),
        owner,
        "0.8 s of prefill are queued there"
    );
    assert_eq!(
        chosen(&mut balancer, 1500.0, &light),
        owner,
        "that prefill is over"
    );
}

#[test]
fn proxies_that_know_nothing_choose_the_same_upstream() {
    let (mut one, mut other) = (probed_balancer(), probed_balancer());
    for prefix in 1..200 {
        let prompt = long_prompt(&one, prefix, 13_000);
        assert_eq!(
            chosen(&mut one, 1.0, &prompt),
            chosen(&mut other, 1.0, &prompt)
        );
    }
}

#[test]
fn another_region_is_chosen_while_its_round_trip_leaves_time_to_prefill() {
    let regions = |trip: f64| {
        let mut balancer = probed_balancer();
        let south = index_of(&balancer, "c0");
        for _ in 0..40 {
            balancer.record_round_trip(1.0, south, trip);
        }
        let prompts: Vec<ProxyRequest> = (1..100)
            .map(|prefix| long_prompt(&balancer, prefix, 13_000))
            .collect();
        let index = |prompt: &ProxyRequest| {
            let index = chosen(&mut balancer, 1.0, prompt);
            balancer.upstreams.get(index).region.clone()
        };
        prompts
            .iter()
            .map(index)
            .filter(|region| region == "south")
            .count()
    };
    let policy = Policy::default();
    let prefill = 14_000.0 / policy.default_prefill_rate;
    let fits =
        (1000.0 * policy.first_token_target_ratio - prefill) / policy.first_token_round_trips;
    assert!(regions(fits * 0.9) > 30, "it fits");
    assert_eq!(
        regions(fits * 1.2),
        0,
        "it does not fit, and near ones are free"
    );
}

#[test]
fn the_prefill_rate_is_learned_from_first_tokens() {
    let policy = Policy::default();
    let mut prefill = PrefillQueues::default();
    for _ in 0..8 {
        let rate = prefill.rate("model", &policy);
        let estimate = PrefillEstimate {
            is_cached: false,
            tokens: 14_000.0,
            queueing_time: 0.0,
            total_time: 14_000.0 / rate,
        };
        prefill.record_first_token("model", &estimate, 14_000.0 / 80.0, &policy);
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
fn reports_are_bounded_and_taken_once() {
    let mut balancer = probed_balancer();
    let prompts: Vec<ProxyRequest> = (1..100)
        .map(|prefix| long_prompt(&balancer, prefix, 10_000 + prefix))
        .collect();
    for prompt in &prompts {
        let index = chosen(&mut balancer, 1.0, prompt);
        balancer.long_prompt_sent(1.0, prompt, index);
    }
    let reports = balancer.take_prompt_reports();
    assert!(
        !reports.is_empty() && reports.len() <= 16,
        "{}",
        reports.len()
    );
    assert!(
        reports.iter().all(|sent| sent.tokens >= 11_084),
        "the largest"
    );
    assert!(balancer.take_prompt_reports().is_empty());
}
