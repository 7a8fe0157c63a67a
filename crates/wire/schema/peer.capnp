# The messages that entry instances exchange: datagrams over UDP and calls over TCP.
#
# After a change, regenerate the Rust code with `cargo xtask schema`.

@0xd0f3a1c97b5e2846;

struct Address {
  # An IP address in network byte order, 4 or 16 bytes, and a port.
  ip @0 :Data;
  port @1 :UInt16;
}

struct Member {
  # The description that an entry instance sends of itself. The incarnation identifies the process,
  # so a restarted instance is another member.
  incarnation @0 :UInt64;
  name @1 :Text;
  dataCentre @2 :Text;
  # The address to which callers connect (`caller_address` in the code).
  callers @3 :Address;
  # The address to which other entries connect (`peer_address` in the code).
  peers @4 :Address;
  phase @5 :Phase;
  # The version of this description (`version` in the code). It increases with each change of the
  # phase and each refutation of a suspicion.
  beat @6 :UInt32;
  # The processor capacity of the instance, in thousandths of a core; 0 if it is not known.
  capacity @7 :UInt32;
  # The address at which the instance serves requests that other entries relay to it; unset if it takes
  # none.
  relay @8 :Address;

  enum Phase {
    # The instance has no configuration yet.
    starting @0;
    # The instance serves callers.
    ready @1;
    # The instance serves its existing callers, but accepts no new ones.
    leaving @2;
    # The instance reaches no backend server, so that callers are not directed to it.
    isolated @3;
  }
}

struct Evacuations {
  # The data centres whose backend servers get no work, as of a position in the operator's list.
  position @0 :UInt64;
  # Those on the list. After an empty text follow those that are not on the list, since the store came back
  # from an older copy, and that are held until the operator has had time to write them again.
  dataCentres @1 :List(Text);
}

struct Cost {
  # A request that was served, with what it cost (`Observation` in the code).
  service @0 :Text;
  route @1 :Text;
  organisation @2 :Text;
  # The number of tokens of the prompt; 0 for calls to plain services.
  promptTokens @3 :UInt32;
  # The number of answer tokens that the caller expected; 0 if it gave none.
  expectedTokens @4 :UInt32;
  # The number of answer tokens, or the time of service in milliseconds for plain services. A negative value
  # is a lower bound: the answer was truncated. Entries that don't know bounds ignore it.
  cost @5 :Float32;
  # The most that the request could cost by what it declared, in the unit of the cost.
  limit @6 :Float32;
}

struct Rumour {
  # An item of gossip. Each member forwards it a limited number of times.
  union {
    # The description of a member and its state as the sender sees it.
    member :group {
      member @0 :Member;
      state @1 :State;
    }
    # Obsolete: crashes are in the suspects of a datagram. Receivers skip it.
    obsoleteCrash :group {
      fingerprint @2 :UInt64;
      server @3 :Text;
    }
    # The name of a backend server that accepts no new work.
    serverLeaving @4 :Text;
  }

  enum State {
    # The member responds.
    alive @0;
    # The member failed to respond recently.
    suspect @1;
    # The member stayed suspect for too long and counts as stopped.
    dead @2;
  }
}

struct Load {
  # The load of a backend server, as read by the entry that is its home.
  server @0 :Text;
  # A random number that the engine draws when it starts.
  incarnation @1 :UInt64;
  # The age of the report, in milliseconds.
  ageMs @2 :UInt32;
  # The waiting prefill work by priority level, in microseconds of engine time. Each
  # length class has two levels: firms within their share, then firms that exceed it.
  backlogMicros @3 :List(UInt64);
  # The number of requests in progress.
  running @4 :UInt32;
  # The KV memory in use, in tokens.
  memoryUsed @5 :UInt64;
  # Whether the engine accepts no new work.
  isLeaving @6 :Bool;
  # Whether the server is unreachable. The report fields are then unset.
  isLost @7 :Bool;
}

