//! At-most-once execution of orders through one stream of the platform's log.
//!
//! | module | job |
//! |---|---|
//! | [`key`] | idempotency keys and digests |
//! | [`record`] | what is written to the log |
//! | [`limits`] | the window, the clock bound and the waiting times |
//! | [`follower`] | reads pages of the stream and knows which time it has covered without a gap |
//! | [`ledger`] | what the records say about each key |
//! | [`executor`] | what this host does about its callers' orders |
//! | [`committer`] | which records go into the next append, and when |
//! | [`coordinator`] | ledger and executor in shards, each under its own lock |
//!
//! A daemon owns one [`coordinator::Coordinator`] and one [`committer::Committer`]. It calls
//! `submit` for each order, `apply` for each page read from the stream, `dispatched` and
//! `status_received` for each answer of an order service, and `tick` a few times a second. Every call
//! returns actions: records to give to the committer, orders to send to a server, outcomes to ask
//! for, and replies for callers. Each action is carried out once. What the committer could not get
//! an answer for is given back to it; records are idempotent, so a second append does no harm.

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
