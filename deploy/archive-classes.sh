#!/usr/bin/env bash
# Creates the class data sharing archives target/entry.jsa and target/sidecar.jsa, which shorten the start of the
# programs: runs each program against stand-ins for the platform and archives the classes that it loads.
set -euo pipefail
cd "$(dirname "$0")/.."
java_home=$(bin/find-java)
mkdir -p target/training
"$java_home/bin/java" -cp "caperturn-fleet/target/test-classes:target/fleet/lib/*" io.caperturn.fleet.standin.ClassArchiveTrainingRun \
  target/training target/runtime/bin/java -Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xlog:disable \
  -XX:ArchiveClassesAtExit=target/ROLE.jsa -jar target/fleet/caperturn-fleet.jar
for role in entry sidecar; do
  test -s "target/$role.jsa"
done
