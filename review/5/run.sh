#!/usr/bin/env bash
# Needs the build of the deploy file and review/build.sh. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
dir="$(cd "$(dirname "$0")" && pwd)"
test -x "$dir/../bin/review" || { echo "run review/build.sh first" >&2; exit 2; }
test -x "$dir/../../target/toucangw-gateway" || { echo "run the build of the deploy file first" >&2; exit 2; }
exec "$dir/../bin/review" drain-after-crash "$dir"
