@0xb7d1c2f09a4e5831;
# Messages between entry hosts. Each struct mirrors the class of the same name
# in peer_messages.py and the other *_messages.py beside it; fields may
# be added at the end, never renumbered.

struct Envelope {
  union {
    heartbeat @0 :Heartbeat;
    admitRequest @1 :AdmitRequest;
    admitReply @2 :AdmitReply;
    progress @3 :Progress;
    release @4 :Release;
    directoryRegister @5 :DirectoryRegister;
    directoryReply @6 :DirectoryReply;
    directoryRemove @7 :DirectoryRemove;
    streamLookup @8 :StreamLookup;
    streamLookupReply @9 :StreamLookupReply;
    streamRelease @10 :StreamRelease;
    streamReleaseReply @11 :StreamReleaseReply;
    configFetch @12 :ConfigFetch;
    configFetchReply @13 :ConfigFetchReply;
    acknowledgement @14 :Acknowledgement;
    hello @15 :Hello;
    callFailure @16 :CallFailure;
    heldDigest @17 :HeldDigest;
    heldDigestReply @18 :HeldDigestReply;
    suspicionNotice @19 :SuspicionNotice;
    engineDrain @20 :EngineDrain;
    engineDrainReply @21 :EngineDrainReply;
    hostListFetch @22 :HostListFetch;
    hostListFetchReply @23 :HostListFetchReply;
    streamFetch @24 :StreamFetch;
    streamFetchReply @25 :StreamFetchReply;
    permitRequest @26 :PermitRequest;
    permitReply @27 :PermitReply;
    versionNotice @28 :VersionNotice;
    versionLookup @29 :VersionLookup;
    versionReply @30 :VersionReply;
    forwardCall @31 :ForwardCall;
    forwardReply @32 :ForwardReply;
    forwardRead @33 :ForwardRead;
    forwardPart @34 :ForwardPart;
    forwardClose @35 :ForwardClose;
    quotaRequest @36 :QuotaRequest;
    quotaReply @37 :QuotaReply;
  }
}

struct Hello {
  host @0 :Text;
  incarnation @1 :UInt64;
  nonce @2 :Data;
  proof @3 :Data;
  answersPings @4 :Bool;
  replaces @5 :Data;
}

struct CallFailure {
  outcome @0 :Int32;
  detail @1 :Text;
}

enum StreamStage {
  queued @0;
  prefill @1;
  kept @2;
  transfer @3;
  decode @4;
  finished @5;
}

struct StreamTag {
  requestId @0 :Text;
  attempt @1 :Int64;
  host @2 :Text;
  incarnation @3 :UInt64;
}

struct ConfigRecord {
  offset @0 :Int64;
  payload @1 :Data;
}

struct Quarantine {
  key @0 :Text;
  crashes @1 :Int64;
  ageS @2 :Float64;
  alone @3 :Int64;
}

struct CrashKey {
  key @0 :Text;
  sentAgeS @1 :Float64;
}

struct CrashReport {
  endpoint @0 :Text;
  start @1 :Int64;
  ageS @2 :Float64;
  wasAlive @3 :Bool;
  keys @4 :List(CrashKey);
}

struct SurvivalReport {
  key @0 :Text;
  ageS @1 :Float64;
}

struct TrialReport {
  key @0 :Text;
  ageS @1 :Float64;
  count @2 :Int64;
}

struct SuspicionNotice {
  items @0 :List(Quarantine);
  crashes @1 :List(CrashReport);
  survivals @2 :List(SurvivalReport);
  trials @3 :List(TrialReport);
}

struct Heartbeat {
  host @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  draining @3 :Bool;
  configOffset @4 :Int64;
  configDigest @5 :UInt64;
  leaving @6 :List(Text);
  quarantined @7 :List(Quarantine);
  heard @8 :List(HeardHost);
  unheard @9 :List(Text);
  sentAt @10 :Float64;
  echoAt @11 :Float64;
  echoIncarnation @12 :UInt64;
  address @13 :Text;
  heardDigest @14 :UInt64;
  knownDigest @15 :UInt64;
  quorumAgeS @16 :Float64;
  relayedLeaving @17 :List(Text);
  heardSince @18 :UInt64;
  lost @19 :List(Text);
  capacity @20 :Float64;
  streams @21 :List(StreamStatus);
  rateLimits @22 :List(RateLimitStatement);
  grantsPermits @23 :Bool;
  keepsVersions @24 :Bool;
  forwards @25 :Bool;
  grantsQuotas @26 :Bool;
  loads @27 :List(EndpointLoad);
  summedLoads @28 :List(EndpointLoad);
}

