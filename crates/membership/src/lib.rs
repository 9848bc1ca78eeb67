//! Host membership: which hosts exist, which are reachable from this node and which are leaving.
//!
//! The crate does no I/O and reads no clock. The daemon drives it with these calls:
//!
//! | event | call |
//! |---|---|
//! | start | [`HostTable::new`] with the record of the local host |
//! | every [`limits::TICK_MS`] | [`Prober::tick`], then send the probes that it requests |
//! | a probe arrives from a peer | [`exchange::answer_probe`], send the answer back |
//! | an answer to a probe arrives | [`exchange::accept_ack`], send the exchange it may return |
//! | an exchange arrives from a peer | [`exchange::answer_exchange`], send the answer back |
//! | an answer to an exchange arrives | [`exchange::accept_answer`] |
//! | a probe or request fails to reach a host | [`HostTable::observe_failure`] |
//! | a server reports its load | [`HostTable::observe_report`] |
//! | every second while [`HostView::is_list_reader`] | read the platform's host list, [`HostTable::merge`] it |
//! | the daemon drains | [`HostTable::set_draining`] |
//! | a request is routed | [`HostTable::recent_view`] |
//!
//! `now_ms` is in milliseconds since the Unix epoch and never goes back: the wall-clock time at the
//! start plus the time that a monotonic clock has measured since.

pub mod exchange;
mod gossip_queue;
pub mod limits;
mod prober;
mod row;
mod shard;
mod table;
mod view;

pub use prober::{ProbeRequest, ProbeRequests, ProbeTarget, Prober};
pub use table::{HostTable, Source};
pub use view::{EntryHost, HostView, Reachability, Server};
