#include "rig/recordsim.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <random>

#include "record/memory_disk.hpp"

namespace dunlinwick::rig {

using namespace record;

namespace {

constexpr Ms tickEvery = 50;
constexpr Id subscriberIds = 100;

struct Front {
  Id id = 0;
  std::unique_ptr<MemoryDisk> disk = std::make_unique<MemoryDisk>();
  std::unique_ptr<Log> log;
  std::unique_ptr<Keeper> keeper;
  std::unique_ptr<Server> server;
  std::unique_ptr<Writer> writer;
  Ms writerSince = 0;
  std::map<std::uint64_t, std::pair<Offset, Ms>> leases;  // at its writer: by subscriber, position and when heard
  bool up = false;
  Ms pausedUntil = 0, startAt = 0, stopsAt = 1e300, clock = 0, fullUntil = 0;
  std::vector<std::pair<Ms, MemoryDisk::Copy>> copies;
  // Damaged: until it has all that was acknowledged then, and is not doubted.
  bool damaged = false;
  Offset owes = 0;
  std::uint64_t life = 0, calls = 0;
  int swappedWith = -1;
  Offset cleaned = 0, forgotten = 0, told = 0;
};
struct Follower {
  std::uint64_t id = 0, life = 0;
  std::unique_ptr<Subscriber> subscriber;
  Offset kept = 0;
  Ms backAt = 0, awayAt = 0;
};
struct Packet {
  Id from, to;
  int channel;  // 0: keepers' message, 1: subscribers'
  std::string bytes;
};

class Sim {
 public:
  Sim(std::uint64_t seed, const RecordTerms& terms) : terms_(terms), chance_(seed * 2654435761u + 17) {
    logTerms_.mostBytes = 1 << 20, logTerms_.lag = 400, logTerms_.tombstoneTerm = 600, logTerms_.deadShare = 0.2, logTerms_.entriesAStep = 8;
    logTerms_.breaks.tombstoneEarly = terms.tombstoneEarly, logTerms_.breaks.resumedForgotten = terms.resumesForgotten;
    subscriberTerms_.lease = 1200, subscriberTerms_.pieceBytes = 400;
    subscriberTerms_.breaks.resumedForgotten = terms.resumesForgotten;
    terms_.keeper.pieceBytes = 300, terms_.keeper.mostWindow = 4000;
    for (std::size_t i = 0; i < terms.keepers; ++i) ids_.push_back(static_cast<Id>(i + 1));
    fronts_.resize(terms.keepers);
    for (std::size_t i = 0; i < fronts_.size(); ++i) {
      Front& f = fronts_[i];
      f.id = ids_[i];
      f.clock = odds(0.2) ? 0 : 1.7e12 + between(-3000, 3000);
      start(f);
    }
    for (std::uint64_t s = 0; s < 3; ++s) {
      Follower f;
      f.id = subscriberIds + s, f.backAt = between(0, 6000);
      followers_.push_back(std::move(f));
    }
  }

  RecordRun play() {
    nextOwner_ = 300;
    nextFault_ = 1000;
    while (now_ < terms_.faults) step(true);
    // All is well again: no cuts, all up, one last owner.
    cuts_.clear(), loss_ = false;
    for (Front& f : fronts_) {
      f.pausedUntil = 0, f.fullUntil = 0, f.disk->fate = nullptr;
      if (f.writer) f.writer->stop(), f.writer.reset();
    }
    for (Front& f : fronts_) unswap(f);
    for (Front& f : fronts_) {
      if (f.up && f.keeper->failed()) stop(f);
      if (!f.up) f.startAt = 0, start(f);
    }
    Ms end = now_ + terms_.settle;
    own(fronts_[pick(fronts_.size())]);
    last_ = true;
    bool rest = false;
    while (now_ < end && !rest) {
      step(false);
      rest = now_ > end - terms_.settle + 3000 && atRest();
    }
    if (!rest) {
      std::string s = "does not come to rest:";
      for (Front& f : fronts_) {
        s += " [" + std::to_string(f.id) + (f.keeper->failed() ? " failed" : "") + " last " + std::to_string(f.log->last()) + " committed " +
             std::to_string(f.log->head().committed) + " promised " + std::to_string(f.log->head().promised) + " holes " +
             std::to_string(f.log->holes(100).size()) + (f.log->whole() ? "" : " partial") + "]";
        if (f.writer) s += std::string(" writer ") + word(f.writer->phase()) + " " + f.writer->state();
      }
      for (Follower& f : followers_) s += " (" + std::to_string(f.subscriber ? f.subscriber->position() : 0) + ")";
      judge_.find(s);
    }
    for (Front& f : fronts_) {
      auto entries = f.log->read(0, f.log->head().committed, SIZE_MAX);
      judge_.inTheEnd(f.id, entries, f.log->head().committed, f.log->head().forgotten);
      if (rest && &f == &fronts_[0])
        for (Follower& s : followers_) judge_.subscriberInTheEnd(s.id, entries);
    }
    out_.findings = judge_.findings();
    out_.acknowledged = judge_.acknowledgedCount();
    return out_;
  }

