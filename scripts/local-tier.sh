#!/usr/bin/env bash
# Runs the tier of a firm as separate processes on loopback, sends a query and an order through each
# entry VM, and stops. With "hold", it keeps the tier running until Ctrl-C.
#
# Usage: scripts/local-tier.sh [armor|hronec] [hold]
#
# Ports on 127.0.0.1: platform 20900, entry VMs 20901 to 20906, control APIs of the upstreams 20951 to
# 20953 (one per zone), upstreams 21000 to 21112.
set -eu
cd "$(dirname "$0")/.."
firm=${1:-armor}
case ${2:-} in "" | hold) ;; *) echo "unknown argument $2" >&2 && exit 2 ;; esac
case $firm in
armor) query=breakdown-lookup text=pump order=pump-order operation=place-order
  zones="brest-nord angers-est cherbourg-sud" ;;
hronec) query=lens-blank-lookup text=prism order=certificate-reprint operation=reprint
  zones="banska-hall zilina-coat kosice-office" ;;
*) echo "unknown firm $firm" >&2 && exit 2 ;;
esac
go build -o bin/ ./cmd/...
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$dir"' EXIT

bin/pistachio-standin config --firm "$firm" --base-port 21000 >"$dir/config.yaml"
bin/pistachioshore check "$dir/config.yaml"
port=20901 control=20951
vms=() entries=()
for zone in $zones; do
  vms+=(--vm "127.0.0.1:$port=$zone" --vm "127.0.0.1:$((port + 1))=$zone")
  entries+=("127.0.0.1:$port $zone" "127.0.0.1:$((port + 1)) $zone")
  port=$((port + 2))
  bin/pistachio-standin upstream --file "$dir/config.yaml" --zone "$zone" --control "127.0.0.1:$control" 2>"$dir/upstream-$zone.log" & pids+=($!)
  control=$((control + 1))
done
bin/pistachio-standin platform --listen 127.0.0.1:20900 --file "$dir/config.yaml" "${vms[@]}" 2>"$dir/platform.log" & pids+=($!)
await() { # polls the URL for up to 20 s until a GET request succeeds
  for _ in $(seq 200); do
    curl -sf -o /dev/null "$1" && return
    sleep 0.1
  done
  echo "timed out waiting for $1" >&2 && cat "$dir"/*.log && exit 1
}
await http://127.0.0.1:20900/v1/vms
for e in "${entries[@]}"; do
  read -r address zone <<<"$e"
  bin/pistachioshore entry --listen "$address" --zone "$zone" --platform 127.0.0.1:20900 2>"$dir/entry-$address.log" & pids+=($!)
done
# The upstreams of a zone are reachable once all VMs of the zone are ready.
for e in "${entries[@]}"; do await "http://${e% *}/ready"; done
failed=0
for e in "${entries[@]}"; do
  read -r address zone <<<"$e"
  echo "--- through $address in $zone"
  bin/pistachioshore query --entry "$address" --route "$query" --contains "$text" --limit 2 || failed=$?
  bin/pistachioshore order --entry "$address" --route "$order" --operation "$operation" --key "key-$address" || failed=$?
done
[ "$failed" = 0 ] || { echo "request failed with exit status $failed"; cat "$dir"/*.log; }
if [ "$failed" = 0 ] && [ "${2:-}" = hold ]; then
  echo "--- running until Ctrl-C; configuration and logs: $dir"
  wait
fi
exit "$failed"
