# Functions that start the programs of an example deployment on loopback.
# Sourced by demo.sh and soak.sh, from the root of the repository.

bin=$PWD/Build/out/release
work=$(mktemp -d)
platform=127.0.0.1:2379
command=("$bin/parsleystair" --platform "$platform" --router 127.0.0.1:20012)
declare -A pids=()

stop_all() {
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2> /dev/null || true
    kill "${pids[$name]}" 2> /dev/null || true
  done
  wait 2> /dev/null || true
  rm -rf "$work"
}

start() { # NAME PROGRAM ARGUMENTS...
  local name=$1
  shift
  "$@" >> "$work/$name.log" 2>&1 &
  pids[$name]=$!
}

kill_hard() { # NAME
  disown "${pids[$1]}"
  kill -9 "${pids[$1]}"
  unset "pids[$1]"
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

# Lines "NAME PORT CHECKS_GRANTS" of all targets in configurations.
list_targets() { # FILES...
  sed -n 's/.*"name": "\([a-z-]*-[0-9]*\)", "host": "[0-9.]*", "port": \([0-9]*\).*"checksGrants": \([a-z]*\).*/\1 \2 \3/p' "$@"
}

start_target() { # NAME PORT CHECKS_GRANTS
  local options=()
  [ "$3" = true ] || options=(--ignore-grants)
  start "$1" "$bin/standin_target" --name "$1" --port "$2" \
    --service-time-ms 2 "${options[@]}"
}

start_platform() {
  start platform "$bin/standin_platform" --port 2379
  wait_for 10 curl -sf "http://$platform/vms"
}

# Address of router NUMBER: KIND is 1 for callers, 2 for operators, 3 for peers.
router_port() { # NUMBER KIND
  echo "$((20000 + $1 * 10 + $2))"
}

# Registers router NUMBER with the platform and starts it.
start_router() { # NUMBER FAILURE_DOMAIN SETTINGS_EXAMPLE
  local example_domain
  example_domain=$(sed -n 's/.*"failureDomain": "\([^"]*\)".*/\1/p' "$3")
  curl -sf -X PUT "http://$platform/vms/vm-$1" -o /dev/null -d \
    "{\"host\":\"127.0.0.1\",\"peerPort\":$(router_port "$1" 3),\"failureDomain\":\"$2\",\"leaving\":false}"
  sed "s/vm-1\"/vm-$1\"/; s/$example_domain/$2/; s/205\([0-9][0-9]\)/200\1/
    s/2001\([123]\)/$((2000 + $1))\1/" \
    "$3" > "$work/vm-$1.json"
  start "vm-$1" "$bin/parsleystaird" --settings "$work/vm-$1.json"
}
