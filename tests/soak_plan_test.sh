#!/usr/bin/env bash
# A soak test seed gives the same random numbers each time, whatever the timing:
# all are drawn before any process starts.
set -u
cd "$(dirname "$0")/.."
failures=0
expect() { # name, then a command that has to succeed
    local name=$1
    shift
    "$@" || { echo "FAILED $name"; failures=$((failures + 1)); }
}
drawn_by() { # seed
    show_plan=yes scripts/soak_seed.sh no-build "$1" 20000
}
first=$(drawn_by 107)
numbers=$(wc -w <<<"$first")
expect "14 steps of 8 draws and three sizes" [ "$numbers" -eq $((14 * 8 + 3)) ]
expect "the same again" [ "$first" = "$(drawn_by 107)" ]
expect "another seed draws something else" [ "$first" != "$(drawn_by 108)" ]
later=$(sed '1,/show_plan:-/d' scripts/soak_seed.sh | grep -c RANDOM)
expect "nothing is drawn later" [ "$later" -eq 0 ]
series=$(drawn_by 10003)
expect "a plan of series" grep -q pause_hosts <<<"$series"
expect "the same series again" [ "$series" = "$(drawn_by 10003)" ]
expect "another seed draws other series" [ "$series" != "$(drawn_by 10004)" ]
later=$(sed '/^plan_series/,/^}/d' scripts/soak_series.sh | grep -c RANDOM)
expect "series draw nothing later" [ "$later" -eq 0 ]
[ $failures -eq 0 ] && echo "soak plan ok"
