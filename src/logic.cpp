// All decisions of a dunlinwick front. Router::handle() is the one way in: it takes what happened at `now`
// and returns what is to be done, in order. Its interface is logic.hpp, its records are in records.hpp;
// docs/design.md says what departs from the design. Nothing here reads a clock, does I/O, or knows a name.
#include "logic.hpp"

#include <algorithm>
#include <cmath>
#include <list>
#include <map>
#include <random>
#include <unordered_map>

#include "records.hpp"

namespace dunlinwick {
namespace {

constexpr Ms second = 1000;

std::uint64_t mixed(std::uint64_t x) {  // splitmix64's finisher: the same at all fronts, whatever their seeds
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}

// Room: how many transfers a machine or link carries at full pace. A crowded answer shows it (held over
// stretch), an uncrowded one that it is at least what was held; unused, it goes back to what goes by size.
// Guards against slow, pausing and overrated machines. Harm: a slow way to clients.
double carries(const Room& r, Ms now) {
  constexpr Ms fade = 5 * second;  // a slow machine is asked again within seconds, by a few pulls first
  return std::max(
      0.25, r.fits * std::pow(std::max(1.0, r.nominal / r.fits), 1 - std::exp((r.learntAt - now) / fade)));
}
// `usual`: how much everything is stretched just now, for reasons that are not this machine's.
void learn(Room& r, Ms now, double held, Ms own, Ms took, double usual = 1, double grow = 1.05) {
  constexpr Ms tooShort = 10;  // below, the way there outweighs the sending
  if (own < tooShort) return;
  double stretch = std::max(1.0, took / (own * usual));
  r.fits = carries(r, now), r.learntAt = now;
  double step = std::clamp(0.05 * stretch, 0.1, 0.3);  // the plainer the sign, the larger the step
  if (stretch > 1.5) r.fits += step * (std::min(held / stretch, r.fits) - r.fits);
  if (stretch < 1.25) r.fits = std::max(r.fits, std::min(held, grow * r.fits));
  r.nominal = std::max(r.nominal, r.fits);
  r.proven += 0.1 * std::max(0.0, held / (stretch * usual) - r.proven);
}

enum Wake : std::uint64_t { wakePull = 1, wakeMachine = 2, wakeList = 3 };

}  // namespace

struct Router::Mind {
  // ---- figures derived at start
  std::vector<Ware> wares;
  int zone, crew, fronts, places, parentKind, originKind, mostLegs;
  Permits may;
  bool asksForList, lateral, weighed, linkTold, remarks;
  int linkReport;
  Ms retryLimit, purgeKept, coldWindow;
  double streamKbPerMs;
  Room link;
  Tally linkFills, linkLately;  // fills out through the link; its level
  double linkSaid = 0;          // how full the link is, as caches report it
  Ms linkSaidAt = longAgo;
  ColdTerms coldStore, coldParent;
  std::knuth_b chance;

  // ---- state
  Ms now = 0;
  std::vector<Action>* todo = nullptr;
  std::map<std::uint32_t, Machine> machines;
  std::vector<Machine*> stores, parents;
  std::vector<double> shares;                 // of pulls, by zone; empty: all stay in the own
  std::map<int, std::vector<Machine*>> away;  // other zones' caches
  Machine* origin = nullptr;
  std::map<std::uint32_t, Pull> pulls;  // emptied when a pull has ended and its last leg is in
  std::list<Memory> memories;           // oldest first
  std::unordered_map<std::uint64_t, std::list<Memory>::iterator> memoryAt;
  std::unordered_map<std::uint64_t, Ms> purges;  // object or group: when; emptied after purgeKept
  double meanPayoff = 1, meanWork = 100, placePrice = 0;
  Ms originWait = 0, originCalm = 0;  // until its first byte comes, lately and as usual
  Ms fillWait = 0;                    // of the usual fill until its first byte, where answers don't tell
  int linesLeft = 150;

  void act(Action a) { todo->push_back(std::move(a)); }

  Mind(const StoreSheet& s, std::uint64_t seed) : chance(seed) {
    for (const Offering& o : s.offerings) {
      Ware w{o};
      w.meanSending = o.expiry / 16;  // a guess on the long side; the first pulls seen replace it
      w.omega = 5 * second;           // the design starts it at a few seconds
      wares.push_back(w);
    }
    zone = s.zone, crew = std::max(1, s.crew), fronts = std::max(1, s.fronts), places = s.places;
    parentKind = s.parentKind, originKind = s.originKind, mostLegs = s.mostLegs, may = s.may;
    asksForList = s.asksForList, lateral = s.lateral, retryLimit = s.longestRetryAfter;
    coldWindow = s.coldWindow, coldStore = s.coldStore, coldParent = s.coldParent;
    // Live weights change from list to list, and a home must not: they count as absent.
    weighed = s.weighing == Weighing::nominal || s.weighing == Weighing::rough;
    purgeKept = 2 * s.purgeDone;  // twice: a fill may lay down an old copy late, and the cap costs nothing
    streamKbPerMs = s.streamKbPerMs;
    linkTold = s.linkKbPerMs > 0 && streamKbPerMs > 0;
    remarks = s.remarks, linkReport = linkTold ? -1 : s.linkReport;
    if (linkTold) link.fits = s.linkKbPerMs / streamKbPerMs;
  }

  void say(const char* what, const Machine& m) {
    static const char* const roles[] = {"cache ", "parent ", "origin ", "machine "};
    if (linesLeft-- > 0)
      act(WriteLine{roles[static_cast<int>(m.role)] + std::to_string(m.cache) + " " + what + ": strikes " +
                    std::to_string(m.strikes) + ", legs " + std::to_string(std::lround(m.legs.out))});
  }

  // ---- machines: the list, warmth, and the hash

