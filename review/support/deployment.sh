# Sourced by the run.sh of a case. Starts the store's stand-in and gateways as
# processes of their own on loopback addresses, and ends them again.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
cd "$root" || exit 2
work=$(mktemp -d)
processes=()
network=$((RANDOM % 200 + 20))

end_all() {
  for process in "${processes[@]}"; do
    kill -CONT "$process" 2>/dev/null
    kill -KILL "$process" 2>/dev/null
  done
  { wait; } 2>/dev/null
  rm -rf "$work"
}
trap end_all EXIT

is_free() {
  ! (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null
}

free_port() {
  local port
  for _ in $(seq 50); do
    port=$((RANDOM % 9000 + 20000))
    if is_free 127.0.0.1 $port && is_free "127.87.$network.1" $port; then
      echo $port
      return
    fi
  done
  exit 2
}

# start_store CONFIGURATION: the file's text is op/config.
start_store() {
  store_port=$(free_port)
  target/review/store "$store_port" "$1" 2>"$work/store.log" &
  processes+=($!)
  for _ in $(seq 100); do
    is_free 127.0.0.1 "$store_port" || return 0
    sleep 0.05
  done
  echo "the store's stand-in did not start"
  exit 2
}

# write_settings NUMBER [MEGABYTES]: as deploy/settings.json, filled for a
# gateway at 127.87.NETWORK.NUMBER.
write_settings() {
  local ip="127.87.$network.$1"
  cat >"$work/gateway-$1.json" <<SETTINGS
{
  "vm": "front-asti-a-$1",
  "failureDomain": "asti-a",
  "failureDomains": {"asti-a":"piemonte","alba-b":"piemonte"},
  "callers": "$ip:$callers_port",
  "readiness": "$ip:$ready_port",
  "operators": "$ip:$operators_port",
  "peers": "$ip:$peers_port",
  "store": "127.0.0.1:$store_port",
  "processorShare": 0.2,
  "memoryMegabytes": ${2:-260},
  "firstStart": true,
  "shutdownGraceSeconds": 6,
  "maxHoldSeconds": 10,
  "configurationApplySeconds": 2,
  "retryRatio": 0.2,
  "retrySlack": 64
}
SETTINGS
}

start_gateway() {
  PARSLEYSTAIR_NODE_FILE="$work/gateway-$1.json" target/parsleystair_gateway \
    --settings "$work/gateway-$1.json" >"$work/gateway-$1.log" 2>&1 &
  gateways[$1]=$!
  processes+=($!)
}

# start_gateways COUNT
start_gateways() {
  gateways=()
  callers_port=$(free_port)
  ready_port=$(free_port)
  operators_port=$(free_port)
  peers_port=$(free_port)
  for number in $(seq "$1"); do
    write_settings "$number"
    start_gateway "$number"
  done
}

# wait_ready NUMBER
wait_ready() {
  for _ in $(seq 150); do
    local line=""
    if exec 3<>"/dev/tcp/127.87.$network.$1/$ready_port"; then
      printf 'GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n' >&3
      read -r -t 1 line <&3
      exec 3>&-
    fi 2>/dev/null
    [[ "$line" == *" 200 "* ]] && return 0
    sleep 0.1
  done
  echo "gateway $1 did not become ready"
  exit 2
}
