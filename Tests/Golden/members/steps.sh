# Operators remove a control host from the group and add it again; then a host
# loses its disk and rejoins as a voter without any operator command.
seats() {
  "$program" status "${control[@]}" --json |
    jq -c '.control_hosts | map(.seat | select(. != "learner"))'
}
# A removed leader may step down; the command then finds the next leader.
say "Everything starts; a host that is not a member cannot be removed"
start_control
apply "$(write_manifest 1 4)"
seats
try "$program" control remove control-9 "${control[@]}" --operator anna

say "A control host is removed, and the other two continue"
"$program" control remove control-3 "${control[@]}" --operator anna |
  sed 's/control-3/HOST/'
kill -TERM "${process_of[control-3]}"
wait "${process_of[control-3]}" || true
seats
apply "$(write_manifest 2 4)"

say "The removed host restarts and is added once it has caught up"
start control-3
until "$program" control add control-3 "${control[@]}" --operator anna \
  >added 2>&1; do
  sleep 0.05
done
sed 's/control-3/HOST/' added
seats
audit --subject control-3 --json | jq -c '.[] | [.actor, .action]'

say "The host loses its disk, restarts empty and becomes a voter again"
disk() {
  "$program" status "${control[@]}" --json | jq -r '.control_hosts[] |
    select(.name == "control-3" and .seat == "voter") | .disk'
}
lost=$(disk)
kill -9 "${process_of[control-3]}"
wait "${process_of[control-3]}" || true
rm -r data-control-3
start control-3
new_disk_votes() { [ -n "$(disk)" ] && [ "$(disk)" != "$lost" ]; }
wait_for new_disk_votes

say "With another host stopped, its vote still allows a change"
kill -9 "${process_of[control-1]}"
apply "$(write_manifest 3 4)"
