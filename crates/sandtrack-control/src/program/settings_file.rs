//! The settings file of the process: read at the start, at SIGHUP and when it changes.
use crate::node::Input;
use async_io::Timer;
use sandtrack_net::file_change::FileChange;
use sandtrack_protocol::settings::{Settings, SettingsError};
use std::path::PathBuf;
use std::time::Duration;

/// The environment variable that holds the path of the settings file.
pub const BOOT: &str = "SANDTRACK_BOOT";
/// How often it is looked whether the settings file has changed.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);
/// What a control node can't do without among `listen_addresses`.
const SERVED: [&str; 2] = ["control", "directory"];

/// Reads the settings.
///
/// # Errors
/// Where they can't be read, or what a control node serves is not among them.
pub(super) fn read() -> Result<Settings, SettingsError> {
    let path = std::env::var_os(BOOT)
        .ok_or_else(|| SettingsError::Unreadable(format!("no path in {BOOT}")))?;
    let settings = Settings::read(&PathBuf::from(path))?;
    for served in SERVED {
        if !settings.listen.contains_key(served) {
            return Err(SettingsError::Field(format!("listen_addresses.{served}")));
        }
    }
    Ok(settings)
}

/// Reads them anew. A faulty file changes nothing.
pub(super) fn reload() -> Option<Input> {
    match read() {
        Ok(settings) => Some(Input::Reload(Box::new(settings))),
        Err(error) => {
            log::error!("settings kept as they were: {error}");
            None
        }
    }
}

/// Reads them anew whenever the file has changed without a signal.
pub(super) async fn watch(inputs: async_channel::Sender<Input>) {
    let mut file = FileChange::of(PathBuf::from(std::env::var_os(BOOT).unwrap_or_default()));
    loop {
        Timer::after(SETTINGS_EVERY).await;
        let is_new = file.is_new();
        if let Some(input) = is_new.then(reload).flatten() {
            // It fails only when the process is on its way out.
            let _ = inputs.try_send(input);
        }
    }
}
