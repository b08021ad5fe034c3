#!/usr/bin/env bash
# Builds the stand-ins of the third review's cases, apart from the workspace.
set -euo pipefail
cd "$(dirname "$0")/stand-in-3"
cargo build --release --locked --target-dir ../../target/review-three
