#!/usr/bin/env bash
# Measures what control costs one router without requests: CPU share, memory,
# store calls and bytes, for a number of routers and slots a service.
# Usage: measure_control.sh ROUTERS SLOTS [SECONDS]
# Uses the Fiambrera's example with another slotCount.
set -euo pipefail
cd "$(dirname "$0")/.."

routers=$1
slots=$2
seconds=${3:-10}
# shellcheck source=deployment.sh
. Build/deployment.sh
trap stop_all EXIT

cpu_ticks() { # PID
  awk '{print $14 + $15}' "/proc/$1/stat"
}

metric() { # NAME
  curl -sf "http://127.0.0.1:$(router_port 1 2)/metrics" |
    awk -v name="parsleystair_$1" '$1 == name {print $2}'
}

sed "s/\"slotCount\": 256/\"slotCount\": $slots/" examples/fiambrera.json \
  > "$work/note.json"
start_platform
while read -r name port checks; do
  start_target "$name" "$port" "$checks"
done < <(list_targets examples/fiambrera.json)
domains=(santander torrelavega oviedo gijon)
for i in $(seq 1 "$routers"); do
  start_router "$i" "${domains[$((i % 4))]}" examples/fiambrera-vm-1.json
done
wait_for 20 curl -sf "http://127.0.0.1:$(router_port 1 2)/healthz"
"${command[@]}" release submit "$work/note.json" --wait --timeout 60 > /dev/null
# Until groups, owners and holders have settled.
sleep 25

pid=${pids[vm-1]}
ticks=$(cpu_ticks "$pid")
reads=$(metric 'store_calls_total{kind="read"}')
received=$(metric 'store_bytes_total{way="received"}')
sleep "$seconds"
ticks=$(($(cpu_ticks "$pid") - ticks))
reads=$(($(metric 'store_calls_total{kind="read"}') - reads))
received=$(($(metric 'store_bytes_total{way="received"}') - received))
memory=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")
awk -v r="$routers" -v s="$slots" -v t="$ticks" -v n="$seconds" -v m="$memory" \
  -v reads="$reads" -v bytes="$received" -v hz="$(getconf CLK_TCK)" 'BEGIN {
    printf "routers=%d slots_a_service=%d cpu_percent=%.2f memory_mb=%.1f ",
      r, s, 100 * t / hz / n, m / 1024
    printf "store_reads_a_second=%.1f store_bytes_a_second=%.0f\n",
      reads / n, bytes / n
  }'
