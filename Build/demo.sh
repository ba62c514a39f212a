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

# shellcheck source=deployment.sh
. Build/deployment.sh
trap stop_all EXIT

uuid7() {
  local ms
  ms=$(printf '%012x' "$(date +%s%3N)")
  printf '%s-%s-7%03x-8%03x-%04x%04x%04x' "${ms:0:8}" "${ms:8:4}" \
    $((RANDOM % 4096)) $((RANDOM % 4096)) $RANDOM $RANDOM $RANDOM
}

step "Stand-ins: the platform and the targets of all services"
start_platform
while read -r name port checks; do
  start_target "$name" "$port" "$checks"
done < <(list_targets examples/fiambrera.json examples/fiambrera-2.json)
echo "${#pids[@]} processes"

step "Routers: one in each failure domain"
domains=(santander torrelavega oviedo gijon)
for i in 1 2 3 4; do
  start_router "$i" "${domains[$((i - 1))]}" examples/fiambrera-vm-1.json
done
for i in 1 2 3 4; do
  wait_for 10 curl -sf "http://127.0.0.1:$(router_port "$i" 2)/healthz"
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
kill_hard "$owner"
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
for i in 1 2 3 4; do routers+=(--router "127.0.0.1:$(router_port "$i" 1)"); done
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
