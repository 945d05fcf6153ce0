#!/bin/sh
# Builds the stand-ins that the scripts of review/11 to review/15 start. They need the
# standard library only. The program under test is that of the deploy file's build.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand-in-3 review/stand-in-3/main.rs
