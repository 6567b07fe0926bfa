#include "rig/recordsim.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "record/memory_log_storage.hpp"

namespace dunlinwick::rig {

using namespace record;

namespace {

constexpr Ms kTickEvery = 50;
constexpr Id kSubscriberIds = 100;

struct Front {
  Id id = 0;
  std::unique_ptr<MemoryLogStorage> disk = std::make_unique<MemoryLogStorage>();
  std::unique_ptr<Log> log;
  std::unique_ptr<LogReplica> keeper;
  std::unique_ptr<SubscriptionServer> server;
  std::unique_ptr<LeaderWriter> writer;
  Ms writer_since = 0;
  std::map<std::uint64_t, std::pair<Offset, Ms>>
      leases;  // at its writer: by subscriber, position and when heard
  bool up = false;
  Ms paused_until = 0;
  Ms start_at = 0;
  Ms stops_at = 1e300;
  Ms clock = 0;
  Ms full_until = 0;
  std::vector<std::pair<Ms, MemoryLogStorage::Contents>> copies;
  // Damaged: until it has all that was acknowledged then, and is not doubted.
  bool damaged = false;
  Offset owes = 0;
  std::uint64_t life = 0;
  std::uint64_t calls = 0;
  int swapped_with = -1;
  Offset cleaned = 0;
  Offset forgotten = 0;
  Offset notified = 0;
};
struct Follower {
  std::uint64_t id = 0;
  std::uint64_t life = 0;
  std::unique_ptr<Subscriber> subscriber;
  Offset kept = 0;
  Ms back_at = 0;
  Ms away_at = 0;
};
struct Packet {
  Id from;
  Id to;
  int channel;  // 0: keepers' message, 1: subscribers'
  std::string bytes;
};

class Sim {
 public:
  Sim(std::uint64_t seed, const RecordTerms& terms)
      : terms_(terms), chance_(seed * 2654435761u + 17) {
    log_terms_.max_bytes = 1 << 20;
    log_terms_.min_compaction_lag = 400;
    log_terms_.tombstone_retention = 600;
    log_terms_.min_dead_ratio = 0.2;
    log_terms_.entries_per_step = 8;
    log_terms_.defects.drop_tombstones_early = terms.tombstone_early;
    log_terms_.defects.resume_behind_horizon = terms.resumes_forgotten;
    subscriber_terms_.lease = 1200;
    subscriber_terms_.batch_bytes = 400;
    subscriber_terms_.defects.resume_behind_horizon = terms.resumes_forgotten;
    terms_.keeper.batch_bytes = 300;
    terms_.keeper.max_window_bytes = 4000;
    for (std::size_t i = 0; i < terms.keepers; ++i)
      ids_.push_back(static_cast<Id>(i + 1));
    fronts_.resize(terms.keepers);
    for (std::size_t i = 0; i < fronts_.size(); ++i) {
      Front& f = fronts_[i];
      f.id = ids_[i];
      f.clock = Odds(0.2) ? 0 : 1.7e12 + Between(-3000, 3000);
      Start(f);
    }
    for (std::uint64_t s = 0; s < 3; ++s) {
      Follower f;
      f.id = kSubscriberIds + s;
      f.back_at = Between(0, 6000);
      followers_.push_back(std::move(f));
    }
  }

