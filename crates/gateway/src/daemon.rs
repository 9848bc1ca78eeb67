//! A gateway's life: start, reload, drain and end.

use crate::callers::{self, Traffic};
use crate::event;
use crate::follow;
use crate::node::Node;
use crate::operators;
use crate::settings::GatewaySettings;
use crate::{discovery, peers, steward};
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

/// How long new connections may still come after SIGTERM, in milliseconds: the balancer asks
/// every second and takes a gateway out after two misses.
const BALANCER_MS: u64 = 2_600;
/// The part of the shutdown time in which requests may end by themselves.
const DRAIN_SHARE: f64 = 0.94;
/// How long the log's writer gets for the last lines.
const LAST_LINES: Duration = Duration::from_millis(250);
/// How often it is looked whether the settings file changed without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(3);
/// How often the drain looks whether requests are left.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Runs a gateway until SIGTERM or SIGINT and its drain.
///
/// # Errors
///
/// Returns an error if an address cannot be listened on or a signal cannot be watched.
pub async fn run(settings: GatewaySettings, file: &Path) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let (settings, listeners) = listen(settings).await?;
    let node = Arc::new(Node::new(settings));
    let traffic = Arc::new(Traffic::default());
    let accepting = start(&node, &traffic, listeners);
    let mut changed = modified(file);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&node, file),
            () = tokio::time::sleep(SETTINGS_LOOK) => {
                let now_changed = modified(file);
                if now_changed != changed {
                    changed = now_changed;
                    reload(&node, file);
                }
            }
        }
    }
    drain(&node, &traffic, &accepting).await;
    Ok(())
}

/// Returns when a file was last written; `None` if that cannot be told.
fn modified(file: &Path) -> Option<SystemTime> {
    std::fs::metadata(file).and_then(|metadata| metadata.modified()).ok()
}

/// Reads the settings again; wrong ones leave the old in force.
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

/// The listeners of a gateway.
struct Listening {
    callers: TcpListener,
    ready: TcpListener,
    peers: Option<(TcpListener, UdpSocket)>,
    metrics: TcpListener,
}

/// Opens all listeners and notes in the settings where they are.
async fn listen(mut settings: GatewaySettings) -> io::Result<(GatewaySettings, Listening)> {
    let metrics_address = SocketAddr::new(settings.address, settings.listen.metrics_port);
    let listening = Listening {
        callers: bind(settings.listen.callers).await?,
        ready: bind(settings.listen.ready).await?,
        peers: match settings.listen.peers {
            Some(address) => Some(bind_peers(address).await?),
            None => None,
        },
        metrics: bind(metrics_address).await?,
    };
    settings.listen.callers = listening.callers.local_addr()?;
    settings.listen.ready = listening.ready.local_addr()?;
    if let Some((peers, _)) = &listening.peers {
        settings.listen.peers = Some(peers.local_addr()?);
    }
    settings.listen.metrics_port = listening.metrics.local_addr()?.port();
    Ok((settings, listening))
}

/// Starts all tasks; returns the one that accepts callers.
fn start(node: &Arc<Node>, traffic: &Arc<Traffic>, listening: Listening) -> AbortHandle {
    let listen = &node.settings.listen;
    event!(info, node.now_ms(), "started", {
        "host": node.settings.host.as_str(),
        "failure_domain": node.settings.failure_domain.as_str(),
        "life": node.life,
        "callers": listen.callers,
        "ready": listen.ready,
        "peers": listen.peers,
        "metrics_port": listen.metrics_port,
    });
    if let Some((listener, socket)) = listening.peers {
        tokio::spawn(peers::accept(Arc::clone(node), listener));
        tokio::spawn(discovery::run(Arc::clone(node)));
        tokio::spawn(peers::pull(Arc::clone(node)));
        tokio::spawn(peers::push(Arc::clone(node)));
        tokio::spawn(peers::share_loads(Arc::clone(node), socket));
    }
    tokio::spawn(follow::run(Arc::clone(node)));
    tokio::spawn(watch_servers::run(Arc::clone(node)));
    tokio::spawn(steward::run(Arc::clone(node)));
    tokio::spawn(watch_blocks::run(Arc::clone(node)));
    tokio::spawn(operators::accept(Arc::clone(node), listening.ready));
    tokio::spawn(operators::accept(Arc::clone(node), listening.metrics));
    let accepting = callers::accept(Arc::clone(node), Arc::clone(traffic), listening.callers);
    tokio::spawn(accepting).abort_handle()
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot listen on {address}: {error}"))
    })
}

/// Opens the port for calls of other gateways, and the same one for their datagrams.
async fn bind_peers(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let listener = bind(address).await?;
    let address = listener.local_addr()?;
    let socket = UdpSocket::bind(address).await.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot listen for datagrams on {address}: {error}"))
    })?;
    Ok((listener, socket))
}

/// Answers what comes in until the balancer sends nothing more and all requests have ended.
///
/// New connections may come until the listener closes: a failure domain without ready gateways gets
/// callers all the same. Those accepted before are served to their end.
async fn drain(node: &Node, traffic: &Traffic, accepting: &AbortHandle) {
    let started_ms = node.now_ms();
    let bound_ms = (node.settings.bounds.shutdown_s * 1_000.0 * DRAIN_SHARE) as u64;
    node.start_draining(started_ms + bound_ms);
    event!(info, started_ms, "draining", {
        "connections": traffic.connections.load(Ordering::Relaxed),
        "requests": traffic.requests.load(Ordering::Relaxed),
    });
    let mut took_ms = 0;
    while took_ms < bound_ms {
        tokio::time::sleep(DRAIN_LOOK).await;
        took_ms = node.now_ms() - started_ms;
        if took_ms < BALANCER_MS {
            continue;
        }
        traffic.close_idle();
        if traffic.connections.load(Ordering::Relaxed) > 0 {
            continue;
        }
        if accepting.is_finished() {
            break;
        }
        accepting.abort();
    }
    event!(info, node.now_ms(), "stopped", {
        "requests_cut": traffic.requests.load(Ordering::Relaxed),
        "took_ms": took_ms,
    });
    tokio::time::sleep(LAST_LINES).await;
}