  void takeList(const ListNews& news) {
    if (news.listing == Listing::failed)  // ask again soon: the old list stays, and ages
      return act(WakeMe{now + second, wakeList << 56});
    if (asksForList && news.listing == Listing::remembered) act(FollowList{});
    if (news.listing != Listing::changes)
      for (auto& [id, m] : machines) m.standing = Standing::gone;  // one that a full list lacks has left
    for (const ListEntry& e : news.entries) takeEntry(e);
    stores.clear(), parents.clear(), away.clear(), origin = nullptr;
    std::erase_if(machines, [&](auto& one) { return left(one.second); });
    if (!linkTold) link.nominal = 0;
    for (auto& [id, m] : machines) {
      if (m.standing == Standing::gone) continue;
      // Not told: a third of what the caches carry, for a usual share of misses; half where that is a low
      // guess itself, for want of weights. Fills correct it.
      if (!linkTold && m.role == Role::store) link.nominal += m.room.nominal / (weighed ? 3 : 2);
      if (m.role == Role::store) stores.push_back(&m);
      if (m.role == Role::parent) parents.push_back(&m);
      if (m.role == Role::foreign) away[m.zone].push_back(&m);
      if (m.role == Role::origin && (!origin || m.standing == Standing::ready)) origin = &m;
    }
    if (link.fits <= 0) link.fits = link.nominal;
  }

  // Gone, and nothing sent in the last minute was answered there: it is forgotten, unless a pull still points
  // to it. Harm: one listed again later is as new to this front.
  bool left(const Machine& m) {
    if (m.standing != Standing::gone || now - m.lastGood < 60 * second) return false;
    for (auto& [id, p] : pulls)
      if (p.lastAt == &m || p.hasFailed(&m) || std::any_of(p.legs.begin(), p.legs.end(), [&](const Leg& l) {
            return l.at == &m || l.source == &m;
          }))
        return false;
    for (Memory& x : memories)
      if (x.lastAt == &m) x.lastAt = nullptr;
    return true;
  }

  void takeEntry(const ListEntry& e) {
    Machine& m = machines[e.cache];
    Ms before = m.startedAt;
    static_cast<ListEntry&>(m) = e;
    m.startedAt = std::max(e.startedAt, before);
    if (!weighed || e.weight <= 0) m.weight = 1;
    m.role = e.kind == originKind   ? Role::origin
             : e.kind == parentKind ? Role::parent
             : e.zone == zone       ? Role::store
                                    : Role::foreign;
    if (m.startedAt > before) {  // a new start: what was known of the old process is void
      if (m.aside) act(TellHealth{m.cache, false});
      m.strikes = 0, m.aside = m.trialOut = false, m.room = {};
    }
    // Weights absent: a cache is held to carry four transfers, a small machine's worth, a source ample;
    // answers correct both. Until they prove more, cold budgets go by the four.
    constexpr double small = 4, ample = 200;
    m.room.nominal = isCache(m) ? small : ample;
    if (weighed && m.role != Role::origin) m.room.nominal = m.weight;
    m.room.proven = std::max(m.room.proven, small);
    if (m.room.fits <= 0) m.room.fits = m.room.nominal;
  }

  static bool isCache(const Machine& m) { return m.role == Role::store || m.role == Role::foreign; }

  const ColdTerms* coldTerms(const Machine& m) const {
    if (m.role == Role::origin || m.startedAt <= 0) return nullptr;
    const ColdTerms& t = m.role == Role::parent ? coldParent : coldStore;
    return now - m.startedAt < t.lasts ? &t : nullptr;
  }

  double warmth(const Machine& m) const {
    const ColdTerms* t = coldTerms(m);
    return t ? t->from + (1 - t->from) * std::max(0.0, now - m.startedAt) / t->lasts : 1;
  }

  // Weighted rendezvous hash: every front comes to the same order. A cold machine's weight grows with its
  // warmth, so that its objects come home in step with what it can carry.
  std::vector<Machine*> inOrder(const std::vector<Machine*>& from, std::uint64_t object) const {
    std::vector<std::pair<double, Machine*>> scored;
    std::vector<Machine*> order;
    for (Machine* m : from) {
      std::uint64_t h = mixed(mixed(object) ^ mixed(m->cache));  // ids differ, so parents order on their own
      double u = (static_cast<double>(h >> 11) + 0.5) * 0x1p-53;
      scored.emplace_back(-std::log(u) / (m->weight * warmth(*m)), m);
    }
    std::sort(scored.begin(), scored.end(), [](auto& a, auto& b) {
      return a.first != b.first ? a.first < b.first : a.second->cache < b.second->cache;
    });
    for (auto& [score, m] : scored) order.push_back(m);
    return order;
  }

  // ---- memory: rates, omega, ranks (the design's ordinary path)

  static constexpr Ms countAgeing = 30 * second;  // long beside any idle window, short beside a fashion
  static constexpr Ms longestOmega = 4 * countAgeing;

  Memory* recall(std::uint64_t object, int part) {
    constexpr std::size_t mostMemories = 1 << 16;  // some minutes of a busy front's different parts
    std::uint64_t key = mixed(object) + static_cast<std::uint64_t>(part);
    auto found = memoryAt.find(key);
    if (found != memoryAt.end()) {
      memories.splice(memories.end(), memories, found->second);
      return found->second->usedAt = now, &*found->second;
    }
    // Beyond the longest omega, and with its count aged away, it says nothing more.
    auto old = [&] {
      return memories.size() >= mostMemories || memories.front().usedAt < now - longestOmega;
    };
    while (!memories.empty() && memories.front().pins == 0 && old()) {
      memoryAt.erase(memories.front().key);
      memories.pop_front();
    }
    memories.push_back({key, now});
    memoryAt[key] = std::prev(memories.end());
    return &memories.back();
  }

