#!/bin/bash
# Builds the stand-ins of the third review into target/. Run it in the repository's root, after the build
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/stand3 ./review/stand3
