#!/bin/sh
# Stands in for the player program in tests. The worth of a day is the content of the tree's file `worth` with the
# seed as further digits. Rule TWICE is broken if the tree has a file `broken`, and there is no report if it has a
# file `silent`. Each run leaves an entry in the tree's journal.
[ "$1" = build ] && exit 0
seed=; report=
while [ $# -gt 0 ]; do
  case "$1" in --seed) seed=$2; shift;; --report) report=$2; shift;; esac
  shift
done
[ -f silent ] && { echo "no day of that name"; exit 1; }
mkdir -p journal
echo "{}" > "journal/$seed-$(basename "$PWD").json"
breaks='{}'
[ -f broken ] && breaks='{"TWICE": 1}'
echo "{\"G\": $(cat worth)$seed, \"breaks\": $breaks}" > "$report"
