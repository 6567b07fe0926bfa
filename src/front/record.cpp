#include "front/record.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "log/log.hpp"
#include "record.pb.h"
#include "record/memory_log_storage.hpp"
#include "record/replica_host.hpp"
#include "store/record_lmdb.hpp"

namespace dunlinwick::front {

using record::Entry;
using record::Offset;

std::optional<Recall> ReadRecall(const Entry& entry) {
  auto slash = entry.key.find('/');
  if (entry.stream != record::Stream::kRecalls || slash == std::string::npos ||
      slash + 1 == entry.key.size())
    return std::nullopt;
  std::string kind = entry.key.substr(0, slash), name = entry.key.substr(slash + 1);
  Recall recall;
  recall.lifted = entry.tombstone;
  if (kind == "object") {
    recall.object = name;
  } else if (kind == "offering") {
    recall.request_class = name;
  } else if (kind == "group") {
    auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), recall.group);
    if (error != std::errc{} || end != name.data() + name.size() || recall.group < 0)
      return std::nullopt;
  } else {
    return std::nullopt;
  }
  return recall;
}

// A front that starts reads recalls of any age, so only the writer's clock tells how old one is.
// The clock's largest error is subtracted: a recall that is taken for younger rejects too many
// copies, never too few. Cost: a front that starts within an hour after a recall has the recalled
// objects fetched once more.
Ms RecallAge(WallTime written, Ms now, bool fresh) {
  constexpr Ms kEarliest = 1e12;                 // 2001: no writer existed before
  constexpr Ms kMaxClockError = 61 * 60 * 1000;  // an hour, as by a wrong time zone, and a minute
  if (fresh)
    return 0;
  Ms given = ToLocalClock(written, kEarliest, now);
  return std::max(0.0, now - given - kMaxClockError);
}

struct RecordComponent::Impl {
  loop::Loop& loop;
  RecordSettings settings;
  peers::Id self;
  Callbacks callbacks;
  std::unique_ptr<record::ReplicaHost> replica;  // none if this front is not one of the replicas
  std::unique_ptr<record::LeaderWriter> writer;
  std::unique_ptr<record::Subscriber> subscriber;
  // Messages to this front itself wait for the end of the call.
  std::deque<std::string> to_self;
  bool draining = false;
  bool logged_serving = false;
  bool behind = true;
  bool logged_caught_up = false;
  Ms next_lease_at = 0;
  Ms next_plan_at = 0;
  Ms latest_written_at = 0;
  Ms next_timer_at = 0;
  struct ReportedLease {
    Ms received_at = 0;
    record::LeasedPositions lease;
  };
  std::map<peers::Id, ReportedLease> subscriber_leases;  // one per log replica
  Ms writer_since = 0;
  int writes_in_flight = 0;
  int rules_writes_in_flight = 0;

  Impl(loop::Loop& l, const RecordSettings& s, peers::Id id, Callbacks c)
      : loop(l), settings(s), self(id), callbacks(std::move(c)) {}

  void SendMessage(peers::Id to, std::string bytes) {
    if (to == self)
      to_self.push_back(std::move(bytes));
    else
      callbacks.send(to, std::move(bytes));
  }
  record::SendMessage MakeSend() {
    return [this](record::Id to, const record::Message& m) {
      SendMessage(to, record::Encode(m));
    };
  }
  record::Subscriber::Callbacks MakeOut() {
    return {[this](record::Id log_replica, const record::SubscriptionRequest& want) {
              SendMessage(log_replica, record::Encode(record::SubscriberMessage(want)));
            },
            [this](const Entry& entry) { HandleEntry(entry); },
            [this] {
              log::Write("record starts over at %.0f", loop.now());
              callbacks.reset_recalls();
            }};
  }

