@0xbf5147bb5b9f0a11;

struct Hello {
  protocol @0 :UInt16;
  nodeId @1 :Text;
  incarnation @2 :UInt64;
  host @3 :Text;
}

struct Welcome {
  protocol @0 :UInt16;
  nodeId @1 :Text;
  incarnation @2 :UInt64;
  clockUs @3 :UInt64;
}

struct Call {
  attemptId @0 :Data;
  requestId @1 :Data;
  entry @2 :Text;
  method @3 :Text;
  url @4 :Data;
  headers @5 :Data;
  body @6 :Data;
  priority @7 :UInt16;
  depth @8 :UInt8;
  tokens @9 :UInt16;
  idempotent @10 :Bool;
  protected @11 :Bool;
  remainingUs @12 :UInt64;
  sentAtUs @13 :UInt64;
  crashMarks @14 :Data;
}

struct Reply {
  outcome @0 :UInt8;
  code @1 :Text;
  status @2 :UInt16;
  headers @3 :Data;
  body @4 :Data;
  tokens @5 :UInt16;
  gateLevel @6 :Int16;
  entryLevel @7 :Int16;
  queueUs @8 :UInt32;
  runUs @9 :UInt32;
  crashMark @10 :Data;
}

struct Forward {
  method @0 :Text;
  url @1 :Data;
  headers @2 :Data;
  body @3 :Data;
  remainingUs @4 :UInt64;
  keyDigest @5 :Data;
  ticket @6 :Text;
}

struct CatalogueRequest {
  afterRevision @0 :UInt64;
}

struct CatalogueReply {
  revision @0 :UInt64;
  document @1 :Data;
}
