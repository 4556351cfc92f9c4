//! The signals that start a planned stop, and SIGHUP, which reloads the settings.

use base::prelude::*;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] if the signal handlers cannot be installed.
pub fn wait_for_stop() -> Result<()> {
    watch(&[SIGINT, SIGTERM])?.forever().next();
    Ok(())
}

/// Waits for SIGINT or SIGTERM, and calls `reload` on every SIGHUP.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] if the signal handlers cannot be installed.
pub fn wait_for_stop_with(mut reload: impl FnMut()) -> Result<()> {
    for signal in watch(&[SIGINT, SIGTERM, SIGHUP])?.forever() {
        if signal != SIGHUP {
            break;
        }
        reload();
    }
    Ok(())
}

fn watch(signals: &[i32]) -> Result<Signals> {
    Signals::new(signals).map_err(|e| {
        let message = e.to_string();
        Error::new(
            ErrorKind::Internal,
            "watch signals",
            "operating system",
            message,
        )
    })
}
