//! Classes of requests: what goes first whatever the shares of the accounts are.

/// What a request is to the target, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A call that another target makes while it runs a request. Its refusal wastes that run.
    Internal,
    /// New work of an account that has got far less than its share.
    Starved,
    /// New work.
    New,
}

/// The class of a request; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class {
    /// What it is to the target.
    pub kind: Kind,
    /// The priority of its account; 0 is the most urgent.
    pub account_priority: u8,
    /// The priority of its route; 0 is the most urgent.
    pub route_priority: u8,
}

impl Kind {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Internal => "internal",
            Self::Starved => "starved",
            Self::New => "new",
        }
    }
}

impl Class {
    /// The class of a call of a target.
    pub fn internal(route_priority: u8) -> Self {
        Self {
            kind: Kind::Internal,
            account_priority: 0,
            route_priority,
        }
    }

    /// The class of new work.
    pub fn new_work(account_priority: u8, route_priority: u8) -> Self {
        Self {
            kind: Kind::New,
            account_priority,
            route_priority,
        }
    }

    /// The class of new work of an account that has got far less than its share.
    pub fn starved() -> Self {
        Self {
            kind: Kind::Starved,
            account_priority: 0,
            route_priority: 0,
        }
    }
}