  RecordRun Play() {
    next_owner_ = 300;
    next_fault_ = 1000;
    while (now_ < terms_.faults)
      step(true);
    // All is well again: no cuts, all up, one last owner.
    cuts_.clear();
    loss_ = false;
    for (Front& f : fronts_) {
      f.paused_until = 0;
      f.full_until = 0;
      f.disk->write_fault = nullptr;
      if (f.writer) {
        f.writer->Stop();
        f.writer.reset();
      }
    }
    for (Front& f : fronts_)
      Unswap(f);
    for (Front& f : fronts_) {
      if (f.up && f.keeper->has_failed())
        Stop(f);
      if (!f.up) {
        f.start_at = 0;
        Start(f);
      }
    }
    Ms end = now_ + terms_.settle;
    Own(fronts_[Pick(fronts_.size())]);
    last_ = true;
    bool rest = false;
    while (now_ < end && !rest) {
      step(false);
      rest = now_ > end - terms_.settle + 3000 && AtRest();
    }
    if (!rest) {
      std::string s = "does not come to rest:";
      for (Front& f : fronts_) {
        s += " [" + std::to_string(f.id) + (f.keeper->has_failed() ? " failed" : "") + " last " +
             std::to_string(f.log->LastOffset()) + " committed " +
             std::to_string(f.log->metadata().committed) + " promised " +
             std::to_string(f.log->metadata().promised_token) + " holes " +
             std::to_string(f.log->Gaps(100).size()) + (f.log->IsComplete() ? "" : " partial") +
             "]";
        if (f.writer)
          s += std::string(" writer ") + ToString(f.writer->phase()) + " " + f.writer->StateText();
      }
      for (Follower& f : followers_)
        s += " (" + std::to_string(f.subscriber ? f.subscriber->Position() : 0) + ")";
      judge_.Find(s);
    }
    for (Front& f : fronts_) {
      auto entries = f.log->Read(0, f.log->metadata().committed, SIZE_MAX);
      judge_.InTheEnd(f.id, entries, f.log->metadata().committed,
                      f.log->metadata().tombstone_horizon);
      if (rest && &f == &fronts_[0])
        for (Follower& s : followers_)
          judge_.SubscriberInTheEnd(s.id, entries);
    }
    out_.findings = judge_.Findings();
    out_.acknowledged = judge_.AcknowledgedCount();
    return out_;
  }

 private:
  double Unit() {
    return std::uniform_real_distribution<double>(0, 1)(chance_);
  }
  bool Odds(double p) {
    return Unit() < p;
  }
  double Between(double a, double b) {
    return a + (b - a) * Unit();
  }
  std::size_t Pick(std::size_t n) {
    return static_cast<std::size_t>(Unit() * static_cast<double>(n)) % n;
  }
  Front* front(Id id) {
    return id >= 1 && id <= fronts_.size() ? &fronts_[id - 1] : nullptr;
  }
  std::size_t Minority() const {
    return (fronts_.size() - 1) / 2;
  }

  void Post(Id from, Id to, int channel, std::string bytes) {
    if (cuts_.count({from, to}))
      return;
    bool same = from == to;
    if (!same && loss_ && Odds(0.04))
      return;
    int n = !same && loss_ && Odds(0.03) ? 2 : 1;
    for (int i = 0; i < n; ++i) {
      Ms delay = same ? 0.01 : Between(1, 20) + (loss_ && Odds(0.02) ? Between(100, 1500) : 0);
      net_.emplace(std::pair(now_ + delay, ++number_), Packet{from, to, channel, bytes});
    }
  }
  SendMessage Sender(Id from) {
    return [this, from](Id to, const Message& m) {
      Post(from, to, 0, Encode(m));
    };
  }

