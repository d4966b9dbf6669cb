//! A file that was written anew is another one, also where it is as long as before; one that is gone is not.
use sandtrack_net::file_change::FileChange;
use std::fs::File;
use std::time::Duration;

#[test]
fn a_change_is_seen_once() {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("file-change");
    std::fs::write(&path, "one").expect("a file");
    let mut file = FileChange::of(path.clone());
    assert!(!file.is_new());
    std::fs::write(&path, "longer").expect("a file");
    assert!(file.is_new(), "it is longer");
    assert!(!file.is_new());
    let open = File::options().write(true).open(&path).expect("a file");
    let modified = open
        .metadata()
        .expect("its state")
        .modified()
        .expect("a time");
    open.set_modified(modified + Duration::from_secs(3))
        .expect("a time");
    assert!(file.is_new(), "it was written later");
    open.set_modified(modified - Duration::from_secs(9))
        .expect("a time");
    assert!(
        file.is_new(),
        "it was written earlier: the time of day may have stepped back"
    );
    std::fs::remove_file(&path).expect("it was there");
    assert!(!file.is_new());
    std::fs::write(&path, "back").expect("a file");
    assert!(file.is_new());
}
