#!/bin/sh
# The runs that docs/CAPACITY.md takes its slopes from: one line of the table each.
#   sh bench/slopes.sh TABLE [PROGRAM]
set -u
table=$1
run=${2:-target/scale-test}
# A state service that is no wall at these sizes, so that only the counted thing grows.
play() { "$run" run --for 20 --state-rps 1000 --state-writes 200 --table "$table" --report /dev/null "$@"; }
# workers, at the same starts
for workers in 500 1000 2000; do
  play --workers "$workers" --tasks "$((15 * workers))" --starts 400 --teams 50
done
# starts
for starts in 200 800 1350; do
  play --workers 2000 --tasks 30000 --starts "$starts" --teams 50
done
# teams
for teams in 5 280; do
  play --workers 1000 --tasks 15000 --starts 400 --teams "$teams"
done
# jobs that wait
for waiting in 300 1000 3000; do
  play --workers 1000 --tasks 15000 --starts 400 --teams 50 --waiting "$waiting"
done
# controllers
for controllers in 1 6 10; do
  play --workers 2000 --tasks 30000 --starts 800 --teams 50 --controllers "$controllers"
done
# with failures
play --workers 2000 --tasks 30000 --starts 800 --teams 280 --kill 5 --replace 40
# changes of configuration
for changes in 1 5 20; do
  play --workers 1000 --tasks 15000 --starts 400 --teams 280 --changes "$changes"
done
play --workers 2000 --tasks 30000 --starts 400 --teams 280 --changes 1 --kill 5
# the largest
play --regions 6 --workers 12000 --tasks 180000 --starts 1200 --teams 280 --fill 150
