#!/usr/bin/env bash
# Runs a firm's tier as separate processes on loopback, sends one query to each entry VM and stops.
# Usage: scripts/local-tier.sh [armor|hronec] [route]
set -eu
cd "$(dirname "$0")/.."
firm=${1:-armor}
case $firm in
armor) route=${2:-breakdown-lookup} zones="brest-nord angers-est cherbourg-sud" ;;
hronec) route=${2:-lens-blank-lookup} zones="banska-hall zilina-coat kosice-office" ;;
*) echo "unknown firm $firm" >&2 && exit 2 ;;
esac
go build -o bin/ ./cmd/...
dir=$(mktemp -d)
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait; rm -rf "$dir"' EXIT

bin/pistachio-standin config --firm "$firm" --base-port 21000 >"$dir/config.yaml"
bin/pistachioshore check "$dir/config.yaml"
bin/pistachio-standin platform --listen 127.0.0.1:20900 --file "$dir/config.yaml" & pids+=($!)
port=20901
entries=()
for zone in $zones; do
  bin/pistachio-standin upstream --file "$dir/config.yaml" --zone "$zone" & pids+=($!)
  bin/pistachioshore entry --listen "127.0.0.1:$port" --zone "$zone" --platform 127.0.0.1:20900 & pids+=($!)
  entries+=("127.0.0.1:$port")
  port=$((port + 1))
done
for e in "${entries[@]}"; do
  for _ in $(seq 100); do
    curl -sf "http://$e/ready" && break
    sleep 0.1
  done
  echo "--- query through $e"
  bin/pistachioshore query --entry "$e" --route "$route" --contains pump --limit 3 || echo "exit status $?"
done
