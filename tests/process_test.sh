#!/usr/bin/env bash
# Checks invariants of the real processes, without timings. Usage:
# process_test.sh BUILD.
set -u
build=$1
cd "$(dirname "$0")/.."
hosts=4 endpoints=8 domains=d1,d2 base_port=${BASE_PORT:-24000}
source scripts/cluster.sh
trap cluster_abort EXIT
failures=0

expect() { # name, expected, actual
    if [ "$2" != "$3" ]; then
        echo "FAILED $1: expected <$2>, actual <$3>"
        failures=$((failures + 1))
    fi
}
contains() { # name, part, whole
    case "$3" in
    *"$2"*) ;;
    *) expect "$1" "...$2..." "$3" ;;
    esac
}
status() { # curl arguments: prints the status, the body goes to a file
    curl -s -m 20 -o "$cluster_dir/body" -w '%{http_code}' "$@"
}
body() { cat "$cluster_dir/body"; }
report() { curl -s "http://$(endpoints_control)/report"; }
total_starts() { report | sed 's/.*"total":\([0-9]*\).*/\1/'; }
new_id() { # host
    curl -s -X POST "http://$(host_callers "$1")/v1/ids?count=1" |
        sed 's/.*\["//; s/"\].*//'
}
job() { # run_ms, tasks
    local list="" i
    for ((i = 0; i < $2; i++)); do
        list+="${list:+,}{\"payload\":\"run_ms=$1 n=$i\"}"
    done
    echo "{\"entry\":\"leak-check\",\"tasks\":[$list]}"
}

cluster_start || exit 1
h0=http://$(host_callers 0) h1=http://$(host_callers 1)
h2=http://$(host_callers 2)
"$build/figridgectl" --host "$(host_callers 0)" catalogue-edit \
    samples/catalogue.json >"$cluster_dir/edit.out"
expect "edit in force" 0 $?

# Invalid settings: exit code 2, every error is reported.
cat >"$cluster_dir/bad.ini" <<EOF
[host]
address = nowhere
[timing]
heartbeat_ms = soon
EOF
errors=$("$build/figridged" --config "$cluster_dir/bad.ini" --check_config 2>&1)
expect "bad settings exit" 2 $?
contains "bad address" '[host] address = "nowhere"' "$errors"
contains "bad heartbeat" '[timing] heartbeat_ms = "soon"' "$errors"
contains "missing key" '[platform] address' "$errors"
"$build/figridged" --config "$cluster_dir/host0.ini" --check_config >/dev/null
expect "good settings exit" 0 $?

# Invalid requests: the error names the field, and no task is started.
id=$(new_id 0)
expect "bad JSON" 400 "$(status -X PUT -d '{"entry":' "$h0/v1/jobs/$id")"
contains "bad JSON body" "body: not JSON" "$(body)"
expect "251 tasks" 400 "$(status -X PUT -d "$(job 1 251)" "$h0/v1/jobs/$id")"
contains "251 tasks body" "tasks: 251 given, at most 250" "$(body)"
expect "unknown field" 400 \
    "$(status -X PUT -d '{"entry":"x","tasks":[{}],"when":1}' "$h0/v1/jobs/$id")"
contains "unknown field body" "when: unknown field" "$(body)"
expect "unknown entry" 404 \
    "$(status -X PUT -d '{"entry":"nobody","tasks":[{}]}' "$h0/v1/jobs/$(new_id 0)")"
contains "unknown entry body" "entry: no entry nobody" "$(body)"
head -c 9000000 /dev/zero | tr '\0' x >"$cluster_dir/big"
expect "oversize body" 413 \
    "$(status -X PUT --data-binary @"$cluster_dir/big" "$h0/v1/jobs/$id")"
contains "oversize body text" "max_body_bytes" "$(body)"
expect "id never drawn" 404 \
    "$(status -X PUT -d "$(job 1 1)" "$h1/v1/jobs/${id%~*}~fffff")"
expect "broken id" 400 "$(status "$h0/v1/jobs/x~y")"
expect "stale edit" 409 "$(status -X POST -d '{"based_on":0,"edit_id":"stale",
    "remove":["leak-check"]}' "$h1/v1/catalogue")"
contains "stale edit body" "based_on: version 0 is not the stored one" "$(body)"
"$build/figridgectl" --host "$(host_callers 1)" catalogue-edit \
    samples/catalogue.json 2>/dev/null >/dev/null
expect "stale edit exit" 3 $?
expect "cut without permission is no 200" 400 \
    "$(status -X POST -d '{"hosts":5}' "$h0/v1/debug/cut")"
