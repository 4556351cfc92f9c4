//! A thread that watches one key of the store.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use base::prelude::*;
use ports::store::{KeyValue, Revision, Store, StoreCall, StoreReply};

/// The delay after a failed call before the key is read again.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// The delay before the key is read again after its history was compacted.
const COMPACTED_RETRY: Duration = Duration::from_millis(50);

/// An update about the watched key.
#[derive(Clone, Debug)]
pub enum KeyUpdate {
    /// The key's current state; `None` if it does not exist.
    Current(Option<KeyValue>),
    /// The key could not be read.
    Unreachable(Error),
}

/// Starts a thread that watches `key` until `stopping` is set; each watch waits at most `wait`.
///
/// A watch without a response is abandoned soon after `wait`, so that a connection that broke
/// unnoticed delays the next read no longer than that.
pub fn watch_key(
    store: Arc<dyn Store>,
    key: Name,
    wait: Duration,
    stopping: Arc<AtomicBool>,
    sink: impl Fn(KeyUpdate) + Send + 'static,
) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let watcher = KeyWatcher { store, key, wait };
        while !stopping.load(Ordering::Acquire) {
            if let Err(e) = watcher.read_and_watch(&stopping, &sink) {
                sink(KeyUpdate::Unreachable(e));
                std::thread::sleep(RETRY_AFTER);
            }
        }
    })
}

struct KeyWatcher {
    store: Arc<dyn Store>,
    key: Name,
    wait: Duration,
}

impl KeyWatcher {
    /// Reads the key and watches it until a call fails or its history is compacted.
    fn read_and_watch(&self, stopping: &AtomicBool, sink: &dyn Fn(KeyUpdate)) -> Result<()> {
        let key = Arc::clone(&self.key);
        let reply = self.store.call(&StoreCall::Observe { key })?;
        let StoreReply::Observed { found, at } = reply else {
            return Err(self.unexpected("observe"));
        };
        sink(KeyUpdate::Current(found));
        self.watch(at, stopping, sink)
    }

    fn watch(
        &self,
        mut after: Revision,
        stopping: &AtomicBool,
        sink: &dyn Fn(KeyUpdate),
    ) -> Result<()> {
        while !stopping.load(Ordering::Acquire) {
            let call = StoreCall::Watch {
                prefix: Arc::clone(&self.key),
                after,
                wait: self.wait,
            };
            let reply = self.store.call(&call)?;
            let StoreReply::Watched {
                events,
                revision,
                compacted,
            } = reply
            else {
                return Err(self.unexpected("watch"));
            };
            if compacted {
                std::thread::sleep(COMPACTED_RETRY);
                return Ok(());
            }
            if let Some(event) = events.into_iter().rfind(|e| e.key == self.key) {
                let revision = event.revision;
                let kv = event.value.map(|value| KeyValue {
                    key: event.key,
                    value,
                    revision,
                });
                sink(KeyUpdate::Current(kv));
            }
            after = after.max(revision);
        }
        Ok(())
    }

    fn unexpected(&self, step: &'static str) -> Error {
        Error::new(
            ErrorKind::Malformed,
            step,
            "store",
            "unexpected kind of reply",
        )
    }
}
