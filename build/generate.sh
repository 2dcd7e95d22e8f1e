#!/usr/bin/env bash
# Regenerates the committed protocol code. Needs Debian's protobuf-compiler;
# the two Go generators are tools of this module.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
go build -o "$bin/" google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go
PATH="$bin:$PATH" protoc -I proto \
  --go_out=. --go_opt=module=github.com/burdockspindle/burdockspindle \
  --connect-go_out=. --connect-go_opt=module=github.com/burdockspindle/burdockspindle \
  proto/burdockspindle/v1/*.proto