  // Omega settles where as many answers miss below it as hit above it: the gap below which most answers hit.
  // Departure: nothing is learnt from a cache that started lately, from purged objects, or from another cache
  // than the part's last; omega stays within the fresh time. Else a deploy's misses cut it at all fronts at
  // once.
  void learnOmega(const Pull& p, const Leg& leg, bool hit) {
    constexpr double step = 0.02;  // fifty answers move it by e: seconds of traffic, not single surprises
    Ware& w = *p.ware;
    if (leg.at != p.lastAt || p.gap <= 0 || purgedAt(p) > longAgo) return;
    if (leg.at->startedAt > 0 && now - leg.at->startedAt < coldStore.lasts + p.gap) return;
    if (hit && p.gap > w.omega) w.omega *= 1 + step;
    if (!hit && p.gap < w.omega) w.omega *= 1 - step;
    Ms most = w.freshFor > 0 ? w.freshFor : longestOmega;
    w.omega = std::clamp(w.omega, second / 2, most);
  }

  int rankOf(const Pull& p) const {
    double lambda = ((p.memory->count - 1) * crew + 1) / countAgeing;  // this pull tells of no others
    double held = 1 - std::exp(-lambda * p.ware->omega);
    return held > 2.0 / 3 ? 3 : held > 1.0 / 3 ? 2 : 1;  // three ranks, even thirds of the held chance
  }

  // ---- purges

  void takePurge(const Purged& e) {
    std::uint64_t key = e.wholeGroup ? ~static_cast<std::uint64_t>(e.group) : e.object;
    Ms& known = purges.try_emplace(key, longAgo).first->second;
    known = std::max(known, now - e.ago);
    std::erase_if(purges, [&](auto& one) { return one.second < now - purgeKept; });
  }

  Ms purgedAt(const Pull& p) const {
    Ms latest = longAgo;
    for (std::uint64_t key : {p.object, ~static_cast<std::uint64_t>(p.group)}) {
      auto at = purges.find(key);
      if (at != purges.end() && at->second > now - purgeKept) latest = std::max(latest, at->second);
    }
    return latest;
  }

  // The age asked for, 0 where the offering's own limit will do. After a purge: at most the time since it,
  // less one millisecond against rounding, and never 0, which would lift the cap.
  Ms oldest(const Pull& p) const {
    Ms purge = purgedAt(p);
    if (purge == longAgo) return 0;
    Ms since = std::max(now - purge - 1, 0.001);
    return p.ware->freshFor > 0 ? std::min(since, p.ware->freshFor) : since;
  }

  // ---- cold budgets: what a machine that started lately may be sent

  // Transfers that a warm machine of its like carries, on the low side.
  double coldCapacity(const Machine& m) const {
    if (weighed) return m.weight;
    double least = 0;
    for (const Machine* other : m.role == Role::parent ? parents : stores)
      if (other->kind == m.kind && !coldTerms(*other))
        least = least > 0 ? std::min(least, other->room.proven) : other->room.proven;
    return least > 0 ? least : m.room.proven;
  }

  // The rule counts work over every window of the stated length. Half of this front's share is used: sizes
  // are estimates, and pulls bunch. Where a share is less than a leg, a front has one in as many windows as
  // make it up, by chance; a turn that is not used lapses, so that none are saved up.
  bool affords(Machine& m, Ms work) {
    constexpr double prudence = 0.5;
    const ColdTerms* t = coldTerms(m);
    if (!t || t->multiple <= 0 || coldWindow <= 0) return true;
    while (!m.spent.empty() && m.spent.front().first < now - coldWindow) m.spent.pop_front();
    double share = prudence * t->multiple * coldCapacity(m) * warmth(m) * coldWindow / sharers(m);
    if (share < work && now >= m.turnUntil)
      m.turn = std::uniform_real_distribution<>()(chance) < share / work, m.turnUntil = now + coldWindow;
    if (share < work) return m.turn && m.spent.empty();
    for (auto& [at, w] : m.spent) work += w;
    return work <= share;
  }

  void charge(Machine& m, Ms work) { coldTerms(m) ? (void)m.spent.emplace_back(now, work) : m.spent.clear(); }

  // ---- health

  bool usable(const Machine& m) const {
    if (m.standing != Standing::ready) return false;
    if (!m.aside) return now >= m.fullUntil;
    // Coming back: a cache after probes; without probes, and as a source, by one trial leg at a time.
    return (may.probe ? m.answers >= 2 : now >= m.asideUntil) && !m.trialOut;
  }

  // Three legs overdue and none answered that was sent as late. Guards against whatever swallows legs without
  // an ending, and would hold fill places and clients. Harm: when all turn slow, the first asked may be
  // judged first.
  bool silent(const Machine& m) const {
    constexpr int limit = 3;                      // more than chance, few enough to tell within a second
    constexpr Ms grace = second / 3;              // longer than the pauses of a busy machine
    if (now - m.lastGood <= grace) return false;  // none sent later can be overdue
    int overdue = 0;
    double crowd = std::max(1.0, linkLevel());
    for (auto& [id, p] : pulls)
      for (const Leg& leg : p.legs)
        overdue += leg.out && (leg.at == &m || leg.source == &m) && leg.sentAt > m.lastGood &&
                   now - leg.sentAt > 3 * p.sending * crowd + grace;
    return overdue >= limit;
  }
  bool judge(Machine& m) { return !m.aside && silent(m) ? strike(m, strikesOut), false : usable(m); }

