// Golden bytes: one fixed message of each kind that replicas exchange, and one fixed value of each
// kind that they store, against hex files under tests/data/behaviour/wire/. Names in the code may
// change, these bytes may not. Each file is also decoded and encoded again, which has to give the
// same bytes.
//
//   wire_golden_test                     compares
//   wire_golden_test --write-golden      writes the files anew (tools/behaviour_net --record)
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>
#include <lmdb.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <stdexcept>
#include <string>
#include <vector>

#include "drift/drift.hpp"
#include "members/wire.hpp"
#include "owner/fence.hpp"
#include "owner/node.hpp"
#include "peers/wire.hpp"
#include "quota/quota.hpp"
#include "record.pb.h"
#include "record/keepers.hpp"
#include "record/subscribers.hpp"
#include "recovery/recovery.hpp"
#include "store/floors.hpp"
#include "store/lmdb.hpp"
#include "store/record_lmdb.hpp"

using namespace dunlinwick;

namespace {

using Bytes = std::span<const char>;
using StoredValues = std::map<std::string, std::string>;

/// One golden file: its bytes as this build writes them, and what this build makes of them after
/// reading them.
struct Golden {
  std::string name;
  std::string bytes;
  /// Decodes and encodes again; nothing where the bytes were not understood. Not set: has no public
  /// decoder.
  std::function<std::optional<std::string>(Bytes)> reencode;
};

constexpr std::size_t kBytesPerLine = 32;

std::string ToHex(const std::string& bytes) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    auto byte = static_cast<unsigned char>(bytes[i]);
    text.push_back(kDigits[byte >> 4]);
    text.push_back(kDigits[byte & 0xf]);
    if (i % kBytesPerLine == kBytesPerLine - 1 || i + 1 == bytes.size())
      text.push_back('\n');
  }
  return text;
}

std::string FromHex(const std::string& text) {
  std::string digits;
  for (char c : text) {
    if (c != '\n')
      digits.push_back(c);
  }
  std::string bytes;
  for (std::size_t i = 0; i + 1 < digits.size(); i += 2) {
    bytes.push_back(static_cast<char>(std::stoi(digits.substr(i, 2), nullptr, 16)));
  }
  return bytes;
}

/// For decoders that return an optional and encoders that are found by the type of the value.
template <class Decode>
std::function<std::optional<std::string>(Bytes)> Reencode(Decode decode) {
  return [decode](Bytes bytes) -> std::optional<std::string> {
    auto value = decode(bytes);
    if (!value)
      return std::nullopt;
    return Encode(*value);
  };
}

// ---- membership

void AddMembership(std::vector<Golden>& all) {
  for (int kind = 0; kind <= static_cast<int>(members::Kind::kNack); ++kind) {
    members::Message m;
    m.kind = static_cast<members::Kind>(kind);
    m.from = 0x01020304;
    m.to = 7;
    m.seq = 0xfffffffe;
    m.target = 9;
    m.updates = {{3, 5, members::State::kAlive, 0},
                 {4, 6, members::State::kSuspect, 7},
                 {0xffffffff, 8, members::State::kDead, 1}};
    m.payloads = {{2, 11, 0x0123456789abcdefu}, {3, 0xffffffff, 0}};
    all.push_back({std::string("members_") + members::ToString(m.kind), members::Encode(m),
                   Reencode(members::Decode)});
  }
  all.push_back({"members_view_request", members::kViewRequest,
                 [](Bytes bytes) -> std::optional<std::string> {
                   if (!members::IsViewRequest(bytes))
                     return std::nullopt;
                   return members::kViewRequest;
                 }});
}

// ---- transport between replicas

std::optional<std::string> ReencodeFrame(Bytes bytes) {
  auto frame = peers::ReadFrame(bytes);
  if (!frame)
    return std::nullopt;
  if (frame->kind == peers::Kind::kFragment) {
    auto piece = peers::ReadFragment(frame->body);
    if (!piece)
      return std::nullopt;
    return peers::Encode(frame->channel, frame->from, *piece);
  }
  if (frame->kind == peers::Kind::kAcknowledgement) {
    auto had = peers::ReadAcknowledgement(frame->body);
    if (!had)
      return std::nullopt;
    return peers::Encode(frame->channel, frame->from, *had);
  }
  return peers::Encode(frame->channel, frame->from, frame->kind, frame->body);
}