  // Passes an entry of the record to its user, in order. An earlier entry was not written later,
  // whatever the timestamps say, so an entry's time is the latest timestamp so far.
  void HandleEntry(const Entry& entry) {
    latest_written_at = std::max(latest_written_at, entry.written_at);
    log::Write("record read %llu %s %s%s token %llu at %.0f",
               static_cast<unsigned long long>(entry.offset), record::ToString(entry.stream),
               entry.tombstone ? "without " : "", entry.key.c_str(),
               static_cast<unsigned long long>(entry.token), loop.now());
    if (entry.stream != record::Stream::kRecalls)
      return callbacks.entry(entry);
    auto recall = ReadRecall(entry);
    if (!recall)
      return;
    recall->age = RecallAge(WallTime(latest_written_at), loop.now(), !behind);
    callbacks.recall(*recall);
  }

  void UpdateFreshness() {
    Ms now = loop.now();
    bool current = subscriber->IsCaughtUp() && subscriber->CurrentAsOf() >= 0 &&
                   now - subscriber->CurrentAsOf() <= settings.stale_after;
    if (current && behind) {
      behind = false;
      callbacks.limit_copy_age(0);
      log::Write("record caught up to %llu at %.0f",
                 static_cast<unsigned long long>(subscriber->Position()), now);
    } else if (!current && !behind) {
      behind = true;
      callbacks.limit_copy_age(settings.stale_after);
      log::Write("record behind since %.0f at %.0f", subscriber->CurrentAsOf(), now);
    }
    if (writer && writer->phase() == record::Phase::kServing && !logged_serving) {
      logged_serving = true;
      if (writer->IsBootstrapped())
        log::Write(
            "record founded from empty stores: every log replica was empty; anything written "
            "before "
            "is lost at %.0f",
            now);
      log::Write("record writer token %llu serving from %llu at %.0f",
                 static_cast<unsigned long long>(writer->token()),
                 static_cast<unsigned long long>(writer->Committed() + 1), now);
    }
  }

  // Starts a writer when this front gets the lease, and stops it when the lease is lost.
  void UpdateWriter() {
    auto [token, usable] = callbacks.lease();
    if (writer &&
        (token != writer->token() || !usable || writer->phase() == record::Phase::kFenced)) {
      log::Write("record writer stopped token %llu at %.0f",
                 static_cast<unsigned long long>(writer->token()), loop.now());
      writer->Stop();
      fenced_token = writer->phase() == record::Phase::kFenced ? writer->token() : fenced_token;
      writer.reset();
    }
    if (!writer && token != 0 && usable && token != fenced_token) {
      writer = std::make_unique<record::LeaderWriter>(self, settings.keepers, settings.keeper,
                                                      settings.log, token, loop.now());
      logged_serving = false;
      writer_since = loop.now();
      subscriber_leases.clear();
    }
  }
  record::Token fenced_token = 0;  // a token that was found fenced is not tried again

  // The lowest position of live subscribers, as the log replicas report them; tombstones are kept
  // until every subscriber has passed them. A replica that has not reported for a lease's time has
  // no live subscribers; a writer that has not listened for that long cannot know, and releases
  // none.
  Offset LowestSubscriberPosition() {
    Ms now = loop.now();
    if (now - writer_since < settings.subscriber.lease)
      return 0;
    Offset lowest = writer->Committed();
    for (const auto& [log_replica, reported] : subscriber_leases)
      if (now - reported.received_at <= settings.subscriber.lease)
        for (const auto& [subscriber_id, position] : reported.lease.positions)
          lowest = std::min(lowest, position);
    return lowest;
  }
};

