//! Threads that make blocking calls.

use base::prelude::*;
use crossbeam_channel::{Sender, unbounded};

/// Starts a pool of `threads` threads that call `handle` for every item sent to them.
///
/// The threads end once all senders are dropped.
pub fn spawn_workers<T: Send + 'static>(
    threads: usize,
    handle: impl Fn(T) + Send + Sync + 'static,
) -> Sender<T> {
    let (tx, rx) = unbounded::<T>();
    let handle = Arc::new(handle);
    for _ in 0..threads {
        let (rx, handle) = (rx.clone(), Arc::clone(&handle));
        std::thread::spawn(move || rx.into_iter().for_each(|item| handle(item)));
    }
    tx
}
