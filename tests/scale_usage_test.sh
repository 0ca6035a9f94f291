#!/bin/sh
# Bad use of the scale run ends with status 2 and names the option, before anything is started.
set -u
run=$1
fails() { # option that the reason must name, then the arguments
  named=$1
  shift
  said=$("$run" "$@" 2>&1)
  status=$?
  if [ "$status" -ne 2 ] || ! printf '%s' "$said" | grep -q -e "$named"; then
    echo "scale-test $*: status $status, said: $said"
    exit 1
  fi
}
fails --workers run --workers 0
fails --workers run --regions 6 --workers 300000
fails --controllers run --regions 50 --workers 50 --controllers 10
fails --daemon run --daemon /nowhere
fails --kill run --kill 100 --for 10
fails --nothing run --nothing
fails subcommand
echo "bad use is refused"
