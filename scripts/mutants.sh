#!/usr/bin/env bash
# Mutation test, which shows that the fault matrices can fail: applies each
# mutation of tests/mutants.txt to a copy of its source file, links it into the
# matrix that covers the file and runs that; fleet_matrix runs the recorded runs
# first. What the fleet doesn't catch, order_search may.
# Arguments: names of the mutants to run, default all. Last line: mutants=N
# caught=N.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build/release}
at_once=4
# Scenarios that break without a mutation too (KNOWN-RED.txt).
known_red=late_start_of_an_isolated_former_holder
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
libraries="$(pkg-config --libs absl_strings absl_status absl_statusor \
    absl_str_format) -lxxhash -lgflags -lpthread"

link_mutant() { # folder, output, library, sources
    g++ -std=c++20 -O1 -DMSGPACK_USE_BOOST=1 -Iinclude -Isrc -Isrc/core \
        -Itests -Itests/dispatch/fleet -o "$1/$2" "${@:4}" \
        "$build/lib$3.a" "$build/libfigridge_core.a" $libraries 2>"$1/error"
}

run_mutant() { # line
    local name file old new
    IFS='|' read -r name file old new < <(sed 's/\\|/\x01/g' <<<"$1")
    old=${old//$'\x01'/|} new=${new//$'\x01'/|}
    local folder=$work/$name
    mkdir -p "$folder/$(dirname "$file")"
    local main=tests/fault_matrix_main.cpp cluster=figridge_virtual_cluster
    local matrix_runs=("--seeds 1 --pairs 1000")
    case $file in
    dispatch/*)
        main=tests/dispatch/fleet/fleet_matrix_main.cpp
        cluster=figridge_virtual_fleet
        matrix_runs=("--runs tests/dispatch/fleet/runs_that_broke.txt"
            "--runs tests/dispatch/fleet/runs_that_show_mutants.txt"
            "--seeds 8 --mixes 3000")
        ;;
    esac
    OLD=$old NEW=$new perl -0777 -pe '
        $n = () = /\Q$ENV{OLD}\E/g;
        die "the text stands there $n times\n" if $n != 1;
        s/\Q$ENV{OLD}\E/$ENV{NEW}/' "src/core/$file" >"$folder/$file" \
        2>"$folder/error" || { echo "mutant $name: $(cat "$folder/error")"; return; }
    if ! link_mutant "$folder" matrix "$cluster" "$main" "$folder/$file"; then
        echo "mutant $name: does not build: $(head -3 "$folder/error")"
        return
    fi
    local run_args code
    for run_args in "${matrix_runs[@]}"; do
        # Word splitting is intended: a run has several arguments.
        # shellcheck disable=SC2086
        timeout 300 "$folder/matrix" $run_args --stop_at_first \
            >"$folder/out" 2>&1
        code=$?
        if [ $code -eq 1 ] && grep -q '^BROKEN' "$folder/out"; then
            echo "mutant $name: caught by $(sed -n 's/^BROKEN //p' \
                "$folder/out" | head -1):$(sed -n 2p "$folder/out")"
            return
        fi
        if [ $code -ne 0 ]; then
            echo "mutant $name: NOT caught, exit code $code of $run_args"
            return
        fi
    done
    if [[ $file == dispatch/* ]] &&
        link_mutant "$folder" orders "$cluster" tests/dispatch/orders/*.cpp \
            "$folder/$file" &&
        ! timeout 300 "$folder/orders" --stop_at_first \
            --leave_out "$known_red" >"$folder/out" 2>&1 &&
        grep -q '^BROKEN' "$folder/out"; then
        echo "mutant $name: caught by $(sed -n 's/^BROKEN //p' "$folder/out" | head -1)"
        return
    fi
    echo "mutant $name: NOT caught"
}

mapfile -t lines < <(grep -v '^#' tests/mutants.txt |
    grep -E "^($(IFS='|'; echo "${*:-.*}"))\|")
for line in "${lines[@]}"; do
    while [ "$(jobs -r | wc -l)" -ge "$at_once" ]; do
        wait -n
    done
    run_mutant "$line" | tee -a "$work/results" &
done
wait
caught=$(grep -c ': caught by' "$work/results")
echo "mutants=${#lines[@]} caught=$caught"
[ "$caught" -eq "${#lines[@]}" ]
