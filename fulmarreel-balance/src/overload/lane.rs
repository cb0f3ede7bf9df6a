//! The waiting requests of one class, shared out between accounts by start-time fair queueing.
//!
//! Each account has a tag, which grows with each of its requests that is served, the faster the smaller
//! its weight is. The account with the lowest tag is served next, with its nearest deadline first.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Instant,
};

/// How far the tag of an account with a weight of 1 grows with each request.
const TAG_UNIT: f64 = 1e9;

/// The requests for which an account that sent less than its share may be served before others. Without
/// them, small accounts, whose few requests come at uneven intervals, would get less than large ones.
const CREDIT_REQUESTS: u64 = 4;

/// The least weight of an account.
const MIN_WEIGHT: f64 = 0.01;

/// Accounts without waiting requests are removed when there are more of them than this.
const MAX_IDLE_ACCOUNTS: usize = 1_024;

/// The place of a request among those of its account.
pub(super) type Place = (Instant, u64);

/// The waiting requests of one class.
#[derive(Debug)]
pub(super) struct Lane<T> {
    /// The highest tag of an account at the time that it was served.
    virtual_time: u64,
    accounts: HashMap<u64, Account<T>>,
    /// Accounts with waiting requests, by the tags of their first ones.
    heads: BTreeSet<(u64, u64)>,
    /// Accounts with waiting requests, by the tags of their last ones.
    tails: BTreeSet<(u64, u64)>,
    len: usize,
}

/// The waiting requests of one account, by deadline.
#[derive(Debug)]
struct Account<T> {
    /// The tag of its next request.
    tag: u64,
    /// How far the tag grows with each request.
    step: u64,
    waiting: BTreeMap<Place, T>,
}

impl<T> Account<T> {
    fn tail_tag(&self) -> u64 {
        let behind_first = self.waiting.len().saturating_sub(1) as u64;
        self.tag
            .saturating_add(self.step.saturating_mul(behind_first))
    }
}

impl<T> Default for Lane<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            accounts: HashMap::new(),
            heads: BTreeSet::new(),
            tails: BTreeSet::new(),
            len: 0,
        }
    }
}

impl<T> Lane<T> {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The tag that the next request of an account would have behind those that wait.
    pub fn next_tag(&self, id: u64, weight: f64) -> u64 {
        match self.accounts.get(&id) {
            Some(account) if account.waiting.is_empty() => account.tag.max(self.lowest_tag(weight)),
            Some(account) => account.tail_tag().saturating_add(step(weight)),
            None => self.lowest_tag(weight),
        }
    }

    /// Whether an account has got more than its share lately.
    pub fn is_ahead(&self, id: u64) -> bool {
        let account = self.accounts.get(&id);
        account.is_some_and(|account| account.tag > self.virtual_time)
    }

    /// The lowest tag that an account with this weight can have.
    fn lowest_tag(&self, weight: f64) -> u64 {
        let credit = step(weight).saturating_mul(CREDIT_REQUESTS);
        self.virtual_time.saturating_sub(credit)
    }

    /// The tag at which a request of an account would be served, before those of the account that have
    /// later deadlines. Takes time in the number of the account's waiting requests.
    pub fn tag_at(&self, id: u64, weight: f64, place: Place) -> u64 {
        match self.accounts.get(&id) {
            Some(account) if !account.waiting.is_empty() => {
                let before = account.waiting.range(..place).count() as u64;
                let growth = step(weight).saturating_mul(before);
                account.tag.saturating_add(growth)
            }
            _ => self.next_tag(id, weight),
        }
    }

    /// The number of waiting requests that are served before one of an account with this place. Takes time
    /// in the number of accounts that wait, which the queue's length limits.
    pub fn count_ahead(&self, id: u64, weight: f64, place: Place) -> usize {
        let tag = self.tag_at(id, weight, place);
        let ahead = self.heads.range(..(tag, u64::MAX));
        ahead
            .map(|(head, other)| {
                let account = &self.accounts[other];
                if *other == id {
                    return account.waiting.range(..place).count();
                }
                let steps = (tag - head) / account.step + 1;
                account.waiting.len().min(steps as usize)
            })
            .sum()
    }

    /// The highest tag of a waiting request.
    pub fn last_tag(&self) -> Option<u64> {
        self.tails.last().map(|(tag, _)| *tag)
    }

