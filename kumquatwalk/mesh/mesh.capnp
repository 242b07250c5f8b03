@0xd2a4c1f09b7e3a55;

struct Hello {
  protocol @0 :UInt16;
  nodeId @1 :Text;
  incarnation @2 :UInt64;
  zone @3 :Text;
  service @4 :Text;
  host @5 :Text;
  port @6 :UInt16;
  clockUs @7 :UInt64;
  leftTargetKey @8 :UInt32;
  leftTargetStartMs @9 :UInt64;
  takesCapRequests @10 :Bool;
  knownTargetKey @11 :UInt32;
  knownTargetService @12 :Text;
}

struct Call {
  callId @0 :UInt32;
  key @1 :UInt64;
  isResent @2 :Bool;
  attemptId @3 :Data;
  route @4 :Text;
  service @5 :Text;
  callerService @6 :Text;
  isIdempotent @7 :Bool;
  isReturning @8 :Bool;
  rank @9 :UInt8;
  deadlineUs @10 :UInt64;
  method @11 :Data;
  url @12 :Data;
  headers @13 :Data;
  body @14 :Data;
  startByUs @15 :UInt64;
  depth @16 :UInt8;
  tokens @17 :UInt16;
  isProtected @18 :Bool;
  crashMarks @19 :Data;
  # Used by earlier releases only.
  isMovable @20 :Bool;
  isHedgeable @21 :Bool;
  team @22 :Text;
}

struct OwnerQuery {
  callId @0 :UInt32;
  ticket @1 :Text;
  key @2 :Text;
  deadlineUs @3 :UInt64;
  method @4 :Data;
  url @5 :Data;
  headers @6 :Data;
  body @7 :Data;
}

struct Reply {
  callId @0 :UInt32;
  outcome @1 :UInt8;
  code @2 :Text;
  status @3 :UInt16;
  headers @4 :Data;
  body @5 :Data;
  running @6 :UInt16;
  queued @7 :UInt16;
  retryAfterMs @8 :UInt32;
  shedByTarget @9 :Bool;
  tokens @10 :UInt16;
  crashMark @11 :Data;
  isLeaving @12 :Bool;
  # As in TargetStatus.
  workLeftCs @13 :UInt16;
  slownessTwentieths @14 :UInt8;
}

struct Cancel {
  callId @0 :UInt32;
}

struct HedgeRequest {
  callId @0 :UInt32;
}

struct RouteTime {
  route @0 :Text;
  runMs @1 :UInt32;
}

struct TargetStatus {
  state @0 :UInt8;
  limit @1 :UInt16;
  running @2 :UInt16;
  queued @3 :UInt16;
  coldLeftMs @4 :UInt32;
  isStopping @5 :Bool;
  configVersion @6 :UInt64;
  routeTimes @7 :List(RouteTime);
  failurePercent @8 :UInt8;
  targetKey @9 :UInt32;
  targetStartMs @10 :UInt64;
  isLeaving @11 :Bool;
  # Rest of the sender's stop, over 0; 0 while it does not stop.
  stopLeftMs @12 :UInt32;
  clockUs @13 :UInt64;
  # Expected remaining time of all calls, and time of a run that starts now over
  # that in routeTimes; both 0 if the target does not report its slowness. The
  # small types fit into padding, so that messages without them keep their size.
  workLeftCs @14 :UInt16;
  slownessTwentieths @15 :UInt8;
}

struct ConfigRequest {
  afterVersion @0 :UInt64;
}

struct ConfigDocument {
  version @0 :UInt64;
  document @1 :Data;
}

struct RouteRate {
  route @0 :Text;
  milliPerS @1 :UInt32;
}

struct CallShare {
  route @0 :Text;
  called @1 :Text;
  milliCalls @2 :UInt32;
}

struct ServiceRefusals {
  service @0 :Text;
  arrivalsMilliPerS @1 :UInt32;
  refusedMilliPerS @2 :UInt32;
  retriesMilliPerS @3 :UInt32;
  attemptsMax @4 :UInt8;
}

struct TrafficReport {
  rates @0 :List(RouteRate);
  calls @1 :List(CallShare);
  # Services whose targets refuse calls; older releases ignore it.
  refusals @2 :List(ServiceRefusals);
}

struct CrashNotice {
  report @0 :Data;
}

struct CapRequest {
  requestId @0 :UInt32;
  epoch @1 :UInt32;
  # Each: team in the low 32 bits, tokens wanted in 16, tokens returned in 16.
  entries @2 :List(UInt64);
}

struct CapGrant {
  requestId @0 :UInt32;
  epoch @1 :UInt32;
  # Each: team in the low 32 bits, tokens in 16, ms until the next in 16.
  entries @2 :List(UInt64);
}

struct CapHolder {
  requestId @0 :UInt32;
  # Empty where the sender knows of none.
  holder @1 :Text;
}

struct Frame {
  union {
    hello @0 :Hello;
    call @1 :Call;
    reply @2 :Reply;
    cancel @3 :Cancel;
    status @4 :TargetStatus;
    configRequest @5 :ConfigRequest;
    configDocument @6 :ConfigDocument;
    trafficReport @7 :TrafficReport;
    ownerQuery @8 :OwnerQuery;
    crashNotice @9 :CrashNotice;
    hedgeRequest @10 :HedgeRequest;
    capRequest @11 :CapRequest;
    capGrant @12 :CapGrant;
    capHolder @13 :CapHolder;
  }
}
