//! The signals that begin a planned stop, and the one that tells of new settings.

use base::prelude::*;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Waits until the process is told to stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] where signals cannot be watched.
pub fn wait_for_stop() -> Result<()> {
    watch(&[SIGINT, SIGTERM])?.forever().next();
    Ok(())
}

/// Waits until the process is told to stop, and calls `reload` whenever its settings changed.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] where signals cannot be watched.
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
