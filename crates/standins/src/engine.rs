//! A stand-in for an inference engine with a prefix cache of limited size.
//!
//! Besides the calls of `clients::wire::engine` it answers `GET /faults` and `POST /faults` with
//! [`EngineFaults`], `GET /counters` with [`EngineCounters`], and `POST /kill` with
//! [`Kill`](crate::server::Kill).

mod attempts;
mod cache;
mod config;
mod handlers;
mod instance;
mod prefill;
mod transfer;
mod weights;

pub use config::{EngineConfig, EngineCounters, EngineFaults};

use crate::rate::RateLimit;
use crate::server::{HandlerFn, Server};
use crate::switch::{Switch, lock};
use crate::weight_store::WeightStore;
use futures_util::FutureExt;
use instance::Instance;
use protocol::ids::{Incarnation, WeightVersion};
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;
use transfer::BlockClient;

/// A running inference engine.
pub struct Engine {
    core: Arc<Core>,
}

/// The state that survives a crash of the engine, such as counters that tests read.
struct Core {
    config: EngineConfig,
    faults: Switch<EngineFaults>,
    counters: Mutex<EngineCounters>,
    weight_store: Arc<WeightStore>,
    import_link: RateLimit,
    export_link: RateLimit,
    blocks: BlockClient,
    server: OnceLock<Arc<Server>>,
    /// The current incarnation.
    instance: Mutex<Arc<Instance>>,
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
        core.instance().start(&core);
        Ok(Self { core })
    }

    /// Returns the address.
    pub fn address(&self) -> SocketAddr {
        self.core.server.get().map_or(self.core.config.address, |server| server.address())
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.core.instance().incarnation()
    }

    /// Returns the weight version in use.
    pub fn weight_version(&self) -> WeightVersion {
        self.core.instance().weight_version()
    }

    /// Returns the number of attempts that are queued or generating.
    pub fn active_attempts(&self) -> usize {
        self.core.instance().active_attempts()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.core.faults.set(faults);
    }

    /// Returns the counters.
    pub fn counters(&self) -> EngineCounters {
        self.core.counters()
    }

    /// Stops accepting connections; open ones continue.
    pub fn stop(&self) {
        self.core.with_server(Server::stop);
    }

    /// Sends and reads nothing on any connection until [`Engine::unpause`]; all stay open.
    pub fn pause(&self) {
        self.core.with_server(Server::pause);
    }

    /// Ends a pause; each connection continues where it stopped.
    pub fn unpause(&self) {
        self.core.with_server(Server::unpause);
    }

    /// Stops the engine at once: closes its listener and connections, and drops its attempts and
    /// memory.
    pub fn kill(&self) {
        self.core.kill();
    }

    /// Restarts on the same address with a greater incarnation and an empty memory.
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
        let instance = Instance::new(&config, config.incarnation, config.weight_version.clone());
        Self {
            faults: Switch::default(),
            counters: Mutex::default(),
            weight_store,
            import_link: RateLimit::new(config.import_bytes_per_s),
            export_link: RateLimit::new(config.export_bytes_per_s),
            blocks: BlockClient::new(config.address_map.clone()),
            server: OnceLock::new(),
            instance: Mutex::new(Arc::new(instance)),
            config,
        }
    }

    fn instance(&self) -> Arc<Instance> {
        Arc::clone(&lock(&self.instance))
    }

    fn counters(&self) -> EngineCounters {
        lock(&self.counters).clone()
    }

    fn count(&self, change: impl FnOnce(&mut EngineCounters)) {
        change(&mut lock(&self.counters));
    }

    fn with_server(&self, action: impl FnOnce(&Server)) {
        if let Some(server) = self.server.get() {
            action(server);
        }
    }

    fn kill(&self) {
        self.with_server(Server::kill);
        self.instance().stop();
    }

    async fn restart(self: &Arc<Self>) -> io::Result<()> {
        self.kill();
        let incarnation = Incarnation::new(self.instance().incarnation().value() + 1);
        let version = self.config.weight_version.clone();
        let instance = Arc::new(Instance::new(&self.config, incarnation, version));
        *lock(&self.instance) = Arc::clone(&instance);
        instance.start(self);
        match self.server.get() {
            Some(server) => server.resume().await,
            None => Ok(()),
        }
    }

    /// Kills the engine, and restarts it after a delay if one is given.
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
                log::error!("engine cannot bind its address again after a crash: {error}");
            }
        });
    }
}

fn handle(core: &Arc<Core>) -> HandlerFn {
    // A weak reference, because the core owns the server, which owns this closure.
    let core = Arc::downgrade(core);
    Arc::new(move |call| {
        let core = core.upgrade();
        async move {
            match core {
                Some(core) => handlers::answer(core, call).await,
                None => call.drop_connection().await,
            }
        }
        .boxed()
    })
}
