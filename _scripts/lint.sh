#!/usr/bin/env bash
# Checks formatting, the build and go vet for x86-64 and arm64, staticcheck, the use of the platform's names, and that docs/cli.md is up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
unformatted=$(gofmt -l _scripts cmd internal platform)
if [ -n "$unformatted" ]; then
  printf 'files not formatted with gofmt:\n%s\n' "$unformatted"
  exit 1
fi
# Header fields, paths and keys of the platform's protocol may occur only in its adapter.
platform_names='X-Oriolehub-(Attempt-Id|Server-Signature|Not-Executed|Expected-|Token-Usage|Prefix-Hash|Length-Hint|Tenant-Id|Deadline-Ms|Model-Id|Weight-Versions)'
platform_names+='|/api/(kv-|stage-|order|report|manifest|piece|readyz)|kv_used|cold_left_ms|route_kind|path_prefix|seq_no|swap_mode|api_keys|allowed_regions|Server-Limit|Server-Leaving|Store-Era'
if git grep -nE "$platform_names" -- '*.go' ':!platform' ':!deploy'; then
  echo "the Go code listed above uses names of the platform's protocol outside platform/ and deploy/"
  exit 1
fi
# The program runs on both architectures. The C library is needed only to link it.
for arch in amd64 arm64; do
  CGO_ENABLED=0 GOARCH=$arch go build ./...
  CGO_ENABLED=0 GOARCH=$arch go vet ./... ./_scripts/prove
  CGO_ENABLED=0 GOARCH=$arch go vet -tags crowd ./cmd/oriolehub
done
go tool staticcheck ./...
page=$(mktemp)
trap 'rm -f "$page"' EXIT
go run ./cmd/oriolehub/cmds/generate "$page"
if ! cmp -s "$page" docs/cli.md; then
  echo "docs/cli.md is stale: run 'make generate'"
  exit 1
fi
echo "lint: clean"