  // ---- a front's life
  bool Start(Front& f) {
    f.disk->write_fault = [this, &f](std::uint64_t) {
      if (now_ < f.full_until)
        return MemoryLogStorage::WriteFault::kFull;
      if (f.start_at == -1 && Odds(0.3)) {
        f.start_at = 0;
        return Odds(0.5) ? MemoryLogStorage::WriteFault::kFailBefore
                         : MemoryLogStorage::WriteFault::kFailAfter;
      }
      return MemoryLogStorage::WriteFault::kNone;
    };
    try {
      f.log = std::make_unique<Log>(f.id, log_terms_, *f.disk, ++stores_);
    } catch (const StorageError&) {
      f.log.reset();
      return false;
    }
    f.life = ++lives_;
    Trace(f, "starts");
    f.keeper = std::make_unique<LogReplica>(f.id, ids_, terms_.keeper, *f.log, f.life);
    f.server = std::make_unique<SubscriptionServer>(*f.log, subscriber_terms_, now_);
    f.up = true;
    f.cleaned = f.log->metadata().compacted_up_to;
    f.forgotten = f.log->metadata().tombstone_horizon;
    f.notified = 0;
    judge_.Replaced(f.id, f.log->metadata().promised_token);
    judge_.MayClean(f.id, ~Token{0}, f.cleaned, f.forgotten);
    return true;
  }
  void Stop(Front& f) {
    f.up = false;
    f.writer.reset();
    f.keeper.reset();
    f.server.reset();
    f.log.reset();  // what was under way is never told
  }
  void Own(Front& f) {
    if (!f.up)
      return;
    if (f.writer)
      f.writer->Stop();
    f.writer =
        std::make_unique<LeaderWriter>(f.id, ids_, terms_.keeper, log_terms_, ++token_, now_);
    f.writer_since = now_;
    f.leases.clear();
    f.stops_at = 1e300;
    ++out_.owners;
    was_founded_ = false;
    Trace(f, ("owner " + std::to_string(token_)).c_str());
  }

  // ---- what is watched
  void watch(Front& f) {
    if (!f.log)
      return;
    const LogMetadata& h = f.log->metadata();
    judge_.Promised(f.id, h.promised_token);
    if (h.compacted_up_to != f.cleaned || h.tombstone_horizon != f.forgotten) {
      judge_.Cleaned(f.id, h.compacted_up_to, h.tombstone_horizon);
      if (h.compacted_up_to > f.cleaned)
        ++out_.cleanings;
      f.cleaned = h.compacted_up_to;
      f.forgotten = h.tombstone_horizon;
    }
    if (h.committed < f.notified) {
      f.notified = 0;
      ++out_.anew;
    }
    for (Offset o = f.notified + 1; o <= h.committed; ++o)
      if (const Entry* e = f.log->Find(o))
        judge_.CommittedAt(f.id, *e);
    f.notified = std::max(f.notified, h.committed);
    if (f.damaged && f.keeper && !f.keeper->has_failed() && h.committed >= f.owes &&
        f.log->IsComplete() && f.log->Gaps(1).empty() && !f.keeper->IsUnconfirmed()) {
      f.damaged = false;
      Trace(f, "mended");
    }
  }
  void Deliver(const Packet& p) {
    if (p.to >= kSubscriberIds) {
      for (Follower& s : followers_)
        if (s.id == p.to && s.subscriber)
          if (auto m = DecodeSubscriberMessage(p.bytes);
              m && std::holds_alternative<SubscriptionResponse>(*m))
            s.subscriber->Receive(now_, p.from, std::get<SubscriptionResponse>(*m), out(s));
      return;
    }
    Front& f = *front(p.to);
    if (!f.up)
      return;
    if (now_ < f.paused_until) {
      net_.emplace(std::pair(f.paused_until + 0.001, ++number_), p);
      return;
    }
    if (p.channel == 1) {
      auto m = DecodeSubscriberMessage(p.bytes);
      if (!m || f.keeper->has_failed())
        return;
      if (auto* w = std::get_if<SubscriptionRequest>(&*m)) {
        if (auto piece = f.server->HandleRequest(now_, *w))
          Post(f.id, p.from, 1, Encode(SubscriberMessage{*piece}));
      } else if (auto* l = std::get_if<LeasedPositions>(&*m); l && f.writer) {
        for (auto [who, at] : l->positions)
          f.leases[who] = {at, now_};
      }
      return;
    }
    auto m = Decode(p.bytes);
    if (!m)
      return judge_.Find("a message is not read back");
    if (auto* fetched = std::get_if<FetchResponse>(&*m))
      judge_.MayClean(f.id, ~Token{0}, fetched->compacted_up_to, 0);  // a hole may be closed by it
    auto* append = std::get_if<AppendRequest>(&*m);
    if (std::getenv("RECORD_TRACE") &&
        std::getenv("RECORD_TRACE")[0] - '0' == static_cast<int>(f.id) && append) {
      std::printf(
          "%8.0f  to %u append after %llu@%llu anew %d committed %llu cleaned %llu forgotten %llu:",
          now_, f.id, static_cast<unsigned long long>(append->after),
          static_cast<unsigned long long>(append->after_token), append->from_snapshot,
          static_cast<unsigned long long>(append->committed),
          static_cast<unsigned long long>(append->compacted_up_to),
          static_cast<unsigned long long>(append->tombstone_horizon));
      for (auto& e : append->entries)
        std::printf(" %llu", static_cast<unsigned long long>(e.offset));
      std::printf("\n");
    }
    // That a subscriber left behind starts over hides this from what it holds in the end.
    if (append && append->plan.up_to != 0 &&
        append->plan.remove_tombstones_up_to > passed_[append->plan.token])
      judge_.Find("a cleaning plan drops tombstones up to " +
                  std::to_string(append->plan.remove_tombstones_up_to) +
                  ", beyond the lowest reported position of live subscribers, " +
                  std::to_string(passed_[append->plan.token]));
    std::uint64_t calls = f.disk->WriteCount();
    if (append && append->incarnation == f.life) {
      if (append->plan.up_to != 0)
        judge_.MayClean(f.id, append->token, append->plan.up_to,
                        append->plan.remove_tombstones_up_to);
      judge_.MayClean(f.id, append->token, append->compacted_up_to, append->tombstone_horizon);
    }
    f.keeper->Receive(now_, p.from, *m, Sender(f.id));
    if (append && f.disk->WriteCount() != calls)
      judge_.Landed(f.id, append->token);
    watch(f);
    if (!f.writer)
      return;
    Phase was = f.writer->phase();
    f.writer->Receive(now_, p.from, *m, Sender(f.id));
    if (was != f.writer->phase())
      Trace(f, (std::string(ToString(f.writer->phase())) + " " + std::to_string(f.writer->token()))
                   .c_str());
  }
  Subscriber::Callbacks out(Follower& s) {
    return {[this, &s](Id keeper, const SubscriptionRequest& w) {
              Post(static_cast<Id>(s.id), keeper, 1, Encode(SubscriberMessage{w}));
            },
            [this, &s](const Entry& e) { judge_.Given(s.id, e); },
            [this, &s] {
              judge_.StartOver(s.id);
              ++out_.start_overs;
            }};
  }