expect "nothing started by bad requests" 0 "$(total_starts)"

# The same id submitted at three hosts, during and after the run: one answer,
# each task started once.
id=$(new_id 0)
curl -s -X PUT -d "$(job 700 3)" "$h0/v1/jobs/$id" >"$cluster_dir/first" &
first=$!
curl -s -X PUT -d "$(job 700 3)" "$h1/v1/jobs/$id" >"$cluster_dir/second" &
second=$!
wait $first $second
expect "resubmitted while running" "$(cat "$cluster_dir/first")" \
    "$(cat "$cluster_dir/second")"
contains "complete" '"state":"complete"' "$(cat "$cluster_dir/first")"
expect "resubmitted after the end" "$(cat "$cluster_dir/first")" \
    "$(curl -s -X PUT -d "$(job 700 3)" "$h2/v1/jobs/$id")"
expect "three starts for three tasks" 3 "$(total_starts)"

# An idempotency key names one run.
first=$(curl -s -X POST -H 'Idempotency-Key: k1' -d "$(job 50 2)" "$h0/v1/jobs")
second=$(curl -s -X POST -H 'Idempotency-Key: k1' -d "$(job 50 2)" "$h2/v1/jobs")
expect "same key, same answer" "$first" "$second"
expect "two more starts" 5 "$(total_starts)"
curl -s -X PUT -d '{"mode":"down"}' "http://$(platform_address)/control" >/dev/null
expect "key with the table down" 503 \
    "$(status -X POST -H 'Idempotency-Key: k2' -d "$(job 50 2)" "$h0/v1/jobs")"
contains "key with the table down body" not_run_store_down "$(body)"
expect "a minted id needs no table" 200 \
    "$(status -X PUT -d "$(job 50 1)" "$h0/v1/jobs/$(new_id 0)")"
curl -s -X PUT -d '{"mode":"up"}' "http://$(platform_address)/control" >/dev/null
expect "one more start" 6 "$(total_starts)"

# An endpoint closes a reused connection during a task: the request is not
# resent.
curl -s -X PUT -d '{"endpoint":"all","mode":"die"}' \
    "http://$(endpoints_control)/control" >/dev/null
expect "lost endpoint" 502 \
    "$(status -X PUT -d "$(job 50 1)" "$h0/v1/jobs/$(new_id 0)")"
contains "lost endpoint body" '"cause":"endpoint_lost"' "$(body)"
expect "one start although the connection broke" 7 "$(total_starts)"
curl -s -X PUT -d '{"endpoint":"all","mode":"normal"}' \
    "http://$(endpoints_control)/control" >/dev/null

# One host is killed under load: its jobs fail with the right cause, the others
# go on.
id=$(new_id 3)
curl -s -X PUT -d "$(job 3000 4)" "http://$(host_callers 3)/v1/jobs/$id" \
    >"$cluster_dir/killed" &
caller=$!
other=$(new_id 0)
curl -s -X PUT -d "$(job 1500 4)" "$h0/v1/jobs/$other" \
    >"$cluster_dir/survivor" &
survivor=$!
until [ "$(total_starts)" -ge 15 ]; do sleep 0.05; done
kill -KILL "${host_pid[3]}"
wait "${host_pid[3]}" 2>/dev/null
unset "host_pid[3]"
wait $caller
answer=""
for try in $(seq 100); do
    answer=$(curl -s -X PUT -d "$(job 3000 4)" "$h1/v1/jobs/$id")
    case "$answer" in *'"state":"unreachable"'*) sleep 0.1 ;; *) break ;; esac
done
contains "job of the dead host" '"cause":"outcome_unknown"' "$answer"
contains "job of the dead host may have run" '"may_have_run":true' "$answer"
wait $survivor
survived=$(cat "$cluster_dir/survivor")
case "$survived" in
*'"state":"complete"'*) ;;
*) contains "job that used the dead holder" '"cause":"holder_lost"' "$survived" ;;
esac
expect "no task started twice" "" \
    "$(report | sed 's/.*"starts":{//; s/}.*//' | grep -o '":[2-9]')"

# State dump on SIGUSR1 and on request.
kill -USR1 "${host_pid[0]}"
contains "state by request" '"serving":true' "$(curl -s "$h0/v1/state")"
contains "metrics" figridge_messages_total "$(curl -s "$h0/metrics")"
cluster_stop
expect "all processes end with 0" 0 $?
contains "state by signal" "event=state" "$(cat "$cluster_dir/host0.log")"
echo "process test failures=$failures"
[ "$failures" -eq 0 ]
