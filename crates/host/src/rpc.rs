//! The JSON-RPC server for control calls.

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
use wire::{Responder, STOPPING_CODE, Token, TokenLayer};

/// The limits of a server for control calls.
#[derive(Clone, Copy, Debug)]
pub struct RpcLimits {
    /// The largest message, in bytes.
    pub message_bytes: u32,
    /// The maximum number of connections open at once.
    pub connections: u32,
}

/// Starts the async runtime that runs control calls, with `threads` worker threads.
///
/// # Errors
///
/// Returns [`ErrorKind::Internal`] if its threads cannot be started.
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

/// Starts a server for control calls and returns the address that it is bound to.
///
/// # Errors
///
/// Returns [`ErrorKind::Invalid`] if the address cannot be bound.
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

/// Returns the error that is sent to the caller if the process stops before it replies.
pub fn stopping_error() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(STOPPING_CODE, "the process is stopping", None::<()>)
}

/// Sends an event that carries a responder and waits for the reply.
///
/// # Errors
///
/// Returns [`stopping_error`] if the actors end before they reply.
pub async fn call_actors<E, T: Send + 'static>(
    events: &Sender<E>,
    event: impl FnOnce(Responder<T>) -> E,
) -> RpcResult<T> {
    let (tx, rx) = oneshot::channel();
    // The receiver is gone if the caller gave up; the reply is then discarded.
    let responder = Responder::new(move |reply| drop(tx.send(reply)));
    if events.send(event(responder)).is_err() {
        return Err(stopping_error());
    }
    rx.await.map_err(|_closed| stopping_error())
}
