//! The kinds of crowds: what their clients send, and how many there are of them.

use crate::caller::new_id;
use crate::client::{End, Group, Reading};
use crate::fleet::{KEY, NOTES, ORDERS};
use crate::process::Gateway;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The configuration's limits.
pub const MAX_BODY_BYTES: usize = 4 << 20;
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// As many connections as the gateway's descriptors allow, and more.
const ALL_CONNECTIONS: usize = 3_000;
/// The clients that send bodies at the limit.
const LARGE_BODIES: usize = 64;
/// The sizes in which bodies are sent, in bytes.
const PIECE_BYTES: usize = 4 * 1024;
const CHUNK_BYTES: usize = 64 * 1024;
/// The fields of a request that an HTTP library commonly takes.
const FIELDS: usize = 88;

/// Where a crowd sends its requests.
#[derive(Clone, Copy, Debug)]
pub enum Place {
    Route,
    Stream,
    NoRoute,
    /// A third of the crowd at each of the other listeners.
    OtherListeners,
}

impl Place {
    fn targets(self) -> &'static [Target] {
        match self {
            Self::Route => &[Target::Route],
            Self::Stream => &[Target::Stream],
            Self::NoRoute => &[Target::NoRoute],
            Self::OtherListeners => &[Target::Ready, Target::Peers, Target::Metrics],
        }
    }
}

/// The listener and the path of a request.
#[derive(Clone, Copy, Debug)]
enum Target {
    Route,
    Stream,
    NoRoute,
    Ready,
    Peers,
    Metrics,
}

impl Target {
    fn address(self, gateway: &Gateway) -> SocketAddr {
        match self {
            Self::Route | Self::Stream | Self::NoRoute => gateway.callers,
            Self::Ready => gateway.ready,
            Self::Peers => gateway.peers,
            Self::Metrics => gateway.metrics,
        }
    }

    const fn path(self) -> &'static str {
        match self {
            Self::Route => ORDERS,
            Self::Stream => NOTES,
            Self::NoRoute => "/nowhere/",
            Self::Ready => "/camphorward/ready",
            Self::Peers => "/peers/news",
            Self::Metrics => "/metrics",
        }
    }

    /// Returns a head without the empty line at its end.
    fn head(self, extra: &str) -> String {
        let path = self.path();
        let id = new_id();
        let prompt = match self {
            Self::Stream => "X-Model: m\r\nX-Token-Count: 900,5\r\n",
            _ => "",
        };
        format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: {id}\r\n\
             Authorization: Bearer {KEY}\r\nX-Deadline-Ms: 60000\r\n{prompt}{extra}"
        )
    }

    /// Returns a request without a body.
    fn bare(self, extra: &str) -> Vec<u8> {
        (self.head(extra) + "Content-Length: 0\r\n\r\n").into_bytes()
    }

    /// Returns the head of a request with a body.
    fn with_length(self, extra: &str, bytes: usize) -> Vec<u8> {
        format!("{}Content-Length: {bytes}\r\n\r\n", self.head(extra)).into_bytes()
    }

    /// Returns the head of a request with a body at the limit.
    fn large(self) -> Vec<u8> {
        self.with_length("", MAX_BODY_BYTES)
    }

    fn chunked(self) -> Vec<u8> {
        (self.head("Transfer-Encoding: chunked\r\n") + "\r\n").into_bytes()
    }
}

/// What the clients of a crowd do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    Bodies,
    BodiesShortOfTheirEnd,
    SmallBodiesShortOfTheirEnd,
    BodiesFarOverTheLimit,
    ManyFields,
    FieldsUpToTheLimit,
    PipelinedAnswersUnread,
    PipelinedFieldsUpToTheLimit,
    SlowSenders,
    SlowReaders,
    HalfWayStops,
    Idle,
}

impl Kind {
    const ALL: [Self; 12] = [
        Self::Bodies,
        Self::BodiesShortOfTheirEnd,
        Self::SmallBodiesShortOfTheirEnd,
        Self::BodiesFarOverTheLimit,
        Self::ManyFields,
        Self::FieldsUpToTheLimit,
        Self::PipelinedAnswersUnread,
        Self::PipelinedFieldsUpToTheLimit,
        Self::SlowSenders,
        Self::SlowReaders,
        Self::HalfWayStops,
        Self::Idle,
    ];

    /// Returns the clients of the crowd.
    pub fn groups(self, gateway: &Gateway, place: Place) -> Vec<Group> {
        let targets = place.targets();
        let groups = targets.iter().flat_map(|target| self.groups_at(gateway, *target));
        let share = |group: Group| Group { clients: group.clients / targets.len(), ..group };
        groups.map(share).collect()
    }

