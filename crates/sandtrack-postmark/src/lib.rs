//! What the processes of the system share: settings, the operator's configuration, frames, result codes, logs.
