# The steps of the failure cases. A case is a file with one step per line, where "$NAME"
# is replaced by the value that an earlier step, such as "pick", assigned to NAME. The
# seed determines the picks, the pauses and the requests of the loads.

declare -A variables=() upstream_flags=() upstream_kind=()
violations=0
event_time=0 # microseconds since the epoch; 0 without a step "event"
config_number=0
load_count=0

# violation NAME TEXT prints and counts a violation of a requirement.
violation() {
	echo "VIOLATION $1: $2"
	violations=$((violations + 1))
}

# run_case FILE runs the steps of a case.
run_case() {
	local line words
	while IFS= read -r line <&3; do
		line=${line%%#*}
		read -ra words <<<"$(substitute "$line")"
		[ "${#words[@]}" -gt 0 ] || continue
		echo "$(date +%T) ${words[*]}"
		"step_${words[0]}" "${words[@]:1}"
	done 3<"$1"
}

# substitute TEXT prints the text with every "$NAME" replaced by the value of NAME.
substitute() {
	local text=$1 name
	for name in "${!variables[@]}"; do text=${text//"\$$name"/${variables[$name]}}; done
	printf '%s\n' "$text"
}

# random_between LOW HIGH sets random_value to a random number from LOW to HIGH. It does
# not print the number, since bash reseeds RANDOM in the subshell of $(...).
random_value=0
random_between() {
	random_value=$(($1 + RANDOM % ($2 - $1 + 1)))
}

# now_micros prints the time in microseconds since the epoch.
now_micros() {
	echo $(($(date +%s%N) / 1000))
}

# vm NAME ZONE disk|none declares a VM.
step_vm() { add_vm "$@"; }

# include FILE runs the steps of another file.
step_include() { run_case "scripts/fault.d/$1"; }

# store LOADS_PER_SECOND FULL_SPEED starts the weight store.
step_store() {
	store_rate=$1
	start_standin store store --loads-per-second "$1" --full-speed "$2"
}

# start starts the relay and the declared VMs.
step_start() { start_cluster; }

# engine NAME ZONE FLAGS... and service NAME ZONE FLAGS... start upstreams.
step_engine() {
	local name=$1 zone=$2
	shift 2
	upstream_kind[$name]="engine $zone" upstream_flags[$name]="--store ${addresses[store]} $*"
	start_declared "$name"
}

step_service() {
	local name=$1 zone=$2
	shift 2
	upstream_kind[$name]="service $zone" upstream_flags[$name]="$*"
	start_declared "$name"
}

# start_declared NAME starts the upstream, also after a failure, with the arguments of
# its step "engine" or "service".
start_declared() {
	# shellcheck disable=SC2086
	start_upstream "$1" ${upstream_kind[$1]} ${upstream_flags[$1]}
}

# lists VM ADAPTERS VERSIONS sets both lists and waits until they are in force on every
# VM.
step_lists() {
	local vm
	wait_for 20 put_accepted "$1" plans "$(plans_list)"
	wait_for 20 put_accepted "$1" grants "$(grants_list "$2" "$3")"
	for vm in "${vm_names[@]}"; do wait_for 15 at_number "$vm" "$config_number"; done
}

# put_accepted VM plans|grants LIST replaces a list and stores the new number. It fails
# if the change is not accepted.
put_accepted() {
	local answer
	answer=$(put_list "$1" "$2" "$config_number" "$3")
	case $answer in
	*'"Hash"'*'"Winner"'*) return 1 ;;
	*'"Hash"'*) config_number=$(json_field Number <<<"$answer") ;;
	*) return 1 ;;
	esac
}

# at_number VM NUMBER succeeds if the VM has configuration NUMBER or a newer one.
at_number() { [ "$(list_number "$1")" -ge "$2" ]; }

