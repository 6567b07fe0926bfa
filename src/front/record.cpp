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

std::optional<Recall> readRecall(const Entry& e) {
  auto slash = e.key.find('/');
  if (e.stream != record::Stream::recalls || slash == std::string::npos || slash + 1 == e.key.size()) return std::nullopt;
  std::string kind = e.key.substr(0, slash), name = e.key.substr(slash + 1);
  Recall r;
  r.lifted = e.tombstone;
  if (kind == "object") {
    r.object = name;
  } else if (kind == "offering") {
    r.offering = name;
  } else if (kind == "group") {
    auto [end, fault] = std::from_chars(name.data(), name.data() + name.size(), r.group);
    if (fault != std::errc{} || end != name.data() + name.size() || r.group < 0) return std::nullopt;
  } else {
    return std::nullopt;
  }
  return r;
}

// A start reads recalls of any age, so nothing but the writer's clock tells how old one is. Its error is taken off: counted younger, a
// recall refuses copies too many and never one too few. Harm: for an hour after a recall a start has what is recalled fetched once more.
Ms RecallAge(WallTime written, Ms now, bool fresh) {
  constexpr Ms kEarliest = 1e12;  // 2001: before it there was no writer
  constexpr Ms kMostClockError = 61 * 60 * 1000;  // a step by an hour, as by a wrong time zone, and a minute
  if (fresh) return 0;
  Ms given = OnOwnClock(written, kEarliest, now);
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
  std::deque<std::string> toSelf;
  bool draining = false;
  bool saidServing = false, behind = true, saidCaughtUp = false;
  Ms leaseAt = 0, planAt = 0, highestAt = 0, wakeAt = 0;
  struct Told {
    Ms at = 0;
    record::Lease lease;
  };
  std::map<peers::Id, Told> leases;  // by keeper: as many as there are
  Ms writesSince = 0;
  int underWay = 0, rulesUnderWay = 0;

  Inner(loop::Loop& l, const RecordTerms& t, peers::Id s, Ways w) : loop(l), terms(t), self(s), ways(std::move(w)) {}

  void pass(peers::Id to, std::string bytes) {
    if (to == self) toSelf.push_back(std::move(bytes));
    else ways.send(to, std::move(bytes));
  }
  record::Send send() {
    return [this](record::Id to, const record::Message& m) { pass(to, record::encode(m)); };
  }
  record::Subscriber::Out out() {
    return {[this](record::Id keeper, const record::Want& w) { pass(keeper, record::encode(record::Saying(w))); },
            [this](const Entry& e) { took(e); },
            [this] {
              log::say("record starts over at %.0f", loop.now());
              ways.recallsVoid();
            }};
  }

  // A word of the record reaches its user here, in order. One of before it was not written after it, whatever their stamps say.
  void took(const Entry& e) {
    highestAt = std::max(highestAt, e.at);
    log::say("record read %llu %s %s%s token %llu at %.0f", static_cast<unsigned long long>(e.offset), record::word(e.stream),
             e.tombstone ? "without " : "", e.key.c_str(), static_cast<unsigned long long>(e.token), loop.now());
    if (e.stream != record::Stream::recalls) return ways.other(e);
    auto r = readRecall(e);
    if (!r) return;
    r->ago = RecallAge(WallTime(highestAt), loop.now(), !behind);
    ways.recall(*r);
  }

  void look() {
    Ms now = loop.now();
    bool good = subscriber->caughtUp() && subscriber->goodAt() >= 0 && now - subscriber->goodAt() <= terms.staleAfter;
    if (good && behind) {
      behind = false, ways.noOlder(0);
      log::say("record caught up to %llu at %.0f", static_cast<unsigned long long>(subscriber->position()), now);
    } else if (!good && !behind) {
      behind = true, ways.noOlder(terms.staleAfter);
      log::say("record behind since %.0f at %.0f", subscriber->goodAt(), now);
    }
    if (writer && writer->phase() == record::Phase::serving && !saidServing) {
      saidServing = true;
      if (writer->founded()) log::say("record founded anew: every keeper was empty; what was written before, if anything was, is lost at %.0f", now);
      log::say("record owner token %llu serving from %llu at %.0f", static_cast<unsigned long long>(writer->token()),
               static_cast<unsigned long long>(writer->committed() + 1), now);
    }
  }

  void own() {
    auto [token, may] = ways.owns();
    if (writer && (token != writer->token() || !may || writer->phase() == record::Phase::fenced)) {
      log::say("record owner over token %llu at %.0f", static_cast<unsigned long long>(writer->token()), loop.now());
      writer->stop();
      fencedToken = writer->phase() == record::Phase::fenced ? writer->token() : fencedToken;
      writer.reset();
    }
    if (!writer && token != 0 && may && token != fencedToken) {
      writer = std::make_unique<record::Writer>(self, terms.keepers, terms.keeper, terms.log, token, loop.now());
      saidServing = false, writesSince = loop.now(), leases.clear();
    }
  }
  record::Token fencedToken = 0;  // one that was found fenced off is not tried again

  // The least position of living subscribers, by what each keeper tells; tombstones wait for it. A keeper that said nothing for a
  // lease's time has none that live; before this owner has listened for so long it can't know, and lets nothing go.
  Offset passed() {
    Ms now = loop.now();
    if (now - writesSince < terms.subscriber.lease) return 0;
    Offset least = writer->committed();
    for (const auto& [keeper, told] : leases)
      if (now - told.at <= terms.subscriber.lease)
        for (const auto& [who, at] : told.lease.positions) least = std::min(least, at);
    return least;
  }
};