  // ---- time goes on
  void step(bool faults) {
    Ms until = now_ + kTickEvery;
    loss_ = faults && !terms_.calm;
    while (!net_.empty() && net_.begin()->first.first <= until) {
      now_ = std::max(now_, net_.begin()->first.first);
      Packet p = std::move(net_.begin()->second);
      net_.erase(net_.begin());
      Deliver(p);
    }
    now_ = until;
    for (Front& f : fronts_) {
      if (!f.up) {
        if (faults && f.swapped_with < 0 && now_ >= f.start_at)
          Start(f);
        continue;
      }
      if (now_ < f.paused_until)
        continue;
      if (f.keeper->has_failed()) {  // it is started anew after a while
        ++out_.kills;
        Stop(f);
        f.start_at = now_ + Between(200, 2000);
        continue;
      }
      Ms unix_now = f.clock + now_;
      f.keeper->Tick(now_, Sender(f.id), unix_now);
      watch(f);
      if (f.writer && now_ >= f.stops_at) {
        f.writer->Stop();
        f.writer.reset();
      }
      if (f.writer) {
        TellPassed(f);
        Phase was = f.writer->phase();
        f.writer->Tick(now_, Sender(f.id));
        if (was != f.writer->phase())
          Trace(f, ToString(f.writer->phase()));
        if (f.writer->IsBootstrapped() && f.writer->phase() == Phase::kServing && !was_founded_) {
          ++out_.founded;
          was_founded_ = true;
        }
      }
      if (static_cast<long>(now_) % 500 == 0)
        for (Front& g : fronts_)
          if (g.writer)
            Post(f.id, g.id, 1, Encode(SubscriberMessage{f.server->ActivePositions(now_)}));
      if (f.writer && (faults || final_puts_ < 20))
        Puts(f, faults);
      if (Odds(0.01)) {
        f.copies.emplace_back(now_, f.disk->contents());
        if (f.copies.size() > 4)
          f.copies.erase(f.copies.begin());
      }
    }
    for (Follower& s : followers_) {
      if (!s.subscriber && (now_ >= s.back_at || !faults)) {
        s.subscriber = std::make_unique<Subscriber>(s.id, ++s.life, ids_, subscriber_terms_, s.kept,
                                                    chance_(), now_);
        s.away_at = now_ + Between(1000, 8000);
      }
      if (!s.subscriber)
        continue;
      s.subscriber->Tick(now_, out(s));
      if (faults && now_ >= s.away_at) {
        s.kept = s.subscriber->Position();
        s.subscriber.reset();
        s.back_at = now_ + (Odds(0.5) ? Between(100, 2000) : Between(4000, 9000));
      }
    }
    if (!faults)
      return;
    if (now_ >= next_owner_) {
      next_owner_ = now_ + (Odds(0.3) ? Between(50, 600) : Between(800, 5000));
      for (Front& f : fronts_)
        if (f.writer && f.stops_at == 1e300)
          f.stops_at = now_ + (Odds(0.5) ? 0 : Between(0, 4000));
      Front& f = fronts_[Pick(fronts_.size())];
      Own(f);
    }
    if (!terms_.calm && now_ >= next_fault_) {
      next_fault_ = now_ + Between(50, 900);
      fault();
    }
  }
  void TellPassed(Front& f) {
    if (now_ < f.writer_since + subscriber_terms_.lease)
      return;  // it may not have heard of all that live
    Offset least = f.writer->Committed();
    for (auto i = f.leases.begin(); i != f.leases.end();) {
      if (now_ > i->second.second + subscriber_terms_.lease)
        i = f.leases.erase(i);
      else {
        least = std::min(least, i->second.first);
        ++i;
      }
    }
    f.writer->SetMinSubscriberPosition(now_, least);
    passed_[f.writer->token()] = std::max(passed_[f.writer->token()], least);
  }
  void Puts(Front& f, bool faults) {
    if (!Odds(0.4) || f.writer->phase() != Phase::kServing)
      return;
    std::vector<LeaderWriter::Put> batch;
    std::size_t n = Odds(0.15) ? 2 + Pick(4) : 1;
    for (std::size_t i = 0; i < n; ++i) {
      LeaderWriter::Put p;
      p.stream = static_cast<Stream>(Pick(2));
      p.key = "k" + std::to_string(Odds(0.6) ? Pick(8) : 8 + Pick(30));
      p.tombstone = Odds(0.3);
      if (!p.tombstone)
        p.value = std::to_string(++values_) + std::string(Pick(60), 'x');
      batch.push_back(p);
    }
    Offset before = judge_.PutBegins();
    auto done = [this, batch, before](LeaderWriter::Outcome o, Offset first) {
      if (o != LeaderWriter::Outcome::kAcknowledged) {
        ++out_.unsure;
        return;
      }
      std::vector<Entry> entries;
      for (const auto& p : batch)
        entries.push_back({first++, 0, p.stream, p.key, p.tombstone, p.value, 0});
      judge_.Acknowledged(before, entries);
    };
    if (!f.writer->Write(now_, batch, done, Sender(f.id), f.clock + now_))
      ++out_.refused;
    else if (!faults)
      ++final_puts_;
  }

