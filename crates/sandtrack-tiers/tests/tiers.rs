use sandtrack_tiers::*;

#[derive(Default)]
struct One {
    average: Option<Millis>,
    membership: Membership,
}

impl Member for One {
    fn average(&self) -> Option<Millis> {
        self.average
    }
    fn membership(&mut self) -> &mut Membership {
        &mut self.membership
    }
}

#[derive(Default)]
struct All {
    tiers: Tiers,
    upstreams: Vec<One>,
}

impl All {
    fn new(averages: &[Millis]) -> All {
        let mut all = All::default();
        all.upstreams.resize_with(averages.len(), One::default);
        all.at(averages);
        all
    }

    /// The tiers that these averages give after what was before.
    fn at(&mut self, averages: &[Millis]) -> Vec<usize> {
        self.upstreams
            .iter_mut()
            .zip(averages)
            .for_each(|(one, average)| one.average = Some(*average));
        self.regroup(0..averages.len())
    }

    fn regroup(&mut self, places: impl IntoIterator<Item = usize>) -> Vec<usize> {
        self.tiers.regroup(&mut self.upstreams[..], places);
        self.upstreams
            .iter()
            .map(|one| one.membership.tier)
            .collect()
    }
}

#[test]
fn a_tier_reaches_to_2_ms_above_the_best_or_to_twice_the_best_whichever_is_more() {
    assert_eq!(All::new(&[]).at(&[]), Vec::<usize>::new());
    assert_eq!(All::new(&[0.5, 2.5, 2.6]).at(&[0.5, 2.5, 2.6]), [0, 0, 1]);
    assert_eq!(
        All::new(&[10.0, 20.0, 20.1, 40.2, 40.3]).at(&[10.0, 20.0, 20.1, 40.2, 40.3]),
        [0, 0, 1, 1, 2]
    );
}

#[test]
fn the_order_of_the_upstreams_says_nothing() {
    assert_eq!(
        All::new(&[300.0, 10.0, 90.0, 11.0]).at(&[300.0, 10.0, 90.0, 11.0]),
        [2, 0, 1, 0]
    );
}

#[test]
fn a_member_leaves_only_when_its_average_passes_the_limit_by_a_further_quarter() {
    let mut all = All::new(&[10.0, 18.0]);
    assert_eq!(all.at(&[10.0, 25.0]), [0, 0], "25% past the limit of 20");
    assert_eq!(all.at(&[10.0, 25.1]), [0, 1]);
    assert_eq!(all.at(&[10.0, 25.0]), [0, 1], "the margin is for members");
    assert_eq!(
        all.at(&[10.0, 20.0]),
        [0, 0],
        "it comes back within the limit itself"
    );
}

#[test]
fn membership_follows_the_group_when_a_tier_appears_above_or_vanishes() {
    // The second is kept by its group's margin alone.
    let mut all = All::new(&[100.0, 190.0, 9.0]);
    assert_eq!(all.at(&[100.0, 240.0, 9.0]), [1, 1, 0]);
    all.upstreams[2].average = None;
    assert_eq!(all.regroup(0..3)[..2], [0, 0], "a tier vanished above");
    assert_eq!(all.at(&[100.0, 240.0, 30.0]), [1, 1, 0], "and appeared");
}

#[test]
fn the_number_of_a_group_is_not_used_twice() {
    let mut all = All::new(&[10.0, 100.0]);
    let before: Vec<_> = all
        .upstreams
        .iter()
        .map(|one| one.membership.group)
        .collect();
    assert_ne!(before[0], before[1]);
    all.upstreams.push(One::default());
    all.at(&[10.0, 100.0, 1000.0]);
    assert!(!before.contains(&all.upstreams[2].membership.group));
}

#[test]
fn the_group_goes_on_as_the_one_that_most_of_its_members_were_in() {
    let mut all = All::new(&[10.0, 100.0, 101.0]);
    let far = all.upstreams[1].membership.group;
    all.at(&[100.0, 100.0, 101.0]);
    assert!(all.upstreams.iter().all(|one| one.membership.group == far));
}

#[test]
fn one_whose_average_stands_still_keeps_its_tier_and_one_that_takes_no_part_is_not_moved() {
    let mut all = All::new(&[10.0, 100.0, 110.0]);
    // The nearest, unhealthy, takes part still: the others do not move up.
    assert_eq!(all.at(&[10.0, 105.0, 120.0]), [0, 1, 1]);
    // It is gone: they are the nearest now, and it is left as it was.
    assert_eq!(all.regroup([1, 2]), [0, 0, 0]);
}

#[test]
fn one_without_a_sample_is_in_no_group() {
    let mut all = All::new(&[10.0, 100.0]);
    all.upstreams.push(One::default());
    assert_eq!(all.regroup(0..3), [0, 1, 0]);
    assert_eq!(all.upstreams[2].membership.group, None);
}
