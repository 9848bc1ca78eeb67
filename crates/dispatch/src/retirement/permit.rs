//! A gateway's permission to name cached blocks in requests.

use crate::era::{EraTracker, StoreEra};
use crate::retirement::{LISTING_TTL_MS, MAX_STATE_AGE_MS};

/// How long a registration counts, in milliseconds. Other gateways take a gateway off their lists
/// later than that.
const REGISTRATION_TTL_MS: u64 = 120_000;

/// Why a gateway fetches no cached blocks.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Withheld {
    /// It has not registered in the store's current era, or too long ago.
    Unregistered,
    /// It has not listed what is retired since it registered, or too long ago.
    Unlisted,
    /// A rollout leader of an earlier era may still free blocks.
    EarlierEra,
    /// The store's state that it has is too old.
    OldState,
    /// The time on the servers' clock is not known.
    UnknownClock,
}

impl Withheld {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            Withheld::Unregistered => "unregistered",
            Withheld::Unlisted => "unlisted",
            Withheld::EarlierEra => "earlier_era",
            Withheld::OldState => "old_state",
            Withheld::UnknownClock => "unknown_clock",
        }
    }
}

/// When a call began, and the era of the store in which it was answered.
#[derive(Clone, Copy, Debug)]
struct StoreCall {
    began_ms: u64,
    era: StoreEra,
}

/// A gateway's permission to name cached blocks in requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct FetchPermit {
    registration: Option<StoreCall>,
    listing: Option<StoreCall>,
    /// The time of the store's state.
    read_ms: Option<u64>,
}

impl FetchPermit {
    /// Records that this gateway has registered in an era, with a call that began at a time.
    pub fn record_registration(&mut self, era: StoreEra, began_ms: u64) {
        let held = self.registration.replace(StoreCall { began_ms, era });
        // What was written between the listing and this call may name no gateway.
        let counts = held.is_some_and(|held| held.era == era && began_ms < held.ends_ms());
        if !counts {
            self.listing = None;
        }
    }

    /// Records that what is retired has been listed and applied, with a call that began at a time
    /// after the last registration was answered.
    pub fn record_listing(&mut self, era: StoreEra, began_ms: u64) {
        self.listing = Some(StoreCall { began_ms, era });
    }

    /// Returns whether a new state follows a time without permission, in which a retirement may have
    /// been missed.
    pub fn must_retire(&self, now_ms: u64) -> bool {
        !self.is_state_recent(now_ms)
    }

    /// Records the time of the store's state.
    pub fn record_state(&mut self, read_ms: u64) {
        self.read_ms = Some(self.read_ms.map_or(read_ms, |held| held.max(read_ms)));
    }

    /// Returns the time of the store's state; `None` before the first.
    pub const fn state_read_ms(&self) -> Option<u64> {
        self.read_ms
    }

    /// Checks whether a request of a gateway that has no peers may name cached blocks now: it does
    /// not register, and asks nobody before it frees blocks.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn check_alone(&self, now_ms: u64) -> Result<(), Withheld> {
        self.is_state_recent(now_ms).then_some(()).ok_or(Withheld::OldState)
    }

    /// Checks whether a request may name cached blocks now.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub fn check(&self, eras: &EraTracker, now_ms: u64) -> Result<(), Withheld> {
        let era = eras.current();
        let registration = self.registration.filter(|call| call.era == era);
        if registration.is_none_or(|call| now_ms >= call.ends_ms()) {
            return Err(Withheld::Unregistered);
        }
        let listing = self.listing.filter(|call| call.era == era);
        if listing.is_none_or(|call| now_ms >= call.began_ms + LISTING_TTL_MS) {
            return Err(Withheld::Unlisted);
        }
        if now_ms < eras.leases_expired_at_ms() {
            return Err(Withheld::EarlierEra);
        }
        self.check_alone(now_ms)
    }

    fn is_state_recent(&self, now_ms: u64) -> bool {
        self.read_ms.is_some_and(|read_ms| now_ms < read_ms + MAX_STATE_AGE_MS)
    }
}

impl StoreCall {
    const fn ends_ms(&self) -> u64 {
        self.began_ms + REGISTRATION_TTL_MS
    }
}
