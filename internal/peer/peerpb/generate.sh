#!/usr/bin/env bash
# Regenerates *.pb.go from every proto file named, or from peer.proto. Needs protoc.
set -euo pipefail
top=$(git -C "$(dirname "$0")" rev-parse --show-toplevel)
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
(cd "$top/tools" && GOBIN=$bin go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc)
cd "$top"
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-drpc_out=. --go-drpc_opt=paths=source_relative \
  "${@:-internal/peer/peerpb/peer.proto}"
