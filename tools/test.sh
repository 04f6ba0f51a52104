#!/usr/bin/env bash
# Builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/build.sh
ctest --test-dir build --output-on-failure -j "$(nproc)" "$@"
