//! Crashes of a server: what triggers them, and how its connections end.

use crate::fleet::http::ReceivedRequest;
use socket2::SockRef;
use std::io;
use std::time::Duration;
use tokio::net::TcpStream;

/// What makes a server crash.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub enum CrashTrigger {
    /// Nothing.
    #[default]
    None,
    /// A request with the text in its target or body, as it begins to run.
    Request(String),
    /// A request whose prompt has the segment, though not as its last, as its answer begins.
    Segment(String),
}

impl CrashTrigger {
    /// Returns whether a request makes the server crash before its answer begins.
    pub fn is_request(&self, request: &ReceivedRequest) -> bool {
        match self {
            CrashTrigger::None | CrashTrigger::Segment(_) => false,
            CrashTrigger::Request(text) => {
                request.target.contains(text) || contains(&request.body, text.as_bytes())
            }
        }
    }
}

impl CrashTrigger {
    /// Returns whether a request makes the server crash as its answer begins.
    pub fn is_answer(&self, request: &ReceivedRequest) -> bool {
        let CrashTrigger::Segment(wanted) = self else { return false };
        let segments: Vec<&str> = request.header("x-prompt-prefix").split(',').collect();
        let shared = segments.split_last().map_or(&[] as &[&str], |(_, shared)| shared);
        shared.iter().any(|segment| segment.split(':').next() == Some(wanted))
    }
}

fn contains(bytes: &[u8], text: &[u8]) -> bool {
    bytes.windows(text.len()).any(|window| window == text)
}

/// How a server crashes.
#[derive(Clone, Debug, Default)]
pub struct CrashPlan {
    /// What triggers it.
    pub trigger: CrashTrigger,
    /// How long after the trigger it ends.
    pub delay: Duration,
    /// How long after its end it starts again, with a new ID; `None` if it does not.
    pub restart_after: Option<Duration>,
}

/// A second handle of a connection, with which it can be reset when its server crashes.
#[derive(Debug)]
pub struct Resettable(std::net::TcpStream);

impl Resettable {
    /// Splits a second handle off a connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has no file descriptor left.
    pub fn new(stream: TcpStream) -> io::Result<(TcpStream, Self)> {
        let stream = stream.into_std()?;
        let handle = stream.try_clone()?;
        Ok((TcpStream::from_std(stream)?, Self(handle)))
    }

    /// Makes the connection end with a reset once it is closed.
    pub fn reset(&self) {
        // A connection that the caller has closed has nothing to reset.
        drop(SockRef::from(&self.0).set_linger(Some(Duration::ZERO)));
    }
}
