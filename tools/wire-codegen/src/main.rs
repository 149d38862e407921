//! Regenerates the committed message code of `stallhoist-wire`.
//!
//! Without arguments it writes the file; with `--check` it only compares, and
//! fails when the committed code is not what the `.proto` file gives. The build
//! itself runs no generator.

use std::error::Error;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

const PROTO_DIR: &str = "crates/wire/proto";
const PROTO_FILE: &str = "crates/wire/proto/stallhoist.proto";
const COMMITTED: &str = "crates/wire/src/generated/messages.rs";
const GENERATED_NAME: &str = "stallhoist.wire.v1.rs";

fn main() -> ExitCode {
    let only_check = std::env::args().any(|arg| arg == "--check");
    match run(only_check) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!(
                "{COMMITTED} is not what {PROTO_FILE} gives: run `cargo run -p stallhoist-wire-codegen`"
            );
            ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("cannot generate: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Gives whether the committed file is current when the function returns.
fn run(only_check: bool) -> Result<bool, Box<dyn Error>> {
    let fresh = generate()?;
    if only_check {
        let committed = fs::read_to_string(COMMITTED).unwrap_or_default();
        return Ok(committed == fresh);
    }
    fs::write(COMMITTED, fresh)?;
    Ok(true)
}

fn generate() -> Result<String, Box<dyn Error>> {
    let descriptors = protox::compile([PROTO_FILE], [PROTO_DIR])?;
    let out_dir = std::env::temp_dir().join(format!("stallhoist-wire-{}", std::process::id()));
    fs::create_dir_all(&out_dir)?;
    let mut config = prost_build::Config::new();
    config.out_dir(&out_dir);
    config.bytes([".stallhoist.wire.v1.Dispatch.body", ".stallhoist.wire.v1.Chunk.payload"]);
    config.compile_fds(descriptors)?;
    let generated = fs::read_to_string(Path::new(&out_dir).join(GENERATED_NAME))?;
    fs::remove_dir_all(&out_dir)?;
    Ok(generated)
}
