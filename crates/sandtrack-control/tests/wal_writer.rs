//! The thread that writes the WAL: what becomes of it is told, whatever it is.
use sandtrack_control::wal_writer::{open, start, WalRequest, WalResult};
use std::sync::mpsc;
use std::time::Duration;

#[test]
fn a_panic_of_the_disk_thread_is_reported() {
    let folder = std::env::temp_dir().join(format!("sandtrack-disk-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let (wal, _) = open(folder.to_str().expect("a path")).expect("a WAL");
    let (orders, ordered) = async_channel::unbounded();
    let (tell, told) = mpsc::channel();
    start(wal, ordered, move |done| match done {
        WalResult::Written(_) => panic!("a fault of the program, in the middle of its work"),
        other => tell.send(other).expect("the test waits"),
    })
    .expect("a thread");
    orders
        .try_send(WalRequest::Append {
            ticket: 1,
            records: vec![b"record".to_vec()],
        })
        .expect("an order");
    let told = told.recv_timeout(Duration::from_secs(20));
    let _ = std::fs::remove_dir_all(&folder);
    assert_eq!(
        told,
        Ok(WalResult::Unknown),
        "the process has to start anew"
    );
}
