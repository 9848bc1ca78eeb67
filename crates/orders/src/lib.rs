//! At-most-once execution of orders through one stream of the platform's log.
//!
//! | module | purpose |
//! |---|---|
//! | [`key`] | idempotency keys and digests |
//! | [`record`] | the records in the log |
//! | [`limits`] | the key window, the clock bound and the timeouts |
//! | [`follower`] | reads the stream in order and tracks since when it was read without a gap |
//! | [`ledger`] | the state of each key, derived from the records |
//! | [`executor`] | executes the orders of this host's callers |
//! | [`committer`] | batches records into appends, under a rate limit |
//! | [`coordinator`] | shards the ledger and executor by key, with one lock per shard |
//!
//! A daemon owns one [`coordinator::Coordinator`] and one [`committer::Committer`]. It calls
//! `submit` for each order, `apply` for each page read from the stream, `dispatched` and
//! `status_received` for each answer of an order service, and `tick` a few times a second. Every
//! call returns actions: records for the committer, orders to send to a server, outcomes to query
//! and replies to callers. Each action is carried out once. Records whose append got no answer
//! return to the committer's queue; records are idempotent, so a second append is harmless.

pub mod committer;
pub mod coordinator;
pub mod executor;
pub mod follower;
pub mod key;
pub mod ledger;
pub mod limits;
pub mod record;

/// The log's stream of order records.
pub const ORDERS_STREAM: &str = "orders";
