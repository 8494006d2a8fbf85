#!/usr/bin/env bash
# own-days.sh BENCH SITE DIR WHY [JOBS]: generates days for a site, runs JOBS of them in parallel,
# and lists those that broke a rule or did not complete. Exits 1 if there is any.
set -euo pipefail
bench=$1 site=$2 dir=$3 why=$4 jobs=${5:-6}
rm -rf "$dir"
mkdir -p "$dir/out"
"$bench" kinds "$site" | go run ./platform/days --out "$dir" --seed "${SEED:-1}" --pairs "${PAIRS:-40}" >/dev/null
play() {
  local name
  name=$(basename "$2" .toml)
  "$bench" run "$site" "$2" --jobs 1 --why "$why: $name" >"$1/out/$name.txt" 2>&1 || true
}
export -f play
export bench site why
printf '%s\0' "$dir"/*.toml | xargs -0 -P "$jobs" -I{} bash -c 'play "$0" "$1"' "$dir" {}
bad=0
for out in "$dir"/out/*.txt; do
  if grep -q BROKEN "$out" || ! grep -q '^worth' "$out"; then
    echo "$(basename "$out" .txt): $(grep -h BROKEN "$out" || tail -n 1 "$out")"
    bad=1
  fi
done
echo "$(ls "$dir"/out | wc -l) days played"
exit $bad
