//! A stand-in of a model engine with a prefix cache in limited memory.
//!
//! Besides the calls of `clients::wire::engine` it answers `GET /faults` and `POST /faults` with
//! [`EngineFaults`], `GET /counters` with [`EngineCounters`], and `POST /kill` with
//! [`Kill`](crate::server::Kill).

mod cache;
mod config;
mod handlers;
mod life;
mod prefill;
mod runs;
mod transfer;
mod weights;

pub use config::{EngineConfig, EngineCounters, EngineFaults};

use crate::rate::RateLimit;
use crate::server::{Handle, Server};
use crate::switch::{Switch, lock};
use crate::weight_store::WeightStore;
use futures_util::FutureExt;
use life::Life;
use protocol::ids::{Incarnation, WeightVersion};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use transfer::BlockClient;

/// Runs a model engine.
pub struct Engine {
    core: Arc<Core>,
}

/// Holds what outlives a crash of the engine, as a test sees it.
struct Core {
    config: EngineConfig,
    faults: Switch<EngineFaults>,
    counters: Mutex<EngineCounters>,
    weight_store: Arc<WeightStore>,
    import_link: RateLimit,
    export_link: RateLimit,
    blocks: BlockClient,
    server: OnceLock<Arc<Server>>,
    life: Mutex<Arc<Life>>,
}

impl Engine {
    /// Starts the engine.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start(config: EngineConfig, weight_store: Arc<WeightStore>) -> io::Result<Self> {
        let core = Arc::new(Core::new(config, weight_store));
        let server = Server::start(core.config.address, handle(&core)).await?;
        let _ = core.server.set(server);
        core.life().start(&core);
        Ok(Self { core })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.core.server.get().map_or(self.core.config.address, |server| server.address())
    }

    /// Returns the incarnation of the present life.
    pub fn incarnation(&self) -> Incarnation {
        self.core.life().incarnation()
    }

    /// Returns the weight version in use.
    pub fn weight_version(&self) -> WeightVersion {
        self.core.life().weight_version()
    }

    /// Returns how many attempts are queued or generating.
    pub fn active_attempts(&self) -> usize {
        self.core.life().active_attempts()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.faults.set(faults);
    }

    /// Returns the counters.
    pub fn counters(&self) -> EngineCounters {
        self.core.counters()
    }

    /// Stops accepting; open connections go on.
    pub fn stop(&self) {
        self.core.with_server(Server::stop);
    }

    /// Ends the engine at once, with its listener, connections, runs and memory.
    pub fn kill(&self) {
        self.core.kill();
    }

    /// Serves again on the same address with a greater incarnation and an empty memory.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn restart(&self) -> io::Result<()> {
        self.core.restart().await
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.core.kill();
    }
}

impl Core {
    fn new(config: EngineConfig, weight_store: Arc<WeightStore>) -> Self {
        let life = Life::new(&config, config.incarnation, config.weight_version.clone());
        Self {
            faults: Switch::default(),
            counters: Mutex::default(),
            weight_store,
            import_link: RateLimit::new(config.import_bytes_per_s),
            export_link: RateLimit::new(config.export_bytes_per_s),
            blocks: BlockClient::new(config.address_map.clone()),
            server: OnceLock::new(),
            life: Mutex::new(Arc::new(life)),
            config,
        }
    }

    fn life(&self) -> Arc<Life> {
        Arc::clone(&lock(&self.life))
    }

    fn counters(&self) -> EngineCounters {
        lock(&self.counters).clone()
    }

    fn count(&self, change: impl FnOnce(&mut EngineCounters)) {
        change(&mut lock(&self.counters));
    }

    fn with_server(&self, act: impl FnOnce(&Server)) {
        if let Some(server) = self.server.get() {
            act(server);
        }
    }

    fn kill(&self) {
        self.with_server(Server::kill);
        self.life().end();
    }

    async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.kill();
        let incarnation = Incarnation::new(self.life().incarnation().value() + 1);
        let version = self.config.weight_version.clone();
        let life = Arc::new(Life::new(&self.config, incarnation, version));
        *lock(&self.life) = Arc::clone(&life);
        life.start(self);
        match self.server.get() {
            Some(server) => server.resume().await,
            None => Ok(()),
        }
    }

    /// Ends the engine and starts it again later, if asked to.
    fn crash(self: &Arc<Self>, restart_after_ms: Option<u64>) {
        let core = Arc::clone(self);
        self.count(|counters| counters.crashes += 1);
        tokio::spawn(async move {
            core.kill();
            let Some(delay_ms) = restart_after_ms else {
                return;
            };
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            if let Err(error) = core.restart().await {
                log::error!("the engine could not bind its address again: {error}");
            }
        });
    }
}

fn handle(core: &Arc<Core>) -> Handle {
    // A weak reference, since the core holds the server that holds this function.
    let core = Arc::downgrade(core);
    Arc::new(move |call| {
        let core = core.upgrade();
        async move {
            match core {
                Some(core) => handlers::answer(core, call).await,
                None => call.lose_answer().await,
            }
        }
        .boxed()
    })
}
