//! The parser from outside: every split of its input gives the same messages, and no input makes it panic.
use proptest::prelude::*;
use sandtrack_net::http::*;
use sandtrack_net::ring::Ring;

/// All messages in the bytes, fed in the given pieces, until the first fault.
fn messages(side: Side, bytes: &[u8], cuts: &[usize]) -> (Vec<Message>, Option<Bad>) {
    let (mut ring, mut collector, mut taken) =
        (Ring::new(READ_RING), Collector::new(side), Vec::new());
    let mut rest = bytes;
    for cut in cuts.iter().copied().chain(std::iter::repeat(READ_RING)) {
        let piece = &rest[..cut
            .clamp(1, rest.len().max(1))
            .min(ring.room())
            .min(rest.len())];
        assert!(ring.push(piece));
        rest = &rest[piece.len()..];
        loop {
            match collector.next(&mut ring) {
                Ok(Some(Taken::Whole(message))) => taken.push(message),
                Ok(Some(other)) => panic!("{other:?} though nothing is streamed"),
                Ok(None) => break,
                Err(bad) => return (taken, Some(bad)),
            }
        }
        if rest.is_empty() {
            break;
        }
        assert!(
            ring.room() > 0,
            "the parser holds bytes back that no more input can free"
        );
    }
    (taken, None)
}

fn whole(side: Side, text: &str) -> (Vec<Message>, Option<Bad>) {
    messages(side, text.as_bytes(), &[])
}

const STREAM: &str = "POST /api HTTP/1.1\r\nHost: backend.local\r\nX-Call-Id: 1\r\nContent-Length: 5\r\n\r\nhello\
    \r\nGET /x?y=1 HTTP/1.1\r\nhost:  a \r\n\r\n\
    POST /c HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: t\r\n\r\n\
    GET /last HTTP/1.0\r\nConnection: close\r\n\r\n";

#[test]
fn messages_are_read_as_they_are_written() {
    let (taken, bad) = whole(Side::Request, STREAM);
    assert_eq!(bad, None);
    let bodies: Vec<&[u8]> = taken
        .iter()
        .map(|message| message.body.as_slice())
        .collect();
    assert_eq!(bodies, [b"hello".as_slice(), b"", b"abcde", b""]);
    assert_eq!(taken[0].head.headers.get("x-call-ID"), Some("1"));
    assert_eq!(
        (
            taken[1].head.target.as_str(),
            taken[1].head.headers.get("Host")
        ),
        ("/x?y=1", Some("a"))
    );
    assert_eq!(
        taken.iter().map(|m| m.head.keep_alive).collect::<Vec<_>>(),
        [true, true, true, false]
    );
}

#[test]
fn every_cut_in_two_gives_the_same_messages() {
    let expected = whole(Side::Request, STREAM);
    for cut in 1..STREAM.len() {
        assert_eq!(
            messages(Side::Request, STREAM.as_bytes(), &[cut]),
            expected,
            "cut at {cut}"
        );
    }
    assert_eq!(
        messages(Side::Request, STREAM.as_bytes(), &vec![1; STREAM.len()]),
        expected
    );
}

#[test]
fn what_is_written_is_read_back() {
    let headers = [
        ("X-Call-Id", "7"),
        ("Connection", "X-Mine"),
        ("X-Mine", "hop"),
    ];
    let bytes = request("POST", "/a", headers.into_iter(), b"body");
    let (taken, _) = messages(Side::Request, &bytes, &[]);
    assert_eq!(taken[0].body, b"body");
    let kept: Vec<_> = taken[0]
        .head
        .headers
        .end_to_end()
        .map(|(name, _)| name)
        .collect();
    assert_eq!(
        kept,
        ["X-Call-Id"],
        "what concerns one connection is not passed on"
    );
    let bytes = response(503, [("Retry-After", "0.1")].into_iter(), b"", true);
    let (taken, _) = messages(Side::Response, &bytes, &[]);
    assert_eq!(
        (taken[0].head.status, taken[0].head.keep_alive),
        (503, false)
    );
}