  // Guards against whatever makes a machine fail in a row: a crash the list has not told, a refused port, a
  // break. What fell with one connection is one sign. Harm: one that only ran out of them rests for a moment.
  static constexpr int strikesOut = 2;  // one failure may be chance, two in a row are not
  void strike(Machine& m, int by = 1) {
    constexpr Ms firstPause = second / 4, longestPause = 4 * second;  // short beside the list's own delay
    m.strikes += by, m.answers = 0, m.trialOut = false;
    if (m.aside ? now < m.asideUntil : m.strikes < strikesOut) return;
    m.pause = m.aside ? std::min(2 * m.pause, longestPause) : firstPause;
    if (!m.aside) say("set aside", m), act(TellHealth{m.cache, true});
    m.aside = true, m.asideUntil = now + m.pause;
    if (may.probe) act(WakeMe{m.asideUntil, wakeMachine << 56 | m.cache});
  }

  void absolve(Machine& m) {
    m.strikes = 0, m.mayBeNew &= m.aside;
    if (!m.aside || (may.probe && m.answers < 2)) return;  // with probes: back only after two answered
    m.answers = 0;
    // One that could not be reached may be a new process that the list has not told of: it is taken for cold.
    if (m.mayBeNew) m.startedAt = now;
    m.aside = m.trialOut = m.mayBeNew = false;
    say("is back", m), act(TellHealth{m.cache, false});
  }

  void probed(const ProbeEnded& e) {
    auto at = machines.find(e.cache);
    if (at == machines.end() || !at->second.aside) return;
    if (!e.answered) return at->second.mayBeNew = true, strike(at->second);
    if (++at->second.answers < 2) return act(WakeMe{now + second / 10, wakeMachine << 56 | e.cache});
    if (isCache(at->second)) absolve(at->second);
  }

  // ---- cache choice

  // Transfers per transfer it can carry, with one more of ours.
  int sharers(const Machine& m) const { return m.role == Role::store ? crew : fronts; }
  double level(const Machine& m) const {
    return (together(m.legs, sharers(m)) + 1) / (carries(m.room, now) * warmth(m));
  }

  // Legs of all fronts that share something: ours as they stand, and for each of the others as many as we had
  // on average, since they are sent alike. Guards against one leg looking like dozens where many share. Harm:
  // what only other fronts send is not seen, and a swing shows late.
  double meanOf(const Tally& t, int sharing) const {
    constexpr Ms each = second / 5, most = 4 * second;  // the rarer our legs, the longer it takes
    return t.mean + (t.out - t.mean) * (1 - std::exp((t.at - now) / std::min(each * sharing, most)));
  }
  double together(const Tally& t, int sharing) const { return t.out + (sharing - 1) * meanOf(t, sharing); }
  void count(Tally& t, int sharing, double out) { t = {out, meanOf(t, sharing), now}; }
  void count(Machine& m, double by) { count(m.legs, sharers(m), m.legs.out + by); }

  // Bounded load: the first in hash order that is at most a quarter over the mean level, or at one where most
  // pulls are in time, since a move costs a fill; and that this pull can bear. Else the least level.
  Machine* firstInBounds(const std::vector<Machine*>& open, const Pull& p) const {
    double held = 0, room = 0;
    Machine* least = nullptr;
    for (Machine* m : open) {
      held += together(m->legs, sharers(*m));
      room += carries(m->room, now) * warmth(*m);
      if (!least || level(*m) < level(*least)) least = m;
    }
    for (Machine* m : open)
      if (level(*m) <= std::min(std::max(1.75, 1.25 * (held + 1) / room), bearable(p))) return m;
    return least;
  }

  // How crowded a machine or link may be for this pull: stretched by about the level, it must be in time.
  // A poor payoff for the work takes some off: in overload those go first that earn least for it.
  double bearable(const Pull& p) const {
    constexpr double margin = 0.8;  // the level is an estimate, and rises while the pull is under way
    double stretch = margin * (p.agreedAt - now) / std::max(p.sending, 1.0);
    return std::clamp(stretch * std::clamp(std::pow(worthiness(p), 0.2), 0.7, 1.3), 1.2, 5.0);
  }
  double worthiness(const Pull& p) const {  // payoff for the work, beside that of the usual pull
    return (p.ware->payoff / std::max(p.sending, 1.0)) / (meanPayoff / std::max(meanWork, 1.0));
  }

  // Clients have so many places here, each taken until its answer; when all are, the next pull is turned away
  // whatever it is worth. A price on places settles where nine in ten are taken, and swings with them; what
  // earns less is declined. Guards against surges or slowness that fill them. Harm: costs some large objects.
  bool crowdsOut(const Pull& p) {
    constexpr double aim = 0.9, step = 0.002, swing = 4;  // settles in a second; hundreds swing by a tenth
    double over = places > 0 ? static_cast<double>(pulls.size()) / places - aim : -1;
    placePrice = std::clamp(placePrice + step * over, 0.0, 2.0);
    return worthiness(p) < placePrice + swing * over;
  }

  static Ms knownSending(const Pull& p) { return p.ware->sendingsSeen ? p.sending : 0; }

  // Rule 2: where a further leg of this pull may go.
  bool mayGo(const Pull& p, const Machine& m) const {
    const Offering& o = *p.ware;
    for (const Leg& leg : p.legs) {
      if (leg.neverRan) continue;
      if (o.effect == Effect::exclusive || (leg.out && !may.twoLegsAtOnce)) return false;
      if (o.effect == Effect::rerunnable) continue;
      if (now - leg.sentAt >= o.memory) return false;
      if (o.span == Span::zone && m.zone != leg.at->zone) return false;
      if (o.span == Span::cell && m.cell != leg.at->cell) return false;
    }
    return true;
  }

  Machine* chooseStore(Pull& p) {
    int to = zoneFor(p);
    Machine* at = to == zone ? nullptr : chooseAmong(p, away[to]);
    return at ? at : chooseAmong(p, stores);
  }
  Machine* chooseAmong(Pull& p, const std::vector<Machine*>& caches) {
    std::vector<Machine*> open;
    for (Machine* m : inOrder(caches, p.object))
      if (judge(*m) && !p.hasFailed(m) && mayGo(p, *m) && affords(*m, p.ware->meanSending)) open.push_back(m);
    Machine* at = firstInBounds(open, p);
    return at && level(*at) <= bearable(p) ? at : nullptr;
  }