void AddTransport(std::vector<Golden>& all) {
  constexpr peers::Id kFrom = 0x0a0b0c0d;
  const std::string body = "a small message, whole";
  for (std::size_t channel = 0; channel < peers::kChannelCount; ++channel) {
    auto id = static_cast<peers::Channel>(channel);
    all.push_back({std::string("peers_whole_") + peers::ToString(id),
                   peers::Encode(id, kFrom, peers::Kind::kComplete, body), ReencodeFrame});
  }
  std::string large;
  for (std::size_t i = 0; i < 2 * peers::kFragmentBytes + 100; ++i)
    large.push_back(static_cast<char>(i * 7));
  peers::Fragment piece;
  piece.incarnation = 0x1122334455667788u;
  piece.message = 3;
  piece.size = static_cast<std::uint32_t>(large.size());
  piece.index = 2;
  piece.digest = peers::Digest(large);
  piece.bytes = Bytes(large).subspan(2 * peers::kFragmentBytes);
  all.push_back(
      {"peers_piece", peers::Encode(peers::Channel::kRecord, kFrom, piece), ReencodeFrame});
  peers::Acknowledgement had;
  had.incarnation = 0x1122334455667788u;
  had.message = 3;
  had.epoch = {0x99aabbccddeeff00u, 4};
  all.push_back(
      {"peers_had_delivered", peers::Encode(peers::Channel::kRecord, kFrom, had), ReencodeFrame});
  had.fragments = {true, false, true, true, false, false, false, false, true, false, true};
  all.push_back(
      {"peers_had_partly", peers::Encode(peers::Channel::kRecord, kFrom, had), ReencodeFrame});
}

// ---- shares of limits

void AddQuota(std::vector<Golden>& all) {
  all.push_back({"quota_poll", quota::Encode(quota::Poll{5, 77}), Reencode(quota::DecodePoll)});
  quota::Report report;
  report.token = 5;
  report.round = 77;
  report.active_token = 4;
  report.active_round = 76;
  report.overloaded = 2;
  report.epoch = 9;
  report.demands = {120.5, 0.1};
  report.shares = {100, 0};
  report.factors = {1, 0.6};
  all.push_back({"quota_report", quota::Encode(report), Reencode(quota::DecodeReport)});
  quota::Grant grant;
  grant.token = 5;
  grant.round = 77;
  grant.epoch = 9;
  grant.shares = {110.25, 0.5};
  grant.factors = {1, 0.6};
  all.push_back({"quota_grant", quota::Encode(grant), Reencode(quota::DecodeGrant)});
}

// ---- leases

