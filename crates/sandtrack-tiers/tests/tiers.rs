use sandtrack_tiers::{Member, Millis, TierMembership, Tiers};

#[derive(Default)]
struct TestUpstream {
    latency: Option<Millis>,
    membership: TierMembership,
}

impl Member for TestUpstream {
    fn latency(&self) -> Option<Millis> {
        self.latency
    }
    fn tier_membership(&mut self) -> &mut TierMembership {
        &mut self.membership
    }
}

#[derive(Default)]
struct Fleet {
    tiers: Tiers,
    upstreams: Vec<TestUpstream>,
}

impl Fleet {
    fn new(latencies: &[Millis]) -> Fleet {
        let mut fleet = Fleet::default();
        fleet
            .upstreams
            .resize_with(latencies.len(), TestUpstream::default);
        fleet.with_latencies(latencies);
        fleet
    }

    /// The tiers that these latencies give after what was before.
    fn with_latencies(&mut self, latencies: &[Millis]) -> Vec<usize> {
        self.upstreams
            .iter_mut()
            .zip(latencies)
            .for_each(|(upstream, latency)| upstream.latency = Some(*latency));
        self.regroup(0..latencies.len())
    }

    fn regroup(&mut self, indices: impl IntoIterator<Item = usize>) -> Vec<usize> {
        self.tiers.regroup(&mut self.upstreams[..], indices);
        self.upstreams
            .iter()
            .map(|upstream| upstream.membership.tier)
            .collect()
    }
}

#[test]
fn a_tier_reaches_to_2_ms_above_the_best_or_to_twice_the_best_whichever_is_more() {
    assert_eq!(Fleet::new(&[]).with_latencies(&[]), Vec::<usize>::new());
    assert_eq!(
        Fleet::new(&[0.5, 2.5, 2.6]).with_latencies(&[0.5, 2.5, 2.6]),
        [0, 0, 1]
    );
    assert_eq!(
        Fleet::new(&[10.0, 20.0, 20.1, 40.2, 40.3]).with_latencies(&[10.0, 20.0, 20.1, 40.2, 40.3]),
        [0, 0, 1, 1, 2]
    );
}

#[test]
fn the_order_of_the_upstreams_does_not_matter() {
    assert_eq!(
        Fleet::new(&[300.0, 10.0, 90.0, 11.0]).with_latencies(&[300.0, 10.0, 90.0, 11.0]),
        [2, 0, 1, 0]
    );
}

#[test]
fn a_member_leaves_only_when_its_latency_passes_the_limit_by_a_quarter() {
    let mut fleet = Fleet::new(&[10.0, 18.0]);
    assert_eq!(
        fleet.with_latencies(&[10.0, 25.0]),
        [0, 0],
        "25% past the limit of 20"
    );
    assert_eq!(fleet.with_latencies(&[10.0, 25.1]), [0, 1]);
    assert_eq!(
        fleet.with_latencies(&[10.0, 25.0]),
        [0, 1],
        "the margin is for members"
    );
    assert_eq!(
        fleet.with_latencies(&[10.0, 20.0]),
        [0, 0],
        "it comes back within the limit itself"
    );
}

#[test]
fn membership_follows_the_identity_of_a_tier_when_another_appears_or_vanishes_before_it() {
    // The second is kept by its group's margin alone.
    let mut fleet = Fleet::new(&[100.0, 190.0, 9.0]);
    assert_eq!(fleet.with_latencies(&[100.0, 240.0, 9.0]), [1, 1, 0]);
    fleet.upstreams[2].latency = None;
    assert_eq!(fleet.regroup(0..3)[..2], [0, 0], "a tier vanished above");
    assert_eq!(
        fleet.with_latencies(&[100.0, 240.0, 30.0]),
        [1, 1, 0],
        "and appeared"
    );
}

#[test]
fn the_identity_of_a_tier_is_not_used_twice() {
    let mut fleet = Fleet::new(&[10.0, 100.0]);
    let before: Vec<_> = fleet
        .upstreams
        .iter()
        .map(|upstream| upstream.membership.group)
        .collect();
    assert_ne!(before[0], before[1]);
    fleet.upstreams.push(TestUpstream::default());
    fleet.with_latencies(&[10.0, 100.0, 1000.0]);
    assert!(!before.contains(&fleet.upstreams[2].membership.group));
}

#[test]
fn a_tier_keeps_the_identity_that_most_of_its_members_had() {
    let mut fleet = Fleet::new(&[10.0, 100.0, 101.0]);
    let far = fleet.upstreams[1].membership.group;
    fleet.with_latencies(&[100.0, 100.0, 101.0]);
    assert!(fleet
        .upstreams
        .iter()
        .all(|upstream| upstream.membership.group == far));
}

#[test]
fn a_latency_that_stands_still_keeps_its_tier_and_an_upstream_left_out_is_not_moved() {
    let mut fleet = Fleet::new(&[10.0, 100.0, 110.0]);
    // The nearest, unhealthy, takes part still: the others do not move up.
    assert_eq!(fleet.with_latencies(&[10.0, 105.0, 120.0]), [0, 1, 1]);
    // It is gone: they are the nearest now, and it is left as it was.
    assert_eq!(fleet.regroup([1, 2]), [0, 0, 0]);
}

#[test]
fn an_upstream_without_a_sample_is_in_no_group() {
    let mut fleet = Fleet::new(&[10.0, 100.0]);
    fleet.upstreams.push(TestUpstream::default());
    assert_eq!(fleet.regroup(0..3), [0, 1, 0]);
    assert_eq!(fleet.upstreams[2].membership.group, None);
}
