//! Discovery: the watch that follows its list. It owns the one connection of a watch call, and must
//! never keep a list, judge an entry or call again by itself: the reducer does.
use crate::net::{unless_closed, Inputs, Orders};
use async_io::Async;
use sandtrack_net::http::{self, Parser, Part, Side};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{read_into, write_all};
use sandtrack_sidecar_core::catalog::Catalog;
use sandtrack_sidecar_core::reducer::{CallId, Input};
use std::net::{SocketAddr, TcpStream};

/// The longest list taken: one of a few ten thousand upstreams, indented.
const LIST_MAX: usize = 8 << 20;
/// So much of a list that is not whole yet shows that the watch lives, as a line does.
const PROGRESS: usize = 64 * 1024;
/// The call's buffer.
const READ_RING: usize = 64 * 1024;
/// Runs one watch call until it ends, and tells the reducer each list.
pub async fn watch(
    call: CallId,
    address: SocketAddr,
    after: Option<u64>,
    orders: Orders,
    inputs: Inputs,
) {
    if let Some(Err(error)) = unless_closed(&orders, follow(call, address, after, &inputs)).await {
        tracing::debug!(call, %error, "watch ended");
    }
    inputs.send(Input::WatchEnded { call });
}

async fn follow(
    call: CallId,
    address: SocketAddr,
    after: Option<u64>,
    inputs: &Inputs,
) -> std::io::Result<()> {
    let stream = Async::<TcpStream>::connect(address).await?;
    stream.get_ref().set_nodelay(true)?;
    let target = match after {
        Some(after) => format!("/catalog/members?watch=1&after={after}"),
        None => "/catalog/members?watch=1".to_owned(),
    };
    let host = address.to_string();
    let mut out = Ring::new(http::WRITE_RING);
    if !out.push(&http::request(
        "GET",
        &target,
        [("Host", host.as_str())].into_iter(),
        b"",
    )) {
        return Err(broken("the call is too long"));
    }
    write_all(&stream, &mut out).await?;
    let mut ring = Ring::new(READ_RING);
    let mut parser = Parser::new(Side::Response);
    let mut lists = Lists::default();
    loop {
        if read_into(&stream, &mut ring).await? == 0 {
            return Err(broken("the connection ended"));
        }
        while let Some(part) = parser.next(&mut ring).map_err(|_| broken("not HTTP"))? {
            match part {
                Part::Head(head) if head.status == 200 => {}
                Part::Head(head) => return Err(broken(&format!("status {}", head.status))),
                Part::End => return Err(broken("the answer ended")),
                Part::Data(data) => {
                    for byte in data {
                        match lists.take(byte)? {
                            Some(Told::List(list)) => {
                                let catalog = read(&list)?;
                                inputs.send(Input::WatchLine { call, catalog });
                            }
                            Some(Told::Alive) => inputs.send(Input::WatchBeat { call }),
                            None => {}
                        }
                    }
                }
            }
        }
    }
}

fn broken(what: &str) -> std::io::Error {
    std::io::Error::new(std::io::ErrorKind::InvalidData, what.to_owned())
}

fn read(list: &[u8]) -> std::io::Result<Catalog> {
    // serde would take an array for the object's fields in order.
    if list.first() != Some(&b'{') {
        return Err(broken("a list that is no object"));
    }
    Ok(serde_json::from_slice(list)?)
}

/// What the bytes of a watch tell.
#[derive(Debug, PartialEq, Eq)]
enum Told {
    List(Vec<u8>),
    /// An empty line, or a good part of a long list.
    Alive,
}

/// Cuts a watch into its lists: one JSON object after another, each on a line of its own or indented over many, however
/// the bytes are split. Nothing but white space stands between them.
#[derive(Default)]
struct Lists {
    /// What has come of the object that is open.
    bytes: Vec<u8>,
    /// Braces and brackets that are open.
    depth: u32,
    string: bool,
    escaped: bool,
    /// An object has ended on this line.
    ended: bool,
}

