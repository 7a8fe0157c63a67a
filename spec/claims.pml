/*
 * Model of the claims of one key through a stream of the platform's log.
 *
 * Each entry appends claims under its own nonce. An append may be delivered late, and its response
 * may be lost, in which case the entry appends a second copy. The records are folded in log order:
 * the first claim holds the key until its holder releases it, and a released nonce never holds the
 * key again.
 *
 * Property: the request runs at most once, and a holder that released its claim never ran the
 * request.
 * Seeded bug (-DSEEDED_BUG): an entry treats the lost response to its append as a grant.
 */

#define ENTRIES 2
#define LOG_SIZE 6
#define NOBODY 255

#define CLAIM 1
#define RELEASE 2

/* The log: the kind and nonce of each record. Entry number e uses the nonce e. */
byte kind[LOG_SIZE];
byte nonce[LOG_SIZE];
byte head = 0;

/* Appends in transit to the log. */
chan network = [3] of { byte, byte };

byte runs = 0;
bool has_run[ENTRIES];
bool has_released[ENTRIES];

/* The log accepts appends in any order, since the network may reorder them. */
active proctype Log() {
    byte k, n;
end:
    do
    :: network??k, n ->
        if
        :: head < LOG_SIZE -> atomic { kind[head] = k; nonce[head] = n; head++ }
        :: else -> skip /* A rejected append has no effect, as if it had never been sent. */
        fi
    od
}

proctype Entry(byte me) {
    byte holder = NOBODY;
    byte next = 0;
    byte copies = 0;
    bool seen = false;
    bool was_released[ENTRIES];

    /* Appends the claim, and possibly a second copy if the first response was lost. */
    do
    :: copies < 2 ->
        if
        :: nfull(network) -> network!CLAIM, me; copies++
        :: full(network) -> break
        fi
    :: copies > 0 -> break
    od;

#ifdef SEEDED_BUG
    if
    :: copies == 2 -> holder = me; seen = true; goto decided
    :: else -> skip
    fi;
#endif

    /* Reads the log until the entry's own claim appears, or gives up. */
    do
    :: next < head && !seen ->
        atomic {
            if
            :: kind[next] == CLAIM ->
                if
                :: holder == NOBODY && !was_released[nonce[next]] -> holder = nonce[next]
                :: else -> skip
                fi;
                if
                :: nonce[next] == me -> seen = true
                :: else -> skip
                fi
            :: kind[next] == RELEASE ->
                was_released[nonce[next]] = true;
                if
                :: holder == nonce[next] -> holder = NOBODY
                :: else -> skip
                fi
            fi;
            next++
        }
    :: seen -> break
    :: true -> goto give_up
    od;

decided:
    if
    :: seen && holder == me ->
        if
        /* The process may be paused here for any time before it runs the request. */
        :: true ->
            atomic {
                assert(!has_released[me]);
                runs++;
                has_run[me] = true;
                assert(runs <= 1)
            };
            goto done
        :: true -> goto give_up
        fi
    :: else -> goto done
    fi;

give_up:
    /* The entry did not run the request and never will. */
    atomic { assert(!has_run[me]); has_released[me] = true };
    if
    :: nfull(network) -> network!RELEASE, me
    :: full(network) -> skip /* The release is lost, so the key stays claimed. */
    fi;

done:
    skip
}

init {
    byte e = 0;
    atomic {
        do
        :: e < ENTRIES -> run Entry(e); e++
        :: else -> break
        od
    }
}
