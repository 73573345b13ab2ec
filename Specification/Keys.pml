/* At-most-once execution: one statement with an idempotency key is sent through
 * two proxies while primaries change.
 *
 * Invariant: the log of the primary never contains the statement twice.
 *
 * Bounds: 3 targets, 2 readings, 2 proxies, 3 tries, 3 terms. A log is the
 * number of times that it contains the statement; followers copy it in one
 * step. An answer may be lost at any time, so every try may repeat an earlier
 * one.
 *
 * Each macro removes one safeguard:
 *   NO_KEY_IN_LOG     the proxy remembers keys, and the target does not
 *   KEY_AFTER_WRITE   the target stores the key in a step after the write
 */

#define TARGETS 3
#define PROXIES 2
#define TRIES 3
#define TERMS 3

byte log[TARGETS];   /* number of times that it contains the statement */
bool key[TARGETS];   /* the target has stored the key */
bool known[PROXIES]; /* the proxy has sent it before */
bool unstored[TARGETS]; /* a key that is not stored yet */
byte primary = 0;
byte term = 1;
byte tries = 0;

inline write_once(t) {
  log[t]++;
#ifdef KEY_AFTER_WRITE
  unstored[t] = true;
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
  unstored[to] = false
}

/* Promotes the target with the longer of two logs; the others copy it later. */
inline promote(a, b) {
  if
  :: log[a] >= log[b] -> primary = a
  :: else -> primary = b
  fi;
  term++
}

#define CHECK assert(log[primary] <= 1)

inline store_key(t) {
  unstored[t] = false;
  key[t] = true
}

active proctype system() {
  do
  :: atomic { tries < TRIES -> tries++; try_through(0); CHECK }
  :: atomic { tries < TRIES -> tries++; try_through(1); CHECK }
  :: atomic { unstored[0] -> store_key(0) }
  :: atomic { unstored[1] -> store_key(1) }
  :: atomic { unstored[2] -> store_key(2) }
  :: atomic { primary != 0 -> copy(primary, 0) }
  :: atomic { primary != 1 -> copy(primary, 1) }
  :: atomic { primary != 2 -> copy(primary, 2) }
  :: atomic { term < TERMS -> promote(0, 1); CHECK }
  :: atomic { term < TERMS -> promote(1, 2); CHECK }
  :: atomic { term < TERMS -> promote(0, 2); CHECK }
  :: tries == TRIES && term == TERMS -> break
  od
}
