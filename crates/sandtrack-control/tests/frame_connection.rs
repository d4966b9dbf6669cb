//! What waits to be written to an end.
use sandtrack_control::frame_connection::frame_channel;
use std::rc::Rc;

#[test]
fn a_frame_longer_than_the_queue_limit_does_not_close_the_connection() {
    let (way, _outgoing) = frame_channel();
    let whole: Rc<[u8]> = vec![0; 6 << 20].into();
    assert!(way.send(whole));
    assert!(
        way.send(vec![0; 100].into()),
        "a beat behind a whole configuration"
    );
}

#[test]
fn a_receiver_that_reads_nothing_is_given_up() {
    let (way, _outgoing) = frame_channel();
    let piece: Rc<[u8]> = vec![0; 1 << 20].into();
    let taken = (0..20).filter(|_| way.send(piece.clone())).count();
    assert!((4..=7).contains(&taken), "{taken}");
}
