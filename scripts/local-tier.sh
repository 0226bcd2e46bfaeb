#!/usr/bin/env bash
# Runs a firm's tier as separate processes on loopback, sends a query and an order through each
# entry VM and stops. Usage: scripts/local-tier.sh [armor|hronec]
set -eu
cd "$(dirname "$0")/.."
firm=${1:-armor}
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
port=20901
vms=() entries=()
for zone in $zones; do
  vms+=(--vm "127.0.0.1:$port=$zone" --vm "127.0.0.1:$((port + 1))=$zone")
  entries+=("127.0.0.1:$port $zone" "127.0.0.1:$((port + 1)) $zone")
  port=$((port + 2))
  bin/pistachio-standin upstream --file "$dir/config.yaml" --zone "$zone" 2>"$dir/upstream-$zone.log" & pids+=($!)
done
bin/pistachio-standin platform --listen 127.0.0.1:20900 --file "$dir/config.yaml" "${vms[@]}" 2>"$dir/platform.log" & pids+=($!)
for e in "${entries[@]}"; do
  read -r address zone <<<"$e"
  bin/pistachioshore entry --listen "$address" --zone "$zone" --platform 127.0.0.1:20900 2>"$dir/entry-$address.log" & pids+=($!)
done
failed=0
for e in "${entries[@]}"; do
  read -r address zone <<<"$e"
  for _ in $(seq 100); do
    curl -sf "http://$address/ready" && break
    sleep 0.1
  done
  echo "--- through $address in $zone"
  bin/pistachioshore query --entry "$address" --route "$query" --contains "$text" --limit 2 || failed=$?
  bin/pistachioshore order --entry "$address" --route "$order" --operation "$operation" --key "key-$address" || failed=$?
done
[ "$failed" = 0 ] || { echo "a request failed with exit status $failed"; cat "$dir"/*.log; }
exit "$failed"
