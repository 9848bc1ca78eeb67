//! Switches with which tests set faults, in the same process or over HTTP.

use crate::reply;
use crate::server::Call;
use gotham::helpers::http::Body;
use http::{Method, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The current faults of one stand-in.
#[derive(Debug, Default)]
pub struct Switch<F> {
    faults: Mutex<F>,
}

impl<F: Clone + DeserializeOwned + Serialize> Switch<F> {
    /// Returns the faults.
    pub fn get(&self) -> F {
        lock(&self.faults).clone()
    }

    /// Replaces the faults.
    pub fn set(&self, faults: F) {
        *lock(&self.faults) = faults;
    }

    /// Changes the faults in place.
    pub fn update<R>(&self, change: impl FnOnce(&mut F) -> R) -> R {
        change(&mut lock(&self.faults))
    }

    /// Answers a call to `/faults`: `GET` returns the faults, `POST` replaces them.
    pub fn answer(&self, call: &Call) -> Response<Body> {
        if call.method == Method::GET {
            return reply::json(StatusCode::OK, &self.get());
        }
        match call.json() {
            Ok(faults) => {
                self.set(faults);
                reply::empty(StatusCode::NO_CONTENT)
            }
            Err(response) => *response,
        }
    }
}

/// Decrements a count; returns whether it was greater than zero.
pub(crate) fn take_one(count: &mut u32) -> bool {
    let any = *count > 0;
    *count = count.saturating_sub(1);
    any
}

/// Locks a mutex, even if a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
