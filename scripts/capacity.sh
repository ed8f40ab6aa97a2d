#!/usr/bin/env bash
# Measures the costs in docs/CAPACITY.md: varies one parameter at a time and
# prints a line for each point and for each linear fit.
set -u
cd "$(dirname "$0")/.."
build=${BUILD:-build/release}
base_port=${BASE_PORT:-25000}
domains=d1,d2,d3
points=$(mktemp)
source scripts/cluster.sh
trap 'cluster_abort; rm -f "$points"' EXIT

sum_metric() { # name; prints the sum over all hosts
    local i
    for ((i = 0; i < hosts; i++)); do
        curl -s -m 5 "http://$(host_callers "$i")/metrics"
    done | awk -v name="figridge_$1" '$1 == name { sum += $2 }
        END { printf "%.6f\n", sum }'
}

# Prints the cost of an idle cluster: per host CPU (% of a core), peer traffic
# (KB/s) and memory (MB), and the platform requests/s of all hosts.
measure_idle() { # label, value, seconds
    local cpu bytes before_cpu before_bytes memory reads before_reads
    cluster_start || { cluster_abort; exit 1; }
    sleep 3
    before_cpu=$(sum_metric cpu_seconds)
    before_bytes=$(sum_metric peer_bytes_sent)
    before_reads=$(platform_requests)
    sleep "$3"
    cpu=$(sum_metric cpu_seconds)
    bytes=$(sum_metric peer_bytes_sent)
    reads=$(platform_requests)
    memory=$(sum_metric resident_bytes)
    cluster_stop || exit 1
    rm -rf "$cluster_dir"
    awk -v label="$1" -v value="$2" -v hosts="$hosts" -v s="$3" \
        -v cpu="$cpu" -v cpu0="$before_cpu" -v bytes="$bytes" \
        -v bytes0="$before_bytes" -v memory="$memory" -v reads="$reads" \
        -v reads0="$before_reads" 'BEGIN {
        printf "point %s=%s cpu_percent=%.3f peer_kb_s=%.3f memory_mb=%.1f platform_requests_s=%.1f\n",
            label, value, 100 * (cpu - cpu0) / s / hosts,
            (bytes - bytes0) / 1000 / s / hosts, memory / 1e6 / hosts,
            (reads - reads0) / s }' | tee -a "$points"
}
platform_requests() {
    curl -s "http://$(platform_address)/counts" |
        sed 's/.*"reads":\([0-9]*\).*"writes":\([0-9]*\).*/\1 \2/' |
        awk '{ print $1 + $2 }'
}

fit() { # label, field; least-squares fit over the label's points
    sed -n "s/^point $1=\([0-9.]*\) .*$2=\([0-9.]*\).*/\1 \2/p" "$points" |
        awk -v label="$1" -v field="$2" '{ n++; x[n] = $1; y[n] = $2
            sx += $1; sy += $2; sxx += $1 * $1; sxy += $1 * $2 }
        END { d = n * sxx - sx * sx
            if (n < 2 || d == 0) exit
            a = (n * sxy - sx * sy) / d; b = (sy - a * sx) / n
            for (i = 1; i <= n; i++) { e = y[i] - a * x[i] - b
                if (e < 0) e = -e; if (e > worst) worst = e }
            printf "fit %s %s: %.6g * %s + %.4g, worst error %.3g\n",
                field, label, a, label, b, worst }'
}

endpoints=48
for hosts in 3 8 24 64; do measure_idle hosts "$hosts" 6; done
hosts=8
for endpoints in 48 300 1200; do
    measure_idle endpoints "$endpoints" 6
done
endpoints=48
for label in hosts endpoints; do
    for field in cpu_percent peer_kb_s memory_mb platform_requests_s; do
        fit "$label" "$field"
    done
done

# Task starts: CPU time of all hosts against starts per second.
for load in 0.05 0.1 0.2 0.35; do
    line=$(BASE_PORT=$base_port scripts/bench_one.sh certis "$load" \
        rebalance 1 1 8 --run_scale 0.1 --deadline_ms 20000 2>/dev/null)
    awk -v seconds=8 '{ for (i = 1; i <= NF; i++) { split($i, p, "=")
            v[p[1]] = p[2] }
        rate = v["tasks"] / seconds
        printf "point starts_s=%.0f cpu_us_s=%.0f messages_per_task=%s slowdown_p99=%s\n",
            rate, rate * v["cpu_us_per_task"], v["messages_per_task"],
            v["slowdown_p99"] }' <<<"$line" | tee -a "$points"
done
fit starts_s cpu_us_s

# Owners: the same load spread over more catalogue entries.
for owners in 8 54 200; do
    line=$(BASE_PORT=$base_port scripts/bench_one.sh certis 0.5 rebalance 1 \
        1 8 --owners "$owners" 2>/dev/null)
    awk -v owners="$owners" '{ for (i = 1; i <= NF; i++) { split($i, p, "=")
            v[p[1]] = p[2] }
        printf "point owners=%d cpu_us_per_task=%s fairness=%s\n", owners,
            v["cpu_us_per_task"], v["fairness"] }' <<<"$line" |
        tee -a "$points"
done
fit owners cpu_us_per_task

# Catalogue changes: time from the start of `figridgectl catalogue-edit` until
# the edit is in force on every host.
hosts=8
cluster_start || exit 1
for change in 1 2 3 4 5 6 7 8 9 10; do
    printf '{"set":[{"name":"c%s","owner":"o","work_class":"w","task_deadline_ms":5000}]}' \
        "$change" >"$cluster_dir/edit.json"
    begun=$(date +%s%N)
    "$build/figridgectl" --host "$(host_callers $((change % hosts)))" \
        catalogue-edit "$cluster_dir/edit.json" --based_on $((change - 1)) \
        >"$cluster_dir/edit.out" 2>&1 || { cat "$cluster_dir/edit.out"; exit 1; }
    echo "point change=$change in_force_ms=$((($(date +%s%N) - begun) / 1000000))"
done
cluster_stop
