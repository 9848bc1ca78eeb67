//! Bodies of the calls to a store host, which stores write-once KV blocks.
//!
//! | call | answer |
//! |---|---|
//! | `PUT /blocks/{name}/writes/{attempt}` with the bytes | 204; 507 when the host is full |
//! | `POST /blocks/{name}/commit` with [`Commit`] | [`BlockStatus`]; 409 if the name is committed already; 422 if the bytes do not match |
//! | `GET /blocks/{name}` | the bytes; 404 if not committed or expired |
//! | `POST /blocks/lookup` with [`Lookup`] | [`LookupAnswer`] |
//! | `POST /blocks/{name}/extend` with [`Extend`] | [`BlockStatus`] |

use protocol::ids::{AttemptId, WeightVersion};
use serde::{Deserialize, Serialize};

/// Makes a written block visible.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Commit {
    /// The attempt under which the bytes were written.
    pub attempt_id: AttemptId,
    /// The length of the bytes.
    pub length_bytes: u64,
    /// The hexadecimal BLAKE3 digest of the bytes.
    pub checksum: String,
    /// The weight version that the block was computed with.
    pub weight_version: WeightVersion,
    /// The block's TTL by the store host's clock, in milliseconds.
    pub expires_in_ms: u64,
}

/// Requests the status of blocks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lookup {
    /// The blocks' names.
    pub names: Vec<String>,
}

/// Answers a [`Lookup`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LookupAnswer {
    /// One entry for each requested block that is committed.
    pub blocks: Vec<BlockStatus>,
}

/// The status of a committed block.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct BlockStatus {
    /// The block's name.
    pub name: String,
    /// The committed length.
    pub length_bytes: u64,
    /// The committed checksum.
    pub checksum: String,
    /// The weight version that the block was computed with.
    pub weight_version: WeightVersion,
    /// The time until the block expires by the store host's clock, in milliseconds.
    pub expires_in_ms: u64,
}

/// Extends a block's expiry time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Extend {
    /// The TTL from now on, in milliseconds.
    pub expires_in_ms: u64,
}