  // The fleet's verdict says which share of pulls goes to which zone: objects by hash, the same at all fronts
  // of a zone. Guards against a zone whose caches are lost to all its fronts. Harm: misses abroad until kept
  // there. A ticket known to one zone stays: a client's repeat, after the shares moved, would run
  // twice. Without probes a cache that is due its trial gets it, else none would ever be back.
  int zoneFor(const Pull& p) const {
    const Offering& o = *p.ware;
    if (shares.empty() || (o.effect == Effect::ticketed && o.span != Span::everywhere)) return zone;
    if (!may.probe && o.effect == Effect::rerunnable && p.legs.empty())
      for (const Machine* m : stores)
        if (m->aside && usable(*m)) return zone;
    double left = static_cast<double>(mixed(p.object ^ 0x5eedull) >> 11) * 0x1p-53;  // not the homes' hash
    if ((left -= shares[static_cast<std::size_t>(zone)]) < 0) return zone;
    for (auto& [z, caches] : away)
      if (z < static_cast<int>(shares.size()) && (left -= shares[static_cast<std::size_t>(z)]) < 0) return z;
    return zone;
  }
  void takeShares(const std::vector<double>& told) {
    shares = zone < static_cast<int>(told.size()) ? told : std::vector<double>{};
  }

  // Where a miss is filled from: a cache of the location that finished the part within omega, when its home
  // has moved; else the object's parent, moving on in hash order; else the origin. nullptr: no fill.
  Machine* chooseSource(Pull& p, const Machine* at) {
    auto open = [&](Machine* m) { return judge(*m) && !p.hasFailed(m) && affords(*m, p.ware->meanSending); };
    if (p.ware->neverKept && origin && open(origin)) return origin;
    if (lateral && !p.siblingLacked && p.lastAt && at && p.lastAt != at && isCache(*p.lastAt) &&
        p.lastAt->zone == at->zone && p.gap < p.ware->omega && purgedAt(p) == longAgo && open(p.lastAt) &&
        level(*p.lastAt) < 1.5)
      return p.lastAt;
    std::vector<Machine*> able;
    for (Machine* m : inOrder(parents, p.object))
      if (open(m) && fillInTime(p, *m)) able.push_back(m);
    // None in time with what they fetch: one that is with what it holds is asked for that only.
    bool other = origin && open(origin) && fillInTime(p, *origin);
    if ((p.heldOnly = able.empty() && !other))
      for (Machine* m : inOrder(parents, p.object))
        if (open(m) && fillInTime(p, *m, true)) able.push_back(m);
    std::stable_partition(able.begin(), able.end(), [&](const Machine* m) {
      return static_cast<double>(mixed(~p.object ^ mixed(m->cache)) >> 11) * 0x1p-53 < shareOf(*m);
    });
    Machine* best = able.empty() ? nullptr : firstInBounds(able, p);
    if (best && level(*best) <= bearable(p)) return best;
    return other && (!best || level(*origin) < level(*best)) ? origin : best;
  }

  // As caches report it, where they do, fading until the next word; else by our own legs.
  double linkLevel() const {
    constexpr Ms fade = 5 * second;  // long beside the reports' delay; a look brings the next
    double own = (together(linkFills, crew) + 1) / carries(link, now);
    return linkSaidAt > longAgo ? std::max(own, linkSaid * std::exp((linkSaidAt - now) / fade)) : own;
  }
  bool linkKnown() const { return linkTold || linkSaidAt > longAgo; }
  void hearLink(const std::vector<float>& report) {
    if (linkReport < 0 || linkReport >= static_cast<int>(report.size())) return;
    double said = std::clamp(static_cast<double>(report[static_cast<std::size_t>(linkReport)]), 0.0, 100.0);
    if (!std::isfinite(said)) return;                                             // a peer's word
    linkSaid = linkSaidAt > longAgo ? linkSaid + 0.5 * (said - linkSaid) : said;  // reports are noisy
    linkSaidAt = now;
  }

  // The share of its objects that a source keeps: cut when a fill is stretched beyond the best source's, once
  // for all legs then out, and grown by good ones. Guards against sources that many fronts crowd, whose legs
  // no front can count. Harm: the same objects move on at all fronts, and are fetched anew there.
  double shareOf(const Machine& m) const {
    constexpr Ms whole = 50 * second;  // forgiven at leisure where nothing is asked of it any more
    return std::min(1.0, m.share + std::min(whole, now - m.shareAt) / whole);
  }
  void shift(Machine& from, const Leg& leg, double stretch) {
    constexpr double least = 0.05, cut = 0.7, grow = 0.02;  // about one fill in ten is then a stretched one
    if (leg.sentAt < from.cutAt) return;
    bool crowded = stretch > 2;
    from.share = crowded ? std::max(least, cut * shareOf(from)) : std::min(1.0, shareOf(from) + grow);
    from.shareAt = now;
    if (crowded) from.cutAt = now;
  }

  // Where answers don't tell what became of a fill, or how long it waited, its length stands in, beside its
  // sending and the usual wait (half the fills wait longer): by the source's last fills, fading, or by a leg
  // still out. Guards against slow sources, which a front at size asks once in seconds. Harm: a busy second
  // sends objects elsewhere.
  double paceOf(const Machine& m, bool held) const {
    constexpr Ms fade = 30 * second;  // a front at size asks a source once in seconds; 15 s won less
    Ms at = held ? m.heldAt : m.paceAt;
    return 1 + ((held ? m.heldPace : m.pace) - 1) * std::exp((at - now) / fade);
  }
  bool fillInTime(const Pull& p, const Machine& m, bool held = false) const {
    constexpr double spare =
        1.2;  // a pace is a mean of unlike fills; 1.0 and 1.3 won less on six draws of days
    if (remarks) return true;
    double pace = paceOf(m, held);
    for (auto& [id, other] : pulls)
      for (const Leg& leg : other.legs)
        if (leg.out && leg.source == &m && leg.held == held)
          pace = std::max(pace, (now - leg.sentAt) / (other.sending + fillWait));
    return now + spare * (p.sending + fillWait) * pace < p.agreedAt;
  }