 private:
  double unit() { return std::uniform_real_distribution<double>(0, 1)(chance_); }
  bool odds(double p) { return unit() < p; }
  double between(double a, double b) { return a + (b - a) * unit(); }
  std::size_t pick(std::size_t n) { return static_cast<std::size_t>(unit() * static_cast<double>(n)) % n; }
  Front* front(Id id) { return id >= 1 && id <= fronts_.size() ? &fronts_[id - 1] : nullptr; }
  std::size_t minority() const { return (fronts_.size() - 1) / 2; }

  void post(Id from, Id to, int channel, std::string bytes) {
    if (cuts_.count({from, to})) return;
    bool same = from == to;
    if (!same && loss_ && odds(0.04)) return;
    int n = !same && loss_ && odds(0.03) ? 2 : 1;
    for (int i = 0; i < n; ++i) {
      Ms delay = same ? 0.01 : between(1, 20) + (loss_ && odds(0.02) ? between(100, 1500) : 0);
      net_.emplace(std::pair(now_ + delay, ++number_), Packet{from, to, channel, bytes});
    }
  }
  Send sender(Id from) {
    return [this, from](Id to, const Message& m) { post(from, to, 0, encode(m)); };
  }

  // ---- a front's life
  bool start(Front& f) {
    f.disk->fate = [this, &f](std::uint64_t) {
      if (now_ < f.fullUntil) return MemoryDisk::Fate::full;
      if (f.startAt == -1 && odds(0.3)) {
        f.startAt = 0;
        return odds(0.5) ? MemoryDisk::Fate::failsBefore : MemoryDisk::Fate::failsAfter;
      }
      return MemoryDisk::Fate::well;
    };
    try {
      f.log = std::make_unique<Log>(f.id, logTerms_, *f.disk, ++stores_);
    } catch (const Failed&) {
      f.log.reset();
      return false;
    }
    f.life = ++lives_;
    trace(f, "starts");
    f.keeper = std::make_unique<Keeper>(f.id, ids_, terms_.keeper, *f.log, f.life);
    f.server = std::make_unique<Server>(*f.log, subscriberTerms_, now_);
    f.up = true;
    f.cleaned = f.log->head().cleaned, f.forgotten = f.log->head().forgotten, f.told = 0;
    judge_.replaced(f.id, f.log->head().promised);
    judge_.mayClean(f.id, ~Token{0}, f.cleaned, f.forgotten);
    return true;
  }
  void stop(Front& f) {
    f.up = false;
    f.writer.reset(), f.keeper.reset(), f.server.reset(), f.log.reset();  // what was under way is never told
  }
  void own(Front& f) {
    if (!f.up) return;
    if (f.writer) f.writer->stop();
    f.writer = std::make_unique<Writer>(f.id, ids_, terms_.keeper, logTerms_, ++token_, now_);
    f.writerSince = now_, f.leases.clear(), f.stopsAt = 1e300;
    ++out_.owners, wasFounded_ = false;
    trace(f, ("owner " + std::to_string(token_)).c_str());
  }

