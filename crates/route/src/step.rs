//! What goes in and out of the decisions on a request.

use std::net::SocketAddr;

use base::prelude::*;
use tables::Priority;

/// What a request needs to be admitted.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// The id, drawn by this entry.
    pub id: RequestId,
    /// The route that its path falls under.
    pub route: RouteName,
    /// The team that it counts against.
    pub team: TeamName,
    /// Who goes first.
    pub priority: Priority,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// The caller's idempotency key.
    pub key: Option<Name>,
}

/// What the thread that serves a request does next.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestStep {
    /// Send the request to a companion and report how it ended.
    Send {
        /// Where the companion takes requests.
        addr: SocketAddr,
        /// The target.
        target: TargetId,
        /// The life of the companion that the request is meant for.
        incarnation: Incarnation,
        /// The attempt, from 1.
        attempt: u32,
        /// How long to wait for the answer.
        timeout: Duration,
        /// Whether kept connections are in doubt, so that a new one is needed.
        fresh: bool,
    },
    /// Pass the answer of the last attempt on to the caller.
    Answer,
    /// Tell the caller that the request was not run.
    Refuse {
        /// Why, a short token.
        reason: &'static str,
        /// When it makes sense to try again.
        retry_after: Option<Duration>,
    },
    /// Tell the caller that the request may have run.
    Unknown {
        /// Why, a short token.
        reason: &'static str,
    },
}

/// How an attempt ended, as seen by the thread that made it.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Answered {
        /// How long it took.
        took: Duration,
        /// The target's load as told with the answer.
        load: u32,
        /// The status of the target's answer.
        status: u16,
    },
    /// The companion refused and proved that the request was not run there.
    NotRun {
        /// Why, as the companion said.
        reason: Name,
    },
    /// The companion said that the request may have run and that no answer will come.
    Lost {
        /// Why, as the companion said.
        reason: Name,
    },
    /// No connection was made, so that nothing was sent.
    NotSent,
    /// The connection failed or stayed silent after the request was sent.
    Silent,
    /// The answer was shorter than announced.
    Short,
}
