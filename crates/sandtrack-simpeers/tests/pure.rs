//! The pure parts: frames that are told in pieces, pages and their rate, sizes of configurations, lines through points.
use assert_matches::assert_matches;
use sandtrack_protocol::configuration::Configuration;
use sandtrack_protocol::document::{Document, Update};
use sandtrack_protocol::frames::{frame, ItemChange, ToProxy};
use sandtrack_simpeers::document;
use sandtrack_simpeers::listing::{Bucket, Listing};
use sandtrack_simpeers::skim::{NoFrame, Skimmer, Told, KEPT};
use sandtrack_simpeers::slope::{points, quantile, Line};
use simd_json::prelude::*;

fn skim(bytes: &[u8], piece: usize) -> Result<Vec<(Told, usize)>, NoFrame> {
    let (mut skimmer, mut told) = (Skimmer::default(), Vec::new());
    for piece in bytes.chunks(piece) {
        skimmer.take(piece, |one, length| told.push((one, length)))?;
    }
    Ok(told)
}

#[test]
fn frames_are_told_however_they_are_cut() {
    let long = "x".repeat(3 * KEPT);
    let item = ItemChange { list: "tenants".to_owned(), name: "one".to_owned(), json: Some(long.clone()) };
    let sent = [
        ToProxy::Beat { attached: true },
        ToProxy::Configuration { number: 7, version: 9, document: long },
        ToProxy::Changes { from_number: 7, number: 8, version: 10, items: vec![item], fields: Vec::new() },
        ToProxy::Census { control_nodes: vec!["127.0.0.1:1".to_owned()], proxies: 1500, rank: 3 },
    ];
    let bytes: Vec<u8> = sent.iter().flat_map(frame).collect();
    for piece in [1, 3, 1000, bytes.len()] {
        let told = skim(&bytes, piece).expect("frames");
        let lengths: Vec<usize> = sent.iter().map(|one| frame(one).len()).collect();
        assert_eq!(told.iter().map(|(_, length)| *length).collect::<Vec<_>>(), lengths);
        assert_eq!(told[0].0, Told::Whole(sent[0].clone()));
        assert_eq!(told[1].0, Told::Configuration { number: 7, version: 9 });
        assert_eq!(told[2].0, Told::Changes { from_number: 7, number: 8, version: 10 });
        assert_eq!(told[3].0, Told::Whole(sent[3].clone()));
    }
}

#[test]
fn a_frame_of_the_longest_kept_length_is_still_decoded() {
    // Tag, number, version and the length of the text come before the text.
    let document = "x".repeat(KEPT - 1 - 8 - 8 - 4);
    let sent = ToProxy::Configuration { number: 1, version: 1, document };
    let bytes = frame(&sent);
    assert_eq!(bytes.len(), KEPT + 4);
    assert_eq!(skim(&bytes, 500).expect("a frame")[0].0, Told::Whole(sent));
}

#[test]
fn what_is_no_frame_is_said() {
    assert_matches!(skim(&[0, 0, 0, 0], 4), Err(NoFrame));
    assert_matches!(skim(&u32::MAX.to_be_bytes(), 1), Err(NoFrame));
    assert_matches!(skim(&[0, 0, 0, 1, 99], 5), Err(NoFrame));
}

#[test]
fn pages_show_each_upstream_once_and_one_that_drains() {
    let zones = vec!["a".to_owned(), "b".to_owned()];
    let mut listing =
        Listing { count: 123, page: 50, zones, address: "127.0.0.1:1".to_owned(), draining: None };
    listing.draining = Some(101);
    let (mut from, mut seen, mut draining) = (0, std::collections::BTreeSet::new(), Vec::new());
    for page in 1..=3 {
        let mut body = listing.body(from).into_bytes();
        let value = simd_json::to_owned_value(&mut body).expect("a page");
        for instance in value.get_array("instances").expect("instances").iter() {
            let identifier = instance.get_str("identifier").expect("an identifier").to_owned();
            if instance.get_str("state") == Some("draining") {
                draining.push(identifier.clone());
            }
            assert!(seen.insert(identifier));
        }
        let token = value.get_str("next_token");
        assert_eq!(token.is_some(), page < 3);
        from = Listing::page_of(&format!("/instances?page_token={}&x=1", token.unwrap_or_default()));
    }
    assert_eq!(seen.len(), 123);
    assert_eq!(draining, [Listing::identifier(101)]);
    assert_eq!(Listing::page_of("/instances"), 0);
}

#[test]
fn no_more_calls_are_taken_than_the_rate_and_a_second_of_burst() {
    let mut bucket = Bucket::new(47.0);
    let taken = (0..1000).filter(|call| bucket.takes(f64::from(*call) * 0.01)).count();
    assert!((47 * 10..=47 * 11).contains(&taken), "{taken}");
}

#[test]
fn configurations_of_any_size_and_their_updates_are_valid() {
    for tenants in [0, 1, 300] {
        let whole = Document::parse(document::whole(1, tenants).as_bytes()).expect("a document");
        assert_eq!(Configuration::read(&whole).expect("valid").services.len(), document::MODELS);
        for version in 2..5 {
            let update = Update::parse(document::update(version, tenants).as_bytes()).expect("an update");
            let next = whole.updated(&update);
            assert_eq!(whole.changes(&next).0.len(), 1);
            Configuration::read(&next).expect("valid");
        }
    }
}

#[test]
fn a_line_has_its_slope_and_the_error_of_it() {
    let line = Line::through(&[(0.0, 1.0), (10.0, 21.0), (20.0, 41.0)]).expect("a line");
    assert!(
        (line.slope - 2.0).abs() < 1e-9 && line.slope_error < 1e-9 && (line.at(100.0) - 201.0).abs() < 1e-9
    );
    let rough = Line::through(&[(0.0, 0.0), (1.0, 2.0), (2.0, 2.0)]).expect("a line");
    // By hand: slope 1, rests -1/3, 2/3, -1/3, so the error is the root of (2/3) / 1 / 2.
    assert!((rough.slope - 1.0).abs() < 1e-9 && (rough.slope_error - (1.0_f64 / 3.0).sqrt()).abs() < 1e-9);
    assert_eq!(Line::through(&[(1.0, 1.0), (2.0, 2.0)]), None);
    assert_eq!(Line::through(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]), None);
}

#[test]
fn a_quantile_is_the_nearest_rank() {
    let sample = [4.0, 1.0, 3.0, 2.0];
    assert_eq!(quantile(&sample, 0.5), Some(2.0));
    assert_eq!(quantile(&sample, 0.95), Some(4.0));
    assert_eq!(quantile(&sample, 0.0), Some(1.0));
    assert_eq!(quantile(&[], 0.5), None);
}

#[test]
fn points_are_of_the_runs_that_were_made_for_one_thing() {
    let lines = "{\"why\":\"a\",\"couriers\":12,\"figures\":{\"x\":1.5}}\nnot a line\n\
                 {\"why\":\"b\",\"couriers\":13,\"figures\":{\"x\":2}}\n\
                 {\"why\":\"a\",\"couriers\":14,\"figures\":{}}\n{\"why\":\"a\",\"couriers\":15,\"figures\":{\"x\":3}}";
    assert_eq!(points(lines, "a", "couriers", "x"), [(12.0, 1.5), (15.0, 3.0)]);
    assert_eq!(points(lines, "c", "couriers", "x"), []);
}