  // ---- what is watched
  void watch(Front& f) {
    if (!f.log) return;
    const Head& h = f.log->head();
    judge_.promised(f.id, h.promised);
    if (h.cleaned != f.cleaned || h.forgotten != f.forgotten) {
      judge_.cleaned(f.id, h.cleaned, h.forgotten);
      if (h.cleaned > f.cleaned) ++out_.cleanings;
      f.cleaned = h.cleaned, f.forgotten = h.forgotten;
    }
    if (h.committed < f.told) f.told = 0, ++out_.anew;
    for (Offset o = f.told + 1; o <= h.committed; ++o)
      if (const Entry* e = f.log->at(o)) judge_.committedAt(f.id, *e);
    f.told = std::max(f.told, h.committed);
    if (f.damaged && f.keeper && !f.keeper->failed() && h.committed >= f.owes && f.log->whole() && f.log->holes(1).empty() &&
        !f.keeper->doubted())
      f.damaged = false, trace(f, "mended");
  }
  void deliver(const Packet& p) {
    if (p.to >= subscriberIds) {
      for (Follower& s : followers_)
        if (s.id == p.to && s.subscriber)
          if (auto m = decodeSaying(p.bytes); m && std::holds_alternative<Piece>(*m)) s.subscriber->receive(now_, p.from, std::get<Piece>(*m), out(s));
      return;
    }
    Front& f = *front(p.to);
    if (!f.up) return;
    if (now_ < f.pausedUntil) {
      net_.emplace(std::pair(f.pausedUntil + 0.001, ++number_), p);
      return;
    }
    if (p.channel == 1) {
      auto m = decodeSaying(p.bytes);
      if (!m || f.keeper->failed()) return;
      if (auto* w = std::get_if<Want>(&*m)) {
        if (auto piece = f.server->wants(now_, *w)) post(f.id, p.from, 1, encode(Saying{*piece}));
      } else if (auto* l = std::get_if<Lease>(&*m); l && f.writer) {
        for (auto [who, at] : l->positions) f.leases[who] = {at, now_};
      }
      return;
    }
    auto m = decode(p.bytes);
    if (!m) return judge_.find("a message is not read back");
    if (auto* fetched = std::get_if<Fetched>(&*m)) judge_.mayClean(f.id, ~Token{0}, fetched->cleaned, 0);  // a hole may be closed by it
    auto* append = std::get_if<Append>(&*m);
    if (std::getenv("RECORD_TRACE") && std::getenv("RECORD_TRACE")[0] - '0' == static_cast<int>(f.id) && append) {
      std::printf("%8.0f  to %u append after %llu@%llu anew %d committed %llu cleaned %llu forgotten %llu:", now_, f.id, static_cast<unsigned long long>(append->after), static_cast<unsigned long long>(append->afterToken), append->anew, static_cast<unsigned long long>(append->committed), static_cast<unsigned long long>(append->cleaned), static_cast<unsigned long long>(append->forgotten));
      for (auto& e : append->entries) std::printf(" %llu", static_cast<unsigned long long>(e.offset));
      std::printf("\n");
    }
    // That a subscriber left behind starts over hides this from what it holds in the end.
    if (append && append->plan.upTo != 0 && append->plan.forget > passed_[append->plan.token])
      judge_.find("a plan forgets up to " + std::to_string(append->plan.forget) + ", and what lives was told to have passed " +
                  std::to_string(passed_[append->plan.token]));
    std::uint64_t calls = f.disk->calls();
    if (append && append->life == f.life) {
      if (append->plan.upTo != 0) judge_.mayClean(f.id, append->token, append->plan.upTo, append->plan.forget);
      judge_.mayClean(f.id, append->token, append->cleaned, append->forgotten);
    }
    f.keeper->receive(now_, p.from, *m, sender(f.id));
    if (append && f.disk->calls() != calls) judge_.landed(f.id, append->token);
    watch(f);
    if (!f.writer) return;
    Phase was = f.writer->phase();
    f.writer->receive(now_, p.from, *m, sender(f.id));
    if (was != f.writer->phase()) trace(f, (std::string(word(f.writer->phase())) + " " + std::to_string(f.writer->token())).c_str());
  }
  Subscriber::Out out(Follower& s) {
    return {[this, &s](Id keeper, const Want& w) { post(static_cast<Id>(s.id), keeper, 1, encode(Saying{w})); },
            [this, &s](const Entry& e) { judge_.given(s.id, e); },
            [this, &s] { judge_.startOver(s.id), ++out_.startOvers; }};
  }

