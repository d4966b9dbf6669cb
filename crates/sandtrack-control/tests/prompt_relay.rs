//! Which long prompts were sent where is passed on to all but the one that told it, bounded.
use sandtrack_control::prompt_relay::PromptRelay;
use sandtrack_protocol::frames::PromptSent;

fn sent(upstream: u32, tokens: u32) -> PromptSent {
    PromptSent {
        upstream,
        prefix: 7,
        tokens,
    }
}

#[test]
fn a_prompt_is_relayed_to_all_but_its_reporter() {
    let mut relay = PromptRelay::default();
    assert_eq!(relay.next_due(), None);
    relay.from_session(1, vec![sent(10, 500)]);
    relay.from_session(2, vec![sent(20, 400)]);
    relay.from_peer(vec![sent(30, 300)]);
    let passed = relay.take_due(100.0).expect("it is time");
    assert_eq!(
        passed.to_peers,
        [sent(10, 500), sent(20, 400)],
        "others tell theirs themselves"
    );
    assert_eq!(
        passed.to_sessions,
        [sent(10, 500), sent(20, 400), sent(30, 300)]
    );
    assert_eq!(passed.to_session[&1], [sent(20, 400), sent(30, 300)]);
    assert_eq!(passed.to_session[&2], [sent(10, 500), sent(30, 300)]);
    assert_eq!(passed.to_session.len(), 2);
    assert_eq!(
        (relay.next_due(), relay.take_due(200.0)),
        (None, None),
        "once"
    );
}

#[test]
fn prompts_are_batched_within_the_relay_interval() {
    let mut relay = PromptRelay::default();
    relay.from_session(1, vec![sent(10, 500)]);
    assert!(relay.take_due(100.0).is_some());
    relay.from_session(1, vec![sent(11, 500)]);
    let due = relay.next_due().expect("something waits");
    assert!(due > 100.0 && relay.take_due(due - 1.0).is_none());
    relay.from_session(1, vec![sent(12, 500)]);
    assert_eq!(relay.take_due(due).expect("it is time").to_peers.len(), 2);
}

#[test]
fn a_flood_is_limited_to_the_largest_prompts() {
    let mut relay = PromptRelay::default();
    let mut bytes = 0;
    for step in 0..1000 {
        let now = f64::from(step);
        relay.from_session(1, vec![sent(1, 100), sent(2, 9000)]);
        relay.from_peer(vec![sent(3, 50); 10]);
        if let Some(passed) = relay.take_due(now) {
            assert!(passed.to_sessions.iter().all(|sent| sent.tokens == 9000) || step == 0);
            bytes += 12 * passed.to_sessions.len();
        }
    }
    assert!(bytes <= 3000, "{bytes} bytes in a second");
}
