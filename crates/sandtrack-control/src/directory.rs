//! The directory: answers clients with the addresses of ready proxies near them.
use crate::operator_api::Reply;
use sandtrack_protocol::codes;
use sandtrack_protocol::frames::ProxyInfo;
use sandtrack_sidecar_core::message::{self, Head};

/// Most addresses in a response.
const MAX_ADDRESSES: usize = 64;
/// Time to live of a response in clients' caches, in s.
const LIFETIME_S: u32 = 1;

/// Where a client says that it is. What it leaves out is empty: it is answered all the same.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClientLocation {
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// Who asks from where.
///
/// # Errors
/// The answer to a call that is none of the directory's.
pub fn parse_request(head: &Head) -> Result<ClientLocation, Reply> {
    let target = message::origin_form(&head.target);
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    if path != "/v1/resolution" {
        return Err(Reply::error(404, codes::BAD_CALL, path));
    }
    if head.method != "GET" {
        return Err(Reply::error(
            405,
            codes::BAD_CALL,
            &format!("{} {path}: GET is meant", head.method),
        ));
    }
    let mut location = ClientLocation::default();
    for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
        match name {
            "zone" => location.zone = percent_decode(value),
            "region" => location.region = percent_decode(value),
            _ => {}
        }
    }
    Ok(location)
}

/// A value of a query with `%41` and `+` read.
fn percent_decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut read = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while let Some(byte) = bytes.get(at) {
        let hex = value
            .get(at + 1..at + 3)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (byte, hex) {
            (b'%', Some(hex)) => {
                read.push(hex);
                at += 2;
            }
            (b'+', _) => read.push(b' '),
            (byte, _) => read.push(*byte),
        }
        at += 1;
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// The proxies for a client: those of its zone, if these are enough for it, else of its region, else all. Enough is a
/// third of what a place has on average: a place that has lost more sends its clients on. Where there are too many, `rotation`
/// says with which to begin.
pub fn select_addresses<'a>(
    location: &ClientLocation,
    ready: &[&'a ProxyInfo],
    zones: usize,
    regions: usize,
    rotation: usize,
) -> Vec<&'a str> {
    let enough =
        |count: usize, places: usize| count > 0 && 3 * count * places.max(1) >= ready.len();
    let of = |near: &dyn Fn(&ProxyInfo) -> bool| -> Vec<&'a str> {
        ready
            .iter()
            .filter(|info| near(info))
            .map(|info| info.client_address.as_str())
            .collect()
    };
    let zone = of(&|info| info.zone == location.zone);
    let region = of(&|info| info.region == location.region);
    let mut chosen = if enough(zone.len(), zones) {
        zone
    } else if enough(region.len(), regions) {
        region
    } else {
        of(&|_| true)
    };
    chosen.sort_unstable();
    chosen.dedup();
    if chosen.len() > MAX_ADDRESSES {
        let start = rotation.wrapping_mul(MAX_ADDRESSES) % chosen.len();
        chosen.rotate_left(start);
        chosen.truncate(MAX_ADDRESSES);
    }
    chosen
}

/// The answer with these addresses; with none, a client is to ask elsewhere.
pub fn response(addresses: &[&str]) -> Reply {
    if addresses.is_empty() {
        return Reply::error(503, codes::NO_PROXY, "directory");
    }
    let addresses: Vec<String> = addresses
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    let body = format!(
        "{{\"addresses\":[{}],\"lifetime_s\":{LIFETIME_S}}}",
        addresses.join(",")
    );
    Reply::success(body)
}
