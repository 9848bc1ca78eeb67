//! Admission, refusal, retry and quarantine of requests.
//!
//! The crate does no I/O; the time is an argument.
//!
//! | event in the daemon | call | action |
//! |---|---|---|
//! | a request was placed | [`gate::Gate::admit`] | sends it, or immediately answers with the refusal |
//! | a request was refused | [`return_times::ReturnTimes::book`] | answers with the delay |
//! | an attempt failed | [`retry::decide`] | retries as decided, or immediately answers with the refusal |
//! | a request is about to be placed | [`quarantine::Quarantine::status`] at its home | isolates, pins or refuses it |
//! | an attempt started, was aborted or finished | `Quarantine::started`, `aborted`, `finished` on its entry host and home | |
//! | an incarnation of a server crashed | `Quarantine::server_crashed` | sends the reports to the homes |
//! | another host sent a report | `Quarantine::report` | reports a confirmed crash to the service's home |
//! | a suspect is about to be placed | [`isolation::IsolationTable`] at the service's home | sends it to the granted server |
//! | a suspect was reported or cleared, or a crash confirmed | [`crash_limit::CrashLimits`] at the service's home | publishes restrictions to all entry hosts |
//! | a request arrived, before all other calls | [`crash_limit::Restrictions`] on its entry host | refuses it, or treats it as a suspect on probation |

pub mod crash_limit;
pub mod deadline;
pub mod fair_share;
pub mod gate;
pub mod isolation;
pub mod peer_sums;
pub mod quarantine;
pub mod refusal;
pub mod reserve;
pub mod retry;
pub mod retry_budget;
pub mod return_times;