/// The longest datagram of each kind that a fleet of three voters, one worker and one executor
/// sends, by a fixed schedule in virtual time. One voter hears nothing at first, so that it is sent
/// a snapshot. These messages have no public encoder of their own.
std::map<std::string, std::string> LeaseDatagrams() {
  constexpr owner::Id kWorker = 4;
  constexpr owner::Id kExecutor = 5;
  constexpr owner::Ms kTick = 20;
  constexpr owner::Ms kUntil = 75000;
  constexpr owner::Id kDeaf = 3;
  constexpr owner::Ms kDeafFrom = 3000;
  constexpr owner::Ms kDeafUntil = 70000;
  constexpr std::uint64_t kSteps = 1000;
  struct Packet {
    owner::Id to;
    std::string bytes;
  };
  std::map<std::string, std::string> longest;
  std::deque<Packet> network;
  auto send = [&](owner::Id to, std::string bytes) {
    auto frame = owner::DecodeFrame(bytes);
    if (!frame)
      throw std::runtime_error("a datagram that its own reader refuses");
    static const char* const kKinds[] = {"group", "ask", "answer", "act", "did"};
    std::string name = std::string("owner_") + kKinds[static_cast<int>(frame->kind)];
    if (frame->kind == owner::MessageKind::kGroup) {
      bool consensus = frame->body[0] != 0;
      name += consensus ? "_raft_" + std::to_string(static_cast<int>(frame->body[1])) : "_hello";
    }
    std::string& kept = longest[name];
    if (bytes.size() > kept.size())
      kept = bytes;
    network.push_back({to, std::move(bytes)});
  };
  std::map<owner::Id, owner::MemoryStore> stores;
  std::map<owner::Id, std::unique_ptr<owner::Node>> nodes;
  for (owner::Id id = 1; id <= kWorker; ++id) {
    owner::NodeSettings terms;
    terms.self = id;
    terms.group = {1, 2, 3};
    if (id == kWorker)
      terms.tasks = {{"sweep-1", kSteps, 50, {kExecutor}, false}, {"record", 1, 50, {}, true}};
    owner::Store* store = id == kWorker ? nullptr : &stores[id];
    nodes[id] = std::make_unique<owner::Node>(terms, store, 1000 + id, 40 + id, 0,
                                              owner::Node::Callbacks{send, [](const std::string&) {
                                                                     }});
  }
  owner::FencingTokenCheck fence;
  for (owner::Ms now = 0; now <= kUntil; now += kTick) {
    for (auto& [id, node] : nodes)
      node->Tick(now);
    for (std::deque<Packet> due = std::exchange(network, {}); !due.empty(); due.pop_front()) {
      const Packet& packet = due.front();
      if (packet.to == kDeaf && now >= kDeafFrom && now < kDeafUntil)
        continue;
      if (packet.to != kExecutor) {
        nodes.at(packet.to)->Receive(now, packet.bytes);
        continue;
      }
      auto frame = owner::DecodeFrame(packet.bytes);
      auto step = owner::DecodeStepRequest(frame->body);
      if (!step)
        throw std::runtime_error("a step that its own reader refuses");
      owner::StepResponse did;
      did.request = *step;
      did.result = fence.Check(step->task, step->token, step->step);
      did.highest_token = fence.HighestToken(step->task);
      send(frame->from, owner::EncodeStepResponse(kExecutor, did));
    }
  }
  return longest;
}

std::optional<std::string> ReencodeStep(Bytes bytes) {
  auto frame = owner::DecodeFrame(bytes);
  if (!frame || frame->kind != owner::MessageKind::kStepRequest)
    return std::nullopt;
  auto step = owner::DecodeStepRequest(frame->body);
  if (!step)
    return std::nullopt;
  return owner::EncodeStepRequest(frame->from, *step);
}

void AddLeases(std::vector<Golden>& all) {
  for (int deed = 0; deed <= static_cast<int>(owner::Operation::kBootstrap); ++deed) {
    owner::Command command;
    command.operation = static_cast<owner::Operation>(deed);
    command.front = 0x01020304;
    command.token = 0x1122334455667788u;
    command.step = 6;
    command.task = "sweep-1";
    all.push_back({std::string("owner_command_") + owner::ToString(command.operation),
                   owner::Encode(command), Reencode(owner::Decode)});
  }
  owner::LeaseTable table;
  table.Apply({owner::Operation::kBootstrap, 1, 100, 0, ""});
  table.Apply({owner::Operation::kAcquire, 2, 0, 4, "sweep-1"});
  table.Apply({owner::Operation::kAcquire, 3, 0, 0, "record"});
  table.Apply({owner::Operation::kRecordStep, 2, table.Tasks().at("sweep-1").token, 1, "sweep-1"});
  all.push_back(
      {"owner_table_snapshot", table.Snapshot(), [](Bytes bytes) -> std::optional<std::string> {
         owner::LeaseTable restored;
         if (!restored.Restore(bytes))
           return std::nullopt;
         return restored.Snapshot();
       }});
  for (auto& [name, bytes] : LeaseDatagrams()) {
    all.push_back(
        {name, bytes,
         name == "owner_act" ? ReencodeStep : std::function<std::optional<std::string>(Bytes)>()});
  }
}

// ---- the replicated log

