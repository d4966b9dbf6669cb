//! The data plane of the system: carries requests and their streams to upstreams.
