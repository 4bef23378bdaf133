#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into target/review-3. It uses
# the standard library only and needs no network.
set -euo pipefail
cd "$(dirname "$0")/harness3"
CGO_ENABLED=0 GOFLAGS=-mod=mod GOWORK=off go build -o ../../target/review-3/harness3 .
