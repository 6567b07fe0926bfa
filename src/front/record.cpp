#include "front/record.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "log/log.hpp"
#include "record.pb.h"
#include "record/memory_disk.hpp"
#include "record/replica.hpp"
#include "store/record_lmdb.hpp"

namespace dunlinwick::front {

using record::Entry;
using record::Offset;

std::optional<Recall> ReadRecall(const Entry& e) {
  auto slash = e.key.find('/');
  if (e.stream != record::Stream::kRecalls || slash == std::string::npos ||
      slash + 1 == e.key.size())
    return std::nullopt;
  std::string kind = e.key.substr(0, slash), name = e.key.substr(slash + 1);
  Recall r;
  r.lifted = e.tombstone;
  if (kind == "object") {
    r.object = name;
  } else if (kind == "offering") {
    r.request_class = name;
  } else if (kind == "group") {
    auto [end, fault] = std::from_chars(name.data(), name.data() + name.size(), r.group);
    if (fault != std::errc{} || end != name.data() + name.size() || r.group < 0)
      return std::nullopt;
  } else {
    return std::nullopt;
  }
  return r;
}

// A start reads recalls of any age, so nothing but the writer's clock tells how old one is. Its
// error is taken off: counted younger, a recall refuses copies too many and never one too few.
// Harm: for an hour after a recall a start has what is recalled fetched once more.
Ms RecallAge(WallTime written, Ms now, bool fresh) {
  constexpr Ms kEarliest = 1e12;  // 2001: before it there was no writer
  constexpr Ms kMostClockError =
      61 * 60 * 1000;  // a step by an hour, as by a wrong time zone, and a minute
  if (fresh)
    return 0;
  Ms given = ToLocalClock(written, kEarliest, now);
  return std::max(0.0, now - given - kMostClockError);
}

struct Record::Inner {
  loop::Loop& loop;
  RecordTerms terms;
  peers::Id self;
  Ways ways;
  std::unique_ptr<record::Replica> replica;  // none where this front is not among the replicas
  std::unique_ptr<record::Writer> writer;
  std::unique_ptr<record::Subscriber> subscriber;
  // What is sent to oneself waits for the end of the call.
  std::deque<std::string> to_self;
  bool draining = false;
  bool said_serving = false;
  bool behind = true;
  bool said_caught_up = false;
  Ms lease_at = 0;
  Ms plan_at = 0;
  Ms highest_at = 0;
  Ms wake_at = 0;
  struct Notified {
    Ms at = 0;
    record::Lease lease;
  };
  std::map<peers::Id, Notified> leases;  // by keeper: as many as there are
  Ms writes_since = 0;
  int under_way = 0;
  int rules_under_way = 0;

  Inner(loop::Loop& l, const RecordTerms& t, peers::Id s, Ways w)
      : loop(l), terms(t), self(s), ways(std::move(w)) {}

  void Pass(peers::Id to, std::string bytes) {
    if (to == self)
      to_self.push_back(std::move(bytes));
    else
      ways.send(to, std::move(bytes));
  }
  record::Send Send() {
    return [this](record::Id to, const record::Message& m) {
      Pass(to, record::Encode(m));
    };
  }
  record::Subscriber::Out out() {
    return {[this](record::Id keeper, const record::Want& w) {
              Pass(keeper, record::Encode(record::Saying(w)));
            },
            [this](const Entry& e) { Took(e); },
            [this] {
              log::Write("record starts over at %.0f", loop.now());
              ways.recalls_void();
            }};
  }

  // A word of the record reaches its user here, in order. One of before it was not written after
  // it, whatever their stamps say.
  void Took(const Entry& e) {
    highest_at = std::max(highest_at, e.at);
    log::Write("record read %llu %s %s%s token %llu at %.0f",
               static_cast<unsigned long long>(e.offset), record::ToString(e.stream),
               e.tombstone ? "without " : "", e.key.c_str(),
               static_cast<unsigned long long>(e.token), loop.now());
    if (e.stream != record::Stream::kRecalls)
      return ways.other(e);
    auto r = ReadRecall(e);
    if (!r)
      return;
    r->ago = RecallAge(WallTime(highest_at), loop.now(), !behind);
    ways.recall(*r);
  }

