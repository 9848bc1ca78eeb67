//! The export and import of KV cache.

use super::Core;
use super::cache::CachedBlock;
use super::instance::Instance;
use crate::answer::ModelState;
use crate::block::BlockContent;
use crate::switch::lock;
use bytes::Bytes;
use clients::wire::engine::{
    CommittedBlock, Export, ExportAnswer, ExportBlock, Import, ImportAnswer, ImportBlock,
};
use clients::wire::store::{BlockStatus, Commit, Lookup, LookupAnswer};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use protocol::ids::WeightVersion;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tokio::time::sleep_until;

/// Size of a block's body unless `full_size_blocks` is set.
const SMALL_BLOCK_BYTES: usize = 4_096;
/// Token count of a block that cannot be decoded.
const UNDECODABLE_BLOCK_TOKENS: u64 = 2_000;

/// Client of store hosts.
pub(super) struct BlockClient {
    address_map: BTreeMap<SocketAddr, SocketAddr>,
    http: Client<HttpConnector, Full<Bytes>>,
}

impl BlockClient {
    /// Creates a client without connections.
    pub(super) fn new(address_map: BTreeMap<SocketAddr, SocketAddr>) -> Self {
        Self { address_map, http: Client::builder(TokioExecutor::new()).build_http() }
    }

    async fn call(
        &self,
        method: Method,
        store: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Option<(StatusCode, Bytes)> {
        let address = self.address_map.get(&store).copied().unwrap_or(store);
        let uri = format!("http://{address}/blocks/{path}");
        let request = Request::builder().method(method).uri(uri).body(Full::new(body)).ok()?;
        let response = self.http.request(request).await.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?;
        Some((status, body.to_bytes()))
    }

    async fn post<T: DeserializeOwned>(
        &self,
        store: SocketAddr,
        path: &str,
        body: &impl Serialize,
    ) -> Option<T> {
        let body = Bytes::from(serde_json::to_vec(body).ok()?);
        let (status, body) = self.call(Method::POST, store, path, body).await?;
        status.is_success().then(|| serde_json::from_slice(&body).ok()).flatten()
    }
}

/// Writes the requested blocks that are in memory and commits them.
pub(super) async fn export(core: &Core, instance: &Instance, export: Export) -> ExportAnswer {
    let mut committed = Vec::new();
    for block in &export.blocks {
        let cached = lock(&instance.cache).block(&block.key);
        let Some(cached) = cached else {
            continue;
        };
        let modelled_bytes = cached.tokens * core.config.kv_bytes_per_token;
        sleep_until(core.export_link.reserve(modelled_bytes)).await;
        let Some(status) = export_block(core, &export, block, cached).await else {
            continue;
        };
        core.count(|counters| {
            counters.exported_blocks += 1;
            counters.exported_bytes += modelled_bytes;
        });
        committed.push(CommittedBlock {
            key: block.key,
            name: status.name,
            length_bytes: status.length_bytes,
            checksum: status.checksum,
        });
    }
    ExportAnswer { committed }
}

async fn export_block(
    core: &Core,
    export: &Export,
    block: &ExportBlock,
    cached: CachedBlock,
) -> Option<BlockStatus> {
    let modelled_bytes = usize::try_from(cached.tokens * core.config.kv_bytes_per_token).ok()?;
    let length = if core.config.full_size_blocks { modelled_bytes } else { SMALL_BLOCK_BYTES };
    let version = cached.weight_version;
    let content =
        BlockContent::new(block.key, version.clone(), cached.tokens, length, cached.state);
    let bytes = Bytes::from(content.encode());
    let commit = Commit {
        attempt_id: export.attempt_id.clone(),
        length_bytes: bytes.len() as u64,
        checksum: blake3::hash(&bytes).to_hex().to_string(),
        weight_version: version,
        expires_in_ms: export.expires_in_ms,
    };
    let write = format!("{}/writes/{}", block.name, export.attempt_id);
    let (status, _) = core.blocks.call(Method::PUT, export.store, &write, bytes).await?;
    if !status.is_success() {
        return None;
    }
    let path = format!("{}/commit", block.name);
    match core.blocks.post(export.store, &path, &commit).await {
        Some(status) => Some(status),
        None => look_up(core, export.store, &block.name).await,
    }
}

/// Returns the status of a block that another attempt has committed.
async fn look_up(core: &Core, store: SocketAddr, name: &str) -> Option<BlockStatus> {
    let lookup = Lookup { names: vec![name.to_owned()] };
    let answer: LookupAnswer = core.blocks.post(store, "lookup", &lookup).await?;
    answer.blocks.into_iter().next()
}

/// Reads blocks into memory, up to the first that cannot be read or fails verification.
pub(super) async fn import(core: &Core, instance: &Instance, import: Import) -> ImportAnswer {
    let mut imported = Vec::new();
    for block in &import.blocks {
        let Some(cached) = import_block(core, block, &import.weight_version).await else {
            core.count(|counters| counters.rejected_blocks += 1);
            break;
        };
        let modelled_bytes = cached.tokens * core.config.kv_bytes_per_token;
        sleep_until(core.import_link.reserve(modelled_bytes)).await;
        if instance.weight_version() != import.weight_version {
            break;
        }
        lock(&instance.cache).insert(block.key, cached);
        imported.push(block.key);
        core.count(|counters| {
            counters.imported_blocks += 1;
            counters.imported_bytes += modelled_bytes;
        });
    }
    ImportAnswer { imported }
}

async fn import_block(
    core: &Core,
    block: &ImportBlock,
    version: &WeightVersion,
) -> Option<CachedBlock> {
    let read = core.blocks.call(Method::GET, block.store, &block.name, Bytes::new()).await;
    let (status, bytes) = read?;
    if !status.is_success() {
        return None;
    }
    let content = BlockContent::decode(&bytes);
    if core.config.verifies_blocks {
        let content = content.as_ref()?;
        let is_valid = bytes.len() as u64 == block.length_bytes
            && blake3::hash(&bytes).to_hex().as_str() == block.checksum
            && content.weight_version == *version;
        if !is_valid {
            return None;
        }
    }
    let state = content.as_ref().map_or_else(|| ModelState::from_garbage(&bytes), |c| c.state());
    let tokens = content.map_or(UNDECODABLE_BLOCK_TOKENS, |content| content.tokens);
    Some(CachedBlock { weight_version: version.clone(), cache_salt: None, state, tokens })
}
