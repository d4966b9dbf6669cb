//! What staff run from a shell: one call at a running sidecar's second address, shown as a table. It owns the words and the
//! table, and must never serve anything or change a sidecar.
use clap::{Parser, Subcommand};
use serde::Deserialize;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client-side load balancer: with no word it serves, as the file says that NODE_CONFIG names.
#[derive(Parser)]
#[command(name = "sandtrack", version, about)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Shows who is in the fleet, as the sidecar with this second address sees it.
    Members {
        /// Its second address (`admin`), as host:port in figures.
        admin: SocketAddr,
    },
}

/// A sidecar that does not answer within this is stuck, or is none.
const PATIENCE: Duration = Duration::from_secs(5);
/// No answer is longer: 16,384 members of 400 bytes.
const ANSWER_MOST: u64 = 8 << 20;

/// The body of a 200 answer; else what was answered, or why there is none.
fn get(admin: SocketAddr, target: &str) -> Result<String, String> {
    let fault = |error: io::Error| format!("{admin}: {error}");
    let mut stream = TcpStream::connect_timeout(&admin, PATIENCE).map_err(fault)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(fault)?;
    let call = format!("GET {target} HTTP/1.1\r\nHost: {admin}\r\nConnection: close\r\n\r\n");
    stream.write_all(call.as_bytes()).map_err(fault)?;
    let mut answer = String::new();
    stream
        .take(ANSWER_MOST)
        .read_to_string(&mut answer)
        .map_err(fault)?;
    let (head, body) = answer
        .split_once("\r\n\r\n")
        .ok_or_else(|| format!("{admin}: no answer of HTTP"))?;
    let status = head.split(' ').nth(1).unwrap_or_default();
    if status == "200" {
        Ok(body.to_owned())
    } else {
        Err(format!("{admin}: {status}: {}", body.trim_end()))
    }
}

#[derive(Deserialize)]
struct Members {
    me: String,
    view: String,
    reason: String,
    siblings: u32,
    members: Vec<Member>,
}

#[derive(Deserialize)]
struct Member {
    name: String,
    address: String,
    zone: String,
    region: String,
    state: String,
    incarnation: u64,
    since_ms: u64,
    open: Option<u32>,
    per_second: Option<u32>,
}

/// A time as staff read it.
fn time(ms: u64) -> String {
    match ms / 1000 {
        s if s < 120 => format!("{s} s"),
        s if s < 7200 => format!("{} min", s / 60),
        s => format!("{} h", s / 3600),
    }
}

/// Columns as wide as what stands in them.
fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |n: usize| {
        rows.iter()
            .map(|row| row[n].chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        // Writing to a string can't fail.
        let _ = writeln!(text, "{}", cells.join("  ").trim_end());
    }
    text
}

fn members(text: &str) -> Result<String, String> {
    let read: Members = serde_json::from_str(text)
        .map_err(|error| format!("an answer of another form: {error}"))?;
    let head = [
        "NAME",
        "STATE",
        "SINCE",
        "ZONE",
        "REGION",
        "ADDRESS",
        "INCARNATION",
        "OPEN",
        "PER S",
    ];
    let mut rows = vec![head.map(str::to_owned).to_vec()];
    let figure = |figure: Option<u32>| figure.map_or("-".to_owned(), |figure| figure.to_string());
    rows.extend(read.members.iter().map(|member| {
        vec![
            member.name.clone(),
            member.state.clone(),
            time(member.since_ms),
            member.zone.clone(),
            member.region.clone(),
            member.address.clone(),
            member.incarnation.to_string(),
            figure(member.open),
            figure(member.per_second),
        ]
    }));
    let (me, view, reason, siblings) = (&read.me, &read.view, &read.reason, read.siblings);
    Ok(format!(
        "{me}: view {view} ({reason}), budgets shared by {siblings}\n{}",
        table(&rows)
    ))
}

/// Carries a command out; what it shows, or why it can't.
pub fn run(command: &Command) -> Result<String, String> {
    match command {
        Command::Members { admin } => members(&get(*admin, "/-/members")?),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn members_are_a_table_and_another_form_is_told() {
        let text = r#"{"me":"n1","view":"whole","reason":"nearly all are heard","siblings":2,"later":1,"members":[
            {"name":"n1","address":"127.0.0.1:1","zone":"a","region":"east","state":"alive","incarnation":3,"since_ms":1200},
            {"name":"long-name","address":"127.0.0.1:2","zone":"b","region":"","state":"failed","incarnation":1,
             "since_ms":7300000,"open":4,"per_second":12}]}"#;
        let shown = members(text).unwrap();
        let lines: Vec<&str> = shown.lines().collect();
        assert_eq!(
            lines[0],
            "n1: view whole (nearly all are heard), budgets shared by 2"
        );
        assert_eq!(
            lines[2],
            "n1         alive   1 s    a     east    127.0.0.1:1  3            -     -"
        );
        assert!(
            lines[3].starts_with("long-name  failed  2 h    b") && lines[3].ends_with("4     12")
        );
        assert!(members("[]").is_err());
    }
}