struct EndpointLoad {
  endpointKey @0 :Int32;
  openCalls @1 :Int32;
}

struct RateLimitStatement {
  endpoint @0 :Text;
  start @1 :Int64;
  perS @2 :Float64;
  ageS @3 :Float64;
  firstHand @4 :Bool;
}

struct QuotaTerms {
  version @0 :Int64;
  ratePerS @1 :Float64;
  burst @2 :Float64;
}

struct QuotaRequest {
  customer @0 :Text;
  terms @1 :QuotaTerms;
  amounts @2 :List(Int64);
  returned @3 :Int64;
}

struct QuotaReply {
  available @0 :Bool;
  granted @1 :Int64;
  waitS @2 :Float64;
  terms @3 :QuotaTerms;
}

struct PermitRequest {
  statement @0 :RateLimitStatement;
  permits @1 :Int64;
  refused @2 :Int64;
}

struct PermitReply {
  available @0 :Bool;
  granted @1 :Int64;
  perS @2 :Float64;
  ageS @3 :Float64;
  waitS @4 :Float64;
  backlogS @5 :Float64;
}

struct StreamStatus {
  stream @0 :Text;
  endOffset @1 :Int64;
  readAgeS @2 :Float64;
  regainedAgeS @3 :Float64;
}

struct StreamEntry {
  key @0 :Text;
  value @1 :Data;
  offset @2 :Int64;
}

struct StreamFetch {
  stream @0 :Text;
  after @1 :Int64;
  partBytes @2 :Int64;
  digest @3 :UInt64;
  position @4 :Int64;
  isRelative @5 :Bool;
}

struct StreamFetchReply {
  available @0 :Bool;
  endOffset @1 :Int64;
  whole @2 :Bool;
  entries @3 :List(StreamEntry);
  part @4 :Data;
  digest @5 :UInt64;
  position @6 :Int64;
  copyBytes @7 :Int64;
}

struct HeardHost {
  host @0 :Text;
  incarnation @1 :UInt64;
  draining @2 :Bool;
  ageS @3 :Float64;
}

struct AdmitRequest {
  pool @0 :Text;
  tag @1 :StreamTag;
  service @2 :Text;
  promptTokens @3 :Int64;
  blockHashes @4 :List(UInt64);
  fingerprint @5 :UInt64;
  maxTokens @6 :Int64;
  firstTokenS @7 :Float64;
  deadlineS @8 :Float64;
  waitedS @9 :Float64;
  excluded @10 :List(Text);
  alone @11 :Bool;
  hintTokens @12 :Int64;
  turnWithinS @13 :Float64;
  keys @14 :List(Text);
  priority @15 :Int64 = -1;
  customer @16 :Text;
  wantsBackup @17 :Bool;
}

struct AdmitReply {
  outcome @0 :Int32;
  prefill @1 :Text;
  decode @2 :Text;
  retryAfterS @3 :Float64;
  priority @4 :Int64;
  prefillS @5 :Float64;
  missedTurn @6 :Bool;
  isTrial @7 :Bool;
  backup @8 :Text;
  decodeVersion @9 :Text;
  decodeBeganAnew @10 :Bool;
}

struct HeldStream {
  tag @0 :StreamTag;
  service @1 :Text;
  prefill @2 :Text;
  decode @3 :Text;
  stage @4 :StreamStage;
  promptTokens @5 :Int64;
  emitted @6 :Int64;
  maxTokens @7 :Int64;
  fingerprint @8 :UInt64;
  hintTokens @9 :Int64;
  keys @10 :List(Text);
  backup @11 :Text;
}

struct Progress {
  pool @0 :Text;
  host @1 :Text;
  incarnation @2 :UInt64;
  streams @3 :List(HeldStream);
  complete @4 :Bool;
}

struct HeldDigest {
  pool @0 :Text;
  host @1 :Text;
  incarnation @2 :UInt64;
  count @3 :Int64;
  digest @4 :UInt64;
}

struct HeldDigestReply {
  known @0 :Bool;
}

struct Release {
  pool @0 :Text;
  tag @1 :StreamTag;
  outcome @2 :Int32;
  computedTokens @3 :Int64;
  emitted @4 :Int64;
  finished @5 :Bool;
}

