#!/usr/bin/env bash
# Runs the case; review/build.sh and the build of deploy/system.toml come first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec java -Xmx256m -cp target/review-classes OrderCase review/4
