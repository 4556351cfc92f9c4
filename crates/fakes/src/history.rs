//! Records the operations of concurrent clients, for a linearizability checker.

use parking_lot::Mutex;
use todc_utils::{Action, History, Specification, WGLChecker};

/// A history that is being recorded.
#[derive(Debug)]
pub struct Recorder<T> {
    events: Mutex<Events<T>>,
}

#[derive(Debug)]
struct Events<T> {
    actions: Vec<(usize, Action<T>)>,
    pending: Vec<(usize, T)>,
    next_process: usize,
}

/// A recorded operation that has no response yet.
#[derive(Clone, Copy, Debug)]
pub struct PendingOp(usize);

impl<T: Clone> Recorder<T> {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self {
            events: Mutex::new(Events {
                actions: Vec::new(),
                pending: Vec::new(),
                next_process: 0,
            }),
        }
    }

    /// Records the call of an operation.
    ///
    /// The checker applies `op` if no response is ever recorded: it must be valid in every state,
    /// with or without an effect.
    pub fn record_call(&self, op: T) -> PendingOp {
        let mut events = self.events.lock();
        let process = events.next_process;
        events.next_process += 1;
        events.actions.push((process, Action::Call(op.clone())));
        events.pending.push((process, op));
        PendingOp(process)
    }

    /// Records the response to an operation; without one its outcome stays unknown.
    pub fn record_response(&self, pending: PendingOp, op: T) {
        let mut events = self.events.lock();
        events.pending.retain(|(process, _)| *process != pending.0);
        events.actions.push((pending.0, Action::Response(op)));
    }

    /// Returns how many operations were called.
    pub fn len(&self) -> usize {
        self.events.lock().next_process
    }

    /// Returns true if no operation was called.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many operations have no response.
    pub fn pending(&self) -> usize {
        self.events.lock().pending.len()
    }

    /// Returns true if the history is linearizable.
    ///
    /// An operation of unknown outcome may take effect at any time after its call, or after all
    /// others, which is the same as never.
    pub fn is_linearizable<S: Specification<Operation = T>>(&self) -> bool {
        let events = self.events.lock();
        let mut actions = events.actions.clone();
        let unknown = events.pending.iter().cloned();
        actions.extend(unknown.map(|(process, op)| (process, Action::Response(op))));
        actions.is_empty() || WGLChecker::<S>::is_linearizable(History::from_actions(actions))
    }
}

impl<T: Clone> Default for Recorder<T> {
    fn default() -> Self {
        Self::new()
    }
}
