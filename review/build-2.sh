#!/usr/bin/env bash
# Builds the stand-ins of the second review into .bin. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p .bin
out=$PWD/.bin/review-2
cd review/standin-2
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o "$out" .
