//! The server of control calls: each becomes an event, its answer comes back.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::Sender;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use tables::TablesDoc;
use tokio::sync::oneshot;
use tower::ServiceBuilder;
use wire::{CompanionApiServer, DROPPED_CODE, Reply, RevokeReply, Token, TokenLayer};

use crate::event::Event;

/// The largest control message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 1024 * 1024;

/// Hands control calls to the actors.
struct Rpc {
    events: Sender<Event>,
}

fn dropped() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(DROPPED_CODE, "the companion is stopping", None::<()>)
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
    let bind_error = |e: std::io::Error| {
        Error::new(
            ErrorKind::Invalid,
            "bind control address",
            addr.to_string(),
            e.to_string(),
        )
    };
    let cfg = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .http_only()
        .build();
    let server = Server::builder()
        .set_config(cfg)
        .set_http_middleware(ServiceBuilder::new().layer(TokenLayer(token)))
        .build(addr)
        .await
        .map_err(bind_error)?;
    let bound = server.local_addr().map_err(bind_error)?;
    Ok((bound, server.start(Rpc { events }.into_rpc())))
}
