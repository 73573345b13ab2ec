# Two operators concurrently apply different manifests with the same version.
# One is accepted, the other is refused with a conflict; a retry of the accepted
# one, as after a lost answer, returns the same answer.
start_all >/dev/null
left=$(write_manifest 2 5)
right=$(write_manifest 2 6)

say "Both manifests are applied concurrently"
apply "$left" --wait >left.out 2>&1 &
first=$!
apply "$right" --wait >right.out 2>&1 &
second=$!
codes=()
for each in $first $second; do
  code=0
  wait $each || code=$?
  codes+=($code)
done
printf 'exit code %s\n' "${codes[@]}" | sort

winner=$left loser=$right
[ "${codes[0]}" = 0 ] || { winner=$right loser=$left; }

say "The accepted manifest is applied again, then the refused one"
try apply "$winner" | sed -E 's/digest [0-9a-f]+/digest D/'
try apply "$loser" | sed -E 's/[0-9a-f]{64}/D/g'

say "The audit trail has one change, which is in force"
audit --subject manifest --json | jq -c '.[] | [.from[0:9], .to[0:9]]'
"$program" manifest show "${control[@]}" --json | jq -c '[.version, .in_force]'
