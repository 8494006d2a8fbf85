#!/usr/bin/env bash
# Runs the tests. Tests listed in KNOWN-RED.txt (one per line: test or test/subtest, command and seed, what was
# seen, cause, issue) are printed and skipped; every other test must pass.
set -euo pipefail
cd "$(dirname "$0")/.."
args=()
if [ -s KNOWN-RED.txt ]; then
  lines=$(grep -cvE '^(#|$)' KNOWN-RED.txt || true)
  if [ "$lines" -gt 0 ]; then
    echo "Known red, passed over:"
    grep -vE '^(#|$)' KNOWN-RED.txt
    names=$(grep -vE '^(#|$)' KNOWN-RED.txt | cut -d, -f1 | tr -d ' ')
    for name in $names; do
      grep -rqE "^func ${name%%/*}\(" --include='*_test.go' . || { echo "KNOWN-RED.txt names $name, which does not exist" >&2; exit 1; }
    done
    # Test or Test/subtest, each matched by its full name; the name of a subtest may contain slashes.
    args=(-skip "$(echo "$names" | sed -E 's|/|$/^|g; s|^|^|; s|$|$|' | paste -sd'|')")
  fi
fi
go mod download
output=$(mktemp)
trap 'rm -f "$output"' EXIT
# No cached results: the test cache doesn't track the programs that e2e builds.
if go test -count=1 "${args[@]}" "$@" ./... 2>&1 | tee "$output"; then
  exit 0
fi
# The names and messages of failed tests are repeated at the end: logs of processes are long, and of CI's only the
# end may be kept.
echo "Failed tests:"
grep -E -A 8 '^ *--- FAIL|^panic: |^fatal error: |WARNING: DATA RACE' "$output" | grep -vE '^[IWEF][0-9]{4} ' | head -60 || true
exit 1