  void Look() {
    Ms now = loop.now();
    bool good = subscriber->CaughtUp() && subscriber->GoodAt() >= 0 &&
                now - subscriber->GoodAt() <= terms.stale_after;
    if (good && behind) {
      behind = false;
      ways.no_older(0);
      log::Write("record caught up to %llu at %.0f",
                 static_cast<unsigned long long>(subscriber->Position()), now);
    } else if (!good && !behind) {
      behind = true;
      ways.no_older(terms.stale_after);
      log::Write("record behind since %.0f at %.0f", subscriber->GoodAt(), now);
    }
    if (writer && writer->phase() == record::Phase::kServing && !said_serving) {
      said_serving = true;
      if (writer->Founded())
        log::Write(
            "record founded anew: every keeper was empty; what was written before, if anything "
            "was, is lost at %.0f",
            now);
      log::Write("record owner token %llu serving from %llu at %.0f",
                 static_cast<unsigned long long>(writer->token()),
                 static_cast<unsigned long long>(writer->Committed() + 1), now);
    }
  }

  void Own() {
    auto [token, may] = ways.owns();
    if (writer && (token != writer->token() || !may || writer->phase() == record::Phase::kFenced)) {
      log::Write("record owner over token %llu at %.0f",
                 static_cast<unsigned long long>(writer->token()), loop.now());
      writer->Stop();
      fenced_token = writer->phase() == record::Phase::kFenced ? writer->token() : fenced_token;
      writer.reset();
    }
    if (!writer && token != 0 && may && token != fenced_token) {
      writer = std::make_unique<record::Writer>(self, terms.keepers, terms.keeper, terms.log, token,
                                                loop.now());
      said_serving = false;
      writes_since = loop.now();
      leases.clear();
    }
  }
  record::Token fenced_token = 0;  // one that was found fenced off is not tried again

