//! Reloads the settings on SIGHUP and when their file has changed.
use crate::context::ProxyContext;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use sandtrack_net::file_change::FileChange;
use sandtrack_protocol::settings::Settings;
use std::path::Path;
use std::time::Duration;

/// How often the settings file is checked for changes.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings until a signal other than SIGHUP is received.
pub(super) async fn reload_until_stopped(
    context: &ProxyContext,
    path: &Path,
    signals: &mut Signals,
) {
    let mut file = FileChange::of(path.to_owned());
    loop {
        let signal = async { Some(signals.next().await) };
        let poll = async {
            Timer::after(FILE_POLL_INTERVAL).await;
            None
        };
        match future::or(signal, poll).await {
            Some(Some(Ok(Signal::Hup))) => reload(context, path),
            Some(_) => return,
            None if file.is_new() => reload(context, path),
            None => {}
        }
    }
}

/// Reloads the settings; with an invalid file, the current ones stay in force.
fn reload(context: &ProxyContext, path: &Path) {
    match Settings::read(path) {
        Ok(settings) => {
            context.balancer.borrow_mut().apply_settings(&settings);
            *context.settings.borrow_mut() = settings;
            log::info!("settings reloaded");
        }
        Err(error) => log::error!("settings are kept as they were: {error}"),
    }
}
