#!/bin/sh
# Rule LOST: SIGHUP that reaches a machine while it finishes its requests after SIGTERM.
# TROUBLE=0: neither signal; TROUBLE=term: only SIGTERM; TROUBLE=hup: only SIGHUP.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-scene ] && [ -x target/springweir-gateway ] || { echo "build first: the deploy file's build, review/build.sh" >&2; exit 2; }
exec target/review-scene hangup-while-stopping review/1/record.txt
