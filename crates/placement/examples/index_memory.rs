//! Prints the memory and time per row of the cache index at several sizes.
//!
//! Each prompt has ten segments; the block of each segment is held by one server and one store
//! host.

use placement::chain::block_name;
use placement::index::CacheIndex;
use protocol::ids::{ChainKey, HostName, IdError};
use protocol::message::place::CachedBlock;
use std::fs;
use std::time::Instant;

const SEGMENTS: u64 = 10;
const SERVERS: u64 = 800;
const STORES: u64 = 40;
const PAGE_BYTES: f64 = 4_096.0;
const STORE_BYTES_PER_S: u64 = 1_000_000_000;
const EXPIRES_AT_MS: u64 = 3_600_000;
/// The returning prompts of one node among 350, of ten such nodes, a tenth of all returning prompts,
/// and all of them.
const PROMPTS: [u64; 4] = [1_314, 13_140, 46_000, 460_000];

fn main() -> Result<(), IdError> {
    println!("prompts     rows  bytes/row  rows added/s  views/s  swept rows/s");
    for prompts in PROMPTS {
        measure(prompts)?;
    }
    Ok(())
}

fn measure(prompts: u64) -> Result<(), IdError> {
    let blocks: Vec<(HostName, Vec<CachedBlock>)> =
        (0..prompts).map(prompt_blocks).collect::<Result<_, _>>()?;
    let before_bytes = resident_bytes();
    let index = CacheIndex::with_max_rows(4 * (prompts * SEGMENTS) as usize);

    let started = Instant::now();
    for (server, blocks) in &blocks {
        index.add_cached(server, &keys(blocks));
        blocks.iter().for_each(|block| index.add_block(block, EXPIRES_AT_MS));
    }
    let added_s = started.elapsed().as_secs_f64();
    let row_bytes = (resident_bytes() - before_bytes) / index.len() as f64;

    let started = Instant::now();
    let found: usize = blocks
        .iter()
        .map(|(_, blocks)| index.view(&keys(blocks), STORE_BYTES_PER_S, 0).importable.len())
        .sum();
    let viewed_s = started.elapsed().as_secs_f64();
    assert_eq!(found as u64, prompts * SEGMENTS);

    let started = Instant::now();
    index.sweep(0);
    let swept_s = started.elapsed().as_secs_f64();

    let rows = index.len() as f64;
    println!(
        "{prompts:>7} {rows:>8} {row_bytes:>10.0} {:>13.0} {:>8.0} {:>13.0}",
        rows / added_s,
        prompts as f64 / viewed_s,
        rows / swept_s
    );
    Ok(())
}

fn prompt_blocks(prompt: u64) -> Result<(HostName, Vec<CachedBlock>), IdError> {
    let server = format!("server-{}", prompt % SERVERS).parse()?;
    let blocks = (0..SEGMENTS).map(|segment| {
        let key =
            ChainKey::new(*blake3::hash(&(prompt * SEGMENTS + segment).to_le_bytes()).as_bytes());
        let store = format!("store-{}", (prompt + segment) % STORES).parse()?;
        let (name, checksum) = (block_name(&key), key.to_string());
        Ok(CachedBlock { key, store, name, length_bytes: 1_000_000, checksum })
    });
    Ok((server, blocks.collect::<Result<_, IdError>>()?))
}

fn keys(blocks: &[CachedBlock]) -> Vec<ChainKey> {
    blocks.iter().map(|block| block.key).collect()
}

/// Returns the process's resident memory, or zero if the system does not report it.
fn resident_bytes() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
