#!/usr/bin/env bash
# Builds the stand-ins of the second review, which need nothing but the toolchain. The daemon itself comes from the build of
# the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml
