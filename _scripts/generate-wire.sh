#!/usr/bin/env bash
# Regenerates the committed Go code of internal/wire/message from message.proto. Requires protoc in PATH.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH="$bin:$PATH" protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. internal/wire/message/message.proto
