//! The right of one request to run.

use super::Quotas;
use crate::mesh::boot_clock;
use fulmarreel_quota::member::Token;
use std::sync::Arc;

/// The right of one request to run once. Dropped without the request having been sent, or after
/// [`Permit::not_run`], it gives its token back.
#[derive(Debug)]
pub struct Permit {
    quotas: Arc<Quotas>,
    /// `None` once it was given back.
    token: Option<Token>,
    /// Whether the request may have run.
    used: bool,
}

impl Permit {
    pub(super) fn new(quotas: Arc<Quotas>, token: Token) -> Self {
        Self {
            quotas,
            token: Some(token),
            used: false,
        }
    }

    /// To be called before each attempt; returns whether the request may be sent. A further attempt
    /// after one that may have run takes another token. A request that was held up, as by a suspension,
    /// until its token expired needs another one too.
    pub fn begin(&mut self) -> bool {
        let now = boot_clock::since_start();
        let token = self.token.as_ref();
        if self.used || !token.is_some_and(|token| token.is_valid(now)) {
            let Some(account) = token.map(Token::account) else {
                return false;
            };
            let Some(token) = self.quotas.take_again(account, now) else {
                return false;
            };
            self.token = Some(token);
        }
        self.used = true;
        true
    }

    /// Records that the last attempt was not run.
    pub fn not_run(&mut self) {
        self.used = false;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.used
            && let Some(token) = self.token.take()
        {
            self.quotas.give_back(&token);
        }
    }
}