  // A fill is stretched by the link, which all share, and by its source. The best source's pace is laid to
  // the link, what is worse to the source.
  void learnFill(const Leg& leg, Ms own, Ms took) {
    Machine& from = *leg.source;
    if (own <= 0) return;
    if (leg.held && !remarks) {  // tells of what it holds only, and nothing of the link
      from.heldPace = paceOf(from, true) + 0.5 * (std::max(1.0, took / own) - paceOf(from, true));
      from.heldAt = now;
      return;
    }
    if (!remarks) from.pace = paceOf(from, false);
    double step = remarks ? 0.1 : 0.8;  // the last ten fills; the last one or two where they are rare
    from.pace += step * (std::max(1.0, took / own) - from.pace), from.paceAt = now;
    double best = from.pace;
    for (const Machine* m : parents)
      if (now - m->paceAt < 5 * second) best = std::min(best, m->pace);
    shift(from, leg, took / (best * own));
    if (linkKnown()) best = std::min(best, std::max(1.0, linkLevel()));  // a lone one has no other beside
    learn(from.room, now, together(from.legs, fronts) + 1, own, took, best);
    // Where lengths alone tell, it grows slowly: a room too large is found out by many late fills at all
    // fronts.
    double grow = remarks ? 1.05 : 1.02;
    if (!linkTold && from.pace <= 1.25 * best)
      learn(link, now, together(linkFills, crew) + 1, own, took, 1, grow);
  }

  // ---- legs

  static constexpr Ms theWay = 5;        // connection and network inside a location, on the long side
  static constexpr Ms beforeExpiry = 4;  // two ticks: the final answer goes out before the client leaves

  void arrive(const PullCame& e) {
    if (e.offering >= static_cast<int>(wares.size()) || pulls.count(e.pull)) return;
    Pull& p = pulls[e.pull];
    static_cast<PullCame&>(p) = e;
    p.ware = &wares[static_cast<std::size_t>(e.offering)];
    Ware& w = *p.ware;
    p.expiresAt = now + e.ttl;
    Memory& m = *(p.memory = recall(e.object, e.part));
    ++m.pins;
    p.gap = m.lastPull > longAgo ? now - m.lastPull : 0;
    m.count = m.count * (m.lastPull > longAgo ? std::exp(-p.gap / countAgeing) : 0) + 1;
    m.lastPull = now, p.lastAt = m.lastAt;
    if (e.sizeKb > 0 && streamKbPerMs > 0) {
      p.sending = e.sizeKb / streamKbPerMs;
      // An object's parts come in a row and are of one size: a hundred pulls tell of six objects, and a mean
      // that was low by half sent a cold cache twice its share. Harm: it follows a new mix in minutes.
      constexpr int steady = 500;  // some thirty objects
      w.sendingsSeen = std::min(w.sendingsSeen + 1, steady);
      w.meanSending += (p.sending - w.meanSending) / w.sendingsSeen;
    } else {
      p.sending = w.meanSending;
    }
    p.agreedAt = now + std::min(w.agreed + w.agreedStretch * p.sending, w.expiry);
    p.rank = rankOf(p);
    meanPayoff += 0.01 * (w.payoff - meanPayoff);  // about the last hundred pulls
    meanWork += 0.01 * (p.sending - meanWork);
    act(WakeMe{std::max(now, p.expiresAt - beforeExpiry), wakePull << 56 | p.pull});
    crowdsOut(p) ? giveUp(p, p.ware->meanSending) : tend(p);
    forget(p);
  }

  void send(Pull& p, Machine& at, Machine* source) {
    Leg leg{&at, source == &at ? nullptr : source, now};
    // A fill passes on what it gets: held up by a full link or a crowded source it takes little of the cache.
    if (p.knownMiss && leg.source) leg.load = 1 / std::max({1.0, linkLevel(), leg.source->pace});
    count(at, leg.load);
    bool outside = at.role != Role::store || (leg.source && !isCache(*leg.source));
    // A leg that may yet prove a hit counts for three in ten, a usual share of misses.
    leg.fill = !outside ? 0 : p.knownMiss || at.role != Role::store ? 1 : 0.3;
    count(linkFills, crew, linkFills.out + leg.fill);
    charge(at, p.ware->meanSending);
    if (at.aside) at.trialOut = true;
    if (leg.source) {
      count(*leg.source, 1);
      charge(*leg.source, p.ware->meanSending);
      if (leg.source->aside) leg.source->trialOut = true;
    }
    SendLeg a{p.pull, at.cache, source ? source->cache : at.cache, may.join, p.ware->freshFor > 0};
    leg.held = leg.source && leg.source->role == Role::parent && (p.heldOnly || sparesOrigin(p));
    a.heldOnly = p.spared = leg.held;
    // What may run once is lost with a connection that broke unseen while idle. Harm: one more way there.
    a.proven = p.ware->effect == Effect::exclusive && may.probe;
    a.rank = p.rank, a.oldest = oldest(p);
    a.patience = std::max(1.0, p.expiresAt - now);
    act(a);
    p.legs.push_back(leg);
  }

