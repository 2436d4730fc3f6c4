#!/usr/bin/env bash
# Builds the program that plays the scripts of review/11 to review/15, into target/. It needs no package beyond the
# standard library, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/rig3 ./review/_rig3