std::vector<record::Entry> LogEntries() {
  return {{41, 7, record::Stream::kRecalls, "object/0123", false, std::string("a\0b", 3), 1.5e12},
          {42, 7, record::Stream::kRules, "fleet", false, "value", 1.5e12 + 0.25},
          {45, 8, record::Stream::kSettings, "zone/north", true, "", 0}};
}

void AddLog(std::vector<Golden>& all) {
  auto add = [&](const char* name, const record::Message& m) {
    all.push_back({std::string("record_") + name, record::Encode(m),
                   Reencode([](Bytes bytes) { return record::Decode(bytes); })});
  };
  add("seek", record::PrepareRequest{7, 3});
  record::PrepareResponse tail;
  tail.token = 7;
  tail.store_id = 0x0102030405060708u;
  tail.start_count = 4;
  tail.round = 3;
  tail.incarnation = 0xfffefdfcfbfaf9f8u;
  tail.unconfirmed = true;
  tail.unconfirmed_on_disk = true;
  tail.last = 45;
  tail.committed = 44;
  tail.first = 2;
  tail.compacted_up_to = 40;
  tail.tombstone_horizon = 12;
  tail.last_token = 6;
  tail.witnessed = {{2, 44}, {3, 45}};
  tail.corrupted = true;
  tail.gaps = {13, 17};
  add("tail", tail);
  record::AppendRequest append;
  append.token = 7;
  append.incarnation = 5;
  append.after = 40;
  append.after_token = 6;
  append.committed = 39;
  append.from_snapshot = true;
  append.snapshot_session = 8;
  append.confirms = true;
  append.corrupted = true;
  append.compacted_up_to = 30;
  append.tombstone_horizon = 12;
  append.min_subscriber_position = 38;
  append.entries = LogEntries();
  append.match_offsets = {{1, 40}, {2, 39}};
  append.plan = {7, 38, 11};
  add("append", append);
  record::AppendResponse kept;
  kept.token = 7;
  kept.incarnation = 5;
  kept.up_to = 45;
  kept.refused = true;
  kept.full = true;
  kept.unknown_incarnation = true;
  kept.incomplete = true;
  kept.needs_reset = true;
  kept.last = 45;
  kept.resume_after = 41;
  kept.gaps = {13};
  kept.plan = {7, 38, 11};
  add("kept", kept);
  add("fetch", record::FetchRequest{40, 45, {41, 42}});
  record::FetchResponse fetched;
  fetched.after = 40;
  fetched.up_to = 45;
  fetched.after_token = 6;
  fetched.committed = 44;
  fetched.compacted_up_to = 30;
  fetched.tombstone_horizon = 12;
  fetched.entries = LogEntries();
  fetched.offsets = {41, 42, 45};
  add("fetched", fetched);

  auto say = [&](const char* name, const record::SubscriberMessage& s) {
    all.push_back({std::string("record_") + name, record::Encode(s),
                   Reencode(record::DecodeSubscriberMessage)});
  };
  say("want", record::SubscriptionRequest{0x1234, 2, 9, 40, 5, 12});
  record::SubscriptionResponse piece;
  piece.sequence = 9;
  piece.after = 40;
  piece.up_to = 45;
  piece.committed = 45;
  piece.snapshot_end = 44;
  piece.tombstone_horizon = 12;
  piece.leader_silence_ms = 250;
  piece.start_over = false;
  piece.entries = LogEntries();
  piece.digest = record::Digest(piece);
  say("piece", piece);
  say("lease", record::LeasedPositions{{{0x1234, 40}, {0x1235, 45}}});
}

// ---- approvals and drift

drift::CanonicalConfiguration SampleForm() {
  return {{"quota", {{"limit", "120.5"}, {"name", "origin"}}},
          {"serving", {{"listen", "127.0.0.1:8080"}, {"zone", "1"}}}};
}

