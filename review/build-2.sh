#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, with the standard library alone. Run in the repository.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/standins review/standins-2/main.rs
