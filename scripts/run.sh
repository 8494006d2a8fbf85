#!/usr/bin/env bash
# Runs a complete small site on loopback until Ctrl-C.
set -euo pipefail
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/site.sh"
trap 'stop_site; exit 0' INT TERM
trap 'code=$?; stop_site; exit $code' EXIT
start_site
cat <<MSG

springweir is running. Logs are in $dir. Ask it something:

  curl -N http://$net.1.1:8080/v1/chat/completions -H 'Authorization: Bearer $key' \\
    -d '{"model":"chat","stream":true,"messages":[{"role":"user","content":"May a container stand here?"}]}'

Look at it:

  bin/springweirctl --server $net.1.1:8090 status

Ctrl-C stops everything.
MSG
wait
