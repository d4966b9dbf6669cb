//! The whole system as real processes on loopback: control nodes and proxies, a relay on the link between every two machines,
//! and stand-ins for the platform's list, the upstreams, the operators and the clients. A scenario injects faults and
//! judges only what operators, clients and upstreams saw.
pub mod client;
pub mod cluster;
pub mod documents;
pub mod links;
pub mod operator;
pub mod platform;
pub mod process;
pub mod relay;
pub mod report;
pub mod scenarios;
pub mod settings;
pub mod upstream;
