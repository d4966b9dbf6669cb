//! Streams are passed on by whole events.
use assert_matches::assert_matches;
use sandtrack_proxy::exchange::event_stream::{DeliveredEventIds, EventScanner, ScanResult};

const STREAM: &[u8] =
    b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\ndata: d\n\n";

#[test]
fn chunk_boundaries_do_not_change_the_events() {
    for size in 1..STREAM.len() {
        let mut scanner = EventScanner::default();
        let mut out = Vec::new();
        for piece in STREAM.chunks(size) {
            match scanner.push(piece) {
                ScanResult::Events(events) => out.extend(events),
                ScanResult::Malformed(_) => panic!("a good stream is taken for spoilt"),
            }
        }
        assert_eq!(
            (out.as_slice(), scanner.buffered(), scanner.last_id()),
            (STREAM, 0, Some(4))
        );
    }
}

#[test]
fn an_incomplete_event_is_buffered_and_dropped_on_resumption() {
    let mut scanner = EventScanner::default();
    assert_eq!(
        scanner.push(b"id: 1\ndata: a\n\nid: 2\nda"),
        ScanResult::Events(b"id: 1\ndata: a\n\n".to_vec())
    );
    assert_eq!(scanner.last_id(), Some(1));
    scanner.restart();
    assert_eq!(
        scanner.push(b"id: 2\ndata: b\n\n"),
        ScanResult::Events(b"id: 2\ndata: b\n\n".to_vec())
    );
}

#[test]
fn a_repeated_event_makes_the_stream_malformed_behind_earlier_events() {
    let mut scanner = EventScanner::default();
    assert_matches!(scanner.push(b"id: 5\ndata: a\n\nid: 5\ndata: a\n\n"), ScanResult::Malformed(good) if good == b"id: 5\ndata: a\n\n");
    let mut resumed = EventScanner::default();
    assert_matches!(resumed.push(b"id: 7\n\n"), ScanResult::Events(_));
    assert_matches!(resumed.push(b"id: 3\n\n"), ScanResult::Malformed(good) if good.is_empty());
}

#[test]
fn delivered_ids_must_rise_across_chunks() {
    let mut given = DeliveredEventIds::default();
    assert!(given.record(b"id: 1\ndata: a\n\nid: 2\ndata: id: 1\n\n"));
    assert!(given.record(b"data: without an id\n\n"));
    assert!(!given.record(b"id: 2\ndata: again\n\n"));
    assert!(given.record(b"id: 7\n\n"));
}

#[test]
fn an_event_without_an_end_is_not_relayed() {
    let mut scanner = EventScanner::default();
    let piece = vec![b'x'; 64 * 1024];
    let spoilt = (0..1024).find(|_| matches!(scanner.push(&piece), ScanResult::Malformed(_)));
    let taken = spoilt.map(|pieces| (pieces + 1) * piece.len());
    assert!(
        taken.is_some_and(|taken| taken <= 2 << 20),
        "64 MiB were held, for one request of many"
    );
    assert_eq!(scanner.buffered(), 0);
}

/// An event's id is that of its first line with one, for what is passed on and for the check of it alike: an upstream that writes two is
/// odd, and no fault of this program.
#[test]
fn an_event_with_two_ids_is_no_violation() {
    let stream = b"id: 5\nid: 3\ndata: a\n\nid: 6\ndata: b\n\n";
    let mut scanner = EventScanner::default();
    assert_eq!(scanner.push(stream), ScanResult::Events(stream.to_vec()));
    let mut given = DeliveredEventIds::default();
    assert!(given.record(stream), "{given:?}");
    assert!(!given.record(b"id: 6\ndata: b\n\n"), "twice");
}

#[test]
fn a_stream_is_truncated_within_an_event_or_before_one_that_it_is_known_to_have() {
    let is_truncated = |expects_event, bytes: &[u8]| {
        let mut scanner = EventScanner::new(expects_event);
        assert_matches!(scanner.push(bytes), ScanResult::Events(_));
        scanner.is_truncated()
    };
    for complete in [
        &b"id: 1\ndata: a\n\n"[..],
        b"id: 1\r\ndata: a\r\n\r\n",
        b"id: 1\rdata: a\r\r",
        b"data: a\n\n\n: the end\n",
    ] {
        assert!(!is_truncated(true, complete), "{complete:?}");
    }
    for truncated in [
        &b"id: 1\ndata: a\n\nd"[..],
        b"id: 1\ndata: a\n",
        b"id: 1\r\ndata: a\r\n\r",
        b"id: 1\ndata: a\n\n: the e",
    ] {
        assert!(is_truncated(false, truncated), "{truncated:?}");
    }
    assert!(is_truncated(true, b""));
    assert!(is_truncated(true, b": working\n\n"));
    assert!(!is_truncated(false, b""));
}

#[test]
fn a_discarded_event_is_still_expected() {
    let mut scanner = EventScanner::default();
    scanner.push(b"id: 1\ndata: a\n\nid: 2\nda");
    scanner.restart();
    assert!(scanner.is_truncated());
    scanner.push(b"id: 2\ndata: b\n\n");
    assert!(!scanner.is_truncated());
}
