# Plots served requests per second over time, with one curve for each
# organisation and configuration.
# Usage: gnuplot -e "folder='OUT'; scenario='flood'; deployment='riga'" plot.gp
set datafile separator ","
set terminal svg size 1000,500
set output folder."/".scenario."-".deployment.".svg"
set title scenario." in ".deployment
set xlabel "time (s)"
set ylabel "served in time (1/s)"
set yrange [0:*]
set key outside
file = folder."/timeline.csv"
ways = system("grep '^".scenario.",".deployment.",' ".file. \
  " | cut -d, -f3-5 | sort -u")
plot for [way in ways] \
  "< grep '^".scenario.",".deployment.",".way.",' ".file \
  using 6:7 with lines title way
