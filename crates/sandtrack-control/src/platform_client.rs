//! The HTTP client of the platform's API, over one persistent connection.
use crate::endpoint_poller::{Page, PageResult};
use crate::frame_connection;
use async_io::{Async, Timer};
use futures_lite::future;
use sandtrack_net::http::{self, Parser, Part, Side};
use sandtrack_net::ring::Ring;
use sandtrack_net::socket::{read_into, write_all};
use std::net::TcpStream;
use std::time::Duration;

/// A call that is not answered within this has failed.
const PATIENCE: Duration = Duration::from_millis(1200);
/// A page may be this long, in bytes.
const PAGE_MAX: usize = 8 << 20;

/// A page that is wanted: of which address, and its token.
#[derive(Debug)]
pub struct Fetch {
    /// Address of the platform, `IP:PORT`.
    pub address: String,
    /// Token of the page; none for the first.
    pub token: Option<String>,
}

/// Calls for one page after another until nobody wants any more.
pub async fn run(wanted: async_channel::Receiver<Fetch>, on_received: impl Fn(PageResult)) {
    let mut kept: Option<(String, Async<TcpStream>)> = None;
    while let Ok(fetch) = wanted.recv().await {
        let reused = kept
            .as_ref()
            .is_some_and(|(address, _)| *address == fetch.address);
        if !reused {
            kept = None;
        }
        let mut called = within(call(&mut kept, &fetch)).await;
        if reused && called.is_err() {
            // The platform may have closed the kept connection meanwhile.
            kept = None;
            called = within(call(&mut kept, &fetch)).await;
        }
        on_received(called.unwrap_or_else(|why| {
            kept = None;
            PageResult::Failed(why)
        }));
    }
}

async fn within(
    call: impl std::future::Future<Output = Result<PageResult, String>>,
) -> Result<PageResult, String> {
    let late = async {
        Timer::after(PATIENCE).await;
        Err("no answer in time".to_owned())
    };
    future::or(call, late).await
}

async fn call(
    kept: &mut Option<(String, Async<TcpStream>)>,
    fetch: &Fetch,
) -> Result<PageResult, String> {
    let stream = match take_quiet(kept).await {
        Some(stream) => stream,
        None => frame_connection::connect(&fetch.address, PATIENCE)
            .await
            .map_err(|error| error.to_string())?,
    };
    let target = match &fetch.token {
        Some(token) => format!("/instances?page_token={}", escape(token)),
        None => "/instances".to_owned(),
    };
    let headers = [("Host", fetch.address.as_str())].into_iter();
    let request = http::request("GET", &target, headers, b"");
    let mut output = Ring::new(http::WRITE_RING);
    if !output.push(&request) {
        return Err("the token is too long".to_owned());
    }
    write_all(&stream, &mut output)
        .await
        .map_err(|error| error.to_string())?;
    let mut input = Ring::new(http::READ_RING);
    let mut parser = Parser::new(Side::Response);
    let (mut head, mut body) = (None, Vec::new());
    loop {
        match parser
            .next(&mut input)
            .map_err(|bad| format!("not an answer: {bad:?}"))?
        {
            Some(Part::Head(read)) => head = Some(read),
            Some(Part::Data(data)) => body.extend(data),
            Some(Part::End) => break,
            None => {
                let count = read_into(&stream, &mut input)
                    .await
                    .map_err(|error| error.to_string())?;
                if count == 0 && !parser.ended(&input) {
                    return Err("closed before the answer was whole".to_owned());
                }
            }
        }
        if body.len() > PAGE_MAX {
            return Err("a page is too long".to_owned());
        }
    }
    let head = head.ok_or("no head")?;
    if head.keep_alive && input.is_empty() {
        *kept = Some((fetch.address.clone(), stream));
    }
    match head.status {
        200 => Page::parse(body).map(PageResult::Page),
        429 => Ok(PageResult::RateLimited),
        status => Ok(PageResult::Failed(format!("status {status}"))),
    }
}

/// Takes the kept connection, if nothing came on it while it was idle: that, or its end, belongs to no call.
async fn take_quiet(kept: &mut Option<(String, Async<TcpStream>)>) -> Option<Async<TcpStream>> {
    let (_, stream) = kept.take()?;
    let mut input = Ring::new(http::READ_RING);
    let came = future::poll_once(read_into(&stream, &mut input)).await;
    came.is_none().then_some(stream)
}

/// A token as a value of a query.
fn escape(token: &str) -> String {
    let mut escaped = String::with_capacity(token.len());
    for byte in token.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            escaped.push(char::from(byte));
        } else {
            escaped.push_str(&format!("%{byte:02X}"));
        }
    }
    escaped
}