  // ---- time goes on
  void step(bool faults) {
    Ms until = now_ + tickEvery;
    loss_ = faults && !terms_.calm;
    while (!net_.empty() && net_.begin()->first.first <= until) {
      now_ = std::max(now_, net_.begin()->first.first);
      Packet p = std::move(net_.begin()->second);
      net_.erase(net_.begin());
      deliver(p);
    }
    now_ = until;
    for (Front& f : fronts_) {
      if (!f.up) {
        if (faults && f.swappedWith < 0 && now_ >= f.startAt) start(f);
        continue;
      }
      if (now_ < f.pausedUntil) continue;
      if (f.keeper->failed()) {  // it is started anew after a while
        ++out_.kills;
        stop(f), f.startAt = now_ + between(200, 2000);
        continue;
      }
      Ms unixNow = f.clock + now_;
      f.keeper->tick(now_, sender(f.id), unixNow);
      watch(f);
      if (f.writer && now_ >= f.stopsAt) f.writer->stop(), f.writer.reset();
      if (f.writer) {
        tellPassed(f);
        Phase was = f.writer->phase();
        f.writer->tick(now_, sender(f.id));
        if (was != f.writer->phase()) trace(f, word(f.writer->phase()));
        if (f.writer->founded() && f.writer->phase() == Phase::serving && !wasFounded_) ++out_.founded, wasFounded_ = true;
      }
      if (static_cast<long>(now_) % 500 == 0)
        for (Front& g : fronts_)
          if (g.writer) post(f.id, g.id, 1, encode(Saying{f.server->living(now_)}));
      if (f.writer && (faults || finalPuts_ < 20)) puts(f, faults);
      if (odds(0.01)) {
        f.copies.emplace_back(now_, f.disk->copy());
        if (f.copies.size() > 4) f.copies.erase(f.copies.begin());
      }
    }
    for (Follower& s : followers_) {
      if (!s.subscriber && (now_ >= s.backAt || !faults)) {
        s.subscriber = std::make_unique<Subscriber>(s.id, ++s.life, ids_, subscriberTerms_, s.kept, chance_(), now_);
        s.awayAt = now_ + between(1000, 8000);
      }
      if (!s.subscriber) continue;
      s.subscriber->tick(now_, out(s));
      if (faults && now_ >= s.awayAt) {
        s.kept = s.subscriber->position();
        s.subscriber.reset(), s.backAt = now_ + (odds(0.5) ? between(100, 2000) : between(4000, 9000));
      }
    }
    if (!faults) return;
    if (now_ >= nextOwner_) {
      nextOwner_ = now_ + (odds(0.3) ? between(50, 600) : between(800, 5000));
      for (Front& f : fronts_)
        if (f.writer && f.stopsAt == 1e300) f.stopsAt = now_ + (odds(0.5) ? 0 : between(0, 4000));
      Front& f = fronts_[pick(fronts_.size())];
      own(f);
    }
    if (!terms_.calm && now_ >= nextFault_) nextFault_ = now_ + between(50, 900), fault();
  }
  void tellPassed(Front& f) {
    if (now_ < f.writerSince + subscriberTerms_.lease) return;  // it may not have heard of all that live
    Offset least = f.writer->committed();
    for (auto i = f.leases.begin(); i != f.leases.end();) {
      if (now_ > i->second.second + subscriberTerms_.lease) i = f.leases.erase(i);
      else least = std::min(least, i->second.first), ++i;
    }
    f.writer->passed(now_, least);
    passed_[f.writer->token()] = std::max(passed_[f.writer->token()], least);
  }
  void puts(Front& f, bool faults) {
    if (!odds(0.4) || f.writer->phase() != Phase::serving) return;
    std::vector<Writer::Put> batch;
    std::size_t n = odds(0.15) ? 2 + pick(4) : 1;
    for (std::size_t i = 0; i < n; ++i) {
      Writer::Put p;
      p.stream = static_cast<Stream>(pick(2)), p.key = "k" + std::to_string(odds(0.6) ? pick(8) : 8 + pick(30)), p.tombstone = odds(0.3);
      if (!p.tombstone) p.value = std::to_string(++values_) + std::string(pick(60), 'x');
      batch.push_back(p);
    }
    Offset before = judge_.putBegins();
    auto done = [this, batch, before](Writer::Outcome o, Offset first) {
      if (o != Writer::Outcome::acknowledged) {
        ++out_.unsure;
        return;
      }
      std::vector<Entry> entries;
      for (const auto& p : batch) entries.push_back({first++, 0, p.stream, p.key, p.tombstone, p.value, 0});
      judge_.acknowledged(before, entries);
    };
    if (!f.writer->put(now_, batch, done, sender(f.id), f.clock + now_)) ++out_.refused;
    else if (!faults) ++finalPuts_;
  }

