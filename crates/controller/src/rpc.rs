//! The server of control calls from companions and other entries.

use std::net::SocketAddr;

use base::prelude::*;
use host::RpcLimits;
use jobs::owner::Replacement;
use jobs::report::{SyncReply, SyncReport};
use jobs::{JobReply, JobRequest};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::ServerHandle;
use wire::OwnerApiServer;

use crate::Event;
use crate::node::Events;

/// The largest message, in bytes; enough for a worker's status report with several thousand runs.
const MESSAGE_BYTES: u32 = 4 * 1024 * 1024;

/// The limit of open connections: two for each companion and a few for each entry.
const CONNECTIONS: u32 = 2600;

struct Api {
    events: Events,
}

/// Starts the server of control calls.
pub(crate) async fn serve(addr: SocketAddr, events: Events) -> Result<(SocketAddr, ServerHandle)> {
    let limits = RpcLimits {
        message_bytes: MESSAGE_BYTES,
        connections: CONNECTIONS,
    };
    host::serve_rpc(addr, limits, None, Api { events }.into_rpc()).await
}

#[async_trait]
impl OwnerApiServer for Api {
    async fn sync(&self, report: SyncReport) -> RpcResult<SyncReply> {
        host::call_actors(&self.events, |responder| {
            Event::Sync(Box::new(report), responder)
        })
        .await
    }

    async fn replaced(&self, by: Replacement) -> RpcResult<()> {
        // An error means that the actor has ended, so there is no owner to replace.
        drop(self.events.send(Event::Replaced(by)));
        Ok(())
    }

    async fn ask(&self, request: JobRequest) -> RpcResult<JobReply> {
        host::call_actors(&self.events, |reply| {
            Event::Forwarded(Box::new(request), reply)
        })
        .await
    }
}
