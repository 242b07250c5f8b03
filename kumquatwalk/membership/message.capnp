@0xd3a1c67be0f24915;

# Datagram between the membership services of two nodes.
struct Message {
  magic @0 :UInt32;
  kind @1 :UInt8;
  sequence @2 :UInt32;
  incarnation @3 :UInt64;
  catalogueRevision @4 :UInt64;
  digest @5 :UInt64;
  sender @6 :Text;
  # Address to probe on behalf of the sender: port (2 bytes) and IP number.
  target @7 :Data;
  # Numbers of table buckets, one byte each.
  buckets @8 :Data;
  # Digests of those buckets, four bytes each.
  digests @9 :Data;
  # Member records, state claims and broadcasts, packed one after another.
  items @10 :Data;
}
