//! Reloads the settings at SIGHUP, and where their file has changed without one.
use crate::context::ProxyContext;
use async_io::Timer;
use async_signal::{Signal, Signals};
use futures_lite::{future, StreamExt};
use sandtrack_net::file_change::FileChange;
use sandtrack_protocol::settings::Settings;
use std::path::Path;
use std::time::Duration;

/// How often it is checked whether the settings file has changed.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings until any signal but SIGHUP comes.
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

/// Reloads the settings; an invalid file changes nothing.
fn reload(context: &ProxyContext, path: &Path) {
    match Settings::read(path) {
        Ok(settings) => {
            context.balancer.borrow_mut().apply_settings(&settings);
            *context.settings.borrow_mut() = settings;
            log::info!("settings read again");
        }
        Err(error) => log::error!("settings are kept as they were: {error}"),
    }
}
