# A caller writes at one proxy and reads its write at the other; operators query
# the state and change the manifest.
say "Everything starts and the manifest is in force"
start_all

say "A handover, then a lookup at the other proxy that must show it"
statement "$proxy_1" handover --key scan-1 --body "put bale-17 haulier-4" \
  >write
cat write
statement "$proxy_2" lookup --body "get bale-17" \
  --session "$(sed -n 's/^session //p' write)" | grep -E '^(outcome|body)'

say "A scan that is retried through the other proxy counts once"
key="$(date +%s%3N)-scan-2"
count=(handover --key "$key" --body "add scans-of-17 1")
statement "$proxy_1" "${count[@]}" | grep -E '^(outcome|body)'
statement "$proxy_2" "${count[@]}" >again
grep -E '^(outcome|body)' again
statement "$proxy_1" lookup --body "get scans-of-17" \
  --session "$(sed -n 's/^session //p' again)" | grep -E '^(outcome|body)'

say "The same manifest again: the same answer"
apply "$(write_manifest 1 4)"

say "A dry run of the next one, then the change itself"
next=$(write_manifest 2 5)
"$program" manifest diff "$next" "${control[@]}"
apply "$next" --wait --operator anna
"$program" manifest history "${control[@]}" | sed -E 's/^([0-9]+) .* /\1 /'

say "Status and audit trail for operators"
"$program" status "${control[@]}" --json |
  jq -c '.groups[] | [.database, .phase, .primary, (.targets | length)]'
"$program" status "${control[@]}" --json |
  jq -c '.proxies[] | [.name, .manifest_version, .lease_left_ms > 0]'
audit --subject manifest --json | jq -c '.[] | [.actor, .action, .from, .to]'
