#!/usr/bin/env bash
# Builds the stand-ins and the case programs of review/ into target/review-classes, with the JDK only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-classes
javac -nowarn -d target/review-classes $(find review -name '*.java')
