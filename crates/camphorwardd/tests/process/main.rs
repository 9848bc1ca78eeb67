//! Tests with daemons as separate processes, against stand-ins in the test's process.

mod caller;
mod daemon;
mod site;
mod wait;

mod bad_input;
mod cut_off;
mod faults;
mod orders;
mod overload;
mod quarantine;
mod returning;
mod safety;
mod silence;
mod survival;
mod thin_path;
