#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts; the standard library is all they need.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O -o target/review/lab review/lab/main.rs
