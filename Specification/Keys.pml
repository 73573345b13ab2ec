/* At most once: one statement with an idempotency key, tried through two
 * proxies while primaries change.
 *
 * What must hold: the log of the primary never has the statement twice.
 *
 * Bounds: 3 targets, 2 readings, 2 proxies, 3 tries, 3 terms. A log is the
 * number of times that it has the statement; a term's followers copy it in
 * one step. An answer may be lost at any time, so every try may be another's
 * repetition.
 *
 * Safeguards, each of which a macro takes out:
 *   NO_KEY_IN_LOG     the proxy remembers keys, and the target doesn't
 *   KEY_AFTER_WRITE   the target keeps the key in a step after the write
 */

#define TARGETS 3
#define PROXIES 2
#define TRIES 3
#define TERMS 3

byte log[TARGETS];   /* how often the statement stands in it */
bool key[TARGETS];   /* the target knows the key */
bool known[PROXIES]; /* the proxy has sent it before */
bool late[TARGETS];  /* a key that is yet to be kept */
byte primary = 0;
byte term = 1;
byte tries = 0;

inline write_once(t) {
  log[t]++;
#ifdef KEY_AFTER_WRITE
  late[t] = true;
#else
  key[t] = true;
#endif
}

inline try_through(p) {
#ifdef NO_KEY_IN_LOG
  if
  :: known[p] -> skip
  :: else -> log[primary]++; known[p] = true
  fi
#else
  if
  :: key[primary] -> skip /* replayed */
  :: else -> write_once(primary)
  fi
#endif
}

inline copy(from, to) {
  log[to] = log[from];
  key[to] = key[from];
  late[to] = false
}

/* Of two readings the longer log wins; the rest follow later. */
inline promote(a, b) {
  if
  :: log[a] >= log[b] -> primary = a
  :: else -> primary = b
  fi;
  term++
}

#define CHECK assert(log[primary] <= 1)

inline keep(t) {
  late[t] = false;
  key[t] = true
}

active proctype system() {
  do
  :: atomic { tries < TRIES -> tries++; try_through(0); CHECK }
  :: atomic { tries < TRIES -> tries++; try_through(1); CHECK }
  :: atomic { late[0] -> keep(0) }
  :: atomic { late[1] -> keep(1) }
  :: atomic { late[2] -> keep(2) }
  :: atomic { primary != 0 -> copy(primary, 0) }
  :: atomic { primary != 1 -> copy(primary, 1) }
  :: atomic { primary != 2 -> copy(primary, 2) }
  :: atomic { term < TERMS -> promote(0, 1); CHECK }
  :: atomic { term < TERMS -> promote(1, 2); CHECK }
  :: atomic { term < TERMS -> promote(0, 2); CHECK }
  :: tries == TRIES && term == TERMS -> break
  od
}
