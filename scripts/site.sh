# Starts and stops a complete small site on loopback: the platform, two engines of
# different roles, a service, and two entry VMs (entry and controller each).
# Sourced by run.sh and smoke.sh. Each process is ended by its pid.
#
# NET (1 to 254) selects the loopback network 127.NET.0.0, so that several sites
# can run side by side without sharing a port.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/bin
net=127.${NET:-77}
platform=$net.0.1:7000
key=trial-key
dir=
pids=()

# begin NAME COMMAND... starts a process in the background, logs to $dir/NAME.log.
begin() {
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$dir/$name.pid"
}

# await SECONDS COMMAND... retries a command until it succeeds; it fails after SECONDS.
await() {
  local end=$((SECONDS + $1))
  shift
  until "$@" >/dev/null 2>&1; do
    if [ $SECONDS -ge $end ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

# list_vm NAME KIND ZONE ADDRESS adds a VM to the platform's membership list.
list_vm() {
  curl -sf -X POST "http://$platform/admin/vms" \
    -d "{\"name\":\"$1\",\"kind\":\"$2\",\"zone\":\"$3\",\"address\":\"$4\"}" >/dev/null
}

write_vm_settings() { # NUMBER
  cat >"$dir/vm$1.ini" <<INI
[process]
vm = vm$1
zone = a
platform = $platform

[entry]
callers = $net.1.$1:8080
peers = $net.1.$1:7100
seeds = $net.1.1:7100, $net.1.2:7100
metrics = $net.1.$1:7101
balancer-delay = ${BALANCER_DELAY:-1s}
stop-grace = 30s

[controller]
peers = $net.1.$1:7200
operators = $net.1.$1:8090
metrics = $net.1.$1:7201
INI
}

write_tree() {
  cat >"$dir/tree.ini" <<INI
# The settings tree of the trial site.
[zone "a"]

[pool "language"]
models = chat
role-planning = no

[service "slots"]

[endpoint "engine-1"]
pool = language
zone = a
address = $net.2.1:9000
fencing = checked

[endpoint "engine-2"]
pool = language
zone = a
address = $net.2.2:9000

[endpoint "slots-1"]
service = slots
zone = a
address = $net.2.3:9100

[organisation "trial"]
key-hashes = $(printf %s "$key" | sha256sum | cut -d' ' -f1)

[model "chat"]
version = 1
INI
}

ctl() { "$bin/springweirctl" --server "$net.1.1:8090,$net.1.2:8090" "$@"; }

start_site() {
  dir=$(mktemp -d "${TMPDIR:-/tmp}/springweir.XXXXXX")
  write_tree
  begin platform "$bin/springweir-standin" platform --listen "$platform" --lag 500ms
  await 10 curl -sf "http://$platform/admin/health"
  begin engine-1 "$bin/springweir-standin" engine --listen "$net.2.1:9000" --role mixed --fencing checked --report-lag 100ms
  begin engine-2 "$bin/springweir-standin" engine --listen "$net.2.2:9000" --role decode --report-lag 100ms
  begin slots-1 "$bin/springweir-standin" service --listen "$net.2.3:9100"
  list_vm engine-1 endpoint a "$net.2.1:9000"
  list_vm engine-2 endpoint a "$net.2.2:9000"
  list_vm slots-1 endpoint a "$net.2.3:9100"
  for n in 1 2; do
    write_vm_settings $n
    list_vm vm$n entry a "$net.1.$n:7100"
    begin entry-$n "$bin/springweir-entry" --config "$dir/vm$n.ini"
    begin controller-$n "$bin/springweir-controller" --config "$dir/vm$n.ini"
  done
  await 15 ctl status
  ctl config put "$dir/tree.ini" --base 0 --author trial --wait 20s
  for n in 1 2; do
    await 15 curl -sf "http://$net.1.$n:7101/readyz"
  done
}

stop_site() {
  local pid
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[i]}" 2>/dev/null || true
  done
  for pid in "${pids[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  pids=()
}
