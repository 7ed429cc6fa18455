# Functions that start and stop the processes of a cluster on this machine, for
# scripts/demo, scripts/fault and scripts/config-delay. Signals are sent to the ids of
# started processes only. The caller sets run_dir before the first call.

# Process ids and listening addresses by process name.
declare -A pids=() addresses=()

# build compiles the programs into .bin.
build() {
	mkdir -p .bin
	go build -o .bin/ ./cmd/dandelionring ./standin/cmd/standin
}

# json_field NAME reads JSON from standard input and prints the string or number in the
# first field with that name.
json_field() {
	sed -n "s/.*\"$1\":\"\{0,1\}\([^\",}]*\).*/\1/p" | head -n 1
}

# wait_for SECONDS COMMAND... runs the command every 0.1 s until it succeeds. It fails
# after the given time.
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
# NAME.out and NAME.err in the run directory. NAME.out is emptied first, NAME.err is
# appended to.
start() {
	local name=$1
	shift
	local out="$run_dir/$name.out"
	: >"$out"
	"$@" >"$out" 2>>"$run_dir/$name.err" &
	pids[$name]=$!
}

# await_address NAME waits until the process has printed its listening address, and
# stores the address in addresses.
await_address() {
	wait_for 10 grep -q '"Address"' "$run_dir/$1.out" || return 1
	addresses[$1]=$(json_field Address <"$run_dir/$1.out")
}

# start_standin NAME SUBCOMMAND ARGUMENTS... starts the program standin on a free port.
start_standin() {
	local name=$1
	shift
	start "$name" .bin/standin "$@"
	await_address "$name"
}

# is_running NAME succeeds while the process runs.
is_running() {
	kill -0 "${pids[$1]}" 2>/dev/null
}

# stop NAME sends SIGTERM to the process, and SIGKILL after 10 s. A VM that reaches no
# other VM with a disk needs more than 5 s, since it waits that long for the second
# copies of its audit records.
stop() {
	local name=$1 pid=${pids[$1]:-}
	[ -n "$pid" ] || return 0
	unset "pids[$name]"
	kill -CONT "$pid" 2>/dev/null || true
	kill -TERM "$pid" 2>/dev/null || true
	for _ in $(seq 100); do
		kill -0 "$pid" 2>/dev/null || break
		sleep 0.1
	done
	kill -KILL "$pid" 2>/dev/null || true
	wait "$pid" 2>/dev/null || true
}

# kill_process NAME kills the process with SIGKILL.
kill_process() {
	local pid=${pids[$1]}
	unset "pids[$1]"
	kill -KILL "$pid"
	wait "$pid" 2>/dev/null || true
}

# stop_all stops every process that this script started, all at the same time.
stop_all() {
	local name
	{
		for name in "${!pids[@]}"; do
			stop "$name" &
		done
		wait
	} 2>/dev/null # hides the messages of the shell about killed processes
	pids=()
}

# post_json ADDRESS/PATH BODY sends JSON and prints the response.
post_json() {
	curl -sS --max-time 5 -H 'Content-Type: application/json' -d "$2" "http://$1"
}

# The VMs of the cluster, and their zone and disk (disk or none) by name.
declare -A zone_of=() disk_of=()
vm_names=()
# Each cluster has a secret and an upstream token of its own: an upstream that announces
# itself to a port which another cluster has taken since is refused there.
cluster_id=$(od -An -N8 -tx8 /dev/urandom | tr -d ' ')
shared_secret=secret-of-cluster-$cluster_id
upstream_token=token-of-cluster-$cluster_id
caller_key=key-of-plan-1

# add_vm NAME ZONE disk|none declares a VM.
add_vm() {
	vm_names+=("$1")
	zone_of[$1]=$2 disk_of[$1]=$3
}

# set_route FROM TO TARGET [DELAY_MICROS] adds a route to the relay, or changes its
# target, and prints the address at which FROM reaches TO.
set_route() {
	post_json "${addresses[relay]}/v1/routes" "{\"From\":\"$1\",\"To\":\"$2\",\"Target\":\"$3\",\"DelayMicros\":${4:-0}}" | json_field Address
}

# delay FROM TO prints the one-way delay between the zones of two VMs in
# microseconds.
delay() {
	if [ "${zone_of[$1]}" = "${zone_of[$2]}" ]; then echo 0; else echo 1500; fi
}

