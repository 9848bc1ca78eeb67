//! The software versions that may have begun streams which callers still take up again.
//!
//! The store keeps them, because gateways can all end at once and a registry lists only what serves
//! now. A gateway lists the servers of a version only after the history holds it, so a reading of the
//! history names every version that began a stream before.

use crate::era::StoreEra;
use crate::registry::SoftwareVersion;
use crate::streams::{RECORD_TTL_MS, StreamOrigin};
use protocol::ids::ServiceName;
use std::collections::{BTreeMap, BTreeSet};

/// How long after its last entry a version may have begun a stream that is taken up again, in
/// milliseconds: entries lapse some seconds after the last, and gateways notice it later still.
pub const FORGET_AFTER_MS: u64 = RECORD_TTL_MS + 10_000;
/// How long after its last entry a version needs no new record, in milliseconds. Well before it is
/// forgotten, so that no gateway relies on a record that another one deletes.
pub const RELIANCE_MS: u64 = RECORD_TTL_MS / 2;

/// What the store holds of the history.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SoftwareHistory {
    /// The versions.
    pub versions: BTreeSet<StreamOrigin>,
    /// The era of the store in which the history reaches back far enough; `None` if it does in none.
    pub complete_in: Option<StoreEra>,
}

impl SoftwareHistory {
    /// Returns whether every version is listed that may have begun a stream.
    pub fn is_complete(&self, era: StoreEra) -> bool {
        self.complete_in == Some(era)
    }

    /// Returns what began a stream of which no record is found, given the versions that the registry
    /// lists and the services that may have begun it.
    ///
    /// # Errors
    ///
    /// Returns why it is unknown.
    pub fn only_origin(
        &self,
        era: StoreEra,
        registered: impl IntoIterator<Item = StreamOrigin>,
        service: &ServiceName,
        may_have_begun: impl Fn(&ServiceName) -> bool,
    ) -> Result<StreamOrigin, UnknownOrigin> {
        if !self.is_complete(era) {
            return Err(UnknownOrigin::HistoryIncomplete);
        }
        let versions = self.versions.iter().cloned().chain(registered);
        let versions: BTreeSet<SoftwareVersion> = versions
            .filter(|origin| may_have_begun(&origin.service))
            .map(|origin| origin.software)
            .collect();
        let mut versions = versions.into_iter();
        match (versions.next(), versions.next()) {
            (Some(software), None) => Ok(StreamOrigin { service: service.clone(), software }),
            (None, _) => Err(UnknownOrigin::HistoryIncomplete),
            (Some(_), Some(_)) => Err(UnknownOrigin::SeveralVersions),
        }
    }
}

/// Why it is unknown what began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownOrigin {
    /// The history could not be read.
    HistoryUnread,
    /// The history does not reach back far enough.
    HistoryIncomplete,
    /// Several versions may have begun it.
    SeveralVersions,
}

impl UnknownOrigin {
    /// Returns the reason's name in logs and counters.
    pub const fn as_str(self) -> &'static str {
        match self {
            UnknownOrigin::HistoryUnread => "history_unread",
            UnknownOrigin::HistoryIncomplete => "history_incomplete",
            UnknownOrigin::SeveralVersions => "several_versions",
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Tracked {
    /// When the time began after which the version is forgotten.
    unseen_since_ms: u64,
    /// Until when the version needs no new record.
    relied_until_ms: u64,
}

/// What a gateway that reads the servers' entries knows of the history.
#[derive(Clone, Debug, Default)]
pub struct SoftwareTracker {
    tracked: BTreeMap<StreamOrigin, Tracked>,
    /// Since when every entry of the log has been read; `None` before the first listing.
    followed_since_ms: Option<u64>,
    is_complete: bool,
}

impl SoftwareTracker {
    /// Creates a tracker that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Starts to follow the log of the entries with a listing. Entries before it were missed.
    pub fn start(&mut self, now_ms: u64) {
        self.followed_since_ms = Some(now_ms);
        self.is_complete = false;
        for tracked in self.tracked.values_mut() {
            tracked.unseen_since_ms = now_ms;
        }
    }

    /// Applies the history, read after the entries of `listed` were.
    pub fn load(
        &mut self,
        history: &SoftwareHistory,
        era: StoreEra,
        listed: &BTreeSet<StreamOrigin>,
        now_ms: u64,
    ) {
        self.is_complete = history.is_complete(era);
        for origin in &history.versions {
            if listed.contains(origin) {
                self.see(origin.clone(), now_ms);
            } else {
                let unseen = Tracked { unseen_since_ms: now_ms, relied_until_ms: 0 };
                self.tracked.entry(origin.clone()).or_insert(unseen);
            }
        }
    }

    /// Returns the versions that the history has to hold before their servers are listed.
    pub fn unrecorded(&self, seen: &BTreeSet<StreamOrigin>, now_ms: u64) -> BTreeSet<StreamOrigin> {
        let is_relied = |tracked: &Tracked| now_ms < tracked.relied_until_ms;
        let unrecorded =
            seen.iter().filter(|origin| !self.tracked.get(origin).is_some_and(is_relied));
        unrecorded.cloned().collect()
    }

    /// Returns all known versions, which the store may have lost.
    pub fn versions(&self) -> impl Iterator<Item = &StreamOrigin> {
        self.tracked.keys()
    }

    /// Records that entries of a version were read, and that the history holds it.
    pub fn see(&mut self, origin: StreamOrigin, now_ms: u64) {
        let relied_until_ms = now_ms + RELIANCE_MS;
        self.tracked.insert(origin, Tracked { unseen_since_ms: now_ms, relied_until_ms });
    }

    /// Returns whether the history reaches back far enough, but does not say so.
    pub fn completes(&self, now_ms: u64) -> bool {
        let is_long = self.followed_since_ms.is_some_and(|at_ms| at_ms + FORGET_AFTER_MS <= now_ms);
        is_long && !self.is_complete
    }

    /// Records that the history says that it reaches back far enough.
    pub const fn record_complete(&mut self) {
        self.is_complete = true;
    }

    /// Returns the versions to forget.
    pub fn expired(&self, now_ms: u64) -> BTreeSet<StreamOrigin> {
        let expired = self.tracked.iter().filter(|(_, tracked)| {
            let since_ms = Some(tracked.unseen_since_ms).max(self.followed_since_ms);
            since_ms.is_some_and(|since_ms| since_ms + FORGET_AFTER_MS <= now_ms)
        });
        expired.map(|(origin, _)| origin.clone()).collect()
    }

    /// Forgets versions, before their records are deleted.
    pub fn forget(&mut self, versions: &BTreeSet<StreamOrigin>) {
        self.tracked.retain(|origin, _| !versions.contains(origin));
    }
}
