//! Counters, readable at the operators' listener and sent as StatsD datagrams.

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use protocol::error::ErrorKind;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

/// The first part of each name sent as a datagram.
const STATSD_PREFIX: &str = "camphorward";

macro_rules! counters {
    ($(#[doc = $doc:literal] $name:ident => $text:literal;)*) => {
        /// Lists the counters besides those for refusals and retries.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Counter {
            $(#[doc = $doc] $name,)*
        }

        impl Counter {
            /// Holds every counter.
            pub const ALL: &'static [Counter] = &[$(Counter::$name,)*];

            /// Returns what the counter counts, in one sentence.
            pub fn description(self) -> &'static str {
                match self {
                    $(Counter::$name => $doc.trim(),)*
                }
            }

            /// Returns the counter's name.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Counter::$name => $text,)*
                }
            }
        }
    };
}

counters! {
    /// Requests of callers, whatever became of them.
    Requests => "requests";
    /// Answers passed on whole.
    Answers => "answers";
    /// Tokens passed on.
    Tokens => "tokens";
    /// Callers that left before their answer was whole.
    CallersGone => "callers_gone";
    /// Placements asked of another entry host.
    HomeAsked => "home.asked";
    /// Placements asked of an entry host in another region.
    FarHomeAsked => "home.far_asked";
    /// Placements decided here since the home did not answer in time.
    HomeMissed => "home.missed";
    /// Placements decided here for another entry host.
    HomeAnswered => "home.answered";
    /// Pieces imported by a server.
    PiecesImported => "pieces.imported";
    /// Pieces that were to be imported and were not.
    PiecesNotImported => "pieces.not_imported";
    /// Pieces exported by a server.
    PiecesExported => "pieces.exported";
    /// Pieces that were to be exported and were not.
    PiecesNotExported => "pieces.not_exported";
    /// Lookups of kept blocks on store hosts.
    StoreLookups => "store.lookups";
    /// Failed reads of the platform's log.
    LogReadFailures => "log.read_failures";
    /// Failed reads of the host list.
    HostListFailures => "host_list.failures";
    /// Failed reads of a server's load.
    LoadReadFailures => "load.read_failures";
    /// Configurations accepted.
    ConfigsAccepted => "configs.accepted";
    /// Configuration records that conflicted with another.
    ConfigsConflicting => "configs.conflicting";
    /// Configuration records that did not pass the check.
    ConfigsInvalid => "configs.invalid";
    /// Orders sent to a server.
    OrderDispatches => "orders.dispatches";
    /// Outcomes asked of an order service.
    OrderStatusChecks => "orders.status_checks";
    /// Appends of order records to the platform's log.
    OrderAppends => "orders.appends";
    /// Order records appended.
    OrderRecords => "orders.records";
    /// Appends of order records that failed or got no answer.
    OrderAppendFailures => "orders.append_failures";
    /// Probes of entry hosts that got no answer.
    ProbeFailures => "probes.failed";
    /// Configurations taken from a peer.
    ConfigsRelayed => "configs.relayed";
    /// Configurations that another host was found to have appended again in time.
    SnapshotsSpared => "configs.carry_forward_spared";
    /// Configurations appended again before the log forgets them.
    SnapshotsWritten => "configs.carried_forward";
    /// Requests that became suspects here, as a server died while they ran there.
    SuspectsFound => "suspects.found";
    /// Requests that are refused from now on, as a second server died while they ran there.
    SuspectsConfirmed => "suspects.confirmed";
    /// Suspects cleared by a whole answer.
    SuspectsCleared => "suspects.cleared";
    /// Attempts at suspects that got a server without other suspects.
    SuspectsIsolated => "suspects.isolated";
    /// Waits before a request that may have crashed a server.
    SuspectWaits => "suspects.waits";
    /// Connections accepted.
    Connections => "connections";
    /// Connections given up since the other side stopped reading or sending.
    ConnectionsSilent => "connections.silent";
}

/// Counts events since the process started.
#[derive(Debug)]
pub struct Counters {
    plain: Vec<AtomicU64>,
    refusals: Vec<AtomicU64>,
    retries: Vec<AtomicU64>,
    statsd: StatsdClient,
}

impl Counters {
    /// Creates counters that are sent to an address, if one is given.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened for the datagrams.
    pub fn new(statsd: Option<SocketAddr>) -> std::io::Result<Self> {
        Ok(Self {
            plain: zeroes(Counter::ALL.len()),
            refusals: zeroes(ErrorKind::ALL.len()),
            retries: zeroes(ErrorKind::ALL.len()),
            statsd: open_statsd(statsd)?,
        })
    }

    /// Counts one event.
    pub fn count(&self, counter: Counter) {
        self.add(counter, 1);
    }

    /// Counts some events.
    pub fn add(&self, counter: Counter, events: u64) {
        self.plain[counter as usize].fetch_add(events, Ordering::Relaxed);
        self.send(counter.as_str(), events);
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: ErrorKind) {
        self.refusals[kind as usize].fetch_add(1, Ordering::Relaxed);
        self.send(&refusal_name(kind), 1);
    }

    /// Counts a retry.
    pub fn count_retry(&self, kind: ErrorKind) {
        self.retries[kind as usize].fetch_add(1, Ordering::Relaxed);
        self.send(&retry_name(kind), 1);
    }

    /// Returns the value of each counter by name.
    pub fn values(&self) -> BTreeMap<String, u64> {
        let read = |value: &AtomicU64| value.load(Ordering::Relaxed);
        let plain =
            Counter::ALL.iter().map(|c| (c.as_str().to_owned(), read(&self.plain[*c as usize])));
        let refusals =
            ErrorKind::ALL.iter().map(|k| (refusal_name(*k), read(&self.refusals[*k as usize])));
        let retries =
            ErrorKind::ALL.iter().map(|k| (retry_name(*k), read(&self.retries[*k as usize])));
        plain.chain(refusals).chain(retries).collect()
    }

    fn send(&self, name: &str, events: u64) {
        // A lost datagram is no reason to disturb the request that caused it.
        let _ = self.statsd.count(name, events);
    }
}

/// Returns the name of the counter for a refusal.
pub fn refusal_name(kind: ErrorKind) -> String {
    format!("refusals.{kind}")
}

/// Returns the name of the counter for a retry.
pub fn retry_name(kind: ErrorKind) -> String {
    format!("retries.{kind}")
}

fn zeroes(length: usize) -> Vec<AtomicU64> {
    (0..length).map(|_| AtomicU64::new(0)).collect()
}

fn open_statsd(address: Option<SocketAddr>) -> std::io::Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(STATSD_PREFIX, NopMetricSink));
    };
    let socket = UdpSocket::bind("0.0.0.0:0")?;
    socket.set_nonblocking(true)?;
    let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    Ok(StatsdClient::from_sink(STATSD_PREFIX, sink))
}