#[test]
fn bad_requests_are_told_by_kind() {
    let long = "a".repeat(HEAD_MAX + 10);
    for (text, bad) in [
        (
            "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc".to_owned(),
            Bad::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: -3\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n".to_owned(),
            Bad::Malformed,
        ),
        ("GET / HTTP/2.0\r\n\r\n".to_owned(), Bad::Malformed),
        ("GET /\r\n\r\n".to_owned(), Bad::Malformed),
        (
            "GET / HTTP/1.1\r\nno colon\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "GET / HTTP/1.1\r\nname : x\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            "GET / HTTP/1.1\r\na: b\r\n folded\r\n\r\n".to_owned(),
            Bad::Malformed,
        ),
        (
            format!("GET / HTTP/1.1\r\na: {long}\r\n\r\n"),
            Bad::HeadTooLong,
        ),
        (
            format!(
                "POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
                FLOW_MAX + 1
            ),
            Bad::BodyTooLong,
        ),
    ] {
        assert_eq!(whole(Side::Request, &text).1, Some(bad), "{text}");
    }
}

/// The parts of one message that is told as it comes: its length if that is told, its body, and what else comes.
fn flowed(side: Side, bytes: &[u8], cuts: &[usize]) -> (Option<usize>, Vec<u8>, Result<bool, Bad>) {
    let (mut ring, mut collector) = (Ring::new(READ_RING), Collector::new(side));
    let (mut length, mut body, mut rest) = (None, Vec::new(), bytes);
    for cut in cuts.iter().copied().chain(std::iter::repeat(8192)) {
        let piece = &rest[..cut.max(1).min(ring.room()).min(rest.len())];
        assert!(ring.push(piece));
        rest = &rest[piece.len()..];
        loop {
            match collector.next(&mut ring) {
                Ok(Some(Taken::Begun { length: told, .. })) => length = told,
                Ok(Some(Taken::Piece(bytes))) => body.extend(bytes),
                Ok(Some(Taken::Over)) => return (length, body, Ok(true)),
                Ok(Some(Taken::Whole(message))) => panic!("whole: {} bytes", message.body.len()),
                Ok(None) => break,
                Err(bad) => return (length, body, Err(bad)),
            }
        }
        if rest.is_empty() {
            let over = collector.ended(&mut ring) == Some(Taken::Over);
            return (length, body, Ok(over));
        }
    }
    unreachable!("the bytes end")
}

/// Bodies over 64 KiB were refused with 413, and answers over it counted as errors of their upstream.
#[test]
fn a_long_body_is_told_as_it_comes_however_it_is_framed() {
    let body: Vec<u8> = (0..200_000u32).map(|n| (n % 251) as u8).collect();
    let mut lengthy =
        format!("POST / HTTP/1.1\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    lengthy.extend(&body);
    let mut chunks = b"POST / HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n".to_vec();
    for piece in body.chunks(7001) {
        chunks.extend(format!("00{:X} ;a=\"b\"\r\n", piece.len()).as_bytes());
        chunks.extend(piece);
        chunks.extend(b"\r\n");
    }
    chunks.extend(b"000\r\nTrailer: t\r\n\r\n");
    for cuts in [vec![], vec![1; 400], vec![3; 100]] {
        let (length, got, over) = flowed(Side::Request, &lengthy, &cuts);
        assert_eq!(
            (length, got == body, over),
            (Some(body.len()), true, Ok(true))
        );
        let (length, got, over) = flowed(Side::Request, &chunks, &cuts);
        assert_eq!((length, got == body, over), (None, true, Ok(true)));
    }
    let mut until_end = b"HTTP/1.0 200 OK\r\n\r\n".to_vec();
    until_end.extend(&body);
    let (length, got, over) = flowed(Side::Response, &until_end, &[5]);
    assert_eq!((length, got == body, over), (None, true, Ok(true)));
    // Cut short it is not over.
    assert_eq!(flowed(Side::Request, &lengthy[..150_000], &[]).2, Ok(false));
    assert_eq!(flowed(Side::Request, &chunks[..150_000], &[]).2, Ok(false));
    // Errors are not passed on, so they are not told piece by piece.
    let text = format!("HTTP/1.1 500 No\r\nContent-Length: {}\r\n\r\n", body.len());
    assert_eq!(
        flowed(Side::Response, text.as_bytes(), &[]).2,
        Err(Bad::BodyTooLong)
    );
}

#[test]
fn a_body_without_end_is_given_up() {
    let chunk = format!("100000\r\n{}\r\n", "x".repeat(0x10_0000));
    let text = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{}",
        chunk.repeat(41)
    );
    let (_, got, over) = flowed(Side::Response, text.as_bytes(), &[]);
    assert_eq!(over, Err(Bad::BodyTooLong));
    assert!(got.len() <= FLOW_MAX);
}