void AddDrift(std::vector<Golden>& all) {
  drift::Approval approval;
  approval.approver = "first";
  approval.second_approver = "second";
  approval.replaced_version = 41;
  approval.apply_deadline = 1.5e12;
  approval.configuration = SampleForm();
  all.push_back({"drift_approval", drift::Encode(approval), Reencode(drift::DecodeApproval)});
  drift::ActiveReport notified;
  notified.version = 42;
  notified.active_digest = 0x0102030405060708u;
  notified.approved_digest = 0x1112131415161718u;
  notified.sequence = 90;
  notified.changed_sequence = 80;
  notified.sections = {{"quota", 3}, {"serving", 0xffffffffffffffffu}};
  notified.request_details = true;
  notified.requested_sections = {"quota", "serving"};
  notified.section_contents = SampleForm();
  notified.failed_share = 0.25;
  notified.rejected_share = 0.5;
  notified.token = 7;
  notified.stopped_at = 40;
  notified.relayed_reports = {{2, 91, 42, 1, 2, 85}, {3, 92, 41, 3, 4, 86}};
  drift::ActiveReport::Suspicion drifted;
  drifted.front = 3;
  drifted.status = static_cast<std::uint8_t>(drift::DriftStatus::kDrifted);
  drifted.changed_sequence = 86;
  drifted.target_version = 42;
  drifted.window = 1;
  drifted.newest = {7, "\x05", "\x02"};
  drifted.before = {6, "\x01", ""};
  drifted.fields = {{{"quota", "limit"}, "100", "120.5", drift::FieldImpact::kInvariant}};
  notified.suspicions = {drifted};
  notified.ejections = {{3, 7, 2, true}};
  all.push_back({"drift_told", drift::Encode(notified), Reencode(drift::DecodeActiveReport)});
  all.push_back(
      {"drift_repair", drift::Encode(drift::Repair{3, 7, 42, 86}), Reencode(drift::DecodeRepair)});
}

// ---- recovery

void AddRecovery(std::vector<Golden>& all) {
  recovery::Hello hello;
  hello.start_id = 1700000000123u;
  hello.uptime = 1234.5;
  hello.phase = recovery::Phase::kRecord;
  hello.store = recovery::StoreInspection::State::kIncomplete;
  hello.minimums = {7, 45, 1700000000000u, 0x0102030405060708u, 42};
  hello.committed = 44;
  hello.group_has_leader = true;
  hello.group_member = true;
  hello.zone = 2;
  hello.admitted_share = 0.35;
  hello.receiver_incarnation = 1700000000001u;
  all.push_back({"recovery_hello", recovery::Encode(hello),
                 Reencode([](Bytes bytes) { return recovery::Decode(bytes); })});
}

// ---- what is stored

/// A folder of its own, gone with it.
class ScratchFolder {
 public:
  ScratchFolder() {
    std::string name = (std::filesystem::temp_directory_path() / "wire-golden-XXXXXX").string();
    if (!::mkdtemp(name.data()))
      throw std::runtime_error("no scratch folder");
    path_ = name;
  }
  ~ScratchFolder() {
    std::filesystem::remove_all(path_);
  }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;
  std::string Path() const {
    return path_;
  }

 private:
  std::string path_;
};

/// The raw keys and values of an LMDB folder, read and written past the classes that own it.
class RawStore {
 public:
  explicit RawStore(const std::string& folder) {
    constexpr std::size_t kMapBytes = 1 << 20;
    Check(mdb_env_create(&env_));
    Check(mdb_env_set_mapsize(env_, kMapBytes));
    Check(mdb_env_open(env_, folder.c_str(), 0, 0600));
    Check(mdb_txn_begin(env_, nullptr, 0, &transaction_));
    Check(mdb_dbi_open(transaction_, nullptr, 0, &database_));
  }
  ~RawStore() {
    mdb_txn_commit(transaction_);
    mdb_env_close(env_);
  }
  RawStore(const RawStore&) = delete;
  RawStore& operator=(const RawStore&) = delete;

  StoredValues Read() {
    StoredValues values;
    MDB_cursor* cursor = nullptr;
    Check(mdb_cursor_open(transaction_, database_, &cursor));
    MDB_val key{};
    MDB_val value{};
    while (mdb_cursor_get(cursor, &key, &value, MDB_NEXT) == 0)
      values[Text(key)] = Text(value);
    mdb_cursor_close(cursor);
    return values;
  }
  void Write(const StoredValues& values) {
    for (const auto& [name, bytes] : values) {
      MDB_val key{name.size(), const_cast<char*>(name.data())};
      MDB_val value{bytes.size(), const_cast<char*>(bytes.data())};
      Check(mdb_put(transaction_, database_, &key, &value, 0));
    }
  }

