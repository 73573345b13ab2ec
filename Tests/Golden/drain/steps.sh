# A planned stop cuts nothing: the statement in flight gets its answer, the
# balancer turns away at once, and the process ends by itself. A drained
# target gets nothing new.
start_all --service-ms 400 >/dev/null

say "SIGTERM comes while a handover is in flight"
"$caller" once --proxy "$proxy_1" --database bale-ledger-1 \
  --organisation port-clerks --kind handover --key scan-1 \
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

say "The other proxy shows it"
statement "$proxy_2" lookup --body "get bale-17" | grep -E '^(outcome|body)'

say "An operator drains a replica"
try "$program" drain target ledger-1-3 "${control[@]}" --operator anna
"$program" status "${control[@]}" --json |
  jq -c '.groups[].targets[] | [.name, .role]'
try "$program" drain target nobody "${control[@]}"

say "An operator drains the other proxy"
try "$program" drain proxy --proxy "$operators_2" --operator anna
try "$program" drain proxy --proxy "$operators_2" --patience-ms 0
