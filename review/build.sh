#!/bin/sh
# Builds the stand-ins and cases of the review with the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/cases review/standins/main.rs