struct DirectoryEntry {
  requestId @0 :Text;
  fingerprint @1 :UInt64;
  host @2 :Text;
  incarnation @3 :UInt64;
  attempt @4 :Int64;
  decode @5 :Text;
  done @6 :Bool;
}

struct DirectoryRegister {
  entry @0 :DirectoryEntry;
  takeover @1 :Bool;
  rebuild @2 :Bool;
}

struct DirectoryReply {
  accepted @0 :Bool;
  knownS @1 :Float64;
  found @2 :List(DirectoryEntry);
}

struct DirectoryRemove {
  requestId @0 :Text;
  host @1 :Text;
  incarnation @2 :UInt64;
  attempt @3 :Int64;
  done @4 :Bool;
}

struct StreamLookup {
  requestId @0 :Text;
}

struct StreamLookupReply {
  streams @0 :List(HeldStream);
}

struct StreamRelease {
  requestId @0 :Text;
  holder @1 :Text;
}

struct StreamReleaseReply {
  released @0 :Bool;
  emitted @1 :List(Text);
  attempt @2 :Int64;
  prefill @3 :Text;
  decode @4 :Text;
  done @5 :Bool;
  firstIndex @6 :Int64;
  finishReason @7 :Text;
  ageS @8 :Float64;
}

struct ConfigFetch {
  after @0 :Int64;
  position @1 :Int64;
  takesCompressed @2 :Bool;
}

struct ConfigFetchReply {
  records @0 :List(ConfigRecord);
  position @1 :Int64;
  isCompressed @2 :Bool;
}

struct Acknowledgement {
}

struct EngineDrain {
  pool @0 :Text;
  engine @1 :Text;
  number @2 :Int64;
}

struct EngineDrainReply {
  withdrawn @0 :Bool;
  streams @1 :Int64;
}

struct HostListFetch {
  version @0 :Int64;
  takesCompressed @1 :Bool;
}

struct HostListFetchReply {
  version @0 :Int64;
  content @1 :Data;
  isCompressed @2 :Bool;
}

struct StreamVersion {
  requestId @0 :Text;
  version @1 :Text;
  keepS @2 :Float64;
}

struct VersionNotice {
  streams @0 :List(StreamVersion);
}

struct VersionLookup {
  requestId @0 :Text;
}

struct VersionReply {
  found @0 :Bool;
  version @1 :Text;
  keepS @2 :Float64;
}

enum ForwardKind {
  run @0;
  prefill @1;
  free @2;
  start @3;
  report @4;
}

enum ForwardOutcome {
  done @0;
  unreached @1;
  overloaded @2;
  refused @3;
  failed @4;
}

struct HeaderField {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardedRequest {
  id @0 :Text;
  host @1 :Text;
  method @2 :Text;
  target @3 :Text;
  headers @4 :List(HeaderField);
  body @5 :Data;
  deadlineS @6 :Float64;
  resumeAfter @7 :Text;
  priority @8 :Int64 = -1;
  backup @9 :Text;
}

struct ForwardedHandle {
  engine @0 :Text;
  source @1 :Text;
  key @2 :Text;
  keepS @3 :Float64;
}

struct ForwardCall {
  kind @0 :ForwardKind;
  endpoint @1 :Text;
  request @2 :ForwardedRequest;
  handle @3 :ForwardedHandle;
}

struct ForwardReply {
  outcome @0 :ForwardOutcome;
  detail @1 :Text;
  crashed @2 :Bool;
  gone @3 :Bool;
  reachesOthers @4 :Bool;
  status @5 :Int64;
  headers @6 :List(HeaderField);
  framing @7 :Text;
  stream @8 :Int64;
  handle @9 :ForwardedHandle;
  start @10 :Int64;
  report @11 :Data;
  leaving @12 :Bool;
  busyS @13 :Float64;
  limitPerS @14 :Float64;
}

struct ForwardRead {
  stream @0 :Int64;
  position @1 :Int64 = -1;
}

struct ForwardPart {
  data @0 :Data;
  ended @1 :Bool;
  failed @2 :Bool;
  detail @3 :Text;
  crashed @4 :Bool;
  position @5 :Int64 = -1;
  linkClosed @6 :Bool;
}

struct ForwardClose {
  stream @0 :Int64;
}
