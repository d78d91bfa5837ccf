#!/usr/bin/env bash
# Builds the system as its deploy file does, and the stand-ins of the review's scripts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/...
go build -o review/bin/ ./review/standin
