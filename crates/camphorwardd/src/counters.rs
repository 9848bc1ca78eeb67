//! Counters, exposed at the operators' listener and sent as StatsD datagrams.

use cadence::{Counted, NopMetricSink, StatsdClient, UdpMetricSink};
use protocol::error::ErrorKind;
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};

/// The prefix of each counter name in StatsD datagrams.
const STATSD_PREFIX: &str = "camphorward";

macro_rules! counters {
    ($(#[doc = $doc:literal] $name:ident => $text:literal;)*) => {
        /// The counters other than those for refusals and retries.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum Counter {
            $(#[doc = $doc] $name,)*
        }

        impl Counter {
            /// All counters.
            pub const ALL: &'static [Counter] = &[$(Counter::$name,)*];

            /// Returns a one-sentence description of the counter.
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
    /// Requests of callers, whatever their outcome.
    Requests => "requests";
    /// Answers delivered completely.
    Answers => "answers";
    /// Tokens delivered to callers.
    Tokens => "tokens";
    /// Callers that disconnected before their answer was complete.
    CallersDisconnected => "callers_gone";
    /// Placement requests sent to another entry host.
    HomeRequests => "home.asked";
    /// Placement requests sent to an entry host in another region.
    RemoteHomeRequests => "home.far_asked";
    /// Placement requests that the home did not answer in time.
    HomeUnanswered => "home.missed";
    /// Placements decided on this host for another entry host.
    HomeAnswered => "home.answered";
    /// KV blocks imported by a server.
    BlocksImported => "pieces.imported";
    /// KV blocks whose planned import did not take place.
    BlocksNotImported => "pieces.not_imported";
    /// KV blocks exported by a server.
    BlocksExported => "pieces.exported";
    /// KV blocks whose planned export did not take place.
    BlocksNotExported => "pieces.not_exported";
    /// Lookups of cached KV blocks on store hosts.
    StoreLookups => "store.lookups";
    /// Failed reads of the platform's log.
    LogReadFailures => "log.read_failures";
    /// Failed reads of the host list.
    HostListFailures => "host_list.failures";
    /// Failed reads of a server's load.
    LoadReadFailures => "load.read_failures";
    /// Configuration records accepted.
    ConfigsAccepted => "configs.accepted";
    /// Configuration records that conflicted with another record.
    ConfigsConflicting => "configs.conflicting";
    /// Configuration records that failed validation.
    ConfigsInvalid => "configs.invalid";
    /// Orders dispatched to a server.
    OrderDispatches => "orders.dispatches";
    /// Queries for the outcome of an order.
    OrderStatusChecks => "orders.status_checks";
    /// Appends of order records to the platform's log.
    OrderAppends => "orders.appends";
    /// Order records appended.
    OrderRecords => "orders.records";
    /// Appends of order records that failed or got no answer.
    OrderAppendFailures => "orders.append_failures";
    /// Probes of entry hosts that were not answered.
    ProbeFailures => "probes.failed";
    /// Configurations relayed by a peer and put in force.
    ConfigsRelayed => "configs.relayed";
    /// Carry-forwards of a configuration skipped because another host had written the snapshot.
    SnapshotsSkipped => "configs.carry_forward_spared";
    /// Configurations carried forward as a snapshot before their record expires from the log.
    SnapshotsWritten => "configs.carried_forward";
    /// Requests that became suspects on this host because a server crashed while running them.
    SuspectsFound => "suspects.found";
    /// Requests quarantined because a second server crashed while running them.
    SuspectsConfirmed => "suspects.confirmed";
    /// Suspects cleared by a complete answer.
    SuspectsCleared => "suspects.cleared";
    /// Attempts of suspects that were granted a server without other suspects.
    SuspectsIsolated => "suspects.isolated";
    /// Delays of a request that may have crashed a server.
    SuspectWaits => "suspects.waits";
    /// Connections accepted.
    Connections => "connections";
    /// Connections closed because the other side stopped reading or sending.
    ConnectionsTimedOut => "connections.silent";
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

    /// Counts a number of events.
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
        // A failed send must not affect the request that is counted.
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
