//! The shared secret of the system's processes and operators.

use std::fmt;
use std::fs;
use std::future::ready;
use std::path::PathBuf;
use std::pin::Pin;
use std::task::{Context, Poll};

use base::prelude::*;
use bpaf::{Parser, construct, long};
use jsonrpsee::core::BoxError;
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};
use tower::{Layer, Service};

use crate::header;

const UNAUTHORIZED: u16 = 401;
const TOKEN_VARIABLE: &str = "MONSOONTRESTLE_TOKEN";

/// The shared secret; never shown.
#[derive(Clone)]
pub struct Token(Name);

impl Token {
    /// Wraps a secret; blanks around it are dropped.
    pub fn new(secret: &str) -> Self {
        Self(secret.trim().into())
    }

    /// Returns the secret, to be sent as [`header::TOKEN`].
    pub fn secret(&self) -> &str {
        &self.0
    }

    /// Tells whether a caller's secret is this one, in a time that tells nothing about it.
    pub fn admits(&self, given: Option<&str>) -> bool {
        let (own, given) = (self.0.as_bytes(), given.unwrap_or_default().as_bytes());
        let pairs = own.iter().zip(given);
        let different = pairs.fold(0, |different, (a, b)| different | (a ^ b));
        own.len() == given.len() && different == 0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token")
    }
}

/// Where the secret comes from.
///
/// It comes from the environment or a file: command lines are seen by others.
#[derive(Clone, Debug, Default)]
pub struct TokenFlags {
    /// The secret itself.
    pub token: Option<Token>,
    /// The file that holds the secret.
    pub token_file: Option<PathBuf>,
}

/// Parses where the secret comes from.
pub fn token_flags() -> impl Parser<TokenFlags> {
    let token = bpaf::env(TOKEN_VARIABLE)
        .help("The shared secret")
        .argument::<String>("SECRET")
        .map(|secret| Token::new(&secret))
        .optional()
        .hide();
    let token_file = long("token-file")
        .env("MONSOONTRESTLE_TOKEN_FILE")
        .help("File that holds the shared secret; or set MONSOONTRESTLE_TOKEN")
        .argument::<PathBuf>("FILE")
        .optional();
    construct!(TokenFlags { token, token_file })
}

impl TokenFlags {
    /// Reads the secret; `None` where none is set.
    ///
    /// # Errors
    ///
    /// Fails with the path if the file can't be read, or if the secret is empty.
    pub fn resolve(&self) -> Result<Option<Token>> {
        let invalid = |peer: String, message: String| {
            Error::new(ErrorKind::Invalid, "read token", peer, message)
        };
        let (peer, token) = match (&self.token, &self.token_file) {
            (Some(token), _) => (TOKEN_VARIABLE.to_owned(), token.clone()),
            (None, Some(path)) => {
                let peer = path.display().to_string();
                let text = fs::read_to_string(path);
                let text = text.map_err(|e| invalid(peer.clone(), e.to_string()))?;
                (peer, Token::new(&text))
            }
            (None, None) => return Ok(None),
        };
        if token.secret().is_empty() {
            return Err(invalid(peer, "expected a secret, found nothing".to_owned()));
        }
        Ok(Some(token))
    }
}

/// Refuses control calls without the secret; admits all where there is none.
#[derive(Clone, Debug)]
pub struct TokenLayer(pub Option<Token>);

/// The service that [`TokenLayer`] makes.
#[derive(Clone, Debug)]
pub struct TokenService<S> {
    inner: S,
    token: Option<Token>,
}

impl<S> Layer<S> for TokenLayer {
    type Service = TokenService<S>;

    fn layer(&self, inner: S) -> TokenService<S> {
        TokenService {
            inner,
            token: self.0.clone(),
        }
    }
}

impl<S, B> Service<HttpRequest<B>> for TokenService<S>
where
    S: Service<HttpRequest<B>, Response = HttpResponse, Error = BoxError>,
    S::Future: Send + 'static,
{
    type Response = HttpResponse;
    type Error = BoxError;
    type Future = Pin<Box<dyn Future<Output = Result<HttpResponse, BoxError>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), BoxError>> {
        self.inner.poll_ready(cx)
    }

    fn call(&mut self, req: HttpRequest<B>) -> Self::Future {
        let given = req.headers().get(header::TOKEN);
        let given = given.and_then(|value| value.to_str().ok());
        let is_admitted = self.token.as_ref().is_none_or(|token| token.admits(given));
        if is_admitted {
            return Box::pin(self.inner.call(req));
        }
        let response = HttpResponse::builder()
            .status(UNAUTHORIZED)
            .body(HttpBody::from("wrong secret\n"))
            .map_err(Into::into);
        Box::pin(ready(response))
    }
}
