#!/bin/sh
cd "$(dirname "$0")/../.." && exec java -Xmx256m -cp target/review-2 Case9