# write_settings NAME writes the settings of a VM. It connects to its peers through the
# relay.
write_settings() {
	local name=$1 other peers='' data=''
	for other in "${vm_names[@]}"; do
		[ "$other" = "$name" ] && continue
		[ -z "$peers" ] || peers+=,
		peers+="{\"VM\":\"$other\",\"Zone\":\"${zone_of[$other]}\",\"Address\":\"$(set_route "$name" "$other" '' "$(delay "$name" "$other")")\",\"Disk\":$([ "${disk_of[$other]}" = disk ] && echo true || echo false)}"
	done
	[ "${disk_of[$name]}" != disk ] || data="data-$name"
	cat >"$run_dir/$name.json" <<-EOF
		{"VM": "$name", "Zone": "${zone_of[$name]}", "DataFolder": "$data", "Peers": [$peers],
		 "CallerAddress": "127.0.0.1:0", "OperatorAddress": "127.0.0.1:0",
		 "UpstreamAddress": "127.0.0.1:0", "PeerAddress": "127.0.0.1:0",
		 "SharedSecret": "$shared_secret", "UpstreamToken": "$upstream_token", "ReadyGraceSeconds": 1, "DefaultDeadlineMillis": 15000,
		 "StoreLoadsPerSecond": ${store_rate:-7}, "StoreTransits": ${store_transits:-3}}
	EOF
}

# start_vm NAME starts a VM and points the routes of the relay at its addresses.
start_vm() {
	local name=$1 other line
	start "$name" .bin/dandelionring serve --settings "$run_dir/$name.json"
	wait_for 15 grep -q '"CallerAddress"' "$run_dir/$name.out" || return 1
	line=$(cat "$run_dir/$name.out")
	addresses[$name]=$(json_field CallerAddress <<<"$line")
	addresses[$name/operator]=$(json_field OperatorAddress <<<"$line")
	addresses[$name/upstream]=$(json_field UpstreamAddress <<<"$line")
	for other in "${vm_names[@]}"; do
		[ "$other" = "$name" ] || set_route "$other" "$name" "$(json_field PeerAddress <<<"$line")" "$(delay "$other" "$name")" >/dev/null
	done
	for other in "${zone_of[$name]}-upstreams"; do
		set_route "$other" "$name" "${addresses[$name/upstream]}" >/dev/null
	done
}

# start_cluster starts the relay and every declared VM.
start_cluster() {
	local name
	start_standin relay relay
	for name in "${vm_names[@]}"; do write_settings "$name"; done
	for name in "${vm_names[@]}"; do start_vm "$name"; done
	for name in "${vm_names[@]}"; do wait_for 20 ready "$name"; done
}

# ready NAME succeeds if the VM accepts requests.
ready() {
	curl -sf --max-time 1 "http://${addresses[$1]}/ready"
}

# start_upstream NAME engine|service ZONE ARGUMENTS... starts an upstream that
# announces itself to the VMs of its zone. VMs and upstream connect through the relay.
start_upstream() {
	local name=$1 kind=$2 zone=$3 vm vms=() relay_address
	shift 3
	for vm in "${vm_names[@]}"; do
		[ "${zone_of[$vm]}" != "$zone" ] || vms+=(--vm "$(set_route "$zone-upstreams" "$vm" "${addresses[$vm/upstream]}")")
	done
	relay_address=$(set_route "zone-$zone" "$name" '')
	start_standin "$name" "$kind" --upstream "$name" --zone "$zone" --upstream-token "$upstream_token" \
		--advertise "$relay_address" --journal "$run_dir/$name.journal" "${vms[@]}" "$@" || return 1
	set_route "zone-$zone" "$name" "${addresses[$name]}" >/dev/null
}

# sha256 TEXT prints the SHA-256 of a caller key in hexadecimal.
sha256() {
	printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# plans_list prints a list of plans with one plan.
plans_list() {
	echo "[{\"Plan\":\"plan-1\",\"Customer\":\"customer-1\",\"KeyHashes\":[\"$(sha256 "$caller_key")\"]}]"
}

# grants_list ADAPTERS VERSIONS prints a list of grants that allows the plan versions 1
# to VERSIONS of every adapter, and the service billing.
grants_list() {
	local versions adapters
	versions=$(seq -s, -f '"%g"' "$2")
	adapters=$(seq -s, -f "{\"Adapter\":\"adapter-%g\",\"Model\":\"base-model\",\"Versions\":[$versions]}" 0 $(($1 - 1)))
	echo "[{\"Plan\":\"plan-1\",\"Priority\":1,\"Adapters\":[$adapters],\"Services\":[{\"Service\":\"billing\",\"Repeatable\":[\"GET /status\"]}]}]"
}

# put_list VM plans|grants NUMBER LIST replaces the list of configuration NUMBER and
# prints the response.
put_list() {
	local name=Plans
	[ "$2" = plans ] || name=Grants
	curl -sS --max-time 10 -X PUT -H 'Authorization: Bearer development' \
		-d "{\"Replaces\":$3,\"$name\":$4}" "http://${addresses[$1/operator]}/admin/v1/$2"
}

# list_number VM prints the number of the configuration in force on a VM.
list_number() {
	curl -sS --max-time 5 -H 'Authorization: Bearer development' "http://${addresses[$1/operator]}/admin/v1/plans" | json_field Number
}
