#!/usr/bin/env bash
# Shows the main job on this machine: installs, builds, starts the stand-ins and
# four routers of the Fiambrera's example, sends requests, kills the owner of a
# key, publishes a release note, runs a short load and ends everything.
set -euo pipefail
cd "$(dirname "$0")/.."

./Build/install.sh
(cd Build && cmake --preset release > /dev/null &&
  cmake --build --preset release --target parsleystaird parsleystair \
    standin_platform standin_target parsleystair_load)

bin=$PWD/Build/out/release
work=$(mktemp -d)
platform=127.0.0.1:2379
command=("$bin/parsleystair" --platform "$platform" --router 127.0.0.1:20012)
declare -A pids=()

stop_all() {
  for name in "${!pids[@]}"; do
    kill "${pids[$name]}" 2> /dev/null || true
  done
  wait || true
  rm -rf "$work"
}
trap stop_all EXIT

start() { # NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" > "$work/$name.log" 2>&1 &
  pids[$name]=$!
}

step() { printf '\n== %s\n' "$*"; }

wait_for() { # SECONDS COMMAND...
  local end=$((SECONDS + $1))
  shift
  until "$@" > /dev/null 2>&1; do
    if [ "$SECONDS" -ge "$end" ]; then
      echo "gave up waiting for: $*" >&2
      return 1
    fi
    sleep 0.1
  done
}

uuid7() {
  local ms
  ms=$(printf '%012x' "$(date +%s%3N)")
  printf '%s-%s-7%03x-8%03x-%04x%04x%04x' "${ms:0:8}" "${ms:8:4}" \
    $((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}

step "Stand-ins: the platform and the targets of all services"
start platform "$bin/standin_platform" --port 2379
while read -r name port checks; do
  options=()
  [ "$checks" = true ] || options=(--ignore-grants)
  start "$name" "$bin/standin_target" --name "$name" --port "$port" \
    --service-time-ms 2 "${options[@]}"
done < <(sed -n 's/.*"name": "\([a-z]*-[0-9]*\)", "host": "[0-9.]*", "port": \([0-9]*\).*"checksGrants": \([a-z]*\).*/\1 \2 \3/p' \
  examples/fiambrera.json examples/fiambrera-2.json)
wait_for 10 curl -sf "http://$platform/vms"
echo "${#pids[@]} processes"

step "Routers: one in each failure domain"
domains=(santander torrelavega oviedo gijon)
for i in 1 2 3 4; do
  domain=${domains[$((i - 1))]}
  curl -sf -X PUT "http://$platform/vms/vm-$i" -o /dev/null -d \
    "{\"host\":\"127.0.0.1\",\"peerPort\":200${i}3,\"failureDomain\":\"$domain\",\"leaving\":false}"
  sed "s/vm-1\"/vm-$i\"/; s/santander/$domain/; s/2001\([123]\)/200$i\1/" \
    examples/fiambrera-vm-1.json > "$work/vm-$i.json"
  "$bin/parsleystaird" --settings "$work/vm-$i.json" --check
  start "vm-$i" "$bin/parsleystaird" --settings "$work/vm-$i.json"
done
for i in 1 2 3 4; do
  wait_for 10 curl -sf "http://127.0.0.1:200${i}2/healthz"
done

step "First release note"
"${command[@]}" release submit examples/fiambrera.json --wait
school=http://127.0.0.1:20011/menus/elm-street
wait_for 30 curl -sf "$school"

step "A kitchen reads a menu"
curl -sf "$school"
echo

step "A teacher confirms a headcount, twice, through two routers"
key=$(uuid7)
wait_for 30 curl -sf -X POST -H "Idempotency-Key: $key" \
  -d '{"children":24}' http://127.0.0.1:20011/orders/elm-street
curl -sf -X POST -H "Idempotency-Key: $key" -d '{"children":24}' \
  http://127.0.0.1:20031/orders/elm-street
echo

step "The owner of a key is killed"
"${command[@]}" owner menus elm-street
owner=$("${command[@]}" --json owner menus elm-street |
  grep -o '"owner": *"[^"]*"' | cut -d'"' -f4)
disown "${pids[$owner]}"
kill -9 "${pids[$owner]}"
unset "pids[$owner]"
killed=$(date +%s%3N)
wait_for 15 curl -sf "$school"
echo "served again after $(($(date +%s%3N) - killed)) ms by:"
curl -sf "$school"
echo

step "Second release note: a new target, one leaving, a longer deadline"
"${command[@]}" release diff examples/fiambrera-2.json \
  --against examples/fiambrera.json
"${command[@]}" release submit examples/fiambrera-2.json --wait
"${command[@]}" release status

step "Account of a short load through all routers"
cat > "$work/mix.json" << 'MIX'
{"requests": [
  {"name": "menus", "method": "GET", "path": "/menus/{key}", "share": 0.5},
  {"name": "allergies", "method": "GET", "path": "/allergies/{key}", "share": 0.3},
  {"name": "headcounts", "method": "POST", "path": "/orders/{key}", "share": 0.2,
   "idempotent": false, "repeatShare": 0.2, "body": "{key}"}]}
MIX
routers=()
for i in 1 2 3 4; do routers+=(--router "127.0.0.1:200${i}1"); done
"$bin/parsleystair_load" "${routers[@]}" --mix "$work/mix.json" \
  --rate 200 --seconds 5 --keys 500 --seed 1

step "Graceful shutdown of the routers"
for i in 1 2 3 4; do kill "${pids[vm-$i]}"; done
for i in 1 2 3 4; do
  wait "${pids[vm-$i]}"
  echo "vm-$i ended with $?"
  unset "pids[vm-$i]"
done
echo "demo: done"
