#!/usr/bin/env bash
# Builds the stand-ins that the scripts review/6 to review/10 start. It needs only the
# standard library, and no network. The nodes come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOWORK=off GOFLAGS= go build -buildvcs=false -o target/review-2/standins2 review/standins-2/*.go
