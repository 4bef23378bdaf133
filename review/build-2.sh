#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are a module of
# their own without dependencies, so that no network is needed and the checks of the project
# leave them out.
set -euo pipefail
cd "$(dirname "$0")/harness2"
GOWORK=off go build -o ../../target/review-harness2 .