struct Work {
  # An update on a request that an entry has placed on backend servers (`Update` in the code). The
  # entry's incarnation and the number identify the attempt at the request.
  entry @0 :UInt64;
  number @1 :UInt64;
  union {
    # The request was sent to its servers.
    placed :group {
      # The time left until the deadline of the first token, in milliseconds.
      targetMs @2 :UInt32;
      # The longest pause between two events that is still on time, in milliseconds; 0 for no
      # limit.
      pauseMs @3 :UInt32;
      # The value of the request to its caller; a short request has the value 1.
      value @4 :Float32;
      # The work of each server. The first part's server decodes the answer.
      parts @5 :List(Part);
      # Whether the first token was already expected to be late when the request was placed.
      isLate @8 :Bool;
      # The expected number of passes from the first token to the end of the answer; 0 if unknown.
      passes @12 :Float32;
      # The expected time of service at a plain service, in milliseconds; 0 if unknown.
      serviceMs @13 :Float32;
      # The upper quantiles of both.
      passesUpper @14 :Float32;
      serviceUpperMs @15 :Float32;
    }
    # The first token has come.
    started @6 :Void;
    # The request has ended or was cancelled.
    ended @7 :Void;
    # The factor by which the server that answers takes longer than published (`Slowed` in the
    # code).
    paced @9 :Float32;
    # A server named the requests a second that it takes from all entries together; infinite if it names
    # none any more. The attempt has no meaning then.
    limited :group {
      server @10 :UInt64;
      perS @11 :Float32;
    }
    # A request was rejected and told to come back after this time, so that other entries recognise it. The
    # attempt has no meaning then.
    rejected :group {
      digest @16 :UInt64;
      returnMs @17 :UInt32;
    }
  }

  struct Part {
    # The work of one server for a request. The server is given by its key in the workload.
    server @0 :UInt64;
    # The duration of the prefill, in milliseconds (`prefill_ms` in the code).
    readMs @1 :Float32;
    # The number of tokens that the server holds in memory.
    tokens @2 :UInt32;
  }
}

struct Record {
  # A record of one of the platform's lists, with its value as it was written.
  key @0 :Text;
  value @1 :Data;
  # Whether the key was removed.
  isRemoved @2 :Bool;
  # The position after the record in the platform's log. 0 in a whole list.
  next @3 :UInt64;
}

struct Suspect {
  # A digest of a request, or of a part of its prompt, that may have crashed servers.
  digest @0 :UInt64;
  # The digests of the names of the servers that crashed.
  servers @1 :List(UInt64);
  # The weight of the evidence of each crash.
  weights @2 :List(UInt8);
}

struct Datagram {
  # One datagram between entries (`Frame` in the code). The sender, `configNext` and the rumours are
  # set in probe, ack, probeFor and news only, which are the messages of the membership protocol.
  from @0 :Member;
  # The offset of the next configuration record that the sender will read.
  configNext @1 :UInt64;
  # Gossip that is sent along with the message.
  rumours @2 :List(Rumour);
  union {
    # Requests an acknowledgement. The value is the number of the probe.
    probe @3 :UInt64;
    # Acknowledges the probe with this number.
    ack @4 :UInt64;
    # Requests that the receiver probe the target and forward the acknowledgement.
    probeFor :group {
      sequence @5 :UInt64;
      target @6 :Address;
    }
    # Requests nothing; the message only carries rumours (`Gossip` in the code).
    news @7 :Void;
    # Load reports from the home of some backend servers. The gateway neither sends nor uses them.
    loads @8 :List(Load);
    # Updates on requests that the sender has placed (`Updates` in the code). Only the gateway sends
    # and uses updates, snapshots and deltas.
    work @9 :List(Work);
    roster :group {
      # A snapshot of all requests in progress that an entry has placed, to make up for lost updates
      # (`Snapshot` in the code).
      entry @10 :UInt64;
      placed @11 :List(Work);
      # The numbers of the requests whose first token has come.
      started @12 :List(UInt64);
    }
    # The changes to the platform's list of servers between two positions (`Delta` in the code).
    listing :group {
      from @13 :UInt64;
      to @14 :UInt64;
      records @15 :List(Record);
    }
    quarantine :group {
      # What the sender knows of requests that crash servers (`Report` in the code).
      suspects @16 :List(Suspect);
      # Digests of requests that ran to their end.
      cleared @17 :List(UInt64);
    }
    costs :group {
      # What requests have cost, sent in batches (`Costs` in the code). The entry numbers its
      # observations; the number after these tells which of them a receiver has counted already.
      observations @18 :List(Cost);
      entry @20 :UInt64;
      next @21 :UInt64;
    }
  }
  # The evacuated data centres as the sender knows them; unset if it knows of none. Set in the messages of
  # the membership protocol only.
  evacuations @19 :Evacuations;
}

