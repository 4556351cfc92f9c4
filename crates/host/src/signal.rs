//! The signals that begin a planned stop.

use base::prelude::*;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Waits until the process is told to stop.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] where signals cannot be watched.
pub fn wait_for_stop() -> Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(|e| {
        let message = e.to_string();
        Error::new(
            ErrorKind::Internal,
            "watch signals",
            "operating system",
            message,
        )
    })?;
    signals.forever().next();
    Ok(())
}
