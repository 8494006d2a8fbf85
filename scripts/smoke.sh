#!/usr/bin/env bash
# Starts a complete small site, sends a chat, a stream and a non-repeatable call
# through it, checks the responses and stops the site. Exits 0 if all checks passed.
set -euo pipefail
# A random network by default, to avoid port conflicts with other sites.
export NET=${NET:-$((RANDOM % 200 + 20))}
# shellcheck source=scripts/site.sh
. "$(dirname "$0")/site.sh"
trap 'code=$?; [ $code -eq 0 ] || { echo "smoke: FAILED, logs in $dir" >&2; tail -n 5 "$dir"/*.log >&2; }; stop_site; exit $code' EXIT

fail() {
  echo "smoke: $*" >&2
  exit 1
}

post() { # VM PATH BODY [CURL ARGUMENTS...]
  local vm=$1 path=$2 body=$3
  shift 3
  curl -sS --max-time 15 "http://$net.1.$vm:8080$path" -H "Authorization: Bearer $key" -d "$body" "$@"
}

start_site
echo "smoke: site is up"

answer=$(post 1 /v1/chat/completions '{"model":"chat","max_tokens":8,"messages":[{"role":"user","content":"May a container stand here?"}]}')
grep -q '"finish_reason":"' <<<"$answer" || fail "chat gave $answer"
echo "smoke: chat answered"

stream=$(post 2 /v1/chat/completions '{"model":"chat","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"May a container stand here?"}]}')
tail -n 2 <<<"$stream" | grep -q '^data: \[DONE\]' || fail "stream gave $stream"
echo "smoke: stream ended with [DONE]"

first=$(post 1 /s/slots/confirm '{"slot":17}' -H 'Idempotency-Key: smoke-17' -D "$dir/first.headers")
second=$(post 2 /s/slots/confirm '{"slot":17}' -H 'Idempotency-Key: smoke-17' -D "$dir/second.headers")
[ "$first" = "$second" ] || fail "a repeat of the call got another answer: $first / $second"
runs=$(curl -sf "http://$net.2.3:9100/admin/runs")
echo "smoke: service says $runs"
grep -q '"smoke-17":1[,}]' <<<"$runs" || fail "the call did not run exactly once: $runs"
echo "smoke: the call ran once for two requests"

code=$(post 1 /v1/chat/completions '{"model":"none","messages":[{"role":"user","content":"x"}]}' -o "$dir/refused" -w '%{http_code}')
[ "$code" = 404 ] && grep -q '"outcome":"not-run"' "$dir/refused" || fail "an unknown model gave $code $(cat "$dir/refused")"
echo "smoke: an unknown model is refused as not run"
echo "smoke: PASS"
