# A planned stop aborts no statement: the statement in flight is answered, the
# load balancer stops sending at once, and the process exits. A drained target
# receives no new statements.
start_all --service-ms 400 >/dev/null
key() { echo "$(date +%s%3N)-$1"; }

say "A proxy receives SIGTERM while a handover is in flight"
"$caller" once --proxy "$proxy_1" --database bale-ledger-1 \
  --organisation port-clerks --kind handover --key "$(key scan-1)" \
  --body "put bale-17 haulier-4" >answer &
asking=$!
in_flight() {
  curl -s "http://$1/metrics" |
    grep -q '^corianderdyke_statements_in_flight 1$'
}
wait_for in_flight "$operators_1"
kill -TERM "${process_of[entry-1]}"
wait_for grep -q stopping entry-1.log
curl -s "http://$operators_1/readyz"
wait $asking
cat answer
wait "${process_of[entry-1]}"
echo "ended with $?"

say "A lookup at the other proxy returns the handover"
statement "$proxy_2" lookup --body "get bale-17" | grep -E '^(outcome|body)'

say "An operator drains a replica"
try "$program" drain target ledger-1-3 "${control[@]}" --operator anna
"$program" status "${control[@]}" --json |
  jq -c '.groups[].targets[] | [.name, .role]'
try "$program" drain target nobody "${control[@]}"

say "An operator drains the other proxy while a transaction is open"
exec 8<>"/dev/tcp/127.0.0.1/${port[9]}"
clerk="Corianderdyke-Database: bale-ledger-1"$'\r\n'
clerk+="Corianderdyke-Organisation: port-clerks"$'\r\n'
clerk+="Corianderdyke-Kind: handover"$'\r\n'
transaction=
ask() { # path, idempotency key, body
  printf 'POST %s HTTP/1.1\r\nHost: x\r\n%sCorianderdyke-Key: %s\r\n%s' \
    "$1" "$clerk" "$2" "$transaction" >&8
  printf 'Content-Length: %d\r\n\r\n%s' "${#3}" "$3" >&8
  local line length=0
  while read -r -t "$patience" -u 8 line && [ "$line" != $'\r' ]; do
    line=${line%$'\r'}
    case $line in
    Content-Length:*) length=${line#*: } ;;
    Corianderdyke-Transaction:*) transaction=$line$'\r\n' ;;
    Corianderdyke-Outcome:* | Connection:*) echo "$line" ;;
    esac
  done
  read -r -t "$patience" -N "$length" -u 8 line || true
}
ask /transaction/begin "$(key scan-19)" ""
ask /statement "$(key scan-19)" "put bale-19 haulier-6"
"$program" drain proxy --proxy "$operators_2" --operator anna >drained 2>&1 &
draining=$!
takes_nobody() { ! (exec 7<>"/dev/tcp/127.0.0.1/${port[9]}") 2>/dev/null; }
wait_for takes_nobody
ask /statement "$(key scan-20)" "put bale-20 haulier-7"
ask /transaction/commit "$(key scan-21)" ""
exec 8>&-
wait $draining
cat drained
try "$program" drain proxy --proxy "$operators_2" --patience-ms 0
