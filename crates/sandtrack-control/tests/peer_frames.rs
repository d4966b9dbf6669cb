//! Frames between control nodes: programs of different builds exchange them, so that their bytes never change.
use sandtrack_control::peer_frames::{Digest, EndpointUpdate, Heartbeat, PeerFrame, PollerLease};

/// Place of a kind of frame in `PeerFrame`: its first byte.
const LIST: u8 = 4;
const HEARTBEAT: u8 = 6;

#[test]
fn a_heartbeat_keeps_its_bytes() {
    let heartbeat = Heartbeat {
        lease: PollerLease {
            term: 7,
            holder: "10.1.0.1:7001".to_owned(),
        },
        holder_timed_out: true,
        session_digest: Digest {
            count: 3,
            sum: 0x1122_3344_5566_7788,
        },
        polls: 9,
        endpoint_digest: Digest { count: 4, sum: 5 },
        is_leaving: false,
        knows_all_proxies: true,
    };
    let bytes = borsh::to_vec(&PeerFrame::Heartbeat(heartbeat)).expect("bytes");
    let (sessions, list) = ((3_u32, 0x1122_3344_5566_7788_u64), (9_u64, 4_u32, 5_u64));
    let fields = (
        HEARTBEAT,
        7_u64,
        "10.1.0.1:7001",
        true,
        sessions,
        list,
        false,
        true,
    );
    assert_eq!(bytes, borsh::to_vec(&fields).expect("bytes"));
}

#[test]
fn an_excerpt_of_the_list_keeps_its_bytes() {
    let gone = vec!["i-1".to_owned(), "i-2".to_owned()];
    let update = EndpointUpdate {
        is_complete: false,
        poll: 2,
        entries: Vec::new(),
        removed: gone.clone(),
    };
    let bytes = borsh::to_vec(&PeerFrame::Endpoints(update)).expect("bytes");
    let fields = (LIST, false, 2_u64, 0_u32, gone);
    assert_eq!(bytes, borsh::to_vec(&fields).expect("bytes"));
}
