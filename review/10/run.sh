#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../harness-2/run-case.sh" Budget "$(dirname "$0")"
