//! The server of control calls.

use std::net::SocketAddr;

use base::prelude::*;
use crossbeam_channel::Sender;
use jsonrpsee::Methods;
use jsonrpsee::core::RpcResult;
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;
use tower::ServiceBuilder;
use wire::{DROPPED_CODE, Reply, Token, TokenLayer};

/// The bounds of a server of control calls.
#[derive(Clone, Copy, Debug)]
pub struct RpcLimits {
    /// The largest message, in bytes.
    pub message_bytes: u32,
    /// How many connections are open at once.
    pub connections: u32,
}

/// Starts the runtime that carries control calls.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] where its threads cannot be started.
pub fn start_runtime(threads: usize) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .enable_all()
        .build()
        .map_err(|e| {
            let message = e.to_string();
            Error::new(
                ErrorKind::Internal,
                "start runtime",
                "operating system",
                message,
            )
        })
}

/// Starts a server; returns the address it is bound to.
///
/// # Errors
///
/// Returns [`ErrorKind::Invalid`] where the address cannot be bound.
pub async fn serve_rpc(
    addr: SocketAddr,
    limits: RpcLimits,
    token: Option<Token>,
    methods: impl Into<Methods>,
) -> Result<(SocketAddr, ServerHandle)> {
    let bind_error = |e: std::io::Error| {
        let message = e.to_string();
        Error::new(
            ErrorKind::Invalid,
            "bind control address",
            addr.to_string(),
            message,
        )
    };
    let cfg = ServerConfig::builder()
        .max_request_body_size(limits.message_bytes)
        .max_response_body_size(limits.message_bytes)
        .max_connections(limits.connections)
        .http_only()
        .build();
    let server = Server::builder()
        .set_config(cfg)
        .set_http_middleware(ServiceBuilder::new().layer(TokenLayer(token)))
        .build(addr)
        .await
        .map_err(bind_error)?;
    let bound = server.local_addr().map_err(bind_error)?;
    Ok((bound, server.start(methods)))
}

/// Returns the error that takes the place of an answer which never came.
pub fn dropped() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(DROPPED_CODE, "the process is stopping", None::<()>)
}

/// Sends an event that owes a reply and waits for it.
///
/// # Errors
///
/// Returns [`dropped`] where the actors end before they reply.
pub async fn ask<E, T: Send + 'static>(
    events: &Sender<E>,
    event: impl FnOnce(Reply<T>) -> E,
) -> RpcResult<T> {
    let (tx, rx) = oneshot::channel();
    // The receiver may be gone where the caller gave up: then nobody wants the answer.
    let reply = Reply::new(move |answer| drop(tx.send(answer)));
    if events.send(event(reply)).is_err() {
        return Err(dropped());
    }
    rx.await.map_err(|_closed| dropped())
}
