#!/bin/sh
# Plays days for tests: they are worth what the tree says, and a little by seed; rule TWICE is broken where the
# tree says so. An entry is left in the tree's journal.
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
