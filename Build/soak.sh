#!/usr/bin/env bash
# Runs the real programs of both example deployments on loopback under random
# faults and checks the account of the load tool: each request has one outcome,
# no request with an idempotency key ran twice, none ran that was told not-run,
# no answer was wrong, and no router stopped by a failed invariant.
# Usage: soak.sh [SECONDS_PER_DEPLOYMENT] [SEED]
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-30}
RANDOM=${2:-20261204}
seed=${2:-20261204}
routers=12
echo "soak: $seconds s a deployment, seed $seed"
# shellcheck source=deployment.sh
. Build/deployment.sh
trap stop_all EXIT

fault() { # PORT JSON
  curl -sf -m 1 -X POST "http://127.0.0.1:$1/faults" -d "$2" -o /dev/null || true
}

pick() { # WORDS...
  local words=("$@")
  echo "${words[$((RANDOM % ${#words[@]}))]}"
}

# One random fault, healed before the next one starts; sometimes two together.
inject() {
  local router target port pause
  router=vm-$((RANDOM % routers + 1))
  read -r target port checks < <(pick "${target_lines[@]}")
  pause=0.$((RANDOM % 9 + 1))
  case $((RANDOM % 9)) in
    0) kind="pause $router"
       kill -STOP "${pids[$router]}"; sleep "$pause"; kill -CONT "${pids[$router]}" ;;
    1) kind="restart $router"
       kill_hard "$router"; sleep "$pause"
       start_router "${router#vm-}" "${router_domain[$router]}" "$settings" ;;
    2) kind="freeze $target"; fault "$port" "{\"freezeMs\":${pause#0.}00}" ;;
    3) kind="silence connections of $target"; fault "$port" '{"silenceConnections":true}' ;;
    4) kind="cut answers of $target"
       fault "$port" '{"cutAnswers":true}'; sleep "$pause"; fault "$port" '{"cutAnswers":false}' ;;
    5) kind="late answers of $target"
       fault "$port" '{"answerDelayMs":300}'; sleep "$pause"; fault "$port" '{"answerDelayMs":0}' ;;
    6) kind="drain $target"
       fault "$port" '{"drain":true}'; sleep "$pause"; fault "$port" '{"drain":false}' ;;
    7) kind="store outage"
       fault 2379 '{"outage":true}'; sleep "$((RANDOM % 3 + 1))"; fault 2379 '{"outage":false}' ;;
    8) kind="store loses answers"
       fault 2379 '{"loseAnswers":0.5}'; sleep "$pause"; fault 2379 '{"loseAnswers":0}' ;;
  esac
  echo "fault: $kind"
}

run_deployment() { # NAME MIX DOMAINS...
  local name=$1 mix=$2 load end status
  shift 2
  local domains=("$@") arguments=()
  settings=examples/$name-vm-1.json
  step "$name"
  start_platform
  mapfile -t target_lines < <(list_targets "examples/$name.json")
  for line in "${target_lines[@]}"; do
    # shellcheck disable=SC2086
    start_target $line
    arguments+=(--target "127.0.0.1:$(cut -d' ' -f2 <<< "$line")")
  done
  declare -gA router_domain=()
  for i in $(seq 1 $routers); do
    router_domain[vm-$i]=${domains[$((i % ${#domains[@]}))]}
    start_router "$i" "${router_domain[vm-$i]}" "$settings"
    arguments+=(--router "127.0.0.1:$(router_port "$i" 1)")
  done
  wait_for 20 curl -sf "http://127.0.0.1:$(router_port 1 2)/healthz"
  "${command[@]}" release submit "examples/$name.json" --wait --timeout 60
  sleep 8
  echo "$mix" > "$work/mix.json"
  "$bin/parsleystair_load" "${arguments[@]}" --mix "$work/mix.json" \
    --rate 300 --seconds "$seconds" --keys 500 --hot 27 --hot-share 0.3 \
    --seed "$seed" > "$work/account.txt" 2> "$work/load.log" &
  load=$!
  end=$((SECONDS + seconds - 5))
  while [ "$SECONDS" -lt "$end" ]; do
    inject
    [ $((RANDOM % 3)) -ne 0 ] || inject
    sleep 0.$((RANDOM % 9 + 1))
  done
  status=0
  wait "$load" || status=$?
  cat "$work/account.txt"
  for i in $(seq 1 $routers); do
    if ! kill -0 "${pids[vm-$i]}" 2> /dev/null; then
      echo "vm-$i ended by itself:"
      tail -3 "$work/vm-$i.log"
      status=1
    fi
  done
  if grep -h invariant_failed "$work"/*.log; then
    status=1
  fi
  for process in "${!pids[@]}"; do
    kill "${pids[$process]}"
    unset "pids[$process]"
  done
  wait
  rm -f "$work"/*
  return "$status"
}

failed=0
run_deployment fiambrera '{"requests": [
  {"name": "menus", "method": "GET", "path": "/menus/{key}", "share": 0.4},
  {"name": "allergies", "method": "GET", "path": "/allergies/{key}", "share": 0.2},
  {"name": "headcounts", "method": "POST", "path": "/orders/{key}", "share": 0.4,
   "idempotent": false, "repeatShare": 0.3, "body": "{key}"}]}' \
  santander torrelavega oviedo gijon || failed=1
run_deployment bottlers '{"requests": [
  {"name": "recipes", "method": "GET", "path": "/recipes/{key}", "share": 0.5},
  {"name": "calendars", "method": "GET", "path": "/calendars/{key}", "share": 0.1},
  {"name": "orders", "method": "POST", "path": "/release-orders/{key}", "share": 0.4,
   "idempotent": false, "repeatShare": 0.3, "body": "{key}"}]}' \
  asti-a alba-b treviso-a verona-b || failed=1
echo "soak: $([ $failed = 0 ] && echo passed || echo FAILED), seed $seed"
exit $failed