# load NAME ARGUMENTS... starts a load generator that sends requests to every VM.
step_load() {
	local name=$1 vm targets=()
	shift
	load_count=$((load_count + 1))
	for vm in "${vm_names[@]}"; do targets+=(--target "${addresses[$vm]}"); done
	start "$name" .bin/standin load --key "$caller_key" --seed $((seed * 100 + load_count)) --out "$run_dir/$name.records" "${targets[@]}" "$@"
}

# replay NAME EARLIER sends the calls of an earlier load again, with the same
# idempotency keys.
step_replay() { step_load "$1" --rate 200 --duration 60s --replay "$run_dir/$2.records"; }

# await NAME SECONDS waits until a load generator has exited.
step_await() {
	local pid=${pids[$1]}
	wait_for "$2" gone "$1" || violation Hang "load $1 did not end in $2 s"
	wait "$pid" || violation Load "load $1 failed: $(tail -n 1 "$run_dir/$1.err")"
	unset "pids[$1]"
}

# gone NAME succeeds if the process has exited.
gone() { ! is_running "$1"; }

# play NAME plays scripts/fault.d/NAME.play.json against real processes of the platform's two
# roles, with the program in node_binary or that of this tree, and judges the records.
step_play() {
	local node=${node_binary:-$PWD/.bin/dandelionring-node} status=0
	go build -o .bin/ ./platform/cmd/rig
	[ -n "${node_binary:-}" ] || go build -o .bin/ ./platform/cmd/dandelionring-node
	mkdir -p "$run_dir/$1"
	start "$1" .bin/rig play "scripts/fault.d/$1.play.json" --node "$node" --folder "$run_dir/$1" --seed "$seed"
	wait "${pids[$1]}" || status=$?
	unset "pids[$1]"
	cat "$run_dir/$1.out"
	[ "$status" != 2 ] || violation Play "$(tail -n 1 "$run_dir/$1.err")"
	[ "$status" != 1 ] || violation Rules "see $1/verdict.json"
	! grep -lE '^panic:|DATA RACE|fatal error:' "$run_dir/$1"/*.log || violation Panic "see the logs above"
}

# pick NAME CHOICES... assigns one of the choices, selected by the seed, to NAME.
step_pick() {
	local name=$1
	shift
	random_between 1 $#
	variables[$name]=${*:random_value:1}
	echo "         $name = ${variables[$name]}"
}

# pause LOW HIGH waits for a random time between LOW and HIGH, in milliseconds.
step_pause() {
	random_between "$1" "$2"
	sleep "$((random_value / 1000)).$(printf %03d $((random_value % 1000)))"
}

# event sets the time from which the recovery is measured.
step_event() { event_time=$(now_micros); }

# kill, freeze and thaw NAME send SIGKILL, SIGSTOP and SIGCONT.
step_kill() { kill_process "$1"; }
step_freeze() { kill -STOP "${pids[$1]}"; }
step_thaw() { kill -CONT "${pids[$1]}"; }

# drain NAME SECONDS sends SIGTERM to a VM, which must exit with 0 within the time.
step_drain() {
	local pid=${pids[$1]} status=0
	kill -TERM "$pid"
	wait_for "$2" gone "$1" || violation Drain "$1 did not exit in $2 s"
	is_running "$1" && return
	wait "$pid" || status=$?
	[ "$status" = 0 ] || violation Drain "$1 exited with $status"
	unset "pids[$1]"
}

# restart NAME [empty] starts a VM or an upstream again. With "empty" the data of the VM
# is deleted first.
step_restart() {
	[ "${2:-}" != empty ] || rm -rf "$run_dir/data-$1"
	if [ -n "${zone_of[$1]:-}" ]; then start_vm "$1"; else start_declared "$1"; fi
}

# ready NAME SECONDS waits until a VM accepts requests.
step_ready() { wait_for "$2" ready "$1" || violation Ready "$1 is not ready after $2 s"; }

# cut and cutoneway FROM TO block the links between two sets of processes, cutoneway only
# in the direction from FROM to TO. heal undoes all cuts. silence FROM TO permanently
# stops data on the open connections between the sets; new connections work. The sets are
# comma-separated, and * is every process.
relay_change() {
	local change=$1 one_way=$2 ends
	ends="\"From\":[\"${3//,/\",\"}\"],\"To\":[\"${4//,/\",\"}\"]"
	post_json "${addresses[relay]}/v1/$change" "{$ends,\"OneWay\":$one_way}" >/dev/null
}
step_cut() { relay_change cut false "$@"; }
step_cutoneway() { relay_change cut true "$@"; }
step_heal() { post_json "${addresses[relay]}/v1/heal" '{}' >/dev/null; }
step_silence() { relay_change silence false "$@"; }

# zone ZONE assigns the VMs of the zone to "inside" and all others to "outside".
step_zone() {
	local vm inside='' outside=''
	for vm in "${vm_names[@]}"; do
		if [ "${zone_of[$vm]}" = "$1" ]; then inside+=,$vm; else outside+=,$vm; fi
	done
	variables[inside]=${inside#,} variables[outside]=${outside#,}
}

# fail NAME JSON sets the faults that a standin process simulates; {} clears them.
step_fail() { post_json "${addresses[$1]}/v1/standin/fail" "$2" >/dev/null; }

# check LOADS... checks the records of the loads against the journals of all upstreams,
# and the error output of the VMs for panics and data races.
step_check() {
	local arguments=() name
	for name in "$@"; do arguments+=(--records "$run_dir/$name.records"); done
	for name in "$run_dir"/*.journal; do arguments+=(--journal "$name"); done
	.bin/standin check "${arguments[@]}" --event "$event_time" >"$run_dir/verdict.json" || violation Records "see the verdict"
	cat "$run_dir/verdict.json"
	for name in "${vm_names[@]}"; do
		! grep -qE '^panic:|DATA RACE|fatal error:' "$run_dir/$name.err" || violation Panic "$name: $(grep -m 1 -E '^panic:|DATA RACE|fatal error:' "$run_dir/$name.err")"
	done
}

# audit stops the VMs, verifies the audit log, and compares it with the journals of the
# upstreams.
step_audit() {
	local vm folders=() journals=()
	for vm in "${vm_names[@]}"; do
		! .bin/dandelionring audit configs --operator "${addresses[$vm/operator]}" >"$run_dir/configs.json" 2>/dev/null || break
	done
	stop_vms none
	stop_vms disk
	for vm in "${vm_names[@]}"; do [ "${disk_of[$vm]}" != disk ] || folders+=(--folder "$run_dir/data-$vm/audit"); done
	.bin/dandelionring audit verify "${folders[@]}" --history "$run_dir/configs.json" >"$run_dir/audit.txt" 2>&1 || violation Audit "$(head -n 3 "$run_dir/audit.txt" | tr '\n' ' ')"
	tail -n 1 "$run_dir/audit.txt"
	.bin/dandelionring audit export "${folders[@]}" >"$run_dir/audit.jsonl" || violation Audit "no export"
	for vm in "$run_dir"/*.journal; do journals+=(--journal "$vm"); done
	.bin/standin check --audit "$run_dir/audit.jsonl" "${journals[@]}" >"$run_dir/audit-verdict.json" || violation Audit "$(grep -m 1 violation: "$run_dir/audit-verdict.json" | cut -c1-300)"
	grep -E 'Runs|Audited' "$run_dir/audit-verdict.json"
}

# stop_vms disk|none stops the VMs with or without a disk, all at the same time.
stop_vms() {
	local vm stops=()
	for vm in "${vm_names[@]}"; do
		[ "${disk_of[$vm]}" = "$1" ] || continue
		stop "$vm" 2>/dev/null &
		stops+=($!)
	done
	wait "${stops[@]}"
	for vm in "${vm_names[@]}"; do [ "${disk_of[$vm]}" != "$1" ] || unset "pids[$vm]"; done
}

# recovered SECONDS requires that 100 consecutive requests of which at least 95 were
# served began within the time after the event.
step_recovered() {
	local recovery_seconds
	recovery_seconds=$(json_field RecoverySeconds <"$run_dir/verdict.json" | tr -d " ")
	echo "recovery $recovery_seconds s bound $1 s"
	awk -v took="${recovery_seconds:-0}" -v bound="$1" 'BEGIN { exit !(took >= 0 && took <= bound) }' || violation Recovery "$recovery_seconds s instead of $1 s"
}

# answered SHARE requires that the share of answered requests, in percent, is at least
# SHARE.
step_answered() {
	local answered total
	answered=$(json_field answered <"$run_dir/verdict.json" | tr -d " ")
	total=$(json_field Requests <"$run_dir/verdict.json" | tr -d " ")
	echo "answered ${answered:-0} of $total, bound $1 %"
	[ $((${answered:-0} * 100)) -ge $(($1 * total)) ] || violation Answered "${answered:-0} of $total"
}

# ended LIMIT NAMES... requires that at most LIMIT of the named upstreams have exited.
step_ended() {
	local limit=$1 name count=0
	shift
	for name in "$@"; do is_running "$name" || count=$((count + 1)); done
	echo "upstreams lost $count bound $limit"
	[ "$count" -le "$limit" ] || violation Lost "$count upstreams ended"
}

# store_within LIMIT requires that the weight store refused no load because of its rate,
# and never had more than LIMIT loads in transit.
step_store_within() {
	local counts refused transit
	counts=$(curl -sS --max-time 5 "http://${addresses[store]}/v1/standin/counts")
	refused=$(json_field Refused <<<"$counts") transit=$(json_field MaxTransit <<<"$counts")
	echo "store: $counts"
	[ "$refused" = 0 ] || violation StoreRate "$refused loads were refused for the rate"
	[ "$transit" -le "$1" ] || violation StoreTransit "$transit loads in transit, limit $1"
}

# repaired NAME SECONDS waits until the status of the VM reports that its replicas of all
# shards are voters again. Only then may another disk be lost.
step_repaired() {
	wait_for "$2" taken_in "$1" || violation Repair "$1 is not a replica again after $2 s"
}

# taken_in NAME succeeds if the VM reports itself as a voter.
taken_in() {
	curl -sS --max-time 3 -H 'Authorization: Bearer development' "http://${addresses[$1/operator]}/admin/v1/status" |
		grep -o "\"VM\":\"$1\"[^}]*\"Replica\":\"voter\"" >/dev/null
}

# put_until_answered VM NUMBER LIST sends a change of the plans until a response says
# whether it was accepted, each time to the next VM, and prints the status and the
# response. After 60 attempts it prints the status 000.
put_until_answered() {
	local answer attempt index=0
	for attempt in "${!vm_names[@]}"; do [ "${vm_names[$attempt]}" != "$1" ] || index=$attempt; done
	for attempt in $(seq 60); do
		answer=$(curl -sS --max-time 3 -w '%{http_code}' -X PUT -H 'Authorization: Bearer development' \
			-d "{\"Replaces\":$2,\"Plans\":$3}" "http://${addresses[${vm_names[$index]}/operator]}/admin/v1/plans" 2>/dev/null | tr -d '\n') || true
		case $answer in
		*200 | *409 | *422) echo "${answer: -3} ${answer%???}" && return ;;
		esac
		index=$(((index + 1) % ${#vm_names[@]}))
		sleep 0.2
	done
	echo "000 no answer"
}

# plans_with_rate RATE prints the list of plans with the given rate limit. Different
# rates give different hashes.
plans_with_rate() {
	plans_list | sed "s/}]$/,\"MaxRequestsPerSecond\":$1}]/"
}

# config_hash VM NUMBER prints the hash of a configuration as stored on a VM.
config_hash() {
	curl -sS --max-time 5 -H 'Authorization: Bearer development' "http://${addresses[$1/operator]}/admin/v1/plans?number=$2" | tr -d '\n' | json_field Hash
}

# race ROUNDS VICTIM makes three operators change the plans at the same time, all with the
# same number, once per round. The victim is killed after a third of the rounds and
# started again after two thirds.
step_race() {
	local rounds=$1 round operator hashes=() hash writers
	for round in $(seq "$rounds"); do
		[ "$round" != $((rounds / 3)) ] || { echo "         kill $2" && kill_process "$2"; }
		[ "$round" != $((rounds * 2 / 3)) ] || { echo "         restart $2" && start_vm "$2"; }
		writers=()
		for operator in 1 2 3; do
			random_between 0 $((${#vm_names[@]} - 1))
			put_until_answered "${vm_names[random_value]}" "$config_number" "$(plans_with_rate $((round * 1000 + operator)))" >"$run_dir/operator-$operator" &
			writers+=($!)
		done
		wait "${writers[@]}"
		check_race_round "$round" || return 0
		hash=$(grep -h '^200 ' "$run_dir"/operator-? | json_field Hash)
		config_number=$((config_number + 1))
		hashes[config_number]=$hash
	done
	check_configs hashes
}

# check_race_round ROUND requires that one of the three changes was accepted and the other
# two were refused with a conflict.
check_race_round() {
	local won lost
	won=$(cat "$run_dir"/operator-? | grep -c '^200 ') lost=$(cat "$run_dir"/operator-? | grep -c '^409 ')
	[ "$won" = 1 ] && [ "$lost" = 2 ] && return
	violation Race "round $1: $won accepted, $lost conflicts: $(cat "$run_dir"/operator-? | cut -c1-200 | tr '\n' ' ')"
	return 1
}

# check_configs HASHES requires that every VM has each accepted change under its number.
# HASHES is the name of an array of hashes by number.
check_configs() {
	local -n expected=$1
	local vm number found compared=0
	for vm in "${vm_names[@]}"; do
		wait_for 12 at_number "$vm" "$config_number" || violation InForce "$vm is at $(list_number "$vm"), accepted $config_number"
		for number in "${!expected[@]}"; do
			found=$(config_hash "$vm" "$number")
			compared=$((compared + 1))
			[ "$found" = "${expected[$number]}" ] || violation Accepted "$vm shows $found for $number, accepted ${expected[$number]}"
		done
	done
	echo "accepted changes compared $compared"
}

# changes COUNT VM makes COUNT changes of the plans, one after the other, and stores the
# hash of every hundredth.
declare -a sampled_hashes=()
step_changes() {
	local count=$1 vm=$2 number answer
	for number in $(seq "$count"); do
		answer=$(put_until_answered "$vm" "$config_number" "$(plans_with_rate $((100000 + number)))")
		[ "${answer%% *}" = 200 ] || { violation Change "change $number: $answer" && return; }
		config_number=$((config_number + 1))
		[ $((number % 100)) != 0 ] || sampled_hashes[config_number]=$(json_field Hash <<<"$answer")
	done
	echo "changes accepted $count, number $config_number"
}

# kept requires that every VM has the changes whose hashes "changes" stored.
step_kept() { check_configs sampled_hashes; }

# restart_all SECONDS kills all VMs and starts them again. Each must be ready within the
# time.
step_restart_all() {
	local vm begin
	for vm in "${vm_names[@]}"; do kill_process "$vm"; done
	begin=$(now_micros)
	for vm in "${vm_names[@]}"; do start_vm "$vm"; done
	for vm in "${vm_names[@]}"; do wait_for "$1" ready "$vm" || violation Ready "$vm is not ready after $1 s"; done
	echo "ready again after $((($(now_micros) - begin) / 1000)) ms, bound $1 s"
}

# split PAIR NAME NAME assigns the two comma-separated parts of a pair to the names.
step_split() {
	variables[$2]=${1%,*} variables[$3]=${1#*,}
}