  void trace(const Front& f, const char* what) {
    if (!std::getenv("RECORD_TRACE")) return;
    auto c = f.disk->copy();
    std::printf("%8.0f front %u %s: disk last %llu", now_, f.id, what, c.entries.empty() ? 0ull : static_cast<unsigned long long>(c.entries.rbegin()->first));
    if (c.head) {
      std::printf(" committed %llu promised %llu cleaned %llu forgotten %llu seen", static_cast<unsigned long long>(c.head->committed), static_cast<unsigned long long>(c.head->promised), static_cast<unsigned long long>(c.head->cleaned), static_cast<unsigned long long>(c.head->forgotten));
      for (auto [who, at] : c.head->seen) std::printf(" %u:%llu", who, static_cast<unsigned long long>(at));
    }
    std::printf(" acked %llu\n", static_cast<unsigned long long>(judge_.acknowledgedUpTo()));
  }
  void damage(Front& f) { f.damaged = true, f.owes = judge_.acknowledgedUpTo(), ++out_.damages; }
  bool mayDamage(const Front& f) const {
    std::size_t n = 1;
    for (const Front& g : fronts_) n += g.damaged && &g != &f ? 1 : 0;
    return n <= minority();
  }
  // Found to be old for sure: every other keeper knows better.
  bool witnessed(const Front& f, const MemoryDisk::Copy& copy) const {
    Offset last = copy.entries.empty() ? 0 : copy.entries.rbegin()->first;
    for (const Front& g : fronts_) {
      if (&g == &f) continue;
      auto h = g.disk->copy().head;
      bool more = false;
      if (h)
        for (auto [who, upTo] : h->seen) more = more || (who == f.id && upTo > last);
      if (!more) return false;
    }
    return true;
  }
  void unswap(Front& f) {
    if (f.swappedWith < 0) return;
    Front& g = fronts_[static_cast<std::size_t>(f.swappedWith)];
    std::swap(f.disk, g.disk);
    f.swappedWith = g.swappedWith = -1;
  }
  void fault() {
    Front& f = fronts_[pick(fronts_.size())];
    switch (pick(12)) {
      case 0: f.pausedUntil = now_ + between(100, 4000); break;
      case 1:
      case 2:
        if (f.up) ++out_.kills, stop(f), f.startAt = now_ + (odds(0.2) ? between(3000, 9000) : between(50, 3000));
        break;
      case 3:  // without its store
        if (f.up && mayDamage(f)) {
          ++out_.kills, stop(f), damage(f);
          trace(f, "wiped"), f.disk->putBack({}), f.copies.clear(), f.startAt = now_ + between(50, 3000);
        }
        break;
      case 4:
        if (f.up && !f.copies.empty() && mayDamage(f)) {
          auto copy = f.copies[pick(f.copies.size())].second;
          if (!terms_.keeper.doubtRestarts && !witnessed(f, copy)) break;
          ++out_.kills, stop(f), damage(f);
          trace(f, "old"), f.disk->putBack(copy), trace(f, "to"), f.startAt = now_ + between(50, 1000);
        }
        break;
      case 5: {
        Front& g = fronts_[pick(fronts_.size())];
        if (&f == &g || !f.up || !g.up) break;
        ++out_.kills, stop(f), stop(g), std::swap(f.disk, g.disk);
        if (start(f) || start(g)) judge_.find("a swapped disk is taken");
        f.swappedWith = static_cast<int>(g.id) - 1, g.swappedWith = static_cast<int>(f.id) - 1;
        swapEnds_ = now_ + between(100, 2000);
        break;
      }
      case 6:
        if (f.up && mayDamage(f) && f.log->size() > 0) {
          auto copy = f.disk->copy();
          ++out_.kills, stop(f), damage(f);
          auto i = copy.entries.begin();
          std::advance(i, static_cast<long>(pick(copy.entries.size())));
          bool flips = odds(0.8), loses = !flips && i->first <= copy.head->committed;
          trace(f, ((flips ? "flipped " : loses ? "loses " : "spared ") + std::to_string(i->first)).c_str());
          if (flips) f.disk->flip(i->first);
          if (loses) f.disk->lose(i->first);
          f.startAt = now_ + between(50, 1000);
        }
        break;
      case 7: f.fullUntil = now_ + between(100, 3000); break;
      case 8: f.startAt = f.up ? -1 : f.startAt; break;  // its disk fails one of the next calls
      case 9:
        for (Id other : ids_)
          if (other != f.id && odds(0.7)) {
            if (odds(0.7)) cuts_.insert({f.id, other});
            if (odds(0.7)) cuts_.insert({other, f.id});
          }
        break;
      case 10: cuts_.clear(); break;
      case 11: f.clock += odds(0.3) ? -1.7e12 * unit() : between(-5000, 5000); break;
    }
    if (odds(0.3)) cuts_.clear();
    if (now_ >= swapEnds_)
      for (Front& g : fronts_) unswap(g);
  }
  bool atRest() {
    Offset all = 0;
    for (Front& f : fronts_)
      if (f.writer && f.writer->phase() == Phase::serving) all = f.writer->committed();
    if (finalPuts_ < 20 || all == 0) return false;
    for (Front& f : fronts_)
      if (f.log->head().committed != all || !f.log->holes(1).empty() || !f.log->whole()) return false;
    for (Follower& s : followers_)
      if (!s.subscriber || s.subscriber->position() < all) return false;
    return true;
  }

