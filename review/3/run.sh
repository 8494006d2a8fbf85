#!/bin/sh
# Rule Fault: processes that end over their memory, once few machines take all requests, with bodies of the operator's limit.
# TROUBLE=0: no machine is lost; TROUBLE=short: machines are lost, bodies are of 40 KB.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-scene ] && [ -x target/springweir-gateway ] || { echo "build first: the deploy file's build, review/build.sh" >&2; exit 2; }
exec target/review-scene bodies-at-once review/3/record.txt