RecordComponent::RecordComponent(loop::Loop& loop, const RecordSettings& settings, peers::Id self,
                                 std::uint64_t seed, Callbacks callbacks)
    : impl_(std::make_unique<Impl>(loop, settings, self, std::move(callbacks))) {
  Impl& impl = *impl_;
  Ms now = loop.now();
  if (std::find(settings.keepers.begin(), settings.keepers.end(), self) != settings.keepers.end()) {
    std::uint64_t new_store_id = seed ^ static_cast<std::uint64_t>(now) << 20 ^ self;
    auto open_disk = [folder = settings.store,
                      map_bytes =
                          4 * settings.log.max_bytes]() -> std::unique_ptr<record::LogStorage> {
      if (folder.empty())
        return std::make_unique<record::MemoryLogStorage>();
      return std::make_unique<store::LmdbLogStorage>(folder, map_bytes);
    };
    // With a store that is another front's or unreadable, this front is no log replica, and logs
    // so; it serves on with the record of the others.
    auto log_line = [&impl](const std::string& line) {
      log::Write("%s at %.0f", line.c_str(), impl.loop.now());
    };
    record::ReplicaHostSettings replica_terms{settings.keeper, settings.log, settings.subscriber};
    impl.replica = std::make_unique<record::ReplicaHost>(self, settings.keepers, replica_terms,
                                                         open_disk, new_store_id, now, log_line);
  }
  // A log replica asks itself first, which needs no network. Each start reads from the beginning,
  // as a front holds recalls in memory only.
  std::vector<record::Id> log_replicas = settings.keepers;
  if (HasReplica())
    std::stable_partition(log_replicas.begin(), log_replicas.end(),
                          [&](record::Id id) { return id == self; });
  impl.subscriber = std::make_unique<record::Subscriber>(
      self, static_cast<std::uint64_t>(now), log_replicas, settings.subscriber, 0, seed, now);
  impl.callbacks.limit_copy_age(settings.stale_after);
  log::Write("record: front %u, %s, %zu log replicas%s", self,
             HasReplica() ? "log replica" : "subscriber only", settings.keepers.size(),
             HasReplica() && settings.store.empty() ? "; in memory" : "");
}

RecordComponent::~RecordComponent() = default;

void RecordComponent::HandleMessage(peers::Id from, std::span<const char> bytes) {
  Impl& impl = *impl_;
  Ms now = impl.loop.now();
  if (auto message = record::Decode(bytes)) {
    bool to_writer = std::holds_alternative<record::PrepareResponse>(*message) ||
                     std::holds_alternative<record::AppendResponse>(*message) ||
                     std::holds_alternative<record::FetchResponse>(*message);
    if (to_writer && impl.writer)
      impl.writer->Receive(now, from, *message, impl.MakeSend());
    if (impl.replica && !std::holds_alternative<record::PrepareResponse>(*message) &&
        !std::holds_alternative<record::AppendResponse>(*message))
      impl.replica->Receive(now, from, *message, impl.MakeSend());
  } else if (auto subscription = record::DecodeSubscriberMessage(bytes)) {
    if (auto* want = std::get_if<record::SubscriptionRequest>(&*subscription)) {
      if (impl.replica)
        if (auto piece = impl.replica->HandleSubscription(now, *want))
          impl.SendMessage(from, record::Encode(record::SubscriberMessage(*piece)));
    } else if (auto* piece = std::get_if<record::SubscriptionResponse>(&*subscription)) {
      impl.subscriber->Receive(now, from, *piece, impl.MakeOut());
    } else if (auto* lease = std::get_if<record::LeasedPositions>(&*subscription)) {
      if (std::count(impl.settings.keepers.begin(), impl.settings.keepers.end(), from))
        impl.subscriber_leases[from] = {now, *lease};
    }
  }
  if (impl.draining)
    return;
  impl.draining = true;
  // Bounds the messages to itself that one call may cause. The rest waits for the next timer.
  for (int n = 0; n < 4096 && !impl.to_self.empty(); ++n) {
    std::string next = std::move(impl.to_self.front());
    impl.to_self.pop_front();
    HandleMessage(impl.self, next);
  }
  impl.draining = false;
  impl.UpdateFreshness();
}

