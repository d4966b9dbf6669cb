//! The control plane: configuration, membership, the list of upstreams, the directory.
