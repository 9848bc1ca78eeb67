//! Hosts: which ones exist, which are reachable from here, and which are leaving.
//!
//! The daemon drives the package like this; nothing here does I/O or reads a clock:
//!
//! | event | call |
//! |---|---|
//! | start | [`HostTable::new`] with the daemon's own record |
//! | every [`limits::TICK_MS`] | [`Prober::tick`], then send what it orders |
//! | a peer's probe arrives | [`exchange::answer_probe`], send the answer back |
//! | an answer to a probe arrives | [`exchange::accept_ack`], send the exchange it may return |
//! | a peer's exchange arrives | [`exchange::answer_exchange`], send the answer back |
//! | an answer to an exchange arrives | [`exchange::accept_answer`] |
//! | a probe or request could not reach a host | [`HostTable::observe_failure`] |
//! | a server reported its load | [`HostTable::observe_report`] |
//! | [`HostView::is_list_reader`] and a second passed | read the platform's list, [`HostTable::merge`] it |
//! | the daemon drains | [`HostTable::set_draining`] |
//! | a request is routed | [`HostTable::recent_view`] |
//!
//! `now_ms` counts milliseconds since the epoch but never goes back: the wall clock at the start
//! plus what a monotonic clock has counted since.

pub mod exchange;
pub mod limits;
mod prober;
mod row;
mod rumours;
mod shard;
mod table;
mod view;

pub use prober::{ProbeRequest, ProbeRequests, ProbeTarget, Prober};
pub use table::{HostTable, Source};
pub use view::{EntryHost, HostView, Reachability, Server};
