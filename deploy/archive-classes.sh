#!/usr/bin/env bash
# Runs both programs for a moment without a platform, and archives the classes that they load.
set -euo pipefail
cd "$(dirname "$0")/.."
export CAPERTURN_CONFIG=target/training.json
cat > "$CAPERTURN_CONFIG" <<'JSON'
{"nodeName":"training","zone":"training","ip":"127.0.0.1","internalPorts":[0,0],
 "listen":{"front":"127.0.0.1:0","ready":"127.0.0.1:0","control":"127.0.0.1:0"},"app":"127.0.0.1:9",
 "platform":{"address":"127.0.0.1:9"},"bounds":{"maxHoldMs":1000,"status_s":120,"graceS":1}}
JSON
for role in entry sidecar; do
  target/runtime/bin/java -Xmx96m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -XX:ArchiveClassesAtExit=target/$role.jsa \
    -jar target/fleet/caperturn-fleet.jar $role > target/training-$role.log 2>&1 &
  program=$!
  sleep 2
  kill -TERM "$program"
  wait "$program" || true
  test -s target/$role.jsa
done
