# Functions of the second review's scripts. To be sourced in the root of the
# repository; needs bash. Set before: folder (of the case), scenario.

stand_in=target/review-2/stand_in_2
pids=()

end_all() {
    local pid
    [ -z "${player:-}" ] || kill -TERM "$player" 2>/dev/null
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
    [ -z "${scratch:-}" ] || rm -rf "$scratch"
}

write_settings() { # index, base port
    local port=$(($2 + 4 * $1))
    sed -e "s|{{listen.control}}|127.0.0.1:$port|" \
        -e "s|{{zone}}|z$(($1 % 3 + 1))|" \
        -e "s|{{listen.front}}|127.0.0.1:$((port + 1))|" \
        -e "s|{{listen.ready}}|127.0.0.1:$((port + 2))|" \
        -e "s|{{ip}}:9464|127.0.0.1:$((port + 3))|" \
        -e "s|{{limits.cpu-share}}|0.25|" \
        -e "s|{{seeds}}|127.0.0.1:$2|" \
        -e "s|{{#zones}}.*{{/zones}}|z1,z2,z3|" \
        -e "s|{{platform.address}}|$store|" \
        -e "s|{{platform.writes-per-s}}|600|" \
        -e "s|{{platform.reads-per-s}}|2000|" \
        -e "s|{{bounds.hold-max-ms}}|1000|" \
        -e "s|{{bounds.stop-ms}}|50|" \
        -e "s|{{bounds.resend-ms}}|1300|" \
        -e "s|{{bounds.far-x}}|3|" \
        deploy/settings.ini.in >"$scratch/host$1.ini"
}

# Starts the stand-in and six hosts in three zones, waits for the end of the
# scenario, and exits with its result.
play() {
    local hosts=6 trouble=true base i callers="" ready="" settings="" result
    [ "${TROUBLE:-1}" != 0 ] || trouble=false
    scratch=$(mktemp -d) || exit 2
    trap end_all EXIT
    [ -x "$stand_in" ] && [ -x target/figridged ] || {
        echo "build first: deploy/system.toml, review/build-2.sh" >&2
        exit 2
    }
    base=$("$stand_in" --ports 64) || exit 2
    store=127.0.0.1:$((base + 63))
    for ((i = 0; i < hosts; i++)); do
        write_settings "$i" "$base"
        settings+="${settings:+,}$scratch/host$i.ini"
        callers+="${callers:+,}127.0.0.1:$((base + 4 * i + 1))"
        ready+="${ready:+,}127.0.0.1:$((base + 4 * i + 2))"
    done
    [ "$scenario" = herd ] || settings=""
    timeout -s KILL 110 "$stand_in" --scenario "$scenario" --trouble=$trouble --store "$store" \
        --hosts "$callers" --ready "$ready" --first_port $((base + 32)) \
        --settings "$settings" --record "${RECORD:-$folder/record.txt}" &
    player=$!
    sleep 0.3
    for ((i = 0; i < hosts && ${#settings} == 0; i++)); do
        target/figridged --config "$scratch/host$i.ini" \
            >"${LOGS:-$scratch}/host$i.log" 2>&1 &
        pids+=("$!")
    done
    wait "$player"
    result=$?
    [ "$result" -le 1 ] || result=2
    exit "$result"
}