  // The least position of living subscribers, by what each keeper tells; tombstones wait for it. A
  // keeper that said nothing for a lease's time has none that live; before this owner has listened
  // for so long it can't know, and lets nothing go.
  Offset Passed() {
    Ms now = loop.now();
    if (now - writes_since < terms.subscriber.lease)
      return 0;
    Offset least = writer->Committed();
    for (const auto& [keeper, notified] : leases)
      if (now - notified.at <= terms.subscriber.lease)
        for (const auto& [who, at] : notified.lease.positions)
          least = std::min(least, at);
    return least;
  }
};

Record::Record(loop::Loop& loop, const RecordTerms& terms, peers::Id self, std::uint64_t seed,
               Ways ways)
    : inner_(std::make_unique<Inner>(loop, terms, self, std::move(ways))) {
  Inner& in = *inner_;
  Ms now = loop.now();
  if (std::find(terms.keepers.begin(), terms.keepers.end(), self) != terms.keepers.end()) {
    std::uint64_t new_store = seed ^ static_cast<std::uint64_t>(now) << 20 ^ self;
    auto open_disk = [folder = terms.store,
                      map_bytes = 4 * terms.log.most_bytes]() -> std::unique_ptr<record::Disk> {
      if (folder.empty())
        return std::make_unique<record::MemoryDisk>();
      return std::make_unique<store::RecordLmdb>(folder, map_bytes);
    };
    // A store that is another's, or can't be read: this front keeps nothing, and says so; it serves
    // on by the others' record.
    auto say = [&in](const std::string& line) {
      log::Write("%s at %.0f", line.c_str(), in.loop.now());
    };
    record::ReplicaTerms replica_terms{terms.keeper, terms.log, terms.subscriber};
    in.replica = std::make_unique<record::Replica>(self, terms.keepers, replica_terms, open_disk,
                                                   new_store, now, say);
  }
  // Asked of itself first where it keeps: no way to go. From nothing at each start: what a front
  // knows of recalls is in memory.
  std::vector<record::Id> from = terms.keepers;
  if (Keeps())
    std::stable_partition(from.begin(), from.end(), [&](record::Id k) { return k == self; });
  in.subscriber = std::make_unique<record::Subscriber>(self, static_cast<std::uint64_t>(now), from,
                                                       terms.subscriber, 0, seed, now);
  in.ways.no_older(terms.stale_after);
  log::Write("record: front %u, %s, %zu keepers%s", self, Keeps() ? "keeps" : "follows",
             terms.keepers.size(), Keeps() && terms.store.empty() ? "; in memory" : "");
}

Record::~Record() = default;

void Record::Heard(peers::Id from, std::span<const char> bytes) {
  Inner& in = *inner_;
  Ms now = in.loop.now();
  if (auto m = record::Decode(bytes)) {
    bool to_writer = std::holds_alternative<record::Tail>(*m) ||
                     std::holds_alternative<record::Kept>(*m) ||
                     std::holds_alternative<record::Fetched>(*m);
    if (to_writer && in.writer)
      in.writer->Receive(now, from, *m, in.Send());
    if (in.replica && !std::holds_alternative<record::Tail>(*m) &&
        !std::holds_alternative<record::Kept>(*m))
      in.replica->Receive(now, from, *m, in.Send());
  } else if (auto s = record::DecodeSaying(bytes)) {
    if (auto* want = std::get_if<record::Want>(&*s)) {
      if (in.replica)
        if (auto piece = in.replica->Wants(now, *want))
          in.Pass(from, record::Encode(record::Saying(*piece)));
    } else if (auto* piece = std::get_if<record::Piece>(&*s)) {
      in.subscriber->Receive(now, from, *piece, in.out());
    } else if (auto* lease = std::get_if<record::Lease>(&*s)) {
      if (std::count(in.terms.keepers.begin(), in.terms.keepers.end(), from))
        in.leases[from] = {now, *lease};
    }
  }
  if (in.draining)
    return;
  in.draining = true;
  // Bounded: what a call to oneself may start off. The rest waits for the next wake.
  for (int n = 0; n < 4096 && !in.to_self.empty(); ++n) {
    std::string one = std::move(in.to_self.front());
    in.to_self.pop_front();
    Heard(in.self, one);
  }
  in.draining = false;
  in.Look();
}

void Record::Wake() {
  Inner& in = *inner_;
  Ms now = in.loop.now();
  constexpr Ms kEach = 20;
  in.wake_at = now + kEach;
  in.Own();
  if (in.writer) {
    in.writer->Tick(now, in.Send());
    if (now >= in.plan_at) {
      in.plan_at = now + 1000;
      in.writer->Passed(now, in.Passed());
    }
  }
  if (in.replica)
    in.replica->Tick(now, in.Send());
  in.subscriber->Tick(now, in.out());
  if (Keeps() && in.replica->LastWriter() != 0 && now >= in.lease_at) {
    in.lease_at = now + 1000;
    in.Pass(in.replica->LastWriter(),
            record::Encode(record::Saying(in.replica->server()->Living(now))));
  }
  Heard(0, {});  // drains what was said to itself
}

Ms Record::WakeAt() const {
  return inner_->wake_at;
}
bool Record::CaughtUp() const {
  return !inner_->behind;
}
record::Offset Record::Position() const {
  return inner_->subscriber->Position();
}
record::Offset Record::Committed() const {
  return std::max(inner_->subscriber->Committed(),
                  inner_->replica ? inner_->replica->Committed() : 0);
}
Ms Record::GoodAt() const {
  return inner_->subscriber->GoodAt();
}
bool Record::Keeps() const {
  return inner_->replica && inner_->replica->IsOpen();
}
bool Record::Corrupted() const {
  return inner_->replica && (!Keeps() || !inner_->replica->log()->Holes(1).empty());
}
record::Head Record::head() const {
  return inner_->replica ? inner_->replica->HeadAtOpening() : record::Head{};
}
bool Record::Writes() const {
  return inner_->writer && inner_->writer->phase() == record::Phase::kServing;
}

void Record::Asked(std::span<const char> bytes, Reply reply) {
  Inner& in = *inner_;
  constexpr int kMostUnderWay = 32;
  proto::record::PutBatch batch;
  proto::record::PutAnswer answer;
  auto say = [&](unsigned outcome, const char* why) {
    answer.set_outcome(outcome);
    answer.set_why(why);
    answer.set_owner(in.ways.owner());
    reply(answer.SerializeAsString());
  };
  // Outcomes: 0 acknowledged, 1 lost, 2 unsure (as Writer::Outcome), 3 not here or not yet (asked
  // again), 4 refused.
  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    return;
  answer.set_number(batch.number());
  if (!in.writer || in.writer->phase() != record::Phase::kServing)
    return say(3, "this front does not own the record, or not yet");
  std::vector<record::Writer::Put> puts;
  bool of_rules = false;
  if (batch.puts_size() > 1)
    for (const auto& p : batch.puts())
      if (p.stream() == static_cast<unsigned>(record::Stream::kRules))
        return say(4, "a change of the rules goes alone");
  for (const auto& p : batch.puts()) {
    if (p.key().empty() || p.key().size() > record::kLongestKey ||
        p.value().size() > record::kLongestValue || p.stream() >= record::kStreams)
      return say(4, "a key of 1 to 200 bytes, a value of 60,000 at most and a known stream wanted");
    for (char c : p.key())
      if (c < '!' || c > '~')
        return say(4, "a key of printable letters without spaces wanted");
    Entry e;
    e.stream = static_cast<record::Stream>(p.stream());
    e.key = p.key();
    e.tombstone = p.tombstone();
    if (e.stream == record::Stream::kRecalls && !ReadRecall(e))
      return say(4, "a recall's key is object/NAME, group/NUMBER or offering/NAME");
    if (e.stream == record::Stream::kRules) {
      // Compare and set: what is compared is what this front has read, so it must have read all,
      // and one is written at a time.
      if (in.behind || in.subscriber->Position() < in.writer->Committed() || in.rules_under_way > 0)
        return say(3, "another change of the rules is under way, or not read here yet");
      if (std::string why = in.ways.refuses(e.stream, e.key, e.tombstone, p.value()); !why.empty())
        return say(4, why.c_str());
      of_rules = true;
    }
    puts.push_back({e.stream, p.key(), p.tombstone(), p.value()});
  }
  if (puts.empty() || in.under_way >= kMostUnderWay)
    return say(4, puts.empty() ? "nothing to write" : "too many writes under way");
  ++in.under_way;
  in.rules_under_way += of_rules;
  std::size_t many = puts.size();
  bool taken = in.writer->Write(
      in.loop.now(), puts,
      [&in, reply, answer, many, of_rules, token = in.writer->token()](record::Writer::Outcome o,
                                                                       Offset first) mutable {
        --in.under_way;
        in.rules_under_way -= of_rules;
        if (o == record::Writer::Outcome::kAcknowledged)
          log::Write("record put %llu acknowledged %zu token %llu at %.0f",
                     static_cast<unsigned long long>(first), many,
                     static_cast<unsigned long long>(token), in.loop.now());
        answer.set_outcome(static_cast<unsigned>(o));
        answer.set_first(first);
        answer.set_owner(in.self);
        reply(answer.SerializeAsString());
      },
      in.Send(), in.loop.now());
  if (!taken) {
    --in.under_way;
    in.rules_under_way -= of_rules;
    return say(4, "too much under way");
  }
  Heard(0, {});
}

std::string Record::view() const {
  const Inner& in = *inner_;
  auto n = [](double v) {
    return std::to_string(static_cast<unsigned long long>(v < 0 ? 0 : v));
  };
  std::string s = "{\"self\":" + std::to_string(in.self) +
                  ",\"keeps\":" + (Keeps() ? "true" : "false") +
                  ",\"position\":" + std::to_string(in.subscriber->Position()) +
                  ",\"committed\":" + std::to_string(Committed()) +
                  ",\"caught_up\":" + (in.behind ? "false" : "true") +
                  ",\"owner\":" + std::to_string(in.ways.owner());
  if (Keeps()) {
    const record::Log& log = *in.replica->log();
    const record::Head& h = log.head();
    s += ",\"last\":" + std::to_string(log.Last()) + ",\"entries\":" + std::to_string(log.size()) +
         ",\"bytes\":" + std::to_string(log.bytes()) +
         ",\"dead_bytes\":" + std::to_string(log.DeadBytes()) +
         ",\"cleaned\":" + std::to_string(h.cleaned) +
         ",\"forgotten\":" + std::to_string(h.forgotten) +
         ",\"promised\":" + std::to_string(h.promised) + ",\"starts\":" + std::to_string(h.starts) +
         ",\"holes\":" + std::to_string(log.Holes(1000).size()) +
         ",\"failed\":false,\"subscribers\":" +
         std::to_string(in.replica->server()->Living(in.loop.now()).positions.size());
  }
  if (in.replica && !Keeps())
    s += ",\"store\":\"not used\"";
  if (in.writer)
    s += ",\"writes\":\"" + std::string(record::ToString(in.writer->phase())) +
         "\",\"token\":" + std::to_string(in.writer->token());
  s += ",\"good_ms_ago\":" + (in.subscriber->GoodAt() < 0
                                  ? std::string("null")
                                  : n(in.loop.now() - in.subscriber->GoodAt()));
  return s + "}";
}

}  // namespace dunlinwick::front
