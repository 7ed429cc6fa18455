# Functions that start and end the processes of a cluster on this machine.
# scripts/demo and scripts/fault read this file. Every process is ended by its
# own id. The caller sets run_dir before the first call.

declare -A pids=() addresses=()

# build compiles the programs into .bin.
build() {
	mkdir -p .bin
	go build -o .bin/ ./cmd/dandelionring ./standin/cmd/standin
}

# field NAME reads JSON on standard input and prints the text or number of the
# first field with that name.
field() {
	sed -n "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/p" | head -n 1
}

# wait_for SECONDS COMMAND... runs the command every 0.1 s until it succeeds.
wait_for() {
	local limit=$(($(date +%s%N) + $1 * 1000000000))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ "$(date +%s%N)" -gt "$limit" ]; then
			echo "not reached in time: $*" >&2
			return 1
		fi
		sleep 0.1
	done
}

# start NAME COMMAND... runs the command in the background. Its output goes to
# NAME.out and NAME.err in the run directory, each start to new files.
start() {
	local name=$1
	shift
	local out="$run_dir/$name.out"
	: >"$out"
	"$@" >"$out" 2>>"$run_dir/$name.err" &
	pids[$name]=$!
}

# await_address NAME waits for the line with the address on which the process
# listens, and stores it in addresses.
await_address() {
	wait_for 10 grep -q '"Address"' "$run_dir/$1.out" || return 1
	addresses[$1]=$(field Address <"$run_dir/$1.out")
}

# start_standin NAME SUBCOMMAND ARGUMENTS... starts a stand-in on a free port.
start_standin() {
	local name=$1
	shift
	start "$name" .bin/standin "$@"
	await_address "$name"
}

# alive NAME succeeds while the process runs.
alive() {
	kill -0 "${pids[$1]}" 2>/dev/null
}

# stop NAME ends the process in order, and by force after 5 s.
stop() {
	local name=$1 pid=${pids[$1]:-}
	[ -n "$pid" ] || return 0
	unset "pids[$name]"
	kill -CONT "$pid" 2>/dev/null || true
	kill -TERM "$pid" 2>/dev/null || true
	for _ in $(seq 50); do
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.1
	done
	kill -KILL "$pid" 2>/dev/null || true
	wait "$pid" 2>/dev/null || true
}

# crash NAME ends the process without notice.
crash() {
	local pid=${pids[$1]}
	unset "pids[$1]"
	kill -KILL "$pid"
	wait "$pid" 2>/dev/null || true
}

# stop_all ends every process that this script started, all at the same time.
stop_all() {
	local name
	for name in "${!pids[@]}"; do
		stop "$name" &
	done
	wait
	pids=()
}

# post ADDRESS/PATH BODY sends JSON and prints the answer.
post() {
	curl -sS --max-time 5 -H 'Content-Type: application/json' -d "$2" "http://$1"
}
