//! Messages between gateways: snapshots for those that cannot read the store, answers to followers,
//! updates, and load reports.

mod failures;
mod follow;
mod loads;
mod message;
mod pull;
mod push;
mod serve;
mod streams;
mod terms;

pub use crate::peers::follow::Follower;
pub use crate::peers::loads::run as share_loads;
pub use crate::peers::message::{
    FollowAnswer, FollowRequest, PeerUpdate, Snapshot, StreamMessage, UPDATE_PATH, decode,
    decode_with, decode_with_four, decode_with_three, decode_with_two, encode, encode_with,
    encode_with_four, encode_with_three, encode_with_two,
};
pub use crate::peers::pull::{consult, run as pull, run_targets as pull_targets};
pub use crate::peers::push::run as push;
pub use crate::peers::serve::accept;
pub use crate::peers::streams::{
    StreamExchange, announce as announce_stream, find as find_stream_origin,
    hand_over as hand_over_streams,
};
pub use crate::peers::terms::{
    Spread, TERMS_PATH, TermsExchange, TermsMessage, run as share_terms,
};