void RecordComponent::HandleTimer() {
  Impl& impl = *impl_;
  Ms now = impl.loop.now();
  constexpr Ms kTickInterval = 20;
  impl.next_timer_at = now + kTickInterval;
  impl.UpdateWriter();
  if (impl.writer) {
    impl.writer->Tick(now, impl.MakeSend());
    if (now >= impl.next_plan_at) {
      impl.next_plan_at = now + 1000;
      impl.writer->SetMinSubscriberPosition(now, impl.LowestSubscriberPosition());
    }
  }
  if (impl.replica)
    impl.replica->Tick(now, impl.MakeSend());
  impl.subscriber->Tick(now, impl.MakeOut());
  if (HasReplica() && impl.replica->LastLeader() != 0 && now >= impl.next_lease_at) {
    impl.next_lease_at = now + 1000;
    impl.SendMessage(
        impl.replica->LastLeader(),
        record::Encode(record::SubscriberMessage(impl.replica->server()->ActivePositions(now))));
  }
  HandleMessage(0, {});  // delivers the messages to itself
}

Ms RecordComponent::NextTimerAt() const {
  return impl_->next_timer_at;
}
bool RecordComponent::CaughtUp() const {
  return !impl_->behind;
}
record::Offset RecordComponent::Position() const {
  return impl_->subscriber->Position();
}
record::Offset RecordComponent::Committed() const {
  return std::max(impl_->subscriber->Committed(), impl_->replica ? impl_->replica->Committed() : 0);
}
Ms RecordComponent::CurrentAt() const {
  return impl_->subscriber->CurrentAsOf();
}
bool RecordComponent::HasReplica() const {
  return impl_->replica && impl_->replica->IsOpen();
}
bool RecordComponent::Corrupted() const {
  return impl_->replica && (!HasReplica() || !impl_->replica->log()->Gaps(1).empty());
}
record::LogMetadata RecordComponent::head() const {
  return impl_->replica ? impl_->replica->MetadataAtOpening() : record::LogMetadata{};
}
bool RecordComponent::Writes() const {
  return impl_->writer && impl_->writer->phase() == record::Phase::kServing;
}

void RecordComponent::HandleOperatorRequest(std::span<const char> bytes, Reply reply) {
  Impl& impl = *impl_;
  constexpr int kMaxWritesInFlight = 32;
  proto::record::PutBatch batch;
  proto::record::PutAnswer answer;
  auto answer_with = [&](unsigned outcome, const char* why) {
    answer.set_outcome(outcome);
    answer.set_why(why);
    answer.set_owner(impl.callbacks.lease_holder());
    reply(answer.SerializeAsString());
  };
  // Outcomes: 0 acknowledged, 1 lost, 2 unknown (as Writer::Outcome), 3 not here or not yet (the
  // operator's tool retries), 4 refused.
  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return;
  answer.set_number(batch.number());
  if (!impl.writer || impl.writer->phase() != record::Phase::kServing)
    return answer_with(3, "this front does not hold the record's lease, or does not serve yet");
  std::vector<record::LeaderWriter::Put> puts;
  bool changes_rules = false;
  if (batch.puts_size() > 1)
    for (const auto& put : batch.puts())
      if (put.stream() == static_cast<unsigned>(record::Stream::kRules))
        return answer_with(4, "a change of the rules must be the only write of its batch");
  for (const auto& put : batch.puts()) {
    if (put.key().empty() || put.key().size() > record::kMaxKeyBytes ||
        put.value().size() > record::kMaxValueBytes || put.stream() >= record::kStreamCount)
      return answer_with(4,
                         "a write needs a key of 1 to 200 bytes, a value of at most 60,000 bytes "
                         "and a known stream");
    for (char c : put.key())
      if (c < '!' || c > '~')
        return answer_with(4, "a key must be printable ASCII without spaces");
    Entry entry;
    entry.stream = static_cast<record::Stream>(put.stream());
    entry.key = put.key();
    entry.tombstone = put.tombstone();
    if (entry.stream == record::Stream::kRecalls && !ReadRecall(entry))
      return answer_with(4, "a recall's key must be object/NAME, group/NUMBER or offering/NAME");
    if (entry.stream == record::Stream::kRules) {
      // Compare and set: the new approval is compared with what this front has read, so it must
      // have read all, and one change is written at a time.
      if (impl.behind || impl.subscriber->Position() < impl.writer->Committed() ||
          impl.rules_writes_in_flight > 0)
        return answer_with(3, "another change of the rules is in progress, or not read here yet");
      if (std::string why =
              impl.callbacks.refusal_reason(entry.stream, entry.key, entry.tombstone, put.value());
          !why.empty())
        return answer_with(4, why.c_str());
      changes_rules = true;
    }
    puts.push_back({entry.stream, put.key(), put.tombstone(), put.value()});
  }
  if (puts.empty() || impl.writes_in_flight >= kMaxWritesInFlight)
    return answer_with(4, puts.empty() ? "nothing to write" : "too many writes in flight");
  ++impl.writes_in_flight;
  impl.rules_writes_in_flight += changes_rules;
  std::size_t count = puts.size();
  bool accepted = impl.writer->Write(
      impl.loop.now(), puts,
      [&impl, reply, answer, count, changes_rules, token = impl.writer->token()](
          record::LeaderWriter::Outcome outcome, Offset first) mutable {
        --impl.writes_in_flight;
        impl.rules_writes_in_flight -= changes_rules;
        if (outcome == record::LeaderWriter::Outcome::kAcknowledged)
          log::Write("record put %llu acknowledged %zu token %llu at %.0f",
                     static_cast<unsigned long long>(first), count,
                     static_cast<unsigned long long>(token), impl.loop.now());
        answer.set_outcome(static_cast<unsigned>(outcome));
        answer.set_first(first);
        answer.set_owner(impl.self);
        reply(answer.SerializeAsString());
      },
      impl.MakeSend(), impl.loop.now());
  if (!accepted) {
    --impl.writes_in_flight;
    impl.rules_writes_in_flight -= changes_rules;
    return answer_with(4, "the writer accepts no more writes now");
  }
  HandleMessage(0, {});
}

