//! Authentication of requests by API keys, where the configuration has accounts.
//!
//! The key ends at this node: requests are forwarded with the account's name in its place.

use super::{RequestHandler, respond::refuse};
use crate::{
    mesh::credential::{Credential, MAY_BE_REVOKED, REVOCATION_RETRY_AFTER},
    telemetry::metrics,
};
use fulmarreel_platform::request;
use fulmarreel_route::{Route, Table};
use fulmarreel_wire::call::Header;
use trillium::{Conn, KnownHeaderName, Status};

/// The authentication scheme of API keys; case-insensitive.
const SCHEME: &[u8] = b"bearer";

/// Why a request is not authenticated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// It has no `Authorization` header, or one without a key.
    Missing,
    /// It has more than one `Authorization` header.
    Repeated,
    /// The `Authorization` header is of another scheme.
    OtherScheme,
    /// No account has the key.
    Unknown,
    /// The key was valid, but may have been removed since.
    MayBeRevoked,
}

impl Rejection {
    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Repeated => "repeated",
            Self::OtherScheme => "other-scheme",
            Self::Unknown => "unknown",
            Self::MayBeRevoked => "may-be-revoked",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Missing => "no API key",
            Self::Repeated => "more than one Authorization header",
            Self::OtherScheme => "the authorization scheme is not Bearer",
            Self::Unknown => "unknown API key",
            Self::MayBeRevoked => MAY_BE_REVOKED,
        }
    }
}

/// Authenticates a request for a route by its headers, and replaces the key in them by the account's
/// name. `is_proved` tells whether a key of the table cannot have been removed too long ago.
pub(super) fn authenticate(
    table: &Table,
    route: &Route,
    headers: &mut Vec<Header>,
    is_proved: bool,
) -> Result<Option<Credential>, Rejection> {
    if table.accounts.is_empty() {
        return Ok(None);
    }
    let result = find_credential(table, headers, is_proved);
    headers.retain(|header| !is_own_header(&header.name));
    match result {
        Ok(credential) => {
            headers.push(Header {
                name: request::ACCOUNT.to_owned(),
                value: credential.account().name.clone().into_bytes(),
            });
            Ok(Some(credential))
        }
        Err(_) if route.auth_exempt => Ok(None),
        Err(rejection) => Err(rejection),
    }
}

fn find_credential(
    table: &Table,
    headers: &[Header],
    is_proved: bool,
) -> Result<Credential, Rejection> {
    let credential = Credential::new(table, presented_key(headers)?).ok_or(Rejection::Unknown)?;
    if is_proved {
        Ok(credential)
    } else {
        Err(Rejection::MayBeRevoked)
    }
}

/// The key that a request presents.
fn presented_key(headers: &[Header]) -> Result<&[u8], Rejection> {
    let is_authorization =
        |header: &&Header| header.name.eq_ignore_ascii_case(request::AUTHORIZATION);
    let mut values = headers.iter().filter(is_authorization);
    let value = match (values.next(), values.next()) {
        (None, _) => return Err(Rejection::Missing),
        (Some(header), None) => header.value.trim_ascii(),
        (Some(_), Some(_)) => return Err(Rejection::Repeated),
    };
    let end = value.iter().position(u8::is_ascii_whitespace);
    let (scheme, key) = value.split_at(end.unwrap_or(value.len()));
    let key = key.trim_ascii();
    if !scheme.eq_ignore_ascii_case(SCHEME) {
        Err(Rejection::OtherScheme)
    } else if key.is_empty() {
        Err(Rejection::Missing)
    } else {
        Ok(key)
    }
}

/// Whether a header is set by this node alone, or only meant for it.
fn is_own_header(name: &str) -> bool {
    let mut headers = [request::AUTHORIZATION, request::ACCOUNT].iter();
    headers.any(|header| name.eq_ignore_ascii_case(header))
}

impl RequestHandler {
    /// Responds to a request that was not authenticated by the configuration at `revision`.
    pub(super) fn reject_unauthenticated(
        &self,
        conn: Conn,
        rejection: Rejection,
        revision: u64,
    ) -> Conn {
        metrics::key_rejected(rejection.name());
        let reason = rejection.reason();
        if rejection == Rejection::MayBeRevoked {
            self.log_early_end(&conn, Status::ServiceUnavailable, reason, revision);
            return refuse(conn, reason, REVOCATION_RETRY_AFTER);
        }
        let conn = self.reject(conn, Status::Unauthorized, reason, revision);
        if conn.status() == Some(Status::Unauthorized) {
            return conn.with_response_header(KnownHeaderName::WwwAuthenticate, "Bearer");
        }
        conn
    }
}
