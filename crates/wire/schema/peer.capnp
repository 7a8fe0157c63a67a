# What entry instances say to one another.
#
# Generate the Rust code again with `cargo xtask schema`.

@0xd0f3a1c97b5e2846;

struct Address {
  # An IP address in network byte order, 4 or 16 bytes, and a port.
  ip @0 :Data;
  port @1 :UInt16;
}

struct Member {
  incarnation @0 :UInt64;
  name @1 :Text;
  dataCentre @2 :Text;
  callers @3 :Address;
  peers @4 :Address;
  phase @5 :Phase;
  beat @6 :UInt32;

  enum Phase {
    starting @0;
    ready @1;
    leaving @2;
  }
}

struct Rumour {
  union {
    member :group {
      member @0 :Member;
      state @1 :State;
    }
    crash :group {
      fingerprint @2 :UInt64;
      server @3 :Text;
    }
    serverLeaving @4 :Text;
  }

  enum State {
    alive @0;
    suspect @1;
    dead @2;
  }
}

struct Load {
  # The load of one backend server, as its home read it.
  server @0 :Text;
  incarnation @1 :UInt64;
  # The age of what is reported, in milliseconds.
  ageMs @2 :UInt32;
  # Prefill work that waits, by length class, in microseconds of engine time.
  backlogMicros @3 :List(UInt64);
  running @4 :UInt32;
  memoryUsed @5 :UInt64;
  isLeaving @6 :Bool;
  isLost @7 :Bool;
}

struct Work {
  # What became of a request that an entry has placed on backend servers.
  entry @0 :UInt64;
  number @1 :UInt64;
  union {
    placed :group {
      # The time left until the first token is late, in milliseconds.
      targetMs @2 :UInt32;
      # The longest pause between two events that is still on time; 0 for none.
      pauseMs @3 :UInt32;
      # What it is worth to its caller, a short request being worth 1.
      value @4 :Float32;
      parts @5 :List(Part);
      # Whether its first token was expected to be late already when it was placed.
      isLate @8 :Bool;
    }
    started @6 :Void;
    ended @7 :Void;
    # How many times longer than published the server that answers takes.
    paced @9 :Float32;
  }

  struct Part {
    server @0 :UInt64;
    readMs @1 :Float32;
    tokens @2 :UInt32;
  }
}

struct Record {
  # A record of one of the platform's lists, as it was written.
  key @0 :Text;
  value @1 :Data;
  # Whether the key was removed.
  isRemoved @2 :Bool;
}

struct Datagram {
  from @0 :Member;
  configNext @1 :UInt64;
  rumours @2 :List(Rumour);
  union {
    probe @3 :UInt64;
    ack @4 :UInt64;
    probeFor :group {
      sequence @5 :UInt64;
      target @6 :Address;
    }
    news @7 :Void;
    loads @8 :List(Load);
    work @9 :List(Work);
    roster :group {
      # All requests that an entry has placed and that go on, so that lost notes are made up for.
      entry @10 :UInt64;
      placed @11 :List(Work);
      # The numbers of those whose first token has come.
      started @12 :List(UInt64);
    }
    # What changed on the platform's list of servers between two positions.
    listing :group {
      from @13 :UInt64;
      to @14 :UInt64;
      records @15 :List(Record);
    }
  }
}

struct Key {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Outcome {
  union {
    open @0 :Void;
    lost @1 :Void;
    done :group {
      status @2 :UInt16;
      contentType @3 :Text;
      hasBody @4 :Bool;
      body @5 :Text;
    }
  }
}

struct Verdict {
  union {
    granted @0 :Void;
    used @1 :Outcome;
    tooOld @2 :Void;
    tooNew @3 :Void;
    notIssued @4 :Void;
    # The authority can't decide now, for example because the log is out.
    unavailable @5 :Text;
  }
}

struct Ask {
  entry @0 :UInt64;
  customer @1 :Text;
  tokens @2 :UInt64;
  tokensAhead @3 :UInt64;
  requests @4 :UInt64;
  requestsAhead @5 :UInt64;
  running @6 :UInt64;
  tokensBack @7 :UInt64;
  requestsBack @8 :UInt64;
}

struct Grant {
  tokens @0 :UInt64;
  requests @1 :UInt64;
  isTight @2 :Bool;
  refusal @3 :Refusal;
  # The time after which coming back is worth it, in microseconds.
  waitMicros @4 :UInt64;

  enum Refusal {
    none @0;
    tokens @1;
    requests @2;
    concurrency @3;
  }
}

interface Peer {
  # Claims a key for the holder of the nonce. Asking again with the same nonce is harmless.
  claim @0 (key :Key, nonce :UInt64, customer :Text) -> (verdict :Verdict);
  # Gives a claim back that its holder did not run and never will.
  release @1 (key :Key, nonce :UInt64) -> ();
  # Tells how a claimed request ended.
  settle @2 (key :Key, nonce :UInt64, outcome :Outcome) -> ();
  # Asks the home of a contract for an allotment.
  allot @3 (ask :Ask) -> (grant :Grant);
  # Returns the folded configuration as JSON, if the peer has read beyond `next`.
  configuration @4 (next :UInt64) -> (fold :Data);
  # Hands the book of tickets of an entry that stops over, as JSON. It is handed to one peer only.
  handOver @5 (parcel :Data) -> ();
  # Returns the newest records of one of the platform's lists, and the position after them.
  knowledge @6 (list :ListName) -> (next :UInt64, records :List(Record));

  enum ListName {
    routes @0;
    servers @1;
  }
}