std::string RecordComponent::StatusJson() const {
  const Impl& impl = *impl_;
  auto non_negative = [](double value) {
    return std::to_string(static_cast<unsigned long long>(value < 0 ? 0 : value));
  };
  std::string json = "{\"self\":" + std::to_string(impl.self) +
                     ",\"keeps\":" + (HasReplica() ? "true" : "false") +
                     ",\"position\":" + std::to_string(impl.subscriber->Position()) +
                     ",\"committed\":" + std::to_string(Committed()) +
                     ",\"caught_up\":" + (impl.behind ? "false" : "true") +
                     ",\"owner\":" + std::to_string(impl.callbacks.lease_holder());
  if (HasReplica()) {
    const record::Log& log = *impl.replica->log();
    const record::LogMetadata& head = log.metadata();
    json +=
        ",\"last\":" + std::to_string(log.LastOffset()) +
        ",\"entries\":" + std::to_string(log.size()) + ",\"bytes\":" + std::to_string(log.bytes()) +
        ",\"dead_bytes\":" + std::to_string(log.DeadBytes()) +
        ",\"cleaned\":" + std::to_string(head.compacted_up_to) +
        ",\"forgotten\":" + std::to_string(head.tombstone_horizon) +
        ",\"promised\":" + std::to_string(head.promised_token) +
        ",\"starts\":" + std::to_string(head.start_count) +
        ",\"holes\":" + std::to_string(log.Gaps(1000).size()) +
        ",\"failed\":false,\"subscribers\":" +
        std::to_string(impl.replica->server()->ActivePositions(impl.loop.now()).positions.size());
  }
  if (impl.replica && !HasReplica())
    json += ",\"store\":\"not used\"";
  if (impl.writer)
    json += ",\"writes\":\"" + std::string(record::ToString(impl.writer->phase())) +
            "\",\"token\":" + std::to_string(impl.writer->token());
  json +=
      ",\"good_ms_ago\":" + (impl.subscriber->CurrentAsOf() < 0
                                 ? std::string("null")
                                 : non_negative(impl.loop.now() - impl.subscriber->CurrentAsOf()));
  return json + "}";
}

}  // namespace dunlinwick::front
