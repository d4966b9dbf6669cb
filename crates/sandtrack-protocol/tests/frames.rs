//! Frames between the system's own processes: whole, in part, and what is none.
use assert_matches::assert_matches;
use sandtrack_protocol::frames::{
    frame, take, FrameError, PromptSent, ProxyInfo, ProxyState, ToControl, ToProxy, UpstreamEntry,
    FORMAT, FRAME_MAX,
};

#[test]
fn frames_are_taken_one_by_one_however_they_come() {
    let hello = ToControl::Hello {
        format: FORMAT,
        info: ProxyInfo {
            node_name: "front-odori-hall-1".to_owned(),
            incarnation: 5,
            ..ProxyInfo::default()
        },
        state: ProxyState {
            ready: true,
            leaving: false,
            version: 7,
            open: 3,
        },
    };
    let sent = ToControl::PromptsSent(vec![PromptSent {
        upstream: 1,
        prefix: 2,
        tokens: 3,
    }]);
    let frames = [
        hello,
        ToControl::WantConfiguration,
        ToControl::State(ProxyState::default()),
        sent,
    ];
    let bytes: Vec<u8> = frames.iter().flat_map(frame).collect();
    let (mut at, mut end, mut taken) = (0, 0, Vec::new());
    while end < bytes.len() {
        end += 1;
        while let Some((frame, length)) = take::<ToControl>(&bytes[at..end]).expect("frames") {
            taken.push(frame);
            at += length;
        }
    }
    assert_eq!(taken, frames);
    assert_eq!(at, bytes.len());
}

#[test]
fn every_frame_to_a_proxy_comes_back_as_it_was() {
    let entry = UpstreamEntry {
        identifier: "i-7f3a91c2".to_owned(),
        time_left_ms: Some(1500),
        models: vec!["m".to_owned()],
        ..UpstreamEntry::default()
    };
    for told in [
        ToProxy::Welcome {
            format: FORMAT,
            control_node: "p".to_owned(),
            attached: true,
        },
        ToProxy::Configuration {
            number: 1,
            version: 7,
            document: "{}".to_owned(),
        },
        ToProxy::Changes {
            from_number: 1,
            number: 2,
            version: 9,
            items: vec![],
            fields: vec![("a".to_owned(), "1".to_owned())],
        },
        ToProxy::Evacuated {
            number: 3,
            zones: vec!["odori-hall".to_owned()],
        },
        ToProxy::Upstreams {
            whole: true,
            round: 4,
            entries: vec![entry],
            gone: vec!["i-1".to_owned()],
        },
        ToProxy::Census {
            control_nodes: vec!["10.1.0.1:7721".to_owned()],
            proxies: 12,
            rank: 3,
        },
        ToProxy::Beat { attached: false },
        ToProxy::PromptsSent(vec![PromptSent {
            upstream: 1,
            prefix: 2,
            tokens: 3,
        }]),
    ] {
        let bytes = frame(&told);
        assert_eq!(
            take::<ToProxy>(&bytes).expect("a frame"),
            Some((told, bytes.len()))
        );
    }
}

#[test]
fn what_is_no_frame_ends_the_session() {
    let long = u32::try_from(FRAME_MAX + 1)
        .expect("a length")
        .to_be_bytes();
    assert_matches!(take::<ToProxy>(&long), Err(FrameError::TooLong(_)));
    assert_matches!(
        take::<ToProxy>(b"GET / HTTP/1.1\r\n\r\n"),
        Err(FrameError::TooLong(_))
    );
    assert_matches!(
        take::<ToProxy>(&[0, 0, 0, 1, 200]),
        Err(FrameError::Unreadable)
    );
    let mut surplus = frame(&ToProxy::Beat { attached: true });
    surplus.push(0);
    surplus[3] += 1;
    assert_matches!(take::<ToProxy>(&surplus), Err(FrameError::Unreadable));
    assert_matches!(take::<ToProxy>(&[0, 0, 0]), Ok(None));
}