Record::Record(loop::Loop& loop, const RecordTerms& terms, peers::Id self, std::uint64_t seed, Ways ways)
    : inner_(std::make_unique<Inner>(loop, terms, self, std::move(ways))) {
  Inner& in = *inner_;
  Ms now = loop.now();
  if (std::find(terms.keepers.begin(), terms.keepers.end(), self) != terms.keepers.end()) {
    std::uint64_t newStore = seed ^ static_cast<std::uint64_t>(now) << 20 ^ self;
    auto openDisk = [folder = terms.store, mapBytes = 4 * terms.log.mostBytes]() -> std::unique_ptr<record::Disk> {
      if (folder.empty()) return std::make_unique<record::MemoryDisk>();
      return std::make_unique<store::RecordLmdb>(folder, mapBytes);
    };
    // A store that is another's, or can't be read: this front keeps nothing, and says so; it serves on by the others' record.
    auto say = [&in](const std::string& line) { log::say("%s at %.0f", line.c_str(), in.loop.now()); };
    record::ReplicaTerms replicaTerms{terms.keeper, terms.log, terms.subscriber};
    in.replica = std::make_unique<record::Replica>(self, terms.keepers, replicaTerms, openDisk, newStore, now, say);
  }
  // Asked of itself first where it keeps: no way to go. From nothing at each start: what a front knows of recalls is in memory.
  std::vector<record::Id> from = terms.keepers;
  if (keeps()) std::stable_partition(from.begin(), from.end(), [&](record::Id k) { return k == self; });
  in.subscriber = std::make_unique<record::Subscriber>(self, static_cast<std::uint64_t>(now), from, terms.subscriber, 0, seed, now);
  in.ways.noOlder(terms.staleAfter);
  log::say("record: front %u, %s, %zu keepers%s", self, keeps() ? "keeps" : "follows", terms.keepers.size(),
           keeps() && terms.store.empty() ? "; in memory" : "");
}

Record::~Record() = default;

