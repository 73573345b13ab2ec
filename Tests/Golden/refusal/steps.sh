# Invalid input of each kind is refused with a clear error and has no effect.
start_all >/dev/null
once() { "$caller" once --proxy "$proxy_1" "$@"; }
clerk=(--database bale-ledger-1 --organisation port-clerks)

say "Statements that are refused"
try once --database nowhere --organisation port-clerks --kind lookup --body x
try once --database bale-ledger-1 --organisation nobody --kind lookup --body x
try once "${clerk[@]}" --kind hand-over --body x
try once "${clerk[@]}" --kind handover --body "put bale-17 haulier-4"
try once "${clerk[@]}" --kind lookup --session made-up --body "get bale-17"

say "A manifest with five faults: five findings, each with its place"
cat >faulty.toml <<END
version = 0
[[organisation]]
name = "port-clerks"
shaer = 4
[[database]]
name = "bale-ledger-1"
copies = 5
[[kind]]
name = "handover"
access = "wriet"
accepted_age_ms = "2 s"
END
try "$program" check --manifest faulty.toml
try "$program" manifest apply faulty.toml "${control[@]}"

say "The same manifest through HTTP at the operator port"
curl -s -H "Operator-Key: $CORIANDERDYKE_OPERATOR_KEY" \
  --data-binary @faulty.toml "http://127.0.0.1:${port[3]}/v1/manifest/diff" |
  jq -c '.findings[] | [.line, .column]'

say "Different content with the version in force, and an older version"
try apply "$(write_manifest 1 9)"
apply "$(write_manifest 2 4)" >/dev/null
try apply "$(write_manifest 1 4)"

say "Changes need the operator key, reading does not"
CORIANDERDYKE_OPERATOR_KEY=wrong try apply "$(write_manifest 3 4)"
"$program" manifest show "${control[@]}" | grep '^version'

say "None of these requests changed anything"
audit --subject manifest --json | jq -c '.[] | [.action, .from[0:9], .to[0:9]]'

say "Garbage on each port gets an error or closes the connection"
# Sent in a single write: the shell writes line by line, and a line that arrives
# after the port was closed would cause a reset instead of the answer.
printf '\xff\xff\xff\xffgarbage\r\n\r\n' >garbage
garbage() { # port
  exec 9<>"/dev/tcp/127.0.0.1/$1"
  cat garbage >&9
  timeout "$patience" cat <&9 | head -c 12
  echo "closed ${PIPESTATUS[0]}"
  exec 9>&-
}
for each in 0 3 6 7 8; do garbage "${port[each]}"; done
printf garbage >"/dev/udp/127.0.0.1/${port[8]}"
wait_for sh -c "curl -s http://$operators_1/metrics |
  grep -q '^corianderdyke_peer_rejected_total [1-9]'"

say "Everything still works"
statement "$proxy_1" handover --key scan-1 --body "put bale-17 haulier-4" |
  grep -E '^(outcome|body)'