  RecordTerms terms_;
  std::knuth_b chance_;
  LogTerms logTerms_;
  SubscriberTerms subscriberTerms_;
  std::vector<Id> ids_;
  std::vector<Front> fronts_;
  std::vector<Follower> followers_;
  std::map<std::pair<Ms, std::uint64_t>, Packet> net_;
  std::set<std::pair<Id, Id>> cuts_;
  RecordJudge judge_;
  RecordRun out_;
  Ms now_ = 0, nextOwner_ = 0, nextFault_ = 0, swapEnds_ = 0;
  bool loss_ = true, last_ = false, wasFounded_ = false;
  std::uint64_t number_ = 0, stores_ = 0, lives_ = 0, values_ = 0, finalPuts_ = 0;
  Token token_ = 0;
  std::map<Token, Offset> passed_;  // by owner's token: the most that its subscribers were told to have passed
};

}  // namespace

std::string RecordRun::text() const {
  std::string s = "acknowledged " + std::to_string(acknowledged) + ", unsure " + std::to_string(unsure) + ", refused " + std::to_string(refused) +
                  ", owners " + std::to_string(owners) + ", kills " + std::to_string(kills) + ", damaged disks " + std::to_string(damages) +
                  ", begun anew " + std::to_string(anew) + ", cleanings " + std::to_string(cleanings) + ", subscribers starting over " +
                  std::to_string(startOvers);
  for (const auto& f : findings) s += "\n  " + f;
  return s;
}

RecordTerms drawn(std::uint64_t seed) {
  RecordTerms t;
  t.keepers = seed % 3 == 0 ? 5 : 3;
  t.keeper.doubtRestarts = seed % 2 == 1;
  return t;
}
RecordRun run(std::uint64_t seed, const RecordTerms& terms) { return Sim(seed, terms).play(); }

}  // namespace dunlinwick::rig
