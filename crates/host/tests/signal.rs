//! Tests of signal handling.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook::low_level::raise;

#[test]
fn sighup_reloads_without_ending_the_process() {
    let reloads = Arc::new(AtomicUsize::new(0));
    let waiting = thread::spawn({
        let reloads = Arc::clone(&reloads);
        move || {
            host::wait_for_stop_with(|| {
                reloads.fetch_add(1, Ordering::SeqCst);
            })
        }
    });
    // Until the thread has installed its handlers, a signal's default action ends this process.
    thread::sleep(Duration::from_millis(200));

    raise(SIGHUP).expect("the signal is sent");
    while reloads.load(Ordering::SeqCst) == 0 {
        thread::sleep(Duration::from_millis(5));
    }
    assert!(!waiting.is_finished());
    raise(SIGTERM).expect("the signal is sent");

    assert_eq!(waiting.join().expect("the thread ends"), Ok(()));
}
