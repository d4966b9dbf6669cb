//! The sum of what messages hold keeps to its bound, short ones have room beside long ones, and all is given back.
use proptest::prelude::*;
use sandtrack_net::byte_budget::{ByteBudget, SHORT};

const BOUND: usize = 16 * SHORT;

#[test]
fn long_messages_leave_room_for_short_ones() {
    let budget = ByteBudget::new(BOUND);
    let mut long: Vec<_> = (0..4).map(|_| budget.message()).collect();
    let taken = long
        .iter_mut()
        .filter_map(|held| held.grow_to(4 * SHORT).then_some(()))
        .count();
    assert_eq!(taken, 3, "a quarter is for short ones");
    let mut short: Vec<_> = (0..5).map(|_| budget.message()).collect();
    let taken = short
        .iter_mut()
        .filter_map(|held| held.grow_to(SHORT).then_some(()))
        .count();
    assert_eq!(taken, 4, "the bound holds for them too");
    assert_eq!(budget.held(), BOUND);
    drop(long);
    drop(short);
    assert_eq!(budget.held(), 0);
}

#[test]
fn a_message_that_grows_is_paid_for_before_it_does() {
    let budget = ByteBudget::new(BOUND);
    let (mut held, mut message) = (budget.message(), Vec::new());
    let piece = [7; 8000];
    while held.extend(&mut message, &piece) {
        assert!(
            message.capacity() <= budget.held(),
            "{} of {}",
            message.capacity(),
            budget.held()
        );
    }
    assert!(
        message.len() + piece.len() > BOUND / 4 * 3,
        "it may grow to three quarters: {}",
        message.len()
    );
    assert!(message.iter().all(|byte| *byte == 7));
    drop(held);
    assert_eq!(budget.held(), 0);
}

proptest! {
    /// Whatever messages come, grow and go.
    #[test]
    fn the_sum_is_what_is_held_and_within_the_bound(steps in prop::collection::vec((0_usize..6, 0..BOUND), 1..60)) {
        let budget = ByteBudget::new(BOUND);
        let mut messages: Vec<_> = (0..6).map(|_| (budget.message(), 0)).collect();
        for (at, length) in steps {
            let (held, had) = &mut messages[at];
            if length % 5 == 0 {
                (*held, *had) = (budget.message(), 0);
            } else if held.grow_to(length) {
                *had = (*had).max(length);
            }
            let sum: usize = messages.iter().map(|(_, had)| had).sum();
            prop_assert_eq!(budget.held(), sum);
            prop_assert!(sum <= BOUND);
        }
    }
}
