//! Frames between the system's own processes: whole, in part, and what is none.
use assert_matches::assert_matches;
use sandtrack_postmark::frames::{
    frame, take, CourierInfo, CourierState, FrameError, ToCourier, ToPostmaster, UpstreamEntry, FORMAT,
    FRAME_MAX,
};

#[test]
fn frames_are_taken_one_by_one_however_they_come() {
    let hello = ToPostmaster::Hello {
        format: FORMAT,
        info: CourierInfo {
            node_name: "front-odori-hall-1".to_owned(),
            incarnation: 5,
            ..CourierInfo::default()
        },
        state: CourierState { ready: true, leaving: false, version: 7, open: 3 },
    };
    let frames = [hello, ToPostmaster::WantConfiguration, ToPostmaster::State(CourierState::default())];
    let bytes: Vec<u8> = frames.iter().flat_map(frame).collect();
    let (mut at, mut end, mut taken) = (0, 0, Vec::new());
    while end < bytes.len() {
        end += 1;
        while let Some((frame, length)) = take::<ToPostmaster>(&bytes[at..end]).expect("frames") {
            taken.push(frame);
            at += length;
        }
    }
    assert_eq!(taken, frames);
    assert_eq!(at, bytes.len());
}

#[test]
fn every_frame_to_a_courier_comes_back_as_it_was() {
    let entry = UpstreamEntry {
        identifier: "i-7f3a91c2".to_owned(),
        time_left_ms: Some(1500),
        models: vec!["m".to_owned()],
        ..UpstreamEntry::default()
    };
    for told in [
        ToCourier::Welcome { format: FORMAT, postmaster: "p".to_owned(), attached: true },
        ToCourier::Configuration { number: 1, version: 7, document: "{}".to_owned() },
        ToCourier::Changes {
            from_number: 1,
            number: 2,
            version: 9,
            items: vec![],
            fields: vec![("a".to_owned(), "1".to_owned())],
        },
        ToCourier::Evacuated { number: 3, zones: vec!["odori-hall".to_owned()] },
        ToCourier::Upstreams { whole: true, round: 4, entries: vec![entry], gone: vec!["i-1".to_owned()] },
        ToCourier::Census { postmasters: vec!["10.1.0.1:7721".to_owned()], couriers: 12, rank: 3 },
        ToCourier::Beat { attached: false },
    ] {
        let bytes = frame(&told);
        assert_eq!(take::<ToCourier>(&bytes).expect("a frame"), Some((told, bytes.len())));
    }
}

#[test]
fn what_is_no_frame_ends_the_session() {
    let long = u32::try_from(FRAME_MAX + 1).expect("a length").to_be_bytes();
    assert_matches!(take::<ToCourier>(&long), Err(FrameError::TooLong(_)));
    assert_matches!(take::<ToCourier>(b"GET / HTTP/1.1\r\n\r\n"), Err(FrameError::TooLong(_)));
    assert_matches!(take::<ToCourier>(&[0, 0, 0, 1, 200]), Err(FrameError::Unreadable));
    let mut surplus = frame(&ToCourier::Beat { attached: true });
    surplus.push(0);
    surplus[3] += 1;
    assert_matches!(take::<ToCourier>(&surplus), Err(FrameError::Unreadable));
    assert_matches!(take::<ToCourier>(&[0, 0, 0]), Ok(None));
}
