//! The buffer between a socket and a parser: its bound, and the room that it gives back.
use sandtrack_net::ring::{Ring, KEPT};

#[test]
fn it_holds_no_more_than_its_bound_and_gives_back_the_room() {
    let mut ring = Ring::new(100_000);
    assert!(ring.push(&[7; 100_000]));
    assert!(!ring.push(&[7]));
    ring.consume(60_000);
    assert!(ring.push(&[8; 60_000]), "what was consumed is room again");
    assert_eq!(ring.peek()[39_999..40_001], [7, 8]);
    ring.consume(usize::MAX);
    assert!(ring.is_empty() && ring.capacity() <= KEPT);
}
