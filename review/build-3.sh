#!/usr/bin/env bash
# Compiles the stand-ins and scripts of the cases of the third review into target/review-3; needs a JDK only.
set -eu
cd "$(dirname "$0")/.."
sources=$(mktemp -d)
trap 'rm -r "$sources"' EXIT
for f in review/kit-3/*.java.in review/1[1-5]/*.java.in; do
  [ -e "$f" ] && cp "$f" "$sources/$(basename "${f%.in}")"
done
mkdir -p target/review-3
javac --release 17 -nowarn -d target/review-3 "$sources"/*.java
