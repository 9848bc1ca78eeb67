//! The options of connections, as the operating system returns them.

use gateway::connect;
use socket2::SockRef;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// How long a sound server may be silent.
const SILENCE: Duration = Duration::from_secs(2);

#[tokio::test]
async fn a_silent_server_does_not_end_an_idle_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    for prepare in [connect::prepare, connect::prepare_caller] {
        let stream = TcpStream::connect(address).await.unwrap();
        prepare(&stream).unwrap();
        let socket = SockRef::from(&stream);
        let (idle, interval) =
            (socket.tcp_keepalive_time().unwrap(), socket.tcp_keepalive_interval().unwrap());
        let probes = socket.tcp_keepalive_retries().unwrap();
        assert!(socket.keepalive().unwrap() && stream.nodelay().unwrap());
        assert!(interval * probes > SILENCE, "{interval:?} {probes}");
        // Probes give up at the user timeout, counted from the last byte received.
        let user_timeout = socket.tcp_user_timeout().unwrap().unwrap();
        assert!(user_timeout >= idle + SILENCE, "{user_timeout:?} {idle:?}");
    }
}
