#!/usr/bin/env bash
# Builds the stand-ins and the cases of this review, after deploy/build.sh.
set -euo pipefail
cd "$(dirname "$0")/.."
java_home=$(bin/find-java)
mkdir -p target/review-3
"$java_home/bin/javac" -nowarn -d target/review-3 -cp "target/fleet/lib/*" review/harness-3/io/caperturn/review/*.java
