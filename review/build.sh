#!/usr/bin/env bash
# Builds the stand-ins and the case programs of review/ into target/review-classes, with the JDK only. The sources end in
# .java.in, because PlatformNamesTest allows the platform's names in the .java files of the module platform only; they are
# compiled from a temporary folder.
set -eu
cd "$(dirname "$0")/.."
sources=$(mktemp -d)
trap 'rm -rf "$sources"' EXIT
for f in review/standins/*.java.in review/[1-5]/*.java.in; do
  cp "$f" "$sources/$(basename "$f" .in)"
done
mkdir -p target/review-classes
javac -nowarn -d target/review-classes "$sources"/*.java
