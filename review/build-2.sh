#!/usr/bin/env bash
# Compiles the stand-ins and scripts of the second review with the JDK alone, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-java)
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -d target/review-2 review/harness-2/src/*.java
