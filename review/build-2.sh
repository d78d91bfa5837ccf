#!/usr/bin/env bash
# Builds the stand-ins that the script cases of the second review start.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS="-mod=readonly ${GOFLAGS:-}" GOPROXY=off
go build -o bin/standin-2 ./review/standin-2
