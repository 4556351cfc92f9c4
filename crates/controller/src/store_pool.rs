//! Threads that make store calls.

use base::prelude::*;
use crossbeam_channel::Sender;
use host::spawn_workers;
use ports::store::{Store, StoreCall, StoreReply};
use report::OperationMetrics;

use crate::StoreToken;

/// The number of concurrent calls besides those of the election.
const THREADS: usize = 4;

/// Makes store calls on a few threads and passes the replies to a sink.
#[derive(Clone, Debug)]
pub(crate) struct StorePool {
    urgent: Sender<(StoreToken, StoreCall)>,
    common: Sender<(StoreToken, StoreCall)>,
}

impl StorePool {
    pub(crate) fn start(
        store: &Arc<dyn Store>,
        operation_metrics: &Arc<OperationMetrics>,
        sink: impl Fn(StoreToken, Result<StoreReply>) + Send + Sync + 'static,
    ) -> Self {
        let sink = Arc::new(sink);
        let spawn = |threads: usize| {
            let (store, sink) = (Arc::clone(store), Arc::clone(&sink));
            let operation_metrics = Arc::clone(operation_metrics);
            spawn_workers(threads, move |(token, call): (StoreToken, StoreCall)| {
                let began = Instant::now();
                let reply = store.call(&call);
                operation_metrics.observe_duration("store_call", began.elapsed());
                operation_metrics.count(
                    call.kind(),
                    if reply.is_ok() { "answered" } else { "failed" },
                );
                sink(token, reply);
            })
        };
        Self {
            // The election has a thread of its own, so that a slow commit cannot delay a renewal
            // until the lease expires.
            urgent: spawn(1),
            common: spawn(THREADS),
        }
    }

    /// Queues a call.
    pub(crate) fn submit(&self, token: StoreToken, call: StoreCall) {
        let queue = match token {
            StoreToken::Election => &self.urgent,
            _ => &self.common,
        };
        // Cannot fail: the threads run until the process ends.
        drop(queue.send((token, call)));
    }
}
