#!/bin/bash
# Builds the stand-ins of the cases into target/review; standard library only, no network.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
