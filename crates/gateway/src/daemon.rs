//! The gateway process: start, reload, drain and exit.

use crate::callers::{self, Traffic};
use crate::clock;
use crate::cold;
use crate::connection_limits::Side;
use crate::crashes;
use crate::drain::Drain;
use crate::event;
use crate::follow;
use crate::limits;
use crate::link;
use crate::node::Node;
use crate::operators;
use crate::settings::GatewaySettings;
use crate::software_history;
use crate::supervisor;
use crate::{discovery, paths, peers, rollout_leader};
use crate::{watch_blocks, watch_servers};
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::AbortHandle;

/// The share of the shutdown time in which requests may complete.
const DRAIN_SHARE: f64 = 0.94;
/// How long the process waits before its exit for the log writer to write the last lines.
const LOG_FLUSH_DELAY: Duration = Duration::from_millis(250);
/// How often the settings file is checked for changes that no signal announced.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(3);
/// How often the drain checks whether connections are left.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs a gateway until it has drained after SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if a listener cannot be bound or a signal handler cannot be installed.
pub async fn run(settings: GatewaySettings, file: &Path) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (settings, listeners) = listen(settings).await?;
    let node = Arc::new(Node::new(settings));
    link::set_memory(&node.memory);
    let traffic = Arc::new(Traffic::default());
    let accept_task = start(&node, &traffic, listeners);
    let mut last_modified = modified(file);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&node, file),
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => {
                let modified_at = modified(file);
                if modified_at != last_modified {
                    last_modified = modified_at;
                    reload(&node, file);
                }
            }
        }
    }
    drain(&node, &traffic, &accept_task).await;
    Ok(())
}

/// Returns a file's modification time; `None` if it cannot be read.
fn modified(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}

/// Reloads the settings; invalid ones leave the old settings in force.
fn reload(node: &Node, file: &Path) {
    match GatewaySettings::read(file) {
        Ok(settings) => {
            node.reload(&settings);
            event!(info, node.now_ms(), "reloaded", { "seeds": node.seeds() });
        }
        Err(error) => {
            node.metrics.count("reloads", "failed");
            event!(warn, node.now_ms(), "reload_failed", { "error": error.to_string() });
        }
    }
}

/// The bound listeners of a gateway.
struct BoundListeners {
    callers: TcpListener,
    ready: TcpListener,
    peers: Option<(TcpListener, UdpSocket)>,
    metrics: TcpListener,
}

/// Binds all listeners and records their actual addresses in the settings.
async fn listen(mut settings: GatewaySettings) -> io::Result<(GatewaySettings, BoundListeners)> {
    let metrics_address = SocketAddr::new(settings.address, settings.listen.metrics_port);
    let listeners = BoundListeners {
        callers: bind(settings.listen.callers).await?,
        ready: bind(settings.listen.ready).await?,
        peers: match settings.listen.peers {
            Some(address) => Some(bind_peers(address).await?),
            None => None,
        },
        metrics: bind(metrics_address).await?,
    };
    settings.listen.callers = listeners.callers.local_addr()?;
    settings.listen.ready = listeners.ready.local_addr()?;
    if let Some((peers, _)) = &listeners.peers {
        settings.listen.peers = Some(peers.local_addr()?);
    }
    settings.listen.metrics_port = listeners.metrics.local_addr()?.port();
    Ok((settings, listeners))
}