void Record::heard(peers::Id from, std::span<const char> bytes) {
  Inner& in = *inner_;
  Ms now = in.loop.now();
  if (auto m = record::decode(bytes)) {
    bool toWriter = std::holds_alternative<record::Tail>(*m) || std::holds_alternative<record::Kept>(*m) ||
                    std::holds_alternative<record::Fetched>(*m);
    if (toWriter && in.writer) in.writer->receive(now, from, *m, in.send());
    if (in.replica && !std::holds_alternative<record::Tail>(*m) && !std::holds_alternative<record::Kept>(*m))
      in.replica->receive(now, from, *m, in.send());
  } else if (auto s = record::decodeSaying(bytes)) {
    if (auto* want = std::get_if<record::Want>(&*s)) {
      if (in.replica)
        if (auto piece = in.replica->wants(now, *want)) in.pass(from, record::encode(record::Saying(*piece)));
    } else if (auto* piece = std::get_if<record::Piece>(&*s)) {
      in.subscriber->receive(now, from, *piece, in.out());
    } else if (auto* lease = std::get_if<record::Lease>(&*s)) {
      if (std::count(in.terms.keepers.begin(), in.terms.keepers.end(), from)) in.leases[from] = {now, *lease};
    }
  }
  if (in.draining) return;
  in.draining = true;
  // Bounded: what a call to oneself may start off. The rest waits for the next wake.
  for (int n = 0; n < 4096 && !in.toSelf.empty(); ++n) {
    std::string one = std::move(in.toSelf.front());
    in.toSelf.pop_front();
    heard(in.self, one);
  }
  in.draining = false;
  in.look();
}

void Record::wake() {
  Inner& in = *inner_;
  Ms now = in.loop.now();
  constexpr Ms each = 20;
  in.wakeAt = now + each;
  in.own();
  if (in.writer) {
    in.writer->tick(now, in.send());
    if (now >= in.planAt) in.planAt = now + 1000, in.writer->passed(now, in.passed());
  }
  if (in.replica) in.replica->tick(now, in.send());
  in.subscriber->tick(now, in.out());
  if (keeps() && in.replica->lastWriter() != 0 && now >= in.leaseAt) {
    in.leaseAt = now + 1000;
    in.pass(in.replica->lastWriter(), record::encode(record::Saying(in.replica->server()->living(now))));
  }
  heard(0, {});  // drains what was said to itself
}

Ms Record::wakeAt() const { return inner_->wakeAt; }
bool Record::caughtUp() const { return !inner_->behind; }
record::Offset Record::position() const { return inner_->subscriber->position(); }
record::Offset Record::committed() const { return std::max(inner_->subscriber->committed(), inner_->replica ? inner_->replica->committed() : 0); }
Ms Record::goodAt() const { return inner_->subscriber->goodAt(); }
bool Record::keeps() const { return inner_->replica && inner_->replica->isOpen(); }
bool Record::spoilt() const { return inner_->replica && (!keeps() || !inner_->replica->log()->holes(1).empty()); }
record::Head Record::head() const { return inner_->replica ? inner_->replica->headAtOpening() : record::Head{}; }
bool Record::writes() const { return inner_->writer && inner_->writer->phase() == record::Phase::serving; }

