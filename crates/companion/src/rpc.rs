//! The server of control calls: each becomes an event, its answer comes back.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::Sender;
use host::{RpcLimits, dropped};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::ServerHandle;
use tables::TablesDoc;
use tokio::sync::oneshot;
use wire::{CompanionApiServer, Reply, RevokeReply, Token};

use crate::event::Event;

/// The largest control message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// How many control connections are open at once.
const MAX_CONNECTIONS: u32 = 100;

/// Hands control calls to the actors.
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
        let (tx, rx) = oneshot::channel();
        let reply = Reply::new(move |answer| {
            // The receiver is gone where the caller gave up: nobody wants the answer.
            let _ = tx.send(answer);
        });
        if self
            .events
            .send(Event::Revoke(request, incarnation, uptime, reply))
            .is_err()
        {
            return Err(dropped());
        }
        rx.await.map_err(|_closed| dropped())
    }

    async fn tables(&self) -> RpcResult<Option<TablesDoc>> {
        let (tx, rx) = oneshot::channel();
        // The receiver is gone where the caller gave up: nobody wants the answer.
        let reply = Reply::new(move |answer| drop(tx.send(answer)));
        if self.events.send(Event::Tables(reply)).is_err() {
            return Err(dropped());
        }
        rx.await.map_err(|_closed| dropped())
    }

    async fn drain(&self) -> RpcResult<()> {
        self.events.send(Event::Drain).map_err(|_closed| dropped())
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
