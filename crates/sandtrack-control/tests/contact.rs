//! Contact with a majority as a lease: pure, on a clock that is only counted.
use sandtrack_control::contact::{Contact, LEASE_MS};

const ME: &str = "a";

fn voters() -> Vec<String> {
    ["a", "b", "c"].map(str::to_owned).to_vec()
}

fn confirmed(contact: &Contact, now: f64, epoch: u64) -> bool {
    contact.is_confirmed(now, ME, &voters(), epoch)
}

#[test]
fn it_lasts_as_long_as_the_lease_after_the_last_word() {
    let mut contact = Contact::default();
    assert!(!confirmed(&contact, 0.0, 1), "nothing was heard yet");
    contact.heard(1000.0, "b", Some(1));
    assert!(confirmed(&contact, 1000.0 + LEASE_MS, 1));
    assert!(!confirmed(&contact, 1001.0 + LEASE_MS, 1));
    contact.heard(2000.0, "b", None);
    assert!(confirmed(&contact, 2100.0, 1), "a beat renews what its replica said");
}

#[test]
fn a_beat_alone_says_nothing_of_the_epoch() {
    let mut contact = Contact::default();
    contact.heard(1000.0, "b", None);
    assert!(!confirmed(&contact, 1001.0, 1));
}

#[test]
fn one_that_knows_a_later_view_does_not_confirm_an_old_one() {
    let mut contact = Contact::default();
    contact.heard(1000.0, "b", Some(2));
    assert!(!confirmed(&contact, 1001.0, 1));
    assert!(confirmed(&contact, 1001.0, 2), "once that view is known here");
    contact.heard(1002.0, "c", Some(1));
    assert!(confirmed(&contact, 1003.0, 2), "one that is behind confirms too");
}

#[test]
fn a_link_that_is_lost_or_new_confirms_nothing() {
    let mut contact = Contact::default();
    contact.heard(1000.0, "b", Some(1));
    contact.lost("b");
    assert!(!confirmed(&contact, 1001.0, 1));
}

#[test]
fn a_freeze_voids_it_and_what_lay_in_the_sockets_does_not_renew_it() {
    let mut contact = Contact::default();
    contact.heard(1000.0, "b", Some(1));
    contact.woke(1500.0);
    assert!(!confirmed(&contact, 1500.0, 1));
    contact.heard(1501.0, "b", Some(1));
    contact.heard(1502.0, "c", Some(1));
    assert!(!confirmed(&contact, 1502.0, 1), "that may have been said before");
    assert!(!confirmed(&contact, 1900.0, 1));
    contact.heard(1900.0, "c", Some(1));
    assert!(confirmed(&contact, 1900.0, 1));
}

#[test]
fn strangers_are_no_majority_and_no_voters_confirm_nothing() {
    let mut contact = Contact::default();
    for stranger in ["x", "y", "z"] {
        contact.heard(1000.0, stranger, Some(1));
    }
    assert!(!confirmed(&contact, 1001.0, 1));
    assert!(!contact.is_confirmed(1001.0, ME, &[], 0), "a view that nobody knows");
}