impl Lists {
    fn take(&mut self, byte: u8) -> std::io::Result<Option<Told>> {
        if self.depth == 0 {
            return match byte {
                b'{' => {
                    (self.depth, self.ended) = (1, false);
                    self.bytes.push(byte);
                    Ok(None)
                }
                b'\n' => Ok((!std::mem::take(&mut self.ended)).then_some(Told::Alive)),
                b' ' | b'\t' | b'\r' => Ok(None),
                _ => Err(broken("a list that is no object")),
            };
        }
        self.bytes.push(byte);
        if self.string {
            (self.string, self.escaped) =
                (self.escaped || byte != b'"', byte == b'\\' && !self.escaped);
        } else {
            match byte {
                b'"' => self.string = true,
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                _ => {}
            }
        }
        if self.depth == 0 {
            self.ended = true;
            return Ok(Some(Told::List(std::mem::take(&mut self.bytes))));
        }
        if self.bytes.len() > LIST_MAX {
            return Err(broken("a list is too long"));
        }
        Ok((self.bytes.len().is_multiple_of(PROGRESS)).then_some(Told::Alive))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use sandtrack_sidecar_core::catalog::Lifecycle;

    #[test]
    fn an_entry_that_cant_be_read_hides_no_other() {
        let line = r#"{"generation":9,"reset":false,"instances":[{"instanceId":7},{"instanceId":"a","lifecycle":"SERVING"},
            {"instanceId":"b","lifecycle":"RESTING","hostPort":"127.0.0.1:1","cell":null}, 3,
            {"instanceId":"c","lifecycle":"RESTING"}]}"#;
        let catalog: Catalog = read(line.as_bytes()).expect("a list");
        let read: Vec<_> = catalog
            .instances
            .iter()
            .map(|i| (i.instance_id.as_str(), i.lifecycle))
            .collect();
        assert_eq!(
            read,
            [("a", Lifecycle::Serving), ("c", Lifecycle::Draining)],
            "an odd state gets nothing new"
        );
    }

    /// Taken for a whole list without entries, it would take every upstream away.
    #[test]
    fn what_is_no_list_is_not_taken_for_an_empty_one() {
        for line in [
            "[1,true,[]]",
            "{}",
            "null",
            r#"{"generation":1,"reset":true}"#,
        ] {
            assert!(read(line.as_bytes()).is_err(), "{line}");
        }
    }

    fn cut(bytes: &[u8]) -> std::io::Result<Vec<Told>> {
        let mut lists = Lists::default();
        let mut told = Vec::new();
        for byte in bytes {
            told.extend(lists.take(*byte)?);
        }
        Ok(told)
    }

    fn list(text: &str) -> Told {
        Told::List(text.as_bytes().to_vec())
    }

    #[test]
    fn lists_are_cut_where_they_end_however_they_are_written() {
        let indented = "{\n  \"a\": [\n    {\"b\": \"}{\\\"]\\\\\"}\n\n  ]\n}";
        let text = format!("\n{{\"a\":1}}\n  {indented}\r\n\r\n{{}}{{\"ä\":\"ö\"}}\n");
        let told = cut(text.as_bytes()).unwrap();
        let wanted = [
            Told::Alive,
            list("{\"a\":1}"),
            list(indented),
            Told::Alive,
            list("{}"),
            list("{\"ä\":\"ö\"}"),
        ];
        assert_eq!(told, wanted);
    }

    #[test]
    fn what_is_no_object_ends_the_watch() {
        for text in ["[1]\n", "null\n", "}\n", "{\"a\":1},\n", "\"{}\"\n"] {
            assert!(cut(text.as_bytes()).is_err(), "{text}");
        }
    }

    #[test]
    fn a_long_list_shows_that_it_goes_on_and_one_without_end_is_not_kept() {
        let long = format!("{{\"a\":\"{}\"}}", "x".repeat(3 * PROGRESS));
        let told = cut(long.as_bytes()).unwrap();
        assert_eq!(told.iter().filter(|told| **told == Told::Alive).count(), 3);
        assert_eq!(told.last(), Some(&list(&long)));
        assert!(cut(&vec![b'{'; LIST_MAX + 1]).is_err());
    }
}
