//! The placement advisor, asked on a thread of its own.

use base::prelude::*;
use crossbeam_channel::Sender;
use host::spawn_workers;
use jobs::owner::{Question, Ticket};

/// Tells which workers a route's policy lets run a stage.
pub trait Advisor: Send + Sync + std::fmt::Debug {
    /// Returns the tickets for those of the workers that may run the stage.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Overloaded`] where too many calls wait, and the usual errors of calls.
    fn advise(&self, question: &Question) -> Result<Vec<Ticket>>;
}

/// Asks the advisor; one call at a time, as it answers these in turn.
#[derive(Clone, Debug)]
pub(crate) struct AdvisorThread {
    questions: Sender<Question>,
}

impl AdvisorThread {
    pub(crate) fn start(
        advisor: Option<Arc<dyn Advisor>>,
        sink: impl Fn(Question, Result<Vec<Ticket>>) + Send + Sync + 'static,
    ) -> Self {
        let ask = move |question: Question| {
            let reply = match &advisor {
                Some(advisor) => advisor.advise(&question),
                None => Err(Error::new(
                    ErrorKind::Invalid,
                    "advise",
                    "settings",
                    "the settings name no advisor",
                )),
            };
            sink(question, reply);
        };
        Self {
            questions: spawn_workers(1, ask),
        }
    }

    pub(crate) fn ask(&self, question: Question) {
        // The thread ends only with the process.
        drop(self.questions.send(question));
    }
}
