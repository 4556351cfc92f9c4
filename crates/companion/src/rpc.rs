//! The server for control calls, which turns each call into an event.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::Sender;
use host::{RpcLimits, stopping_error};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::ServerHandle;
use tables::TablesDoc;
use wire::{CompanionApiServer, RevokeReply, Token};

use crate::event::Event;

/// The largest control message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// The largest number of open control connections.
const MAX_CONNECTIONS: u32 = 100;

/// Passes control calls to the actors.
struct Rpc {
    events: Sender<Event>,
}

#[async_trait]
impl CompanionApiServer for Rpc {
    async fn revoke(
        &self,
        request: RequestId,
        incarnation: Incarnation,
        uptime: Duration,
    ) -> RpcResult<RevokeReply> {
        host::call_actors(&self.events, |reply| {
            Event::Revoke(request, incarnation, uptime, reply)
        })
        .await
    }

    async fn tables(&self) -> RpcResult<Option<TablesDoc>> {
        host::call_actors(&self.events, Event::Tables).await
    }

    async fn drain(&self) -> RpcResult<()> {
        self.events
            .send(Event::Drain)
            .map_err(|_closed| stopping_error())
    }
}

/// Starts the server; returns the address it is bound to.
pub(crate) async fn serve(
    addr: SocketAddr,
    events: Sender<Event>,
    token: Option<Token>,
) -> Result<(SocketAddr, ServerHandle)> {
    let limits = RpcLimits {
        message_bytes: MAX_MESSAGE_BYTES,
        connections: MAX_CONNECTIONS,
    };
    host::serve_rpc(addr, limits, token, Rpc { events }.into_rpc()).await
}