/// It may have been cut short, and was served as an answer; one that says that its connection ends may end its body so.
#[test]
fn a_response_without_a_length_is_none_unless_its_connection_is_to_end() {
    let text = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhalf and ";
    assert_eq!(
        whole(Side::Response, text),
        (Vec::new(), Some(Bad::Malformed))
    );
    let (mut ring, mut collector) = (Ring::new(READ_RING), Collector::new(Side::Response));
    assert!(ring.push(b"HTTP/1.1 200 OK\r\nConnection: Close\r\n\r\nwhole"));
    assert_eq!(collector.next(&mut ring), Ok(None));
    let Some(Taken::Whole(message)) = collector.ended(&mut ring) else {
        panic!("not whole")
    };
    assert_eq!(
        (message.body.as_slice(), message.head.keep_alive),
        (b"whole".as_slice(), false)
    );
    let (taken, _) = whole(
        Side::Response,
        "HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    );
    assert_eq!(
        taken
            .iter()
            .map(|message| message.head.status)
            .collect::<Vec<_>>(),
        [204, 200]
    );
}

#[test]
fn the_forms_of_a_response_head_that_a_client_has_to_take() {
    let text = "HTTP/1.1 200\r\nKind : a\r\nnote: one\r\n\t two \r\nEMPTY:\r\ncontent-LENGTH:  2  \r\n\r\nhi";
    let (taken, bad) = whole(Side::Response, text);
    assert_eq!((taken[0].body.as_slice(), bad), (b"hi".as_slice(), None));
    let headers = &taken[0].head.headers;
    assert_eq!(
        (headers.get("kind"), headers.get("Note")),
        (Some("a"), Some("one two"))
    );
    assert_eq!(headers.get("empty"), Some(""));
    for odd in [
        "HTTP/1.1 200 OK\r\n folded: first\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n 2\r\n\r\n",
    ] {
        assert_eq!(whole(Side::Response, odd).1, Some(Bad::Malformed), "{odd}");
    }
}

#[test]
fn a_target_in_the_absolute_form_is_the_same_target() {
    for (target, same) in [
        ("/a/b?c=d", "/a/b?c=d"),
        ("http://backend.local/a/b?c=d", "/a/b?c=d"),
        ("HTTP://backend.local:80", "/"),
        ("http://backend.local?c=d", "/?c=d"),
        ("*", "*"),
        ("/http://x/", "/http://x/"),
    ] {
        assert_eq!(origin_form(target), same);
    }
}

#[test]
fn interim_responses_are_passed_over_but_not_for_ever() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi";
    let (taken, bad) = whole(Side::Response, &(interim.repeat(5) + good));
    assert_eq!((taken[0].body.as_slice(), bad), (b"hi".as_slice(), None));
    assert_eq!(
        whole(Side::Response, &interim.repeat(40)).1,
        Some(Bad::Malformed)
    );
    assert_eq!(
        whole(Side::Response, "HTTP/1.1 101 Switching\r\n\r\n").1,
        Some(Bad::Malformed)
    );
}