  // While the origin is slow beside its calm, only as large a share of misses leads to it; others ask a
  // parent for what it holds, else are declined. Harm: a lasting change of its pace is taken for trouble at
  // first.
  bool sparesOrigin(const Pull& p) {
    constexpr double slow = 3, look = 0.1;  // calm answers vary by less; a tenth shows when it is calm again
    if (originWait <= slow * originCalm) return false;
    bool late = originWait + p.sending > p.agreedAt - now;  // what it sends comes too late to be worth it
    double share = late ? look : slow * originCalm / originWait;
    return std::uniform_real_distribution<>()(chance) > share;
  }
  void learnOrigin(Ms waited) {
    if (originCalm <= 0) originCalm = originWait = waited;
    originWait += 0.1 * (waited - originWait);
    originCalm += (waited < originCalm ? 0.1 : 0.003) * (waited - originCalm);
  }

  bool sendNext(Pull& p) {
    // Two machines that call it an error are believed: a third would say the same.
    auto erred = std::count_if(p.legs.begin(), p.legs.end(), [](const Leg& l) { return l.erred; });
    if (static_cast<int>(p.legs.size()) >= mostLegs || p.spared || erred >= 2) return false;
    if (p.ware->neverKept && may.direct && origin && usable(*origin) && !p.hasFailed(origin) &&
        mayGo(p, *origin))
      return send(p, *origin, origin), true;
    count(linkLately, 20, linkLevel());
    Machine* at = chooseStore(p);
    Machine* source = at ? chooseSource(p, at) : nullptr;
    if (!at || (!source && p.knownMiss)) return false;  // nothing can fill it: a further look only adds legs
    // When the link fills up, a pull first only looks; a miss is filled while it can be in time. Guards
    // against any surge of misses (cold caches, purges, scans, large objects). Harm: one round trip.
    if (source && !isCache(*source) && !p.ware->neverKept && at->role == Role::store) {
      // A burst is borne, a level that lasts is cut to half, since sources behind the link are as
      // crowded and no front sees it; so is that of a link not told, learnt from fills that such sources
      // stretch.
      constexpr double pressed = 0.8, least = 0.5;
      double part = linkKnown() ? std::clamp(1.8 - 0.6 * meanOf(linkLately, 20), least, 1.0) : least;
      if (p.knownMiss && linkLevel() > part * bearable(p)) return false;
      bool canLook = !p.knownMiss && static_cast<int>(p.legs.size()) + 1 < mostLegs;
      if (canLook && linkLevel() > pressed) source = nullptr;
    }
    return send(p, *at, source), true;
  }

  void tend(Pull& p) {
    if (p.ended || p.streaming) return;
    if (now >= p.expiresAt - beforeExpiry) return giveUp(p, 0);
    if (!p.legOut() && !sendNext(p)) giveUp(p, p.ware->meanSending);
  }

  void giveUp(Pull& p, Ms retryAfter) {
    bool proven = std::all_of(p.legs.begin(), p.legs.end(), [](const Leg& l) { return l.neverRan; });
    bool repeats = p.ware->effect == Effect::ticketed && p.ware->span == Span::everywhere;
    retryAfter *=
        std::uniform_real_distribution<>(0.75, 1.25)(chance);  // so that clients don't return in step
    if (proven || repeats || p.ware->effect == Effect::rerunnable)
      act(DeclinePull{p.pull, std::min(retryAfter, retryLimit)});
    else act(AbandonPull{p.pull});
    finish(p);
  }

  // The pull has its final answer: losers are called off, and the pull goes when its last leg is in.
  void finish(Pull& p) {
    p.ended = true;
    callOff(p, -1);
  }

  void callOff(const Pull& p, int except) {
    for (int i = 0; i < static_cast<int>(p.legs.size()); ++i)
      if (may.cancel && i != except && p.legs[static_cast<std::size_t>(i)].out) act(CancelLeg{p.pull, i});
  }

  Pull* known(std::uint32_t id) {
    auto at = pulls.find(id);
    return at == pulls.end() ? nullptr : &at->second;
  }

  void forget(Pull& p) {
    if (!p.ended || p.legOut()) return;
    --p.memory->pins;
    pulls.erase(p.pull);
  }

  void legEnded(LegEnded e) {
    Pull* found = known(e.pull);
    if (!found || e.leg < 0 || e.leg >= static_cast<int>(found->legs.size())) return;
    Pull& p = *found;
    Leg& leg = p.legs[static_cast<std::size_t>(e.leg)];
    if (!leg.out) return;
    leg.out = false;
    if (leg.at->role == Role::store) hearLink(e.report);
    count(*leg.at, -leg.load);
    count(linkFills, crew, linkFills.out - leg.fill);
    if (leg.source) count(*leg.source, -1);
    // Where only hits are told, what took longer than the way to the cache failed behind it, and a quick
    // refusal had no place for the fill. Guards against laying a source's refusals and silence to the caches.
    // Harm: a cache's slow refusal is laid to the source.
    if (!remarks && leg.source && e.remark == Remark::none) {
      if (e.ending == Ending::miss && leg.held) e.remark = Remark::sourceLacks;
      if (e.ending == Ending::full) e.remark = e.took > theWay ? Remark::sourceRefused : Remark::noFillPlace;
      if (e.ending == Ending::error && e.took > theWay) e.remark = Remark::sourceLost;
    }
    leg.neverRan = e.ending == Ending::full || e.ending == Ending::noConnection || e.ending == Ending::moot ||
                   e.ending == Ending::miss;
    leg.at->trialOut = false;
    if (leg.source) leg.source->trialOut = false;
    if (e.ending == Ending::finished || e.ending == Ending::miss || e.ending == Ending::full)
      leg.at->lastGood = std::max(leg.at->lastGood, leg.sentAt);
    if (e.ending == Ending::finished) {
      absolve(*leg.at);
      // An error may be the pull's own: it is a strike once another answers the same. Guards against clients
      // whose junk would set good caches aside. Harm: one that errs is known a leg later.
      for (const Leg& other : p.legs)
        if (other.erred) strike(*other.at);
      bool filled = e.remark == Remark::filled || e.remark == Remark::filledByOrigin;
      bool hit = e.remark == Remark::hit || e.remark == Remark::joined || e.remark == Remark::aged;
      if (e.remark == Remark::filledByOrigin) learnOrigin(e.waited);
      if (filled && leg.source) {
        leg.source->lastGood = std::max(leg.source->lastGood, leg.sentAt);
        absolve(*leg.source);
      }
      if (isCache(*leg.at) && !p.ware->neverKept) {
        if (hit || filled) learnOmega(p, leg, hit);
        Ms own = knownSending(p);
        if (filled && leg.source && !isCache(*leg.source) && leg.at->role == Role::store) {
          Ms took = e.took - theWay, waited = std::max(1.0, took - own);
          if (!remarks) fillWait = fillWait <= 0 ? waited : fillWait * (waited > fillWait ? 1.02 : 0.98);
          if (remarks) learnFill(leg, own, took - e.waited);
          else if (own > fillWait) learnFill(leg, own + fillWait, took);  // below, the wait outweighs it
        }
        if (e.remark == Remark::hit) {
          learn(leg.at->room, now, together(leg.at->legs, crew) + 1, own, e.took - theWay);
          if (!p.ware->sendingsSeen)
            p.ware->meanSending += 0.02 * (std::min(e.took, 4 * p.ware->meanSending) - p.ware->meanSending);
        }
        p.memory->lastAt = leg.at;
      }
    } else {
      blame(p, leg, e);
    }
    if (e.final && !p.ended) finish(p);
    tend(p);
    forget(p);
  }

