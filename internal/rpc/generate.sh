#!/usr/bin/env bash
# Writes the generated code anew. Needs protoc, protoc-gen-go v1.36.12 and
# protoc-gen-twirp v8.1.3. The build does not run this: its output is committed.
set -euo pipefail
cd "$(dirname "$0")"
export PATH="$PATH:$(go env GOPATH)/bin"
for proto in */*.proto; do
  protoc --go_out=. --go_opt=paths=source_relative \
    --twirp_out=. --twirp_opt=paths=source_relative "$proto"
done
