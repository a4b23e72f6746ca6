#!/bin/sh
# Builds the programs that the cases start: the node, and the stand-ins of the store, the
# endpoints and the clients.
set -e
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -tags review -ldflags=-linkmode=external -o target/review/ ./review/stand