  // Whose fault an ending was, and whom this pull avoids from now on.
  void blame(Pull& p, Leg& leg, const LegEnded& e) {
    Machine* source = leg.source;
    bool sibling = source && isCache(*source);
    Ms own = knownSending(p);
    if (e.remark != Remark::sourceLacks) p.spared = false;
    if (e.remark == Remark::originFailed) learnOrigin(std::max(e.waited, 10 * originCalm));
    // A fill that was refused, lost or called off late shows a crowded source as well as a slow one does. Not
    // known as a miss, it is taken for a fill where the cache has answered what was sent later.
    bool fill = p.knownMiss || (!remarks && leg.at->lastGood > leg.sentAt);
    if (!remarks) own += fillWait;
    if (source && !sibling && (e.remark == Remark::sourceRefused || (fill && e.took > 3 * own)))
      learnFill(leg, own, std::max(e.took, 3 * own));
    if (e.ending == Ending::miss || e.remark == Remark::noFillPlace) {
      // No fault: the cache lacks it, or has no place to fill it but still serves hits.
      if (e.remark == Remark::noFillPlace || (!sibling && p.knownMiss)) p.failed.push_back(leg.at);
      p.siblingLacked |= sibling, p.knownMiss = true;
    } else if (source && e.remark >= Remark::sourceRefused && e.remark <= Remark::originFailed) {
      p.siblingLacked |= sibling, p.knownMiss = true;
      p.failed.push_back(source);
      if (e.remark == Remark::sourceRefused) source->fullUntil = now + second / 10;
      if (e.remark == Remark::sourceLost) strike(*source);
    } else if (e.ending == Ending::full) {
      leg.at->fullUntil = now + second / 20;  // its queue needs a moment
      p.failed.push_back(leg.at);
    } else if (e.ending != Ending::cancelled && e.ending != Ending::moot && e.fellWith == 0) {
      leg.at->mayBeNew |= e.ending == Ending::noConnection || (leg.at->aside && e.ending == Ending::broken);
      if (!(leg.erred = e.ending == Ending::error)) strike(*leg.at);
      p.failed.push_back(leg.at);
    }
  }

  void wake(const WakeUp& e) {
    auto id = static_cast<std::uint32_t>(e.handle);
    if (e.handle >> 56 == wakeList) act(FollowList{});
    if (e.handle >> 56 == wakeMachine)
      if (auto at = machines.find(id); at != machines.end() && at->second.aside) {
        if (at->second.standing == Standing::ready) act(ProbeCache{id});
        else act(WakeMe{now + second, e.handle});
      }
    if (e.handle >> 56 == wakePull)
      if (Pull* p = known(id)) {
        tend(*p);
        forget(*p);
      }
  }
};

// ---- events

Router::Router(const StoreSheet& sheet, std::uint64_t seed) : mind_(std::make_unique<Mind>(sheet, seed)) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;

std::vector<Action> Router::handle(Ms now, const Event& event) {
  std::vector<Action> todo;
  Mind& d = *mind_;
  d.now = now, d.todo = &todo;
  if (auto* list = std::get_if<ListNews>(&event)) d.takeList(*list);
  if (auto* came = std::get_if<PullCame>(&event)) d.arrive(*came);
  if (auto* ended = std::get_if<LegEnded>(&event)) d.legEnded(*ended);
  if (auto* woke = std::get_if<WakeUp>(&event)) d.wake(*woke);
  if (auto* probe = std::get_if<ProbeEnded>(&event)) d.probed(*probe);
  if (auto* purge = std::get_if<Purged>(&event)) d.takePurge(*purge);
  if (auto* told = std::get_if<ZoneShares>(&event)) d.takeShares(told->shares);
  if (auto* begun = std::get_if<LegStarted>(&event))
    if (Pull* p = d.known(begun->pull); p && !p->ended) {
      p->streaming = true;  // the client owns that leg now: nothing binds it but its end
      d.callOff(*p, begun->leg);
    }
  if (auto* left = std::get_if<ClientLeft>(&event))
    if (Pull* p = d.known(left->pull)) {
      if (!p->ended) d.finish(*p);
      d.forget(*p);
    }
  return todo;
}

}  // namespace dunlinwick
