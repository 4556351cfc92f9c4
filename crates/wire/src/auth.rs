//! Authentication of control calls with a secret shared by all processes and operators.

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

/// The shared secret; its `Debug` output does not contain it.
#[derive(Clone)]
pub struct Token(Name);

impl Token {
    /// Wraps a secret; surrounding white space is removed.
    pub fn new(secret: &str) -> Self {
        Self(secret.trim().into())
    }

    /// Returns the secret, to be sent as [`header::TOKEN`].
    pub fn secret(&self) -> &str {
        &self.0
    }

    /// Returns true if `given` equals the secret.
    ///
    /// The time that the comparison takes does not depend on where the two differ.
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

/// The sources of the shared secret.
///
/// The secret is read from the environment or a file, since command lines are visible to other
/// users.
#[derive(Clone, Debug, Default)]
pub struct TokenFlags {
    /// The secret itself.
    pub token: Option<Token>,
    /// The file that holds the secret.
    pub token_file: Option<PathBuf>,
}

/// Parses the sources of the shared secret.
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
    /// Reads the secret; returns `None` if none is set.
    ///
    /// # Errors
    ///
    /// Returns [`ErrorKind::Invalid`] if the file cannot be read or the secret is empty; the error
    /// names the file or the variable.
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
            return Err(invalid(peer, "the secret is empty".to_owned()));
        }
        Ok(Some(token))
    }
}

/// Middleware that refuses control calls without the secret; admits all calls if none is set.
#[derive(Clone, Debug)]
pub struct TokenLayer(pub Option<Token>);

/// The service that [`TokenLayer`] creates.
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