    pub fn push(&mut self, id: u64, weight: f64, place: Place, item: T) {
        let lowest_tag = self.lowest_tag(weight);
        self.update(id, weight, |account| {
            if account.waiting.is_empty() {
                account.tag = account.tag.max(lowest_tag);
            }
            account.waiting.insert(place, item);
        });
        self.len += 1;
    }

    /// The request that is served next.
    pub fn first(&self) -> Option<&T> {
        let (_, id) = self.heads.first()?;
        self.accounts[id].waiting.values().next()
    }

    /// Removes the request that is served next, and charges its account.
    pub fn pop_first(&mut self) -> Option<T> {
        let (tag, id) = *self.heads.first()?;
        self.virtual_time = self.virtual_time.max(tag);
        self.take(id, |account| {
            account.tag = account.tag.saturating_add(account.step);
            account.waiting.pop_first()
        })
    }

    /// Removes the request that would be served last.
    pub fn pop_last(&mut self) -> Option<T> {
        let (_, id) = *self.tails.last()?;
        self.take(id, |account| account.waiting.pop_last())
    }

    /// The request that would be served last.
    pub fn last(&self) -> Option<&T> {
        let (_, id) = self.tails.last()?;
        self.accounts[id].waiting.values().next_back()
    }

    pub fn remove(&mut self, id: u64, place: Place) -> Option<T> {
        self.take(id, |account| {
            account.waiting.remove(&place).map(|item| (place, item))
        })
    }

    /// Charges an account for a request that is served without having waited.
    pub fn charge(&mut self, id: u64, weight: f64) {
        let mut tag = self.lowest_tag(weight);
        self.update(id, weight, |account| {
            tag = account.tag.max(tag);
            account.tag = tag.saturating_add(account.step);
        });
        self.virtual_time = self.virtual_time.max(tag);
    }

    fn take(
        &mut self,
        id: u64,
        take: impl FnOnce(&mut Account<T>) -> Option<(Place, T)>,
    ) -> Option<T> {
        let account = self.accounts.get_mut(&id)?;
        Self::unlist(&mut self.heads, &mut self.tails, id, account);
        let taken = take(account);
        Self::list(&mut self.heads, &mut self.tails, id, account);
        let (_, item) = taken?;
        self.len -= 1;
        Some(item)
    }

    fn update(&mut self, id: u64, weight: f64, update: impl FnOnce(&mut Account<T>)) {
        self.remove_idle();
        let account = self.accounts.entry(id).or_insert_with(|| Account {
            tag: 0,
            step: 0,
            waiting: BTreeMap::new(),
        });
        Self::unlist(&mut self.heads, &mut self.tails, id, account);
        account.step = step(weight);
        update(account);
        Self::list(&mut self.heads, &mut self.tails, id, account);
    }

    /// Removes accounts whose tags have no effect any more; all idle ones if that is not enough.
    fn remove_idle(&mut self) {
        if self.accounts.len() <= self.heads.len() + MAX_IDLE_ACCOUNTS {
            return;
        }
        let virtual_time = self.virtual_time;
        let has_effect = |account: &Account<T>| {
            let credit = account.step.saturating_mul(CREDIT_REQUESTS);
            account.tag > virtual_time.saturating_sub(credit)
        };
        self.accounts
            .retain(|_, account| !account.waiting.is_empty() || has_effect(account));
        if self.accounts.len() > self.heads.len() + MAX_IDLE_ACCOUNTS {
            self.accounts
                .retain(|_, account| !account.waiting.is_empty());
        }
    }

    fn list(
        heads: &mut BTreeSet<(u64, u64)>,
        tails: &mut BTreeSet<(u64, u64)>,
        id: u64,
        account: &Account<T>,
    ) {
        if !account.waiting.is_empty() {
            heads.insert((account.tag, id));
            tails.insert((account.tail_tag(), id));
        }
    }

    fn unlist(
        heads: &mut BTreeSet<(u64, u64)>,
        tails: &mut BTreeSet<(u64, u64)>,
        id: u64,
        account: &Account<T>,
    ) {
        heads.remove(&(account.tag, id));
        tails.remove(&(account.tail_tag(), id));
    }
}

fn step(weight: f64) -> u64 {
    (TAG_UNIT / weight.max(MIN_WEIGHT)).max(1.0) as u64
}
