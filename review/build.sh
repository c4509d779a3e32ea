#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS="-buildvcs=false" go build -o bin/review ./standins
