//! Control state on the machines with a disk: a chain, and the small agreed view that repairs it; pure.
