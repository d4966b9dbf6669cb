//! Frames between the system's own processes: whole, in part, and what is none.
use assert_matches::assert_matches;
use sandtrack_protocol::frames::{
    decode, encode, FrameError, PromptSent, ProxyInfo, ProxyState, ToControl, ToProxy,
    UpstreamEntry, FORMAT, MAX_FRAME_BYTES,
};

#[test]
fn frames_are_decoded_one_by_one_from_any_split() {
    let hello = ToControl::Hello {
        format: FORMAT,
        info: ProxyInfo {
            node_name: "front-odori-hall-1".to_owned(),
            incarnation: 5,
            ..ProxyInfo::default()
        },
        state: ProxyState {
            ready: true,
            draining: false,
            version: 7,
            requests_in_flight: 3,
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
    let bytes: Vec<u8> = frames.iter().flat_map(encode).collect();
    let (mut at, mut end, mut taken) = (0, 0, Vec::new());
    while end < bytes.len() {
        end += 1;
        while let Some((frame, length)) = decode::<ToControl>(&bytes[at..end]).expect("frames") {
            taken.push(frame);
            at += length;
        }
    }
    assert_eq!(taken, frames);
    assert_eq!(at, bytes.len());
}

#[test]
fn frames_to_a_proxy_round_trip() {
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
            is_complete: true,
            poll: 4,
            entries: vec![entry],
            removed: vec!["i-1".to_owned()],
        },
        ToProxy::Census {
            control_nodes: vec!["10.1.0.1:7721".to_owned()],
            proxies: 12,
            rank: 3,
        },
        ToProxy::Heartbeat { attached: false },
        ToProxy::PromptsSent(vec![PromptSent {
            upstream: 1,
            prefix: 2,
            tokens: 3,
        }]),
    ] {
        let bytes = encode(&told);
        assert_eq!(
            decode::<ToProxy>(&bytes).expect("a frame"),
            Some((told, bytes.len()))
        );
    }
}

#[test]
fn invalid_frames_are_errors() {
    let long = u32::try_from(MAX_FRAME_BYTES + 1)
        .expect("a length")
        .to_be_bytes();
    assert_matches!(decode::<ToProxy>(&long), Err(FrameError::TooLong(_)));
    assert_matches!(
        decode::<ToProxy>(b"GET / HTTP/1.1\r\n\r\n"),
        Err(FrameError::TooLong(_))
    );
    assert_matches!(
        decode::<ToProxy>(&[0, 0, 0, 1, 200]),
        Err(FrameError::Unreadable)
    );
    let mut surplus = encode(&ToProxy::Heartbeat { attached: true });
    surplus.push(0);
    surplus[3] += 1;
    assert_matches!(decode::<ToProxy>(&surplus), Err(FrameError::Unreadable));
    assert_matches!(decode::<ToProxy>(&[0, 0, 0]), Ok(None));
}
