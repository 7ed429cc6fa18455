# The steps of the failure cases. A case is a file with one step a line; "$NAME" in
# a step stands for what "pick" chose. Seeds vary the picks and the pauses.

declare -A chosen=() upstream_flags=() upstream_kind=()
violations=0
event=0
list=0
loads=0

# violation NAME TEXT counts a violated invariant.
violation() {
	echo "VIOLATION $1: $2"
	violations=$((violations + 1))
}

# run_case FILE runs the steps of a case.
run_case() {
	local line words
	while IFS= read -r line <&3; do
		line=${line%%#*}
		read -ra words <<<"$(expand "$line")"
		[ "${#words[@]}" -gt 0 ] || continue
		echo "$(date +%T) ${words[*]}"
		"step_${words[0]}" "${words[@]:1}"
	done 3<"$1"
}

# expand TEXT replaces "$NAME" by what was chosen for NAME.
expand() {
	local text=$1 name
	for name in "${!chosen[@]}"; do text=${text//"\$$name"/${chosen[$name]}}; done
	printf '%s\n' "$text"
}

# between LOW HIGH sets drawn to a random number of the seed. It prints nothing: the shell
# seeds RANDOM anew in a subshell.
drawn=0
between() {
	drawn=$(($1 + RANDOM % ($2 - $1 + 1)))
}

now_micros() {
	echo $(($(date +%s%N) / 1000))
}

# vm NAME ZONE disk|none
step_vm() { add_vm "$@"; }

# include FILE runs the steps of another file.
step_include() { run_case "scripts/fault.d/$1"; }

# store LOADS_PER_SECOND FULL_SPEED
step_store() {
	store_rate=$1
	start_standin store store --loads-per-second "$1" --full-speed "$2"
}

step_start() { start_cluster; }

# engine NAME ZONE FLAGS... and service NAME ZONE FLAGS... start upstreams.
step_engine() {
	local name=$1 zone=$2
	shift 2
	upstream_kind[$name]="engine $zone" upstream_flags[$name]="--store ${addresses[store]} $*"
	start_again "$name"
}

step_service() {
	local name=$1 zone=$2
	shift 2
	upstream_kind[$name]="service $zone" upstream_flags[$name]="$*"
	start_again "$name"
}

start_again() {
	# shellcheck disable=SC2086
	start_upstream "$1" ${upstream_kind[$1]} ${upstream_flags[$1]}
}

# lists VM ADAPTERS VERSIONS sets both lists and waits until every VM has them.
step_lists() {
	local vm
	wait_for 20 put_accepted "$1" plans "$(plans_list)"
	wait_for 20 put_accepted "$1" grants "$(grants_list "$2" "$3")"
	for vm in "${vm_names[@]}"; do wait_for 15 at_number "$vm" "$list"; done
}

put_accepted() {
	local answer
	answer=$(put_list "$1" "$2" "$list" "$3")
	case $answer in
	*'"Hash"'*'"Winner"'*) return 1 ;;
	*'"Hash"'*) list=$(field Number <<<"$answer") ;;
	*) return 1 ;;
	esac
}

at_number() { [ "$(list_number "$1")" -ge "$2" ]; }

# load NAME ARGUMENTS... sends requests through every VM in the background.
step_load() {
	local name=$1 vm targets=()
	shift
	loads=$((loads + 1))
	for vm in "${vm_names[@]}"; do targets+=(--target "${addresses[$vm]}"); done
	start "$name" .bin/standin load --key "$caller_key" --seed $((seed * 100 + loads)) --out "$run_dir/$name.records" "${targets[@]}" "$@"
}

# replay NAME EARLIER sends the calls of an earlier load again, under the same keys.
step_replay() { step_load "$1" --rate 200 --duration 60s --replay "$run_dir/$2.records"; }

# await NAME SECONDS waits until a load has ended.
step_await() {
	local pid=${pids[$1]}
	wait_for "$2" gone "$1" || violation Hang "load $1 did not end in $2 s"
	wait "$pid" || violation Load "load $1 failed: $(tail -n 1 "$run_dir/$1.err")"
	unset "pids[$1]"
}

gone() { ! alive "$1"; }

# pick NAME CHOICES... chooses by the seed.
step_pick() {
	local name=$1
	shift
	between 1 $#
	chosen[$name]=${*:drawn:1}
	echo "         $name = ${chosen[$name]}"
}

# pause LOW HIGH waits for a time in milliseconds.
step_pause() {
	between "$1" "$2"
	sleep "$((drawn / 1000)).$(printf %03d $((drawn % 1000)))"
}

# event marks the time from which the recovery counts.
step_event() { event=$(now_micros); }

step_kill() { crash "$1"; }
step_freeze() { kill -STOP "${pids[$1]}"; }
step_thaw() { kill -CONT "${pids[$1]}"; }

