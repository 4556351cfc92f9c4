//! What goes in and out of the decisions on a request.

use std::net::SocketAddr;

use base::prelude::*;
use tables::Priority;
use wire::Claim;

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

/// What a decision asks for: a step of the serving thread, or a control call before it.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// The thread that serves the request takes this step.
    Step(RequestStep),
    /// Revoke the request at a companion, then report to [`crate::Router::revoked`].
    Revoke {
        /// Where the companion takes control calls.
        to: SocketAddr,
        /// The id under which the request was sent.
        id: RequestId,
        /// The life of the companion that it was sent to.
        incarnation: Incarnation,
        /// The companion's uptime as known when the target was chosen.
        uptime: Duration,
        /// How long to wait for the answer.
        timeout: Duration,
    },
    /// Claim the caller's key, then report to [`crate::Router::claimed`].
    Claim {
        /// The shard whose owner keeps the claim.
        shard: ShardId,
        /// The claim.
        claim: Box<Claim>,
        /// The claim that this one takes the place of.
        replaces: Option<Box<Claim>>,
        /// How long to wait for the answer.
        timeout: Duration,
    },
}

/// What the thread that serves a request does next.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestStep {
    /// Send the request to a companion and report how it ended.
    Send(SendStep),
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

/// One attempt to be made.
#[derive(Clone, Debug, PartialEq)]
pub struct SendStep {
    /// The id to send the request under.
    pub id: RequestId,
    /// Where the companion takes requests.
    pub addr: SocketAddr,
    /// The target.
    pub target: TargetId,
    /// The life of the companion that the request is meant for.
    pub incarnation: Incarnation,
    /// The companion's uptime as known when the target was chosen.
    pub uptime: Duration,
    /// The attempt, from 1.
    pub attempt: u32,
    /// Whether other copies may reach the companion, so that a refusal has to last.
    pub is_repeat: bool,
    /// How long to wait for the answer.
    pub timeout: Duration,
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
