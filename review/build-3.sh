#!/usr/bin/env bash
# Builds what the scripts of the cases 11 to 15 start beside the program: the rig with the project's stand-ins.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
mkdir -p target
go build -o target/rig3 ./review/_rig3