struct Key {
  # The high and low 64 bits of a request's key.
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Outcome {
  # The known outcome of a claimed request.
  union {
    # Not known yet: the request may be in progress, done or lost.
    open @0 :Void;
    # The request may have run, but its answer is permanently lost.
    lost @1 :Void;
    # The request ran and returned this answer.
    done :group {
      status @2 :UInt16;
      contentType @3 :Text;
      # Whether the body is present. It is absent if it was longer than the limit or not UTF-8.
      hasBody @4 :Bool;
      body @5 :Text;
    }
  }
}

struct Verdict {
  # The response of an authority to a claim.
  union {
    # The holder of the nonce may run the request, and no other holder ever will.
    granted @0 :Void;
    # An earlier claim holds the key.
    used @1 :Outcome;
    # The key is too old: earlier claims of it may have expired from the log.
    tooOld @2 :Void;
    # The key's creation time is too far ahead of the log's time. The request never ran.
    tooNew @3 :Void;
    # The authority did not issue this ticket to this customer. The request never ran.
    notIssued @4 :Void;
    # The authority can't decide now, for the given reason, for example a log outage.
    unavailable @5 :Text;
  }
}

struct Ask {
  # A request for an allotment from the limits of a customer's contract. The entry is given by its
  # incarnation.
  entry @0 :UInt64;
  customer @1 :Text;
  # Prompt tokens needed now.
  tokens @2 :UInt64;
  # Prompt tokens that will probably be needed soon.
  tokensAhead @3 :UInt64;
  # Requests needed now.
  requests @4 :UInt64;
  # Requests that will probably be needed soon.
  requestsAhead @5 :UInt64;
  # Requests in progress at the entry, including those asked for.
  running @6 :UInt64;
  # Unused tokens that the entry returns.
  tokensBack @7 :UInt64;
  # Unused requests that the entry returns.
  requestsBack @8 :UInt64;
}

struct Grant {
  # The response to an `Ask`: the granted prompt tokens and requests.
  tokens @0 :UInt64;
  requests @1 :UInt64;
  # Whether few concurrent requests are left, so that the entry reports each end at once
  # (`is_near_limit` in the code).
  isTight @2 :Bool;
  # The limit that was exceeded; `none` if everything that is needed now was granted.
  refusal @3 :Refusal;
  # The time after which a retry can succeed, in microseconds.
  waitMicros @4 :UInt64;

  enum Refusal {
    none @0;
    tokens @1;
    requests @2;
    concurrency @3;
  }
}

interface Peer {
  # Claims a key for the holder of the nonce. The call is idempotent: a retry with the same nonce is
  # safe.
  claim @0 (key :Key, nonce :UInt64, customer :Text) -> (verdict :Verdict);
  # Releases a claim whose holder did not run the request and never will.
  release @1 (key :Key, nonce :UInt64) -> ();
  # Reports the outcome of a claimed request.
  settle @2 (key :Key, nonce :UInt64, outcome :Outcome) -> ();
  # Requests an allotment from the home of a contract.
  allot @3 (ask :Ask) -> (grant :Grant);
  # Returns the folded configuration as JSON. The result is empty if the peer has not read beyond
  # the offset `next`.
  configuration @4 (next :UInt64) -> (fold :Data);
  # Hands over the tickets of one issuer, as JSON, from an entry that stops. They are handed over to
  # one peer only.
  handOver @5 (parcel :Data) -> ();
  # Returns the latest records of one of the platform's lists and the position after them.
  knowledge @6 (list :ListName) -> (next :UInt64, records :List(Record));

  enum ListName {
    routes @0;
    servers @1;
  }
}