    fn groups_at(self, gateway: &Gateway, target: Target) -> Vec<Group> {
        let group = Group {
            clients: self.clients(),
            address: target.address(gateway),
            pieces: Arc::default(),
            pause: Duration::ZERO,
            reading: Reading::Never,
            end: End::Stay,
        };
        let with = |pieces| Group { pieces: Arc::new(pieces), ..group.clone() };
        match self {
            Self::Bodies => vec![
                with(vec![[target.large(), vec![b'y'; MAX_BODY_BYTES]].concat()]),
                with(after(target.large(), &[b'y'; PIECE_BYTES], MAX_BODY_BYTES / PIECE_BYTES)),
                with(after(target.chunked(), &chunk(CHUNK_BYTES), MAX_BODY_BYTES / CHUNK_BYTES)),
            ],
            Self::BodiesFarOverTheLimit => vec![
                with(after(target.chunked(), &chunk(1 << 20), 16)),
                with(after(target.with_length("", 1 << 30), &[b'y'; 1 << 20], 8)),
            ],
            Self::SlowSenders => {
                let head = String::from_utf8(target.bare(&fields(FIELDS))).unwrap();
                let pieces = head.as_bytes().chunks(head.len() / 30).map(<[u8]>::to_vec);
                vec![Group { pause: Duration::from_millis(150), ..with(pieces.collect()) }]
            }
            Self::SlowReaders => vec![Group {
                reading: Reading::Slowly,
                ..with(vec![target.bare(""), target.bare(""), target.bare("")])
            }],
            Self::HalfWayStops => {
                let head = target.bare(&fields(FIELDS));
                let in_head = with(vec![head[..head.len() / 2].to_vec()]);
                let body = vec![b'y'; MAX_BODY_BYTES / 8];
                let in_body = with(vec![target.with_length("", MAX_BODY_BYTES), body]);
                vec![
                    Group { end: End::Leave, ..in_head },
                    Group { end: End::Leave, clients: LARGE_BODIES, ..in_body },
                ]
            }
            _ => vec![with(self.pieces(target))],
        }
    }

    fn clients(self) -> usize {
        match self {
            Self::Bodies | Self::BodiesFarOverTheLimit => LARGE_BODIES,
            Self::BodiesShortOfTheirEnd => 3 * LARGE_BODIES,
            Self::SlowReaders => 400,
            _ => ALL_CONNECTIONS,
        }
    }

    fn pieces(self, target: Target) -> Vec<Vec<u8>> {
        /// A body that is small for the gateway, and less than peers may send.
        const SMALL_BODY_BYTES: usize = 60_000;
        match self {
            Self::BodiesShortOfTheirEnd => vec![target.large(), vec![b'y'; MAX_BODY_BYTES - 1]],
            Self::SmallBodiesShortOfTheirEnd => {
                vec![target.with_length("", SMALL_BODY_BYTES), vec![b'y'; SMALL_BODY_BYTES - 1]]
            }
            // The body never ends, so the head stays in memory.
            Self::ManyFields => {
                vec![[target.with_length(&fields(FIELDS), 2), b"y".to_vec()].concat()]
            }
            Self::FieldsUpToTheLimit => vec![target.bare(&fields_up_to_the_limit(target))],
            Self::PipelinedAnswersUnread => vec![target.bare(&fields(FIELDS)).repeat(100)],
            Self::PipelinedFieldsUpToTheLimit => {
                vec![target.bare(&fields_up_to_the_limit(target)).repeat(16)]
            }
            _ => Vec::new(),
        }
    }
}

/// Returns as many clients as the host has descriptors, each with one small request.
pub fn small_requests(gateway: &Gateway, place: Place) -> Vec<Group> {
    let targets = place.targets().iter();
    let group = |target: &Target| Group {
        clients: ALL_CONNECTIONS,
        address: target.address(gateway),
        pieces: Arc::new(vec![target.bare("")]),
        pause: Duration::ZERO,
        reading: Reading::Never,
        end: End::Stay,
    };
    targets.map(group).collect()
}

/// Returns a tenth of each crowd, at once.
pub fn mixed(gateway: &Gateway, place: Place) -> Vec<Group> {
    let groups = Kind::ALL.into_iter().flat_map(|kind| kind.groups(gateway, place));
    groups.map(|group| Group { clients: group.clients.div_ceil(10), ..group }).collect()
}

fn fields(count: usize) -> String {
    (0..count).map(|index| format!("{index:x}:1\r\n")).collect()
}

/// Returns as many short fields as the limit of a head allows.
fn fields_up_to_the_limit(target: Target) -> String {
    const FIELD_BYTES: usize = "fff:1\r\n".len();
    fields((MAX_HEADER_BYTES - 64 - target.bare("").len()) / FIELD_BYTES)
}

/// Returns a piece followed by a number of others that are alike.
fn after(first: Vec<u8>, other: &[u8], count: usize) -> Vec<Vec<u8>> {
    std::iter::once(first).chain(std::iter::repeat_n(other.to_vec(), count)).collect()
}

fn chunk(bytes: usize) -> Vec<u8> {
    [format!("{bytes:x}\r\n").as_bytes(), &vec![b'y'; bytes], b"\r\n"].concat()
}
