#!/bin/sh
# Builds the stand-ins of the scripts of the third review into target/.
set -eu
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-3 .
