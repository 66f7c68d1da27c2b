#!/usr/bin/env bash
# Checks format, vet, staticcheck and that the generated page is not stale.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
  printf 'gofmt would change:\n%s\n' "$unformatted"
  exit 1
fi
go vet ./...
go tool staticcheck ./...
page=$(mktemp)
trap 'rm -f "$page"' EXIT
go run ./cmd/oriolehub/cmds/generate "$page"
if ! cmp -s "$page" docs/cli.md; then
  echo "docs/cli.md is stale: run 'make generate'"
  exit 1
fi
echo "lint: clean"
