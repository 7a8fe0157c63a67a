/*
 * Model of one configuration item. An entry folds it from the log. The entry may start late, fall
 * behind the log's retention, and adopt a snapshot or a peer's state.
 *
 * Operators append records that name the version they replace. The fold accepts a record only if it
 * names the current version. The oldest records expire first. A snapshot contains a folded state
 * and the position up to which the log was read for it. It may be read long after it was written.
 *
 * Property: at each position that an entry has read up to, its state equals the fold of the whole
 * log up to there, and its current version never decreases.
 * Seeded bug (-DSEEDED_BUG): an entry adopts a snapshot without comparing its position.
 */

#define RECORDS 4
#define NONE 255

/* The log: the version that each record replaces. */
byte replaces[RECORDS];
byte head = 0;
byte first = 0;

/* The version that the fold of the whole log gives at each position. */
byte truth[RECORDS + 1];

/* The stored snapshot, which any entry may read: its position and its version. */
byte snapshot_next = NONE;
byte snapshot_version = 0;

inline accept(version, offset) {
    if
    :: replaces[offset] == version -> version = offset + 1
    :: else -> skip
    fi
}

/* Operators race: each expects a version that was current earlier and may be outdated. */
active [2] proctype Operator() {
    byte expected;
    byte sent = 0;
    byte version;
    do
    :: sent < 2 && head < RECORDS ->
        expected = truth[head];
        /* Another operator may append between the read and the append. */
        atomic {
            if
            :: head < RECORDS ->
                replaces[head] = expected;
                version = truth[head];
                accept(version, head);
                truth[head + 1] = version;
                head++
            :: else -> skip
            fi
        };
        sent++
    :: else -> break
    od
}

/* Records expire, but only those that the stored snapshot includes. */
active proctype Retention() {
end:
    do
    :: snapshot_next != NONE && first < snapshot_next && first < head -> first++
    od
}

active [2] proctype Entry() {
    byte next = 0;
    byte version = 0;
    byte before = 0;
    byte held_next = NONE;
    byte held_version = 0;
end:
    do
    /* Reads the next record. */
    :: atomic { next >= first && next < head ->
        before = version;
        accept(version, next);
        next++;
        assert(version == truth[next]);
        assert(version >= before) }
    /* Reads a snapshot that is adopted later. */
    :: atomic { snapshot_next != NONE && held_next == NONE ->
        held_next = snapshot_next;
        held_version = snapshot_version }
    /* Adopts the snapshot that was read before. */
    :: atomic { held_next != NONE ->
        before = version;
#ifdef SEEDED_BUG
        next = held_next;
        version = held_version;
#else
        if
        :: held_next > next -> next = held_next; version = held_version
        :: else -> skip
        fi;
#endif
        held_next = NONE;
        assert(version >= before);
        assert(version == truth[next]) }
    /* Writes a snapshot. It never replaces one with a later position, since readers choose the
     * snapshot with the latest position. */
    :: atomic { next > 0 && (snapshot_next == NONE || next >= snapshot_next) ->
        snapshot_next = next;
        snapshot_version = version }
    od
}
