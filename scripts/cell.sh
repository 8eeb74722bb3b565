#!/usr/bin/env bash
# Runs an example cell on loopback: three nodes and the stand-ins for the platform, one engine and one tool service, each in
# a process of its own. Replays a trace through the nodes, switches the preset, prints the status and stops all processes.
# Usage: scripts/cell.sh [TRACE], the name of a file in internal/proof/hgreplay/traces without .jsonl (default: derwent).
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
pids=()
cleanup() {
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null || true
  done
  rm -rf "$dir"
}
trap cleanup EXIT
go build -o "$dir/" ./cmd/...
export HYSSOPGRADE_KEY=${HYSSOPGRADE_KEY:-key-of-the-example-cell}
# start COMMAND…: runs a command in the background and notes its process for cleanup.
start() { "$@" 2>>"$dir/log" & pids+=($!); }
start "$dir/hyssopgradestandin" platform --address 127.0.0.1:7300
start "$dir/hyssopgradestandin" engine --address 127.0.0.1:7500 --checks-fencing
start "$dir/hyssopgradestandin" tool --address 127.0.0.1:7600
domains=(hobart launceston burnie)
for i in 0 1 2; do
  sed -e "s/^id = \"node-0\"/id = \"node-$i\"/" -e "s/^domain = \"hobart\"  .*/domain = \"${domains[$i]}\"/" \
    -e "s/127.0.0.1:7400/127.0.0.1:74${i}0/" -e "s/127.0.0.1:7401/127.0.0.1:74${i}1/" examples/node.toml >"$dir/node-$i.toml"
  start "$dir/hyssopgrade" node --config "$dir/node-$i.toml"
done
nodes=127.0.0.1:7400,127.0.0.1:7410,127.0.0.1:7420
# Waits about 20 s at most until the nodes own all 64 shards.
for _ in $(seq 100); do
  sleep 0.2
  owned=$("$dir/hyssopgrade" status --node 127.0.0.1:7400 2>/dev/null | sed -n 's/.*live true *shards \([0-9]*\)/\1/p' | paste -sd+) || true
  [ "$((${owned:-0}))" = 64 ] && break
done
"$dir/hyssopgrade" replay --trace "internal/proof/hgreplay/traces/${1:-derwent}.jsonl" --node "$nodes" --standin 127.0.0.1:7500,127.0.0.1:7600
"$dir/hyssopgrade" preset use --node 127.0.0.1:7410 --by "$0" peak
"$dir/hyssopgrade" status --node 127.0.0.1:7420
