#!/bin/sh
# `cluster-scheduler config` against real controllers and the scale run's state service: what is written, refused and shown.
set -u
daemon=$1
run=$2
port=24000
folder=$(mktemp -d)
"$run" run --workers 12 --tasks 24 --starts 2 --teams 3 --fill 20 --for 90 --port "$port" --folder "$folder" \
  --daemon "$daemon" --report "$folder/report.json" 2>"$folder/run.log" &
pid=$!
finish() {
  kill -INT "$pid" 2>/dev/null
  wait "$pid"
  rm -rf "$folder"
}
trap finish EXIT
settings=$folder/0-node-000.toml
fail() {
  echo "$1"
  cat "$folder/run.log"
  exit 1
}
tries=0
until "$daemon" config list --config "$settings" >/dev/null 2>&1; do
  tries=$((tries + 1))
  [ "$tries" -lt 100 ] || fail "the state service does not come up"
  sleep 0.2
done
# status, text that the output must have, then the arguments
expect() {
  status=$1
  text=$2
  shift 2
  said=$("$daemon" config "$@" --config "$settings" 2>&1)
  got=$?
  [ "$got" -eq "$status" ] || fail "config $*: status $got, said: $said"
  printf '%s' "$said" | grep -q -e "$text" || fail "config $*: lacks '$text', said: $said"
}
expect 0 'team=team-1 version=0' list
expect 0 'cpus_max=7' put team-1 --cpus 2 --cpus-max 7
expect 0 'cpus_max=7' list
expect 2 'cpus: above cpus_max' put team-1 --cpus 9
expect 2 'cpus: ' put team-1 --cpus -1
expect 2 'gpus: ' put team-1 --gpus-max 4
expect 2 'team: nobody' put nobody --cpus 1
expect 2 'team: nobody' get nobody
expect 2 'required' put
expect 1 'another change has come: there is version [1-9].* cpus=2 cpus_max=7' put team-1 --cpus-max 8 --version 0
tries=0
until "$daemon" config get team-1 --config "$settings" | grep -q '^in force at all nodes'; do
  tries=$((tries + 1))
  [ "$tries" -lt 200 ] || fail "not in force: $("$daemon" config get team-1 --config "$settings")"
  sleep 0.2
done
expect 0 'node=node-002 version=[1-9].* in_force_for_s=' get team-1
sed -e "s/:$((port + 2))\"/:1\"/" "$settings" >"$folder/nobody.toml"
settings=$folder/nobody.toml
expect 1 'external.state' list
echo "config put, get and list do as they say"
