//! Records the operations of concurrent clients, for a linearizability checker.

use parking_lot::Mutex;
use todc_utils::{Action, History, Specification, WGLChecker};

/// A history under way.
#[derive(Debug)]
pub struct Recorder<T> {
    events: Mutex<Events<T>>,
}

#[derive(Debug)]
struct Events<T> {
    actions: Vec<(usize, Action<T>)>,
    open: Vec<(usize, T)>,
    next: usize,
}

/// An operation that was called and not answered yet.
#[derive(Clone, Copy, Debug)]
pub struct Pending(usize);

impl<T: Clone> Recorder<T> {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self {
            events: Mutex::new(Events {
                actions: Vec::new(),
                open: Vec::new(),
                next: 0,
            }),
        }
    }

    /// Records the call of an operation.
    ///
    /// The operation is what the checker applies if no answer ever comes: it must be valid
    /// whatever it finds, with or without an effect.
    pub fn call(&self, op: T) -> Pending {
        let mut events = self.events.lock();
        let process = events.next;
        events.next += 1;
        events.actions.push((process, Action::Call(op.clone())));
        events.open.push((process, op));
        Pending(process)
    }

    /// Records the answer to an operation; without one its outcome stays unknown.
    pub fn answer(&self, pending: Pending, op: T) {
        let mut events = self.events.lock();
        events.open.retain(|(process, _)| *process != pending.0);
        events.actions.push((pending.0, Action::Response(op)));
    }

    /// Returns how many operations were called.
    pub fn len(&self) -> usize {
        self.events.lock().next
    }

    /// Tells whether no operation was called.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many operations are unanswered.
    pub fn unanswered(&self) -> usize {
        self.events.lock().open.len()
    }

    /// Tells whether some order of the operations explains all answers.
    ///
    /// An operation of unknown outcome may take effect at any time after its call, or, placed
    /// after all others, never as far as anyone can tell.
    pub fn is_linearizable<S: Specification<Operation = T>>(&self) -> bool {
        let events = self.events.lock();
        let mut actions = events.actions.clone();
        let unknown = events.open.iter().cloned();
        actions.extend(unknown.map(|(process, op)| (process, Action::Response(op))));
        actions.is_empty() || WGLChecker::<S>::is_linearizable(History::from_actions(actions))
    }
}

impl<T: Clone> Default for Recorder<T> {
    fn default() -> Self {
        Self::new()
    }
}