  void Trace(const Front& f, const char* what) {
    if (!std::getenv("RECORD_TRACE"))
      return;
    auto c = f.disk->contents();
    std::printf(
        "%8.0f front %u %s: disk last %llu", now_, f.id, what,
        c.entries.empty() ? 0ull : static_cast<unsigned long long>(c.entries.rbegin()->first));
    if (c.metadata) {
      std::printf(" committed %llu promised %llu cleaned %llu forgotten %llu seen",
                  static_cast<unsigned long long>(c.metadata->committed),
                  static_cast<unsigned long long>(c.metadata->promised_token),
                  static_cast<unsigned long long>(c.metadata->compacted_up_to),
                  static_cast<unsigned long long>(c.metadata->tombstone_horizon));
      for (auto [who, at] : c.metadata->witnessed)
        std::printf(" %u:%llu", who, static_cast<unsigned long long>(at));
    }
    std::printf(" acked %llu\n", static_cast<unsigned long long>(judge_.AcknowledgedUpTo()));
  }
  void Damage(Front& f) {
    f.damaged = true;
    f.owes = judge_.AcknowledgedUpTo();
    ++out_.damages;
  }
  bool MayDamage(const Front& f) const {
    std::size_t n = 1;
    for (const Front& g : fronts_)
      n += g.damaged && &g != &f ? 1 : 0;
    return n <= Minority();
  }
  // Found to be old for sure: every other keeper knows better.
  bool Witnessed(const Front& f, const MemoryLogStorage::Contents& copy) const {
    Offset last = copy.entries.empty() ? 0 : copy.entries.rbegin()->first;
    for (const Front& g : fronts_) {
      if (&g == &f)
        continue;
      auto h = g.disk->contents().metadata;
      bool more = false;
      if (h)
        for (auto [who, upTo] : h->witnessed)
          more = more || (who == f.id && upTo > last);
      if (!more)
        return false;
    }
    return true;
  }
  void Unswap(Front& f) {
    if (f.swapped_with < 0)
      return;
    Front& g = fronts_[static_cast<std::size_t>(f.swapped_with)];
    std::swap(f.disk, g.disk);
    f.swapped_with = g.swapped_with = -1;
  }
  void fault() {
    Front& f = fronts_[Pick(fronts_.size())];
    switch (Pick(12)) {
      case 0:
        f.paused_until = now_ + Between(100, 4000);
        break;
      case 1:
      case 2:
        if (f.up) {
          ++out_.kills;
          Stop(f);
          f.start_at = now_ + (Odds(0.2) ? Between(3000, 9000) : Between(50, 3000));
        }
        break;
      case 3:  // without its store
        if (f.up && MayDamage(f)) {
          ++out_.kills;
          Stop(f);
          Damage(f);
          Trace(f, "wiped");
          f.disk->RestoreContents({});
          f.copies.clear();
          f.start_at = now_ + Between(50, 3000);
        }
        break;
      case 4:
        if (f.up && !f.copies.empty() && MayDamage(f)) {
          auto copy = f.copies[Pick(f.copies.size())].second;
          if (!terms_.keeper.distrust_restarted && !Witnessed(f, copy))
            break;
          ++out_.kills;
          Stop(f);
          Damage(f);
          Trace(f, "old");
          f.disk->RestoreContents(copy);
          Trace(f, "to");
          f.start_at = now_ + Between(50, 1000);
        }
        break;
      case 5: {
        Front& g = fronts_[Pick(fronts_.size())];
        if (&f == &g || !f.up || !g.up)
          break;
        ++out_.kills;
        Stop(f);
        Stop(g);
        std::swap(f.disk, g.disk);
        if (Start(f) || Start(g))
          judge_.Find("a swapped disk is taken");
        f.swapped_with = static_cast<int>(g.id) - 1;
        g.swapped_with = static_cast<int>(f.id) - 1;
        swap_ends_ = now_ + Between(100, 2000);
        break;
      }
      case 6:
        if (f.up && MayDamage(f) && f.log->size() > 0) {
          auto copy = f.disk->contents();
          ++out_.kills;
          Stop(f);
          Damage(f);
          auto i = copy.entries.begin();
          std::advance(i, static_cast<long>(Pick(copy.entries.size())));
          bool flips = Odds(0.8), loses = !flips && i->first <= copy.metadata->committed;
          Trace(f, ((flips   ? "flipped "
                     : loses ? "loses "
                             : "spared ") +
                    std::to_string(i->first))
                       .c_str());
          if (flips)
            f.disk->CorruptEntry(i->first);
          if (loses)
            f.disk->LoseEntry(i->first);
          f.start_at = now_ + Between(50, 1000);
        }
        break;
      case 7:
        f.full_until = now_ + Between(100, 3000);
        break;
      case 8:
        f.start_at = f.up ? -1 : f.start_at;
        break;  // its disk fails one of the next calls
      case 9:
        for (Id other : ids_)
          if (other != f.id && Odds(0.7)) {
            if (Odds(0.7))
              cuts_.insert({f.id, other});
            if (Odds(0.7))
              cuts_.insert({other, f.id});
          }
        break;
      case 10:
        cuts_.clear();
        break;
      case 11:
        f.clock += Odds(0.3) ? -1.7e12 * Unit() : Between(-5000, 5000);
        break;
    }
    if (Odds(0.3))
      cuts_.clear();
    if (now_ >= swap_ends_)
      for (Front& g : fronts_)
        Unswap(g);
  }
  bool AtRest() {
    Offset all = 0;
    for (Front& f : fronts_)
      if (f.writer && f.writer->phase() == Phase::kServing)
        all = f.writer->Committed();
    if (final_puts_ < 20 || all == 0)
      return false;
    for (Front& f : fronts_)
      if (f.log->metadata().committed != all || !f.log->Gaps(1).empty() || !f.log->IsComplete())
        return false;
    for (Follower& s : followers_)
      if (!s.subscriber || s.subscriber->Position() < all)
        return false;
    return true;
  }

