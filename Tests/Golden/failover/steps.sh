# The primary is killed. Without any operator command the next write succeeds at
# another target with a higher term, and acknowledged writes are preserved.
say "Everything starts"
start_all

say "A handover is acknowledged"
statement "$proxy_1" handover --key scan-1 --body "put bale-17 haulier-4" \
  >write
grep -E '^(outcome|served-by|body)' write
session=$(sed -n 's/^session //p' write)

say "The primary is killed; the next handover goes to another target"
kill -9 "${process_of[ledger-1-1]}"
statement "$proxy_2" handover --key scan-2 --body "put bale-18 haulier-5" \
  >write
grep -E '^(outcome|served-by|body)' write | sed -E 's/ledger-1-[23]/NEXT/'

say "Both handovers are readable"
statement "$proxy_2" lookup --session "$session" --body "get bale-17" |
  grep -E '^(outcome|body)'
statement "$proxy_1" lookup --body "get bale-18" \
  --session "$(sed -n 's/^session //p' write)" | grep -E '^(outcome|body)'

say "The audit trail records the automatic actions"
audit --subject bale-ledger-1 --json |
  jq -c '.[] | [.actor, .action, (.to | sub(" primary.*"; ""))]'

say "The metrics of a proxy contain the failover gap"
wait_for sh -c "curl -s http://$operators_2/metrics |
  grep -q '^corianderdyke_database_write_gap_seconds_count [1-9]'"
echo "a gap was observed"
