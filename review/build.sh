#!/usr/bin/env bash
# Builds the stand-ins that the scripts start, into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
java_home=$(bin/find-java)
rm -rf target/review
mkdir -p target/review
"$java_home/bin/javac" -d target/review review/standin/*.java
