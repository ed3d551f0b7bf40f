# Sourced by each run.sh: runs the stand-ins of a case, and ends every process that they started.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
here="$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/target/review/case$(basename "$here")"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/stonescale" ]; then
    echo "cannot run: build the project (deploy/balancer.toml) and review/build.sh first" >&2
    exit 2
fi
work="$(mktemp -d)" || exit 2
finish() {
    # Only processes started by this run: the stand-ins end their marshals; this is for a run that was cut short.
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            if grep -qs "$work" "/proc/$pid/environ"; then kill -KILL "$pid" 2>/dev/null; fi
        done <"$work/pids"
    fi
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM
ROOT="$root" WORK="$work" RECORD="$here/record.txt" timeout -k 2 110 "$program"
code=$?
case $code in
0 | 1 | 2) exit $code ;;
*) exit 2 ;;
esac