/// A load report of odd bytes made a good answer unreadable.
#[test]
fn a_response_survives_a_header_that_cant_be_read_but_for_its_framing() {
    let mut bytes = b"HTTP/1.1 200 OK\r\nX-Load-Report: \xff\x00\xfe\r\nKind: a\r\n".to_vec();
    let head = bytes.len();
    bytes.extend(b"Content-Length: 2\r\n\r\nhi");
    let (taken, bad) = messages(Side::Response, &bytes, &[]);
    assert_eq!((taken[0].body.as_slice(), bad), (b"hi".as_slice(), None));
    assert_eq!(taken[0].head.headers.get("X-Load-Report"), None);
    assert_eq!(taken[0].head.headers.get("Kind"), Some("a"));
    bytes.truncate(head);
    bytes.extend(b"Content-Length: \xff\r\n\r\nhi");
    assert_eq!(
        messages(Side::Response, &bytes, &[]).1,
        Some(Bad::Malformed)
    );
    assert_eq!(
        messages(Side::Request, b"GET / HTTP/1.1\r\nA: \xff\r\n\r\n", &[]).1,
        Some(Bad::Malformed)
    );
}

#[test]
fn a_streamed_answer_is_told_as_it_comes_however_long() {
    let (mut ring, mut collector) = (Ring::new(READ_RING), Collector::new(Side::Response));
    collector.streamed = true;
    let head = response_head(200, [("Kind", "feed")].into_iter(), Flow::Chunks, false);
    assert!(ring.push(&head));
    let Ok(Some(Taken::Begun { head, length: None })) = collector.next(&mut ring) else {
        panic!("not begun")
    };
    assert_eq!((head.status, head.headers.get("Kind")), (200, Some("feed")));
    for _ in 0..20 {
        assert!(ring.push(&chunk(&[7; 5000])));
        assert_eq!(
            collector.next(&mut ring),
            Ok(Some(Taken::Piece(vec![7; 5000])))
        );
    }
    assert!(ring.push(&chunk(b"")));
    assert_eq!(collector.next(&mut ring), Ok(Some(Taken::Over)));
    assert!(collector.keep_alive());
    // One that is no answer is collected.
    assert!(ring.push(&response(500, std::iter::empty(), b"no", false)));
    let Ok(Some(Taken::Whole(message))) = collector.next(&mut ring) else {
        panic!("not whole")
    };
    assert_eq!((message.head.status, message.body), (500, b"no".to_vec()));
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_split_gives_the_same_messages(cuts in prop::collection::vec(1usize..40, 0..60)) {
        prop_assert_eq!(messages(Side::Request, STREAM.as_bytes(), &cuts), whole(Side::Request, STREAM));
    }

    #[test]
    fn damaged_input_never_panics_and_splits_alike(
        damage in prop::collection::vec((0usize..STREAM.len(), any::<u8>()), 0..6),
        cuts in prop::collection::vec(1usize..40, 0..60),
        response in any::<bool>(),
    ) {
        let mut bytes = STREAM.as_bytes().to_vec();
        damage.iter().for_each(|(at, byte)| bytes[*at] = *byte);
        let side = if response { Side::Response } else { Side::Request };
        prop_assert_eq!(messages(side, &bytes, &cuts), messages(side, &bytes, &[]));
    }

    #[test]
    fn any_split_of_a_long_body_gives_the_same_bytes(
        cuts in prop::collection::vec(1usize..9000, 0..60), sizes in prop::collection::vec(1usize..9000, 12..40),
        until_end in any::<bool>(),
    ) {
        let body: Vec<u8> = (0..sizes.iter().sum::<usize>() + BODY_MAX).map(|n| (n % 241) as u8).collect();
        let mut bytes = b"HTTP/1.1 200 OK\r\nConnection: close\r\n".to_vec();
        if until_end {
            bytes.extend(b"\r\n");
            bytes.extend(&body);
        } else {
            bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
            let mut rest = body.as_slice();
            for size in sizes.iter().cycle() {
                let (piece, left) = rest.split_at((*size).min(rest.len()));
                bytes.extend(chunk(piece));
                rest = left;
                if piece.is_empty() {
                    break;
                }
            }
        }
        let (_, got, over) = flowed(Side::Response, &bytes, &cuts);
        prop_assert!(got == body && over == Ok(true));
    }

    #[test]
    fn garbage_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        messages(Side::Request, &bytes, &[]);
        messages(Side::Response, &bytes, &[7]);
    }
}
