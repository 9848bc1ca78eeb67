//! The `camphorward` program, the operators' command line.

use camphorward::{Environment, Exit, Streams};
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let (mut input, mut out, mut err) = (std::io::stdin(), std::io::stdout(), std::io::stderr());
    let streams = Streams { input: &mut input, out: &mut out, err: &mut err };
    let Ok(args) = std::env::args_os().skip(1).map(|arg| arg.into_string()).collect() else {
        eprintln!("error: an argument is not valid UTF-8");
        return Exit::InvalidInput.into();
    };
    camphorward::run(args, &Environment::from_process(), streams).await.into()
}
