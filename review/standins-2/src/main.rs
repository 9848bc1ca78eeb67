//! The cases of the second review that are scripts: `review-2 CASE PROGRAM RECORD`. With `TROUBLE=0`
//! in the environment a case is played without its disruption. Exits with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run.

mod caller;
mod engine;
mod gateway;
mod in_place;
mod memory;
mod restart;
mod site;
mod wall;

use std::process::ExitCode;
use std::time::Duration;

/// Why a case could not run.
type Problem = Box<dyn std::error::Error + Send + Sync>;

/// What a case found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Verdict {
    Held,
    Broken,
}

/// How long a case may take.
const MAX_TIME: Duration = Duration::from_secs(110);

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, program, record] = arguments.as_slice() else {
        eprintln!("review-2 CASE PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let mut log = site::Log::new();
    let playing = async {
        match case.as_str() {
            "wall" => wall::play(program, has_trouble, &mut log).await,
            "restart" => restart::play(program, has_trouble, &mut log).await,
            "memory" => memory::play(program, has_trouble, &mut log).await,
            "in-place" => in_place::play(program, has_trouble, &mut log).await,
            _ => Err("no such case".into()),
        }
    };
    let verdict = tokio::time::timeout(MAX_TIME, playing).await;
    let verdict = verdict.unwrap_or_else(|_| Err("the case took too long".into()));
    let code = match &verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    };
    log.add(format!("verdict: {verdict:?}, trouble: {has_trouble}"));
    if std::fs::write(record, log.text()).is_err() {
        eprintln!("cannot write {record}");
        return ExitCode::from(2);
    }
    println!("{verdict:?}");
    ExitCode::from(code)
}
