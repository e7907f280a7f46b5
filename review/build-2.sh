#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which need no package.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin-2/Cargo.toml --target-dir target/review-2
