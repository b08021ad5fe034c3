#!/usr/bin/env bash
# Builds the stand-ins of the second review, which the scripts of its cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/stand-in-2/Cargo.toml --target-dir target/review-2
