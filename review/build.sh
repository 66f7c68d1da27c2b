#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. Needs no network after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false GOTOOLCHAIN=local
mkdir -p review/bin
go build -o review/bin/rig ./review/_rig