 private:
  static void Check(int fault) {
    if (fault != 0)
      throw std::runtime_error(mdb_strerror(fault));
  }
  static std::string Text(const MDB_val& value) {
    return std::string(static_cast<const char*>(value.mv_data), value.mv_size);
  }
  MDB_env* env_ = nullptr;
  MDB_txn* transaction_ = nullptr;
  MDB_dbi database_ = 0;
};

/// Keys and values as one run of bytes: each behind its length, 4 bytes, the least first.
std::string Pack(const StoredValues& values) {
  std::string packed;
  auto put = [&](const std::string& text) {
    for (int shift = 0; shift < 32; shift += 8)
      packed.push_back(static_cast<char>(text.size() >> shift & 0xff));
    packed += text;
  };
  for (const auto& [key, value] : values) {
    put(key);
    put(value);
  }
  return packed;
}

StoredValues Unpack(Bytes packed) {
  StoredValues values;
  auto get = [&] {
    std::size_t size = 0;
    for (std::size_t i = 0; i < 4; ++i)
      size |= std::size_t{static_cast<unsigned char>(packed[i])} << (8 * i);
    std::string text(packed.data() + 4, size);
    packed = packed.subspan(4 + size);
    return text;
  };
  while (!packed.empty()) {
    std::string key = get();
    values[key] = get();
  }
  return values;
}

/// The raw contents of a new folder after `write` has used it.
std::string StoredBy(const std::function<void(const std::string& folder)>& write) {
  ScratchFolder folder;
  write(folder.Path());
  return Pack(RawStore(folder.Path()).Read());
}

void PutRaw(const std::string& folder, Bytes packed) {
  RawStore(folder).Write(Unpack(packed));
}

void WriteLog(const std::string& folder, const record::LogMetadata& head,
              const std::vector<record::Entry>& entries) {
  store::LmdbLogStorage disk(folder, 1 << 20);
  disk.AppendEntries(1, entries, head);
}

std::optional<std::string> RestoreLog(Bytes packed) {
  ScratchFolder folder;
  PutRaw(folder.Path(), packed);
  std::optional<record::LogMetadata> head;
  std::vector<record::Entry> entries;
  bool corrupted = false;
  {
    store::LmdbLogStorage disk(folder.Path(), 1 << 20);
    head = disk.metadata();
    disk.ForEachEntry([&](record::Offset, const record::Entry* entry) {
      if (entry)
        entries.push_back(*entry);
      else
        corrupted = true;
    });
  }
  if (!head || corrupted)
    return std::nullopt;
  return StoredBy([&](const std::string& again) { WriteLog(again, *head, entries); });
}

std::optional<std::string> RestoreFloors(Bytes packed) {
  ScratchFolder folder;
  PutRaw(folder.Path(), packed);
  store::PersistedMinimums floors;
  if (store::LmdbMinimumsStorage(folder.Path()).Read(floors) !=
      store::LmdbMinimumsStorage::ReadResult::kValid)
    return std::nullopt;
  return StoredBy(
      [&](const std::string& again) { store::LmdbMinimumsStorage(again).Write(floors); });
}

void WriteGroup(const std::string& folder, const owner::StoredState& state) {
  store::LmdbOwnerStore disk(folder);
  disk.SaveBootstrap(state.bootstrap);
  disk.SetTerm(state.term);
  disk.SetVote(state.vote);
  disk.Append(state.entries);
  disk.SaveSnapshot(*state.snapshot, state.entries.size());
}

std::optional<std::string> RestoreGroup(Bytes packed) {
  ScratchFolder folder;
  PutRaw(folder.Path(), packed);
  owner::StoredState state = store::LmdbOwnerStore(folder.Path()).load();
  if (!state.snapshot)
    return std::nullopt;
  return StoredBy([&](const std::string& again) { WriteGroup(again, state); });
}

