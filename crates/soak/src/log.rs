//! The logger of a run.

use slog::{Discard, Drain, Logger, o};

/// Creates a logger that writes to standard error, or nowhere.
pub(crate) fn logger(prints: bool) -> Logger {
    if !prints {
        return Logger::root(Discard, o!());
    }
    let decorator = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).build().fuse();
    Logger::root(drain, o!())
}
