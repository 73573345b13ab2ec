# A process that cannot start reports the reason and starts nothing. A running
# process applies those changed settings that can change at run time.
start_control >/dev/null

say "Settings with findings: all of them, with their places"
cat >faulty.toml <<END
[process]
name = "entry-9"
roles = ["proxi"]
log_levle = "info"
stop_bound_ms = -1
[listen]
operators = "somewhere"
peers = 7000
[keys]
peers = "short"
END
try "$program" run faulty.toml

say "A file that does not exist"
try "$program" run missing.toml

says() { sed -nE 's/.*CD([0-9]+ [a-z-]+ .*)/\1/p'; }

say "A port in use"
wait_for curl -s "http://127.0.0.1:${port[3]}/healthz"
write_settings entry-1 kundzinsala proxy "${port[6]}" "${port[3]}" "${port[8]}"
try "$program" run entry-1.toml | sed -E 's/^.* CD/CD/'

say "A data folder that another process holds"
sed -E -e "s/:${port[3]}\"/:${port[15]}\"/" -e "s/:${port[0]}\"/:${port[16]}\"/" \
  control-1.toml >held.toml
try "$program" run held.toml | sed -E 's/^.* CD/CD/'

say "A data folder that cannot be created"
sed -E "s#^data_folder.*#data_folder = \"$folder/held.toml/data\"#" held.toml \
  >unwritable.toml
try "$program" run unwritable.toml | sed -E 's/^.* CD/CD/'

say "Reload: the log level changes, a port change needs a restart"
sed -i -E -e 's/^stop_notice_ms.*/log_format = "json"\nstop_notice_ms = 7/' \
  control-1.toml
kill -HUP "${process_of[control-1]}"
wait_for grep -q restart-needed control-1.log
grep -E 'reloaded|restart-needed' control-1.log | jq -c '[.event, .key, .from, .to]'

say "Reload of a file with a finding changes nothing"
echo 'nonsense = 1' >>control-1.toml
kill -HUP "${process_of[control-1]}"
wait_for grep -q settings-refused control-1.log
grep settings-refused control-1.log | jq -c '[.event, .error]'
