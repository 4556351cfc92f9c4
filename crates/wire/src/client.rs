//! The adapter of the call port: JSON-RPC over HTTP, on a tokio runtime.

use std::fmt;
use std::net::SocketAddr;

use base::prelude::*;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::{
    INVALID_PARAMS_CODE, INVALID_REQUEST_CODE, METHOD_NOT_FOUND_CODE, OVERSIZED_REQUEST_CODE,
    PARSE_ERROR_CODE,
};
use parking_lot::Mutex;
use tokio::runtime::Handle;

use crate::{Call, CallPort, CallResponse, CallToken, CompanionApiClient, EntryApiClient, Token};

/// The largest control message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 16 * 1024 * 1024;

/// [`crate::header::TOKEN`] in lower case, as header maps require.
const TOKEN_HEADER: &str = "monsoontrestle-token";

/// Receives the responses of calls.
type Sink = Arc<dyn Fn(CallToken, Result<CallResponse>) + Send + Sync>;

/// The configuration of a [`Client`].
#[derive(Clone, Debug)]
pub struct ClientCfg {
    /// The runtime that runs the calls.
    pub runtime: Handle,
}

/// A client that calls other processes and passes their responses to a sink.
pub struct Client {
    cfg: ClientCfg,
    headers: HeaderMap,
    sink: Sink,
    clients: Arc<Mutex<IndexMap<SocketAddr, HttpClient>>>,
}

impl Client {
    /// Creates a client that calls `sink` with each response, on threads of the runtime.
    pub fn new(
        cfg: ClientCfg,
        sink: impl Fn(CallToken, Result<CallResponse>) + Send + Sync + 'static,
    ) -> Self {
        Self {
            cfg,
            headers: HeaderMap::new(),
            sink: Arc::new(sink),
            clients: Arc::default(),
        }
    }

    /// Sends the shared secret with every call.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if the secret has characters that a header value cannot hold.
    pub fn with_token(mut self, token: Option<&Token>) -> Result<Self> {
        let Some(token) = token else {
            return Ok(self);
        };
        let mut value = HeaderValue::from_str(token.secret())
            .map_err(|e| Error::new(ErrorKind::Invalid, "read token", "client", e.to_string()))?;
        value.set_sensitive(true);
        self.headers.insert(TOKEN_HEADER, value);
        Ok(self)
    }

    /// Returns the HTTP client for a peer, created on first use.
    fn client(&self, to: SocketAddr) -> Result<HttpClient> {
        let mut clients = self.clients.lock();
        if let Some(client) = clients.get(&to) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(Duration::from_secs(60))
            .set_headers(self.headers.clone())
            .build(format!("http://{to}"))
            .map_err(|e| Error::new(ErrorKind::Invalid, "build client", peer(to), e.to_string()))?;
        clients.insert(to, client.clone());
        Ok(client)
    }
}

impl CallPort for Client {
    fn submit(&self, to: SocketAddr, token: CallToken, timeout: Duration, call: Call) {
        let sink = Arc::clone(&self.sink);
        let client = match self.client(to) {
            Ok(client) => client,
            Err(e) => {
                sink(token, Err(e));
                return;
            }
        };
        let clients = Arc::clone(&self.clients);
        self.cfg.runtime.spawn(async move {
            let response = match tokio::time::timeout(timeout, send(&client, call)).await {
                Ok(response) => response.map_err(|e| map_error(to, &e)),
                Err(_elapsed) => Err(Error::new(
                    ErrorKind::Timeout,
                    "call",
                    peer(to),
                    "no answer in time",
                )),
            };
            if response.is_err() {
                // The pooled connections may all be broken; the next call opens new ones.
                clients.lock().swap_remove(&to);
            }
            sink(token, response);
        });
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("cfg", &self.cfg)
            .finish_non_exhaustive()
    }
}

/// Makes one call.
async fn send(client: &HttpClient, call: Call) -> Result<CallResponse, ClientError> {
    Ok(match call {
        Call::Announce(msg) => {
            CallResponse::Announce(Box::new(EntryApiClient::announce(client, *msg).await?))
        }
        Call::Poll(msg) => CallResponse::Poll(Box::new(EntryApiClient::poll(client, *msg).await?)),
        Call::Done(msg) => CallResponse::Done(EntryApiClient::done(client, msg).await?),
        Call::Gossip(msg) => {
            CallResponse::Gossip(Box::new(EntryApiClient::gossip(client, *msg).await?))
        }
        Call::Submit(shard, job) => {
            CallResponse::Submit(EntryApiClient::submit(client, shard, *job).await?)
        }
        Call::Job(shard, job) => CallResponse::Job(EntryApiClient::job(client, shard, job).await?),
        Call::Cancel(shard, jobs) => {
            CallResponse::Cancel(EntryApiClient::cancel(client, shard, jobs).await?)
        }
        Call::Claim(shard, claim, replaces) => {
            let replaces = replaces.map(|claim| *claim);
            CallResponse::Claim(EntryApiClient::claim(client, shard, *claim, replaces).await?)
        }
        Call::Revoke(request, incarnation, uptime) => CallResponse::Revoke(
            CompanionApiClient::revoke(client, request, incarnation, uptime).await?,
        ),
        Call::Drain => {
            CompanionApiClient::drain(client).await?;
            CallResponse::Drain
        }
        Call::Tables => {
            let tables = CompanionApiClient::tables(client).await?;
            CallResponse::Tables(tables.map(Box::new))
        }
    })
}

/// The JSON-RPC code of the error sent for a call that the process stopped without replying to.
pub const STOPPING_CODE: i32 = -32_001;

/// Returns true if an error arose before the call reached its method.
fn is_before_effect(e: &ErrorObjectOwned) -> bool {
    matches!(
        e.code(),
        PARSE_ERROR_CODE
            | INVALID_REQUEST_CODE
            | METHOD_NOT_FOUND_CODE
            | INVALID_PARAMS_CODE
            | OVERSIZED_REQUEST_CODE
    )
}

/// Converts a client error; only a call refused before its method is known to have had no effect.
fn map_error(to: SocketAddr, e: &ClientError) -> Error {
    let kind = match e {
        ClientError::Call(e) if is_before_effect(e) => ErrorKind::Refused,
        ClientError::RequestTimeout => ErrorKind::Timeout,
        ClientError::ParseError(_) => ErrorKind::Malformed,
        _ => ErrorKind::Interrupted,
    };
    Error::new(kind, "call", peer(to), e.to_string())
}

/// Formats the address of a peer for errors.
fn peer(to: SocketAddr) -> String {
    to.to_string()
}
