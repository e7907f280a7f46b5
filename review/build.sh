#!/bin/sh
# Builds the stand-ins of the review's cases, after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml \
    --target-dir target/review
