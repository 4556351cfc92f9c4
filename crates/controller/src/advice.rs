//! Calls to the placement advisor, made on a thread of their own.

use base::prelude::*;
use crossbeam_channel::Sender;
use host::spawn_workers;
use jobs::owner::{AdviceRequest, Ticket};

/// Decides which workers a route's policy allows to run a stage.
pub trait Advisor: Send + Sync + std::fmt::Debug {
    /// Returns tickets for those of the requested workers that may run the stage.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] if too many calls are queued, and the usual errors of
    /// calls.
    fn advise(&self, request: &AdviceRequest) -> Result<Vec<Ticket>>;
}

/// Calls the advisor, one call at a time, since the advisor serves calls in sequence.
#[derive(Clone, Debug)]
pub(crate) struct AdvisorThread {
    requests: Sender<AdviceRequest>,
}

impl AdvisorThread {
    pub(crate) fn start(
        advisor: Option<Arc<dyn Advisor>>,
        sink: impl Fn(AdviceRequest, Result<Vec<Ticket>>) + Send + Sync + 'static,
    ) -> Self {
        let call = move |request: AdviceRequest| {
            let reply = match &advisor {
                Some(advisor) => advisor.advise(&request),
                None => Err(Error::new(
                    ErrorKind::Invalid,
                    "advise",
                    "settings",
                    "the settings name no advisor",
                )),
            };
            sink(request, reply);
        };
        Self {
            requests: spawn_workers(1, call),
        }
    }

    pub(crate) fn submit(&self, request: AdviceRequest) {
        // Cannot fail: the thread runs until the process ends.
        drop(self.requests.send(request));
    }
}
