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

# stop NAME ends the process in order, and by force after 10 s: a VM that can reach
# no other disk waits 5 s for the second copies of its audit records.
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
	{
		for name in "${!pids[@]}"; do
			stop "$name" &
		done
		wait
	} 2>/dev/null # the shell reports processes that were ended by force
	pids=()
}

# post ADDRESS/PATH BODY sends JSON and prints the answer.
post() {
	curl -sS --max-time 5 -H 'Content-Type: application/json' -d "$2" "http://$1"
}

# The cluster: zone, disk and relay target of every VM, by name.
declare -A zone_of=() disk_of=()
vm_names=()
secret=development-secret-of-a-test
caller_key=key-of-plan-1

# add_vm NAME ZONE disk|none declares a VM.
add_vm() {
	vm_names+=("$1")
	zone_of[$1]=$2 disk_of[$1]=$3
}

# route FROM TO TARGET adds a route to the relay, or changes its target, and prints
# the address at which FROM reaches TO.
route() {
	post "${addresses[relay]}/v1/routes" "{\"From\":\"$1\",\"To\":\"$2\",\"Target\":\"$3\",\"DelayMicros\":${4:-0}}" | field Address
}

# delay FROM TO prints the one-way delay between the zones of two VMs in
# microseconds.
delay() {
	if [ "${zone_of[$1]}" = "${zone_of[$2]}" ]; then echo 0; else echo 1500; fi
}

# write_settings NAME writes the settings of a VM, whose peers are behind the relay.
write_settings() {
	local name=$1 other peers='' data=''
	for other in "${vm_names[@]}"; do
		[ "$other" = "$name" ] && continue
		[ -z "$peers" ] || peers+=,
		peers+="{\"VM\":\"$other\",\"Zone\":\"${zone_of[$other]}\",\"Address\":\"$(route "$name" "$other" '' "$(delay "$name" "$other")")\",\"Disk\":$([ "${disk_of[$other]}" = disk ] && echo true || echo false)}"
	done
	[ "${disk_of[$name]}" != disk ] || data="data-$name"
	cat >"$run_dir/$name.json" <<-EOF
		{"VM": "$name", "Zone": "${zone_of[$name]}", "DataFolder": "$data", "Peers": [$peers],
		 "CallerAddress": "127.0.0.1:0", "OperatorAddress": "127.0.0.1:0",
		 "UpstreamAddress": "127.0.0.1:0", "PeerAddress": "127.0.0.1:0",
		 "SharedSecret": "$secret", "ReadyGraceSeconds": 1, "DefaultDeadlineMillis": 15000,
		 "StoreLoadsPerSecond": ${store_rate:-7}, "StoreTransits": ${store_transits:-3}}
	EOF
}

# start_vm NAME starts a VM and leads the relay to it.
start_vm() {
	local name=$1 other line
	start "$name" .bin/dandelionring serve --settings "$run_dir/$name.json"
	wait_for 15 grep -q '"CallerAddress"' "$run_dir/$name.out" || return 1
	line=$(cat "$run_dir/$name.out")
	addresses[$name]=$(field CallerAddress <<<"$line")
	addresses[$name/operator]=$(field OperatorAddress <<<"$line")
	addresses[$name/upstream]=$(field UpstreamAddress <<<"$line")
	for other in "${vm_names[@]}"; do
		[ "$other" = "$name" ] || route "$other" "$name" "$(field PeerAddress <<<"$line")" "$(delay "$other" "$name")" >/dev/null
	done
	for other in "${zone_of[$name]}-upstreams"; do
		route "$other" "$name" "${addresses[$name/upstream]}" >/dev/null
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

# ready NAME succeeds if the VM takes requests.
ready() {
	curl -sf --max-time 1 "http://${addresses[$1]}/ready"
}

# start_upstream NAME engine|service ZONE ARGUMENTS... starts an upstream that
# announces itself to the VMs of its zone. The VMs reach it through the relay.
start_upstream() {
	local name=$1 kind=$2 zone=$3 vm vms=() front
	shift 3
	for vm in "${vm_names[@]}"; do
		[ "${zone_of[$vm]}" != "$zone" ] || vms+=(--vm "$(route "$zone-upstreams" "$vm" "${addresses[$vm/upstream]}")")
	done
	front=$(route "zone-$zone" "$name" '')
	start_standin "$name" "$kind" --upstream "$name" --zone "$zone" --upstream-token development \
		--advertise "$front" --journal "$run_dir/$name.journal" "${vms[@]}" "$@" || return 1
	route "zone-$zone" "$name" "${addresses[$name]}" >/dev/null
}

# sha256 TEXT prints the hash of a bearer key.
sha256() {
	printf '%s' "$1" | sha256sum | cut -d' ' -f1
}

# plans_list and grants_list print lists for one plan with numbered adapters.
plans_list() {
	echo "[{\"Plan\":\"plan-1\",\"Customer\":\"customer-1\",\"KeyHashes\":[\"$(sha256 "$caller_key")\"]}]"
}

# grants_list ADAPTERS VERSIONS prints the grant of versions 1 to VERSIONS of each
# adapter and of the service billing.
grants_list() {
	local versions adapters
	versions=$(seq -s, -f '"%g"' "$2")
	adapters=$(seq -s, -f "{\"Adapter\":\"adapter-%g\",\"Model\":\"base-model\",\"Versions\":[$versions]}" 0 $(($1 - 1)))
	echo "[{\"Plan\":\"plan-1\",\"Priority\":1,\"Adapters\":[$adapters],\"Services\":[{\"Service\":\"billing\",\"Repeatable\":[\"GET /status\"]}]}]"
}

# put_list VM plans|grants NUMBER LIST replaces a list and prints the answer.
put_list() {
	local name=Plans
	[ "$2" = plans ] || name=Grants
	curl -sS --max-time 10 -X PUT -H 'Authorization: Bearer development' \
		-d "{\"Replaces\":$3,\"$name\":$4}" "http://${addresses[$1/operator]}/admin/v1/$2"
}

# list_number VM prints the number of the configuration in force at a VM.
list_number() {
	curl -sS --max-time 5 -H 'Authorization: Bearer development' "http://${addresses[$1/operator]}/admin/v1/plans" | field Number
}
