//! Lets the options of every command stand behind the command as well.

/// The options with a value that every command knows.
const VALUE_OPTIONS: &[&str] = &["--log", "--nodes", "--client-settings"];
/// The options without a value that every command knows.
const SWITCHES: &[&str] = &["--json", "--verbose"];
/// Ends the options.
const END_OF_OPTIONS: &str = "--";

/// Puts the common options before all else; `--name=value` becomes two arguments.
///
/// # Errors
///
/// Returns a message for an option whose value is missing.
pub(super) fn hoist(args: &[String]) -> Result<Vec<String>, String> {
    let mut common = Vec::new();
    let mut others = Vec::new();
    let mut rest = split_values(args).into_iter();
    while let Some(arg) = rest.next() {
        if arg == END_OF_OPTIONS {
            others.push(arg);
            others.extend(rest.by_ref());
        } else if SWITCHES.contains(&arg.as_str()) {
            common.push(arg);
        } else if VALUE_OPTIONS.contains(&arg.as_str()) {
            let value =
                rest.next().ok_or_else(|| format!("No value provided for option '{arg}'."))?;
            common.extend([arg, value]);
        } else {
            others.push(arg);
        }
    }
    common.extend(others);
    Ok(common)
}

fn split_values(args: &[String]) -> Vec<String> {
    let ended = args.iter().position(|arg| arg == END_OF_OPTIONS).unwrap_or(args.len());
    let (options, rest) = args.split_at(ended);
    let split = options.iter().flat_map(|arg| match arg.split_once('=') {
        Some((name, value)) if name.starts_with("--") => vec![name.to_owned(), value.to_owned()],
        _ => vec![arg.clone()],
    });
    split.chain(rest.iter().cloned()).collect()
}