# drain NAME SECONDS ends a VM in order; it must exit by itself.
step_drain() {
	local pid=${pids[$1]} status=0
	kill -TERM "$pid"
	wait_for "$2" gone "$1" || violation Drain "$1 did not exit in $2 s"
	alive "$1" && return
	wait "$pid" || status=$?
	[ "$status" = 0 ] || violation Drain "$1 exited with $status"
	unset "pids[$1]"
}

# restart NAME [empty] starts a VM or an upstream again, a VM on an empty disk if
# asked.
step_restart() {
	[ "${2:-}" != empty ] || rm -rf "$run_dir/data-$1"
	if [ -n "${zone_of[$1]:-}" ]; then start_vm "$1"; else start_again "$1"; fi
}

# ready NAME SECONDS waits until a VM takes requests.
step_ready() { wait_for "$2" ready "$1" || violation Ready "$1 is not ready after $2 s"; }

# cut|cutoneway|heal|silence FROM TO with comma-separated ends.
relay_change() {
	local change=$1 one_way=$2 ends
	ends="\"From\":[\"${3//,/\",\"}\"],\"To\":[\"${4//,/\",\"}\"]"
	post "${addresses[relay]}/v1/$change" "{$ends,\"OneWay\":$one_way}" >/dev/null
}
step_cut() { relay_change cut false "$@"; }
step_cutoneway() { relay_change cut true "$@"; }
step_heal() { post "${addresses[relay]}/v1/heal" '{}' >/dev/null; }
step_silence() { relay_change silence false "$@"; }