void Record::asked(std::span<const char> bytes, Reply reply) {
  Inner& in = *inner_;
  constexpr int mostUnderWay = 32;
  proto::record::PutBatch batch;
  proto::record::PutAnswer answer;
  auto say = [&](unsigned outcome, const char* why) {
    answer.set_outcome(outcome), answer.set_why(why), answer.set_owner(in.ways.owner());
    reply(answer.SerializeAsString());
  };
  // Outcomes: 0 acknowledged, 1 lost, 2 unsure (as Writer::Outcome), 3 not here or not yet (asked again), 4 refused.
  if (!batch.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return;
  answer.set_number(batch.number());
  if (!in.writer || in.writer->phase() != record::Phase::serving) return say(3, "this front does not own the record, or not yet");
  std::vector<record::Writer::Put> puts;
  bool ofRules = false;
  if (batch.puts_size() > 1)
    for (const auto& p : batch.puts())
      if (p.stream() == static_cast<unsigned>(record::Stream::rules)) return say(4, "a change of the rules goes alone");
  for (const auto& p : batch.puts()) {
    if (p.key().empty() || p.key().size() > record::longestKey || p.value().size() > record::longestValue || p.stream() >= record::streams)
      return say(4, "a key of 1 to 200 bytes, a value of 60,000 at most and a known stream wanted");
    for (char c : p.key())
      if (c < '!' || c > '~') return say(4, "a key of printable letters without spaces wanted");
    Entry e;
    e.stream = static_cast<record::Stream>(p.stream()), e.key = p.key(), e.tombstone = p.tombstone();
    if (e.stream == record::Stream::recalls && !readRecall(e)) return say(4, "a recall's key is object/NAME, group/NUMBER or offering/NAME");
    if (e.stream == record::Stream::rules) {
      // Compare and set: what is compared is what this front has read, so it must have read all, and one is written at a time.
      if (in.behind || in.subscriber->position() < in.writer->committed() || in.rulesUnderWay > 0)
        return say(3, "another change of the rules is under way, or not read here yet");
      if (std::string why = in.ways.refuses(e.stream, e.key, e.tombstone, p.value()); !why.empty()) return say(4, why.c_str());
      ofRules = true;
    }
    puts.push_back({e.stream, p.key(), p.tombstone(), p.value()});
  }
  if (puts.empty() || in.underWay >= mostUnderWay) return say(4, puts.empty() ? "nothing to write" : "too many writes under way");
  ++in.underWay, in.rulesUnderWay += ofRules;
  std::size_t many = puts.size();
  bool taken = in.writer->put(in.loop.now(), puts, [&in, reply, answer, many, ofRules, token = in.writer->token()](record::Writer::Outcome o, Offset first) mutable {
    --in.underWay, in.rulesUnderWay -= ofRules;
    if (o == record::Writer::Outcome::acknowledged)
      log::say("record put %llu acknowledged %zu token %llu at %.0f", static_cast<unsigned long long>(first), many,
               static_cast<unsigned long long>(token), in.loop.now());
    answer.set_outcome(static_cast<unsigned>(o)), answer.set_first(first), answer.set_owner(in.self);
    reply(answer.SerializeAsString());
  }, in.send(), in.loop.now());
  if (!taken) {
    --in.underWay, in.rulesUnderWay -= ofRules;
    return say(4, "too much under way");
  }
  heard(0, {});
}

std::string Record::view() const {
  const Inner& in = *inner_;
  auto n = [](double v) { return std::to_string(static_cast<unsigned long long>(v < 0 ? 0 : v)); };
  std::string s = "{\"self\":" + std::to_string(in.self) + ",\"keeps\":" + (keeps() ? "true" : "false") + ",\"position\":" +
                  std::to_string(in.subscriber->position()) + ",\"committed\":" + std::to_string(committed()) + ",\"caught_up\":" +
                  (in.behind ? "false" : "true") + ",\"owner\":" + std::to_string(in.ways.owner());
  if (keeps()) {
    const record::Log& log = *in.replica->log();
    const record::Head& h = log.head();
    s += ",\"last\":" + std::to_string(log.last()) + ",\"entries\":" + std::to_string(log.size()) + ",\"bytes\":" +
         std::to_string(log.bytes()) + ",\"dead_bytes\":" + std::to_string(log.deadBytes()) + ",\"cleaned\":" +
         std::to_string(h.cleaned) + ",\"forgotten\":" + std::to_string(h.forgotten) + ",\"promised\":" + std::to_string(h.promised) +
         ",\"starts\":" + std::to_string(h.starts) + ",\"holes\":" + std::to_string(log.holes(1000).size()) + ",\"failed\":false,\"subscribers\":" + std::to_string(in.replica->server()->living(in.loop.now()).positions.size());
  }
  if (in.replica && !keeps()) s += ",\"store\":\"not used\"";
  if (in.writer) s += ",\"writes\":\"" + std::string(record::word(in.writer->phase())) + "\",\"token\":" + std::to_string(in.writer->token());
  s += ",\"good_ms_ago\":" + (in.subscriber->goodAt() < 0 ? std::string("null") : n(in.loop.now() - in.subscriber->goodAt()));
  return s + "}";
}

}  // namespace dunlinwick::front
