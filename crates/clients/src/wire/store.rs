//! A store host, which keeps write-once blocks of KV cache.
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
    /// How long the block is kept, by the store's clock, in milliseconds.
    pub expires_in_ms: u64,
}

/// Asks which of some blocks are committed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Lookup {
    /// The blocks' names.
    pub names: Vec<String>,
}

/// Answers a [`Lookup`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LookupAnswer {
    /// One entry for each committed block among those asked for.
    pub blocks: Vec<BlockStatus>,
}

/// Describes one committed block.
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
    /// How long the block will still be kept, by the store's clock, in milliseconds.
    pub expires_in_ms: u64,
}

/// Extends a block's life.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Extend {
    /// How long the block is kept from now on, in milliseconds.
    pub expires_in_ms: u64,
}
