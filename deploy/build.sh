#!/usr/bin/env bash
# Builds what the platform runs: the program jars, a Java runtime with only the modules that they need, and the archives
# of loaded classes.
set -euo pipefail
cd "$(dirname "$0")/.."
JAVA_HOME=$(bin/find-java)
export JAVA_HOME
bin/build -q -DskipTests -Dcheckstyle.skip -Dspotless.check.skip -pl caperturn-fleet -am package
rm -rf target/runtime target/fleet
mkdir -p target/fleet
cp caperturn-fleet/target/caperturn-fleet.jar target/fleet/
cp -r caperturn-fleet/target/lib target/fleet/lib
"$JAVA_HOME/bin/jlink" --add-modules java.base,java.logging,jdk.unsupported --strip-debug --no-header-files \
  --no-man-pages --generate-cds-archive --output target/runtime
deploy/archive-classes.sh