void AddStored(std::vector<Golden>& all) {
  record::LogMetadata head;
  head.store_id = 0x0102030405060708u;
  head.start_count = 4;
  head.replica_id = 3;
  head.promised_token = 8;
  head.committed = 44;
  head.first = 2;
  head.compacted_up_to = 40;
  head.tombstone_horizon = 12;
  head.entry_count = 3;
  head.witnessed = {{1, 44}, {2, 45}};
  all.push_back({"stored_record",
                 StoredBy([&](const std::string& folder) { WriteLog(folder, head, LogEntries()); }),
                 RestoreLog});
  store::PersistedMinimums floors;
  floors.front_id = 3;
  floors.token = 7;
  floors.offset = 45;
  floors.incarnation = 1700000000000u;
  floors.rules_digest = 0x0102030405060708u;
  floors.rules_version = 42;
  floors.witnessed_incarnations = {{1, 1700000000001u}, {2, 1700000000002u}};
  all.push_back({"stored_floors", StoredBy([&](const std::string& folder) {
                   store::LmdbMinimumsStorage(folder).Write(floors);
                 }),
                 RestoreFloors});
  owner::StoredState group;
  group.bootstrap = "founders";
  group.term = 5;
  group.vote = 2;
  group.entries = {{4, 1, "first"}, {5, 1, std::string("se\0cond", 7)}, {5, 3, ""}};
  group.snapshot = owner::StoredSnapshot{2, 5, 1, "configuration", "data"};
  all.push_back({"stored_group",
                 StoredBy([&](const std::string& folder) { WriteGroup(folder, group); }),
                 RestoreGroup});
}

// ---- comparison

const std::vector<Golden>& AllGolden() {
  static const std::vector<Golden> kAll = [] {
    std::vector<Golden> made;
    AddMembership(made);
    AddTransport(made);
    AddQuota(made);
    AddLeases(made);
    AddLog(made);
    AddDrift(made);
    AddRecovery(made);
    AddStored(made);
    return made;
  }();
  return kAll;
}

/// File names hold no spaces.
std::filesystem::path FileOf(const std::string& name) {
  std::string file = name;
  for (char& c : file) {
    if (c == ' ')
      c = '_';
  }
  return std::filesystem::path(GOLDEN_FOLDER) / (file + ".hex");
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

int WriteGolden() {
  for (const auto& entry : std::filesystem::directory_iterator(GOLDEN_FOLDER))
    std::filesystem::remove(entry.path());
  for (const Golden& golden : AllGolden()) {
    std::ofstream file(FileOf(golden.name), std::ios::binary);
    file << ToHex(golden.bytes);
    if (!file.flush())
      return 1;
  }
  return 0;
}

}  // namespace

TEST_CASE("each message and stored value is encoded to its golden bytes") {
  for (const Golden& golden : AllGolden()) {
    CAPTURE(golden.name);
    CHECK(!golden.bytes.empty());
    CHECK(ToHex(golden.bytes) == ReadFile(FileOf(golden.name)));
  }
}

TEST_CASE("golden bytes are decoded, and encoded again to the same bytes") {
  for (const Golden& golden : AllGolden()) {
    if (!golden.reencode)
      continue;
    CAPTURE(golden.name);
    std::string bytes = FromHex(ReadFile(FileOf(golden.name)));
    auto again = golden.reencode(bytes);
    REQUIRE(again.has_value());
    CHECK(ToHex(*again) == ToHex(bytes));
  }
}

TEST_CASE("each golden file belongs to a message, and no two messages share one") {
  std::set<std::string> expected;
  for (const Golden& golden : AllGolden())
    CHECK(expected.insert(FileOf(golden.name).filename().string()).second);
  std::set<std::string> found;
  for (const auto& entry : std::filesystem::directory_iterator(GOLDEN_FOLDER))
    found.insert(entry.path().filename().string());
  CHECK(found == expected);
}

int main(int argc, char** argv) {
  if (argc == 2 && std::strcmp(argv[1], "--write-golden") == 0)
    return WriteGolden();
  return doctest::Context(argc, argv).run();
}