/// Starts all tasks; returns the handle of the task that accepts callers.
fn start(node: &Arc<Node>, traffic: &Arc<Traffic>, listeners: BoundListeners) -> AbortHandle {
    let listen = &node.settings.listen;
    event!(info, node.now_ms(), "started", {
        "host": node.settings.host.as_str(),
        "failure_domain": node.settings.failure_domain.as_str(),
        "life": node.incarnation,
        "callers": listen.callers,
        "ready": listen.ready,
        "peers": listen.peers,
        "metrics_port": listen.metrics_port,
    });
    if let Some((listener, socket)) = listeners.peers {
        let socket = Arc::new(socket);
        node.stream_exchange.set_socket(Arc::clone(&socket));
        tokio::spawn(peers::accept(Arc::clone(node), listener));
        tokio::spawn(supervisor::run(Arc::clone(node), "discovery", discovery::run));
        tokio::spawn(supervisor::run(Arc::clone(node), "peers_pull", peers::pull));
        tokio::spawn(supervisor::run(Arc::clone(node), "peers_targets", peers::pull_targets));
        tokio::spawn(supervisor::run(Arc::clone(node), "peers_push", peers::push));
        tokio::spawn(supervisor::run(Arc::clone(node), "crashes_push", crashes::push));
        tokio::spawn(supervisor::run(Arc::clone(node), "peers_terms", peers::share_terms));
        tokio::spawn(peers::share_loads(Arc::clone(node), socket));
    }
    tokio::spawn(supervisor::run(Arc::clone(node), "follow", follow::run));
    tokio::spawn(supervisor::run(
        Arc::clone(node),
        "software_history",
        software_history::answer_queries,
    ));
    tokio::spawn(supervisor::run(Arc::clone(node), "crashes_read", crashes::read));
    tokio::spawn(crashes::write(Arc::clone(node)));
    tokio::spawn(supervisor::run(Arc::clone(node), "watch_servers", watch_servers::run));
    tokio::spawn(supervisor::run(Arc::clone(node), "limits", limits::refresh));
    tokio::spawn(supervisor::run(Arc::clone(node), "cold", cold::run));
    tokio::spawn(supervisor::run(Arc::clone(node), "paths", paths::probe));
    tokio::spawn(supervisor::run(Arc::clone(node), "clock", clock::run));
    tokio::spawn(supervisor::run(Arc::clone(node), "rollout_leader", rollout_leader::run));
    tokio::spawn(watch_blocks::run(Arc::clone(node)));
    tokio::spawn(operators::accept(Arc::clone(node), Side::Readiness, listeners.ready));
    tokio::spawn(operators::accept(Arc::clone(node), Side::Metrics, listeners.metrics));
    let accept_task = callers::accept(Arc::clone(node), Arc::clone(traffic), listeners.callers);
    tokio::spawn(accept_task).abort_handle()
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot listen on {address}: {error}"))
    })
}

/// Binds one port for both calls and datagrams of other gateways.
async fn bind_peers(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let listener = bind(address).await?;
    let address = listener.local_addr()?;
    let socket = UdpSocket::bind(address).await.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot listen for datagrams on {address}: {error}"))
    })?;
    Ok((listener, socket))
}

/// Serves callers until the balancer sends no new connections and all connections have closed, also
/// those that are carried for other gateways, or until the drain's share of the shutdown time is over.
///
/// New connections may arrive until the listener closes, because the balancer sends callers also to
/// a failure domain without ready gateways. Connections accepted before are served until they
/// close.
async fn drain(node: &Node, traffic: &Traffic, accept_task: &AbortHandle) {
    let started_ms = node.now_ms();
    let bound_ms = (node.settings.bounds.shutdown_s * 1_000.0 * DRAIN_SHARE) as u64;
    let drain = node.start_draining(Drain::new(started_ms, bound_ms));
    peers::hand_over_streams(node);
    event!(info, started_ms, "draining", {
        "connections": traffic.connections.load(Ordering::Relaxed),
        "requests": traffic.requests.load(Ordering::Relaxed),
    });
    while !drain.is_over(node.now_ms()) {
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
        let now_ms = node.now_ms();
        if now_ms >= drain.last_answers_ms() {
            node.end_requests();
        }
        if drain.awaits_balancer(now_ms) {
            continue;
        }
        traffic.close_idle();
        if traffic.connections.load(Ordering::Relaxed) > 0 || node.tunnels.open() > 0 {
            continue;
        }
        if accept_task.is_finished() {
            break;
        }
        accept_task.abort();
    }
    event!(info, node.now_ms(), "stopped", {
        "requests_cut": traffic.requests.load(Ordering::Relaxed),
        "took_ms": node.now_ms() - started_ms,
    });
    tokio::time::sleep(LOG_FLUSH_DELAY).await;
}