# zone ZONE chooses the VMs of a zone as "inside" and all others as "outside".
step_zone() {
	local vm inside='' outside=''
	for vm in "${vm_names[@]}"; do
		if [ "${zone_of[$vm]}" = "$1" ]; then inside+=,$vm; else outside+=,$vm; fi
	done
	chosen[inside]=${inside#,} chosen[outside]=${outside#,}
}

# fail NAME JSON tells a stand-in what to do wrong.
step_fail() { post "${addresses[$1]}/v1/standin/fail" "$2" >/dev/null; }

# check RECORDS... judges the records of the loads with all journals.
step_check() {
	local arguments=() name
	for name in "$@"; do arguments+=(--records "$run_dir/$name.records"); done
	for name in "$run_dir"/*.journal; do arguments+=(--journal "$name"); done
	.bin/standin check "${arguments[@]}" --event "$event" >"$run_dir/verdict.json" || violation Records "see the verdict"
	cat "$run_dir/verdict.json"
	for name in "${vm_names[@]}"; do
		! grep -qE '^panic:|DATA RACE|fatal error:' "$run_dir/$name.err" || violation Panic "$name: $(grep -m 1 -E '^panic:|DATA RACE|fatal error:' "$run_dir/$name.err")"
	done
}

# audit ends the VMs in order, verifies the audit log, and compares it with what the
# upstreams ran.
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

# stop_vms disk|none ends the VMs with or without a disk, all at the same time.
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

# recovered SECONDS needs 95 of 100 requests served again within the time.
step_recovered() {
	local took
	took=$(field RecoverySeconds <"$run_dir/verdict.json" | tr -d " ")
	echo "recovery $took s bound $1 s"
	awk -v took="${took:-0}" -v bound="$1" 'BEGIN { exit !(took >= 0 && took <= bound) }' || violation Recovery "$took s instead of $1 s"
}

# answered SHARE needs a share of all requests, in percent, to be answered.
step_answered() {
	local answered total
	answered=$(field answered <"$run_dir/verdict.json" | tr -d " ")
	total=$(field Requests <"$run_dir/verdict.json" | tr -d " ")
	echo "answered ${answered:-0} of $total, bound $1 %"
	[ $((${answered:-0} * 100)) -ge $(($1 * total)) ] || violation Answered "${answered:-0} of $total"
}

# ended MOST NAMES... allows at most MOST of the named upstreams to have ended.
step_ended() {
	local most=$1 name count=0
	shift
	for name in "$@"; do alive "$name" || count=$((count + 1)); done
	echo "upstreams lost $count bound $most"
	[ "$count" -le "$most" ] || violation Lost "$count upstreams ended"
}

# store_within TRANSIT: the store refused no load for its rate, and never had more
# in transit.
step_store_within() {
	local counts refused transit
	counts=$(curl -sS --max-time 5 "http://${addresses[store]}/v1/standin/counts")
	refused=$(field Refused <<<"$counts") transit=$(field MaxTransit <<<"$counts")
	echo "store: $counts"
	[ "$refused" = 0 ] || violation StoreRate "$refused loads were refused for the rate"
	[ "$transit" -le "$1" ] || violation StoreTransit "$transit loads in transit, limit $1"
}

# repaired NAME SECONDS waits until the status of the VM says that its replicas of all
# shards vote again, as an operator does before a second disk may be lost.
step_repaired() {
	wait_for "$2" taken_in "$1" || violation Repair "$1 is not a replica again after $2 s"
}

taken_in() {
	curl -sS --max-time 3 -H 'Authorization: Bearer development' "http://${addresses[$1/operator]}/admin/v1/status" |
		grep -o "\"VM\":\"$1\"[^}]*\"Replica\":\"voter\"" >/dev/null
}

# put_until_known VM NUMBER LIST sends a change of the plans until its answer is
# known, each time through the next VM, and prints the status and the answer.
put_until_known() {
	local answer try place=0
	for try in "${!vm_names[@]}"; do [ "${vm_names[$try]}" != "$1" ] || place=$try; done
	for try in $(seq 60); do
		answer=$(curl -sS --max-time 3 -w '%{http_code}' -X PUT -H 'Authorization: Bearer development' \
			-d "{\"Replaces\":$2,\"Plans\":$3}" "http://${addresses[${vm_names[$place]}/operator]}/admin/v1/plans" 2>/dev/null | tr -d '\n') || true
		case $answer in
		*200 | *409 | *422) echo "${answer: -3} ${answer%???}" && return ;;
		esac
		place=$(((place + 1) % ${#vm_names[@]}))
		sleep 0.2
	done
	echo "000 no answer"
}

# limited_plans RATE prints the plans with another rate, so that each differs.
limited_plans() {
	plans_list | sed "s/}]$/,\"MaxRequestsPerSecond\":$1}]/"
}

# accepted NUMBER prints the hash of the configuration with the number at a VM.
accepted() {
	curl -sS --max-time 5 -H 'Authorization: Bearer development' "http://${addresses[$1/operator]}/admin/v1/plans?number=$2" | tr -d '\n' | field Hash
}

# race ROUNDS VICTIM lets three operators change the plans with equal numbers. The
# victim is killed after a third of the rounds and started again after two thirds.
step_race() {
	local rounds=$1 round operator hashes=() hash writers
	for round in $(seq "$rounds"); do
		[ "$round" != $((rounds / 3)) ] || { echo "         kill $2" && crash "$2"; }
		[ "$round" != $((rounds * 2 / 3)) ] || { echo "         restart $2" && start_vm "$2"; }
		writers=()
		for operator in 1 2 3; do
			between 0 $((${#vm_names[@]} - 1))
			put_until_known "${vm_names[drawn]}" "$list" "$(limited_plans $((round * 1000 + operator)))" >"$run_dir/operator-$operator" &
			writers+=($!)
		done
		wait "${writers[@]}"
		race_won "$round" || return 0
		hash=$(grep -h '^200 ' "$run_dir"/operator-? | field Hash)
		list=$((list + 1))
		hashes[list]=$hash
	done
	race_kept hashes
}

# race_won ROUND needs exactly one of three answers to be an acceptance.
race_won() {
	local won lost
	won=$(cat "$run_dir"/operator-? | grep -c '^200 ') lost=$(cat "$run_dir"/operator-? | grep -c '^409 ')
	[ "$won" = 1 ] && [ "$lost" = 2 ] && return
	violation Race "round $1: $won accepted, $lost conflicts: $(cat "$run_dir"/operator-? | cut -c1-200 | tr '\n' ' ')"
	return 1
}

# race_kept HASHES needs every VM to show each accepted change under its number.
race_kept() {
	local -n kept=$1
	local vm number found compared=0
	for vm in "${vm_names[@]}"; do
		wait_for 12 at_number "$vm" "$list" || violation InForce "$vm is at $(list_number "$vm"), accepted $list"
		for number in "${!kept[@]}"; do
			found=$(accepted "$vm" "$number")
			compared=$((compared + 1))
			[ "$found" = "${kept[$number]}" ] || violation Accepted "$vm shows $found for $number, accepted ${kept[$number]}"
		done
	done
	echo "accepted changes compared $compared"
}

# changes COUNT VM makes accepted changes, one after the other, and keeps some hashes.
declare -a kept_hashes=()
step_changes() {
	local count=$1 vm=$2 number answer
	for number in $(seq "$count"); do
		answer=$(put_until_known "$vm" "$list" "$(limited_plans $((100000 + number)))")
		[ "${answer%% *}" = 200 ] || { violation Change "change $number: $answer" && return; }
		list=$((list + 1))
		[ $((number % 100)) != 0 ] || kept_hashes[list]=$(field Hash <<<"$answer")
	done
	echo "changes accepted $count, number $list"
}

# kept needs every VM to show the kept changes.
step_kept() { race_kept kept_hashes; }

# restart_all [SECONDS] kills all VMs and starts them again.
step_restart_all() {
	local vm begin
	for vm in "${vm_names[@]}"; do crash "$vm"; done
	begin=$(now_micros)
	for vm in "${vm_names[@]}"; do start_vm "$vm"; done
	for vm in "${vm_names[@]}"; do wait_for "$1" ready "$vm" || violation Ready "$vm is not ready after $1 s"; done
	echo "ready again after $((($(now_micros) - begin) / 1000)) ms, bound $1 s"
}

# split PAIR NAME NAME chooses the two parts of a pair.
step_split() {
	chosen[$2]=${1%,*} chosen[$3]=${1#*,}
}
