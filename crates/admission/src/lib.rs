//! Decisions on which requests run, are refused or retried; no I/O, time is an argument.
//!
//! | the daemon has | it calls | and does |
//! |---|---|---|
//! | a placed request | [`gate::Gate::admit`], then `admitted` | sends it, or answers the refusal at once |
//! | a failed attempt | [`retry::decide`] | sends again as told, or answers the refusal at once |
//! | a request before it is placed | [`quarantine::Quarantine::status`] at its home | isolates, pins or refuses it |
//! | a run that started, broke off or finished | `Quarantine::started`, `aborted`, `finished` on its entry host and home | |
//! | a dead incarnation of a server | `Quarantine::server_crashed` | sends the reports to the homes |
//! | a report of another host | `Quarantine::report` | tells the service's home of a confirmed crash |
//! | a suspect to place | [`isolation::IsolationTable`] at the service's home | sends it to the granted server |
//! | a report, a cleared suspect, a confirmed crash | [`crash_limit::CrashLimits`] at the service's home | tells all entry hosts of restrictions |
//! | a request, before all else | [`crash_limit::Restrictions`] on its entry host | refuses it, or treats it as a suspect on probation |

pub mod crash_limit;
pub mod deadline;
pub mod fair_share;
pub mod gate;
pub mod isolation;
pub mod quarantine;
pub mod refusal;
pub mod reserve;
pub mod retry;
pub mod retry_budget;
