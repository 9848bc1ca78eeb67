//! Memory and update time of the index of cached KV blocks.

use super::COMMAND;
use crate::fit::Point;
use crate::report::{Series, SeriesDescription};
use crate::usage::{measure_cpu_time, measure_memory};
use eyre::Result;
use placement::chain::block_name;
use placement::index::CacheIndex;
use protocol::ids::{ChainKey, HostName};
use protocol::message::place::CachedBlock;

const ROWS: [u64; 4] = [50_000, 100_000, 200_000, 400_000];
const SERVERS: u64 = 800;
const STORES: u64 = 40;
const EXPIRES_AT_MS: u64 = 3_600_000;

const MEMORY: SeriesDescription = SeriesDescription {
    id: "index_memory",
    measure: "index memory, bytes",
    size: "rows",
    command: COMMAND,
    leaves_out: "more than one server and one block per segment",
};
const UPDATE: SeriesDescription = SeriesDescription {
    id: "index_update",
    measure: "rows added, us",
    size: "rows",
    command: COMMAND,
    leaves_out: "reading and decoding the events",
};

/// Measures memory and update time against the number of rows.
///
/// # Errors
///
/// Returns an error if a line cannot be fitted.
pub fn measure() -> Result<Vec<Series>> {
    let mut memory = Vec::new();
    let mut update = Vec::new();
    let mut retained = Vec::new();
    for rows in ROWS {
        let blocks = (0..rows).map(block).collect::<Result<Vec<_>>>()?;
        let ((index, us), bytes) = measure_memory(|| measure_cpu_time(|| fill(&blocks)));
        memory.push(Point::new(index.len() as f64, bytes));
        update.push(Point::new(index.len() as f64, us));
        retained.push((index, blocks));
    }
    Ok(vec![MEMORY.fit(memory)?, UPDATE.fit(update)?])
}

fn fill(blocks: &[(HostName, CachedBlock)]) -> CacheIndex {
    let index = CacheIndex::with_max_rows(4 * blocks.len());
    for (server, block) in blocks {
        index.add_cached(server, &[block.key]);
        index.add_block(block, EXPIRES_AT_MS);
    }
    index
}

fn block(number: u64) -> Result<(HostName, CachedBlock)> {
    let key = ChainKey::new(*blake3::hash(&number.to_le_bytes()).as_bytes());
    let block = CachedBlock {
        key,
        store: format!("store-{}", number % STORES).parse()?,
        name: block_name(&key),
        length_bytes: 1_000_000,
        checksum: key.to_string(),
    };
    Ok((format!("server-{}", number % SERVERS).parse()?, block))
}
