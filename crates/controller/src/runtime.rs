//! A deterministic runtime for an entry's actor: the caller supplies the time.

use base::prelude::*;
use report::OperationMetrics;
use slog::Logger;
use stakker::{ActorOwn, Stakker, actor, call, ret_nop};

use crate::Event;
use crate::node::{Controller, NodeCfg, Ports};

/// The minimum time between two runs for events: about how long the store takes to respond, so that
/// it adds little to the time of a request.
const MIN_RUN_INTERVAL: Duration = Duration::from_millis(4);

/// The actor of one entry in a deterministic runtime that reads no clock of its own.
pub struct Node {
    stakker: Stakker,
    controller: ActorOwn<Controller>,
}

impl Node {
    /// Creates the actor. The same seed and the same events lead to the same decisions.
    pub fn new(
        cfg: NodeCfg,
        clock: Arc<dyn Clock>,
        ports: Arc<dyn Ports>,
        operation_metrics: Arc<OperationMetrics>,
        log: Logger,
        seed: u64,
    ) -> Self {
        let mut stakker = Stakker::new(clock.now());
        let s = &mut stakker;
        let controller = actor!(
            s,
            Controller::init(cfg, clock, ports, operation_metrics, log, seed),
            ret_nop!()
        );
        Self {
            stakker,
            controller,
        }
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Node")
    }
}

impl host::Actors for Node {
    type Event = Event;

    fn deliver(&mut self, event: Event) {
        call!([self.controller], event(event));
    }

    fn run(&mut self, now: Instant) {
        self.stakker.run(now, false);
    }

    fn next_due(&mut self) -> Option<Instant> {
        self.stakker.next_expiry()
    }

    fn min_run_interval(&self) -> Duration {
        MIN_RUN_INTERVAL
    }
}
