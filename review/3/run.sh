#!/usr/bin/env bash
# TROUBLE=0: the request crashes nobody. Exit: 1 broken, 0 held, 2 couldn't
# run.
source "$(dirname "$0")/../support/deployment.sh"
record="$root/review/3/record.txt"
: >"$record"

cat >"$work/config.json" <<'CONFIG'
{"version":"00000001",
 "limits":{"max_header_bytes":16384,"max_body_bytes":67108864,
           "header_timeout_s":3,"idle_timeout_s":15},
 "listeners":[{"host":"shop.example","rules":[
   {"name":"sheets","kind":"safe","target_latency_s":0.6,"priority":1,
    "match":{"prefix":"/sheets/"},
    "action":{"service":"sheets","timeout_s":2,"max_attempts":2}}]}],
 "clusters":[{"name":"sheets","health_path":"/health","max_connections":130,
              "protocol":"h1","tls":false}]}
CONFIG
start_store "$work/config.json"
start_gateways 3
wait_ready 1
wait_ready 2
wait_ready 3
target/review/driver-3 "$record" "$store_port" "127.87.$network." 3 \
  "$callers_port" "${TROUBLE:-1}"
result=$?
tail -n 1 "$record"
exit $result
