# Functions for the run.sh of a case: they start a small deployment on loopback addresses. Source this file in the folder of the case,
# with the repository's root in ROOT. Everything that is started ends with the script.

TROUBLE=${TROUBLE:-1}
BIN=$ROOT/target
TOOLS=$ROOT/target/review-2
WORK=$(mktemp -d)
RECORD=$PWD/record.txt
: >"$RECORD"
NET=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
pids=()

note() { printf '%s %s\n' "$(date +%T.%3N)" "$*" >>"$RECORD"; }

finish() {
  local status=$?
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -KILL "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$WORK"
  exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM

cannot() { note "the case could not run: $*"; echo "could not run: $*" >&2; exit 2; }

# run NAME COMMAND...: starts a process in the background; its id is in $last.
run() {
  local name=$1
  shift
  "$@" >"$WORK/$name.log" 2>&1 &
  last=$!
  pids+=("$last")
}

STORE=$NET.1:9300
start_store() {
  run store "$TOOLS/fake-fleet" store -listen "$STORE"
  for _ in $(seq 50); do
    curl -sf -o /dev/null --max-time 1 "http://$STORE/control/list" && return
    sleep 0.1
  done
  cannot "the store does not answer"
}

# put_configuration FILE: writes the manifest, as the operator does.
put_configuration() {
  printf '{"puts":[{"table":"op","key":"config","value":"%s"}]}' "$(base64 -w0 <"$1")" |
    curl -sS --fail -o /dev/null --data-binary @- "http://$STORE/control/rows" || cannot "the manifest was not written"
}

# bounds: those of the sheet of lmlw-lanterns.
readonly bounds='{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,
"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"stretch_max_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,
"retry_budget_slack":54,"quota_window_s":8,"quota_overage":0.1,"quota_slack":110000,"cold_overage":1.5,"cold_slack":5,
"evacuate_ms":5000,"recover_s":12,"pass_ms":120,"retry_after_s":0,"require_fence":false,"lease_ms":3000,"thaw_slack_ms":300}'

# start_gateway N [BOOTSTRAP]: an edge host at $NET.1N. Callers reach it at $NET.1N:8300; its process is in $last. BOOTSTRAP is true
# unless the process starts again.
start_gateway() {
  local ip=$NET.1$1 bootstrap=${2:-true}
  cat >"$WORK/gateway-$1.json" <<S
{"node_name":"edge-$1","role":"gateway","machine_class":"edge","serves":["edge","control"],"ip":"$ip","zone":"north","region":"r",
"listen":{"front":"$ip:8300","readiness":"$ip:8301","control":"$ip:8302"},"port_range":[8310,8319],"seeds":["$NET.11:8302"],
"bootstrap":$bootstrap,"limits":{"cpu_share":0.304,"cores":1,"memory_mb":284,"max_fds":4100,"link_mbps":1000,"disk_mb":0},
"provider":{"address":"$STORE","form":"table","writes_per_s":400,"reads_per_s":2000,"row_bytes":65536,"history_s":20},"bounds":$bounds}
S
  POMELOWHEEL_BOOT=$WORK/gateway-$1.json run "gateway-$1" "$BIN/pomelo-fleet-gateway"
}

# start_engine N FLAGS...: a model replica at $NET.2N:9301 and the agent beside it.
start_engine() {
  local n=$1
  start_agent "$n"
  shift
  run "engine-$n" "$TOOLS/fake-fleet" replica -listen "$NET.2$n:9301" -store "$STORE" -id "engine-$n" -service brush-assistant \
    -data-centre north "$@"
}

# start_agent N: the agent beside the model replica at $NET.2N:9301.
start_agent() {
  local n=$1 ip=$NET.2$1
  cat >"$WORK/agent-$n.json" <<S
{"node_name":"side-$n","role":"agent","machine_class":"side","serves":["side"],"ip":"$ip","zone":"north","region":"r",
"port_range":[8310,8319],"seeds":["$NET.11:8302"],"bootstrap":true,"app":"$ip:9301","service":"brush-assistant",
"limits":{"cpu_share":0.32,"cores":1,"memory_mb":216,"max_fds":4096,"link_mbps":2000,"disk_mb":0},
"provider":{"address":"$STORE","form":"table","writes_per_s":400,"reads_per_s":2000,"row_bytes":65536,"history_s":20},"bounds":$bounds}
S
  POMELOWHEEL_BOOT=$WORK/agent-$n.json run "agent-$n" "$BIN/pomelo-fleet-agent"
}

# start_desk N FLAGS...: a replica of the plain service at $NET.3N:9302.
start_desk() {
  local n=$1
  shift
  run "desk-$n" "$TOOLS/fake-fleet" replica -listen "$NET.3$n:9302" -store "$STORE" -id "desk-$n" -service lantern-ledger \
    -data-centre north "$@"
}

# runs ADDRESS...: the number of requests that these replicas ran.
runs() {
  local address n=0
  for address in "$@"; do
    n=$((n + $(curl -s --max-time 5 "http://$address/control/runs" | grep -o '"at_ms"' | wc -l)))
  done
  echo $n
}

# wait_ready N: waits until gateway N says that it is ready, and then for the agents' first reports.
wait_ready() {
  for _ in $(seq 100); do
    curl -sf -o /dev/null --max-time 1 "http://$NET.1$1:8301/api/readiness" && sleep 2 && return
    sleep 0.1
  done
  cannot "gateway $1 is not ready"
}

# resident PID: the resident anonymous memory of a process in MB, which is less than what the platform counts.
resident() { awk '/^RssAnon/ {print int($2 / 1024)}' "/proc/$1/status" 2>/dev/null; }

# memory_rounds ROUNDS CLIENT...: lets the clients call gateway 1 and gateway 2 in turn, each ROUNDS times, and does what the platform
# does meanwhile: a process that exceeds the memory of its machine is killed, and starts again after a second. CLIENT is the command
# without the gateway's address. It returns 1 if both gateways ended by themselves three times or more.
readonly memory_mb=284
memory_rounds() {
  local rounds=$1 g round pid mb peak crowd ends=(0 0 0) process=(0 "$first" "$second")
  shift
  for round in $(seq "$rounds"); do
    for g in 1 2; do
      wait_ready $g
      pid=${process[$g]} peak=0
      note "round $round: the clients call gateway $g, which has $(resident "$pid") MB"
      run "crowd-$round-$g" "$@" -gateway "$NET.1$g:8300"
      crowd=$last
      while kill -0 "$crowd" 2>/dev/null; do
        mb=$(resident "$pid")
        [ "${mb:-0}" -gt "$peak" ] && peak=$mb
        if [ "${mb:-0}" -gt "$memory_mb" ]; then
          note "gateway $g has $mb MB, more than its memory_mb of $memory_mb: killed, as the platform does"
          kill -KILL "$pid"
          ends[g]=$((ends[g] + 1))
          sleep 1
          start_gateway $g false
          process[g]=$last pid=$last
        fi
        sleep 0.05
      done
      note "most memory seen of gateway $g: $peak MB; clients: $(tail -1 "$WORK/crowd-$round-$g.log")"
    done
  done
  note "ends of gateway 1: ${ends[1]}; of gateway 2: ${ends[2]}"
  [ "${ends[1]}" -ge 3 ] && [ "${ends[2]}" -ge 3 ] && return 1
  return 0
}