  RecordTerms terms_;
  std::knuth_b chance_;
  LogSettings log_terms_;
  SubscriberSettings subscriber_terms_;
  std::vector<Id> ids_;
  std::vector<Front> fronts_;
  std::vector<Follower> followers_;
  std::map<std::pair<Ms, std::uint64_t>, Packet> net_;
  std::set<std::pair<Id, Id>> cuts_;
  RecordJudge judge_;
  RecordRun out_;
  Ms now_ = 0;
  Ms next_owner_ = 0;
  Ms next_fault_ = 0;
  Ms swap_ends_ = 0;
  bool loss_ = true;
  bool last_ = false;
  bool was_founded_ = false;
  std::uint64_t number_ = 0;
  std::uint64_t stores_ = 0;
  std::uint64_t lives_ = 0;
  std::uint64_t values_ = 0;
  std::uint64_t final_puts_ = 0;
  Token token_ = 0;
  std::map<Token, Offset>
      passed_;  // by owner's token: the most that its subscribers were told to have passed
};

}  // namespace

std::string RecordRun::Text() const {
  std::string s = "acknowledged " + std::to_string(acknowledged) + ", unsure " +
                  std::to_string(unsure) + ", refused " + std::to_string(refused) + ", owners " +
                  std::to_string(owners) + ", kills " + std::to_string(kills) + ", damaged disks " +
                  std::to_string(damages) + ", begun anew " + std::to_string(anew) +
                  ", cleanings " + std::to_string(cleanings) + ", subscribers starting over " +
                  std::to_string(start_overs);
  for (const auto& f : findings)
    s += "\n  " + f;
  return s;
}

RecordTerms Drawn(std::uint64_t seed) {
  RecordTerms t;
  t.keepers = seed % 3 == 0 ? 5 : 3;
  t.keeper.distrust_restarted = seed % 2 == 1;
  return t;
}
RecordRun Run(std::uint64_t seed, const RecordTerms& terms) {
  return Sim(seed, terms).Play();
}

}  // namespace dunlinwick::rig
