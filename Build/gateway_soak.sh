#!/usr/bin/env bash
# Runs the routers of the users' platform as processes under faults, once for
# each seed, and fails if a promise was broken in one of them.
# Usage: gateway_soak.sh [SECONDS_WITH_FAULTS] [SEED...]
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-20}
[ $# -gt 0 ] && shift
seeds=("$@")
[ ${#seeds[@]} -gt 0 ] || seeds=(20261204)
bin=Build/out/release
work=$(mktemp -d)
failed=0
for seed in "${seeds[@]}"; do
  if ! "$bin/gateway_soak" --gateway "$bin/parsleystair_gateway" \
    --directory "$work/$seed" --seed "$seed" --seconds "$seconds"; then
    failed=1
    echo "gateway soak: logs of seed $seed are in $work/$seed"
  fi
done
[ $failed = 1 ] || rm -rf "$work"
echo "gateway soak: $([ $failed = 0 ] && echo passed || echo FAILED)"
exit $failed
