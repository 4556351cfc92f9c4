//! Threads that make blocking calls.

use base::prelude::*;
use crossbeam_channel::{Sender, unbounded};

/// Starts threads that handle what is sent to them, each one thing at a time.
///
/// They end when the sender is gone.
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
