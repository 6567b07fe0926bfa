#include "exchange/exchange.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include "log/log.hpp"

namespace dunlinwick::exchange {

using loop::Parting;

Ending endingOf(Parting how, bool writtenWhole) {
  switch (how) {
    case Parting::refused:
    case Parting::neverUp:
    case Parting::noDescriptor:
      return Ending::noConnection;
    case Parting::closed:
    case Parting::reset:
    case Parting::silent:
    case Parting::malformed:
    case Parting::stalled:
    case Parting::replaced:
    case Parting::letGo:
      // Half a line is no request: what was not written whole never ran. What was may have.
      return writtenWhole ? Ending::broken : Ending::noConnection;
  }
  return Ending::broken;
}

// The same at all fronts, since the decisions hash it: FNV-1a.
static std::uint64_t hashed(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (char c : name) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return h;
}

Decider moduleFor(const StoreSheet& sheet, std::uint64_t seed) {
  return [router = std::make_shared<Router>(sheet, seed)](Ms now, const Event& event) {
    return router->handle(now, event);
  };
}

Exchange::Exchange(loop::Loop& loop, const StoreSheet& sheet, Decider decides)
    : loop_(loop), decides_(std::move(decides)), offerings_(sheet.offerings) {}

Exchange::Exchange(loop::Loop& loop, const StoreSheet& sheet, std::uint64_t seed)
    : Exchange(loop, sheet, moduleFor(sheet, seed)) {}

// ---- the decisions

void Exchange::tell(Event event) {
  untold_.push_back(std::move(event));
  if (telling_) return;  // what an action leads to is told after it
  telling_ = true;
  while (!untold_.empty() || !ended_.empty()) {
    if (untold_.empty()) {
      std::uint32_t pull = ended_.back();
      ended_.pop_back();
      settle(pull);
      continue;
    }
    Event next = std::move(untold_.front());
    untold_.pop_front();
    for (const Action& action : decides_(loop_.now(), next))
      std::visit([this](const auto& a) { act(a); }, action);
  }
  telling_ = false;
}

// A request that has its final answer, or whose client has left: what of it still waits to be written is taken back, whether or
// not the settings allow cancelling, since no cache has heard of it. Guards against attempts begun for nobody, as long after as a
// connection takes to come up. It is forgotten when its last attempt is in.
void Exchange::settle(std::uint32_t pull) {
  Pull* p = known(pull);
  if (!p || p->asker) return;
  takeBack(pull, [](const Leg&) { return true; });
  if (untold_.empty() && std::none_of(p->legs.begin(), p->legs.end(), isOut)) pulls_.erase(pull);
}

template <class Which>
void Exchange::takeBack(std::uint32_t pull, Which which) {
  Pull* p = known(pull);
  std::size_t count = p ? p->legs.size() : 0;  // not those that are sent in the place of these
  for (std::size_t i = 0; p && i < count; ++i) {
    LegKey key{pull, static_cast<int>(i)};
    if (p->legs[i].out && p->streaming != key.leg && which(p->legs[i]) && caches_->takeBack(key, p->ask, p->legs[i].cache)) {
      lapsed(key);
      p = known(pull);  // what decides was told, and may have ended it
    }
  }
}

template <class Which>
void Exchange::takeBackAll(Which which) {
  std::vector<std::uint32_t> all;
  for (auto& [pull, p] : pulls_) all.push_back(pull);
  for (std::uint32_t pull : all)
    if (Pull* p = known(pull)) takeBack(pull, [&, p](const Leg& leg) { return which(*p, leg); });
}

Asker* Exchange::close(std::uint32_t pull) {
  ended_.push_back(pull);
  return std::exchange(known(pull)->asker, nullptr);
}

void Exchange::act(const SendLeg& a) {
  Pull* p = known(a.pull);
  if (!p) return;
  LegKey key{a.pull, static_cast<int>(p->legs.size())};
  std::vector<std::uint64_t> avoid;
  // The legs of a pull share its id. On a connection that had one of them, its answer, or a second copy of
  // it, would pass for this leg's.
  for (const Leg& leg : p->legs)
    if (leg.cache == a.cache && leg.via != 0) avoid.push_back(leg.via);
  Ms now = loop_.now();
  Leg leg;
  leg.cache = a.cache;
  leg.source = a.source;
  leg.sentAt = now;
  leg.notAfter = a.notAfter;
  leg.deadline = a.patience > 0 ? std::min(p->expiresAt, now + a.patience) : p->expiresAt;
  p->legs.push_back(std::move(leg));
  ++counters.legs;
  counters.fills += a.source != a.cache;
  if (!p->asker || p->streaming >= 0) return endLeg(key, Ending::moot);
  SendLeg how = a;
  how.patience = a.patience > 0 ? std::min(a.patience, p->expiresAt - now) : p->expiresAt - now;
  if (how.patience <= 0) return endLeg(key, Ending::moot);
  p->legs.back().timer = loop_.at(now + how.patience, [this, key] {
    if (!legOut(key) || known(key.pull)->streaming == key.leg) return;
    caches_->giveUp(key, known(key.pull)->ask, legOut(key)->cache);
    endLeg(key, Ending::timedOut);
  });
  // What is still not begun then is answered at once: waiting on can't help it.
  if (a.notAfter > 0)
    p->legs.back().limit = loop_.at(std::max(now, a.notAfter), [this, key] {
      takeBack(key.pull, [&](const Leg& one) { return &one == legOut(key); });
    });
  std::uint64_t via = caches_->send(key, p->ask, how, avoid);
  if (Leg* sent = legOut(key)) sent->via = via;
}

void Exchange::act(const CancelLeg& a) {
  LegKey key{a.pull, a.leg};
  Leg* leg = legOut(key);
  if (!leg || known(a.pull)->streaming == a.leg) return;
  caches_->giveUp(key, known(a.pull)->ask, leg->cache);
  endLeg(key, Ending::cancelled);
}

void Exchange::act(const DeclinePull& a) {
  Pull* p = known(a.pull);
  if (!p || !p->asker || p->streaming >= 0) return;
  ++counters.declined;
  close(a.pull)->declined(a.retryAfter);
}

void Exchange::act(const AbandonPull& a) {
  Pull* p = known(a.pull);
  if (!p || !p->asker || p->streaming >= 0) return;
  ++counters.abandoned;
  close(a.pull)->abandoned();
}

void Exchange::act(const WakeMe& a) {
  loop_.at(a.at, [this, handle = a.handle] { tell(WakeUp{handle}); });
}

void Exchange::act(const ProbeCache& a) {
  ++counters.probes;
  caches_->probe(a.cache);
}

void Exchange::act(const WriteLine& a) { log::say("%s", a.text.c_str()); }

// ---- pulls

Exchange::Pull* Exchange::known(std::uint32_t pull) {
  auto at = pulls_.find(pull);
  return at == pulls_.end() ? nullptr : &at->second;
}

bool Exchange::isOpen(std::string_view id) const {
  return std::any_of(pulls_.begin(), pulls_.end(),
                     [&](auto& one) { return one.second.asker && one.second.ask.id == id; });
}

std::uint32_t Exchange::pullCame(Ask ask, Asker& asker) {
  // None lasts longer than its offering's expiry; what a client says beyond it would only be held as long.
  ask.ttl = std::min(ask.ttl, offerings_[static_cast<std::size_t>(ask.offeringAt)].expiry);
  do ++lastPull_;
  while (pulls_.count(lastPull_));
  std::uint32_t number = lastPull_;
  PullCame e;
  e.pull = number;
  e.offering = ask.offeringAt;
  e.object = hashed(ask.object);
  e.part = ask.partNumber;
  e.group = ask.group;
  e.ttl = ask.ttl;
  e.sizeKb = ask.sizeKb;
  Pull& p = pulls_[number];
  p.expiresAt = loop_.now() + ask.ttl;
  p.ask = std::move(ask);
  p.asker = &asker;
  ++counters.pulls;
  tell(e);
  return number;
}

void Exchange::clientLeft(std::uint32_t pull) {
  Pull* p = known(pull);
  if (!p || !p->asker) return;
  ++counters.left;
  close(pull);
  // A leg that the client was being sent is its own, and goes with it.
  if (int leg = std::exchange(p->streaming, -1); leg >= 0) act(CancelLeg{pull, leg});
  tell(ClientLeft{pull});
}

// ---- legs

Exchange::Leg* Exchange::legOut(LegKey key) {
  Pull* p = known(key.pull);
  if (!p || key.leg < 0 || key.leg >= static_cast<int>(p->legs.size())) return nullptr;
  Leg& leg = p->legs[static_cast<std::size_t>(key.leg)];
  return leg.out ? &leg : nullptr;
}

void Exchange::count(Ending ending) {
  Counters::Count* counts[] = {&counters.legsFinished, &counters.errors,   &counters.full,
                               &counters.timedOut,     &counters.neverRan, &counters.broken,
                               &counters.cancelled,    &counters.moot,     &counters.misses};
  ++*counts[static_cast<int>(ending)];
}

void Exchange::endLeg(LegKey key, Ending ending, const Word& word, int fellWith, bool ours) {
  Pull* p = known(key.pull);
  Leg& leg = p->legs[static_cast<std::size_t>(key.leg)];
  leg.out = false;
  leg.bytes = {};
  loop_.cancel(leg.timer);
  loop_.cancel(leg.limit);
  count(ending);
  LegEnded e;
  e.pull = key.pull;
  e.cache = leg.cache;
  e.leg = key.leg;
  e.ending = ending;
  e.took = loop_.now() - leg.sentAt;
  e.final = !p->asker;
  e.remark = word.remark;
  e.waited = word.waited;
  e.fellWith = fellWith;
  e.ours = ours;
  e.report = word.report;
  if (!p->asker) ended_.push_back(key.pull);
  tell(std::move(e));
}

void Exchange::answerBegun(LegKey key, const Word& word, std::size_t length) {
  Leg* leg = legOut(key);
  if (!leg) return;
  leg->bytes.reserve(length);
  Pull& p = *known(key.pull);
  if (!offerings_[static_cast<std::size_t>(p.ask.offeringAt)].streams || !p.asker || p.streaming >= 0 ||
      word.ending != Ending::finished || word.unchanged || word.tag.empty() || !word.dated)
    return;
  p.streaming = key.leg;
  p.asker->begun(word.tag, length);
  tell(LegStarted{key.pull, leg->cache, key.leg});
}

void Exchange::answerBytes(LegKey key, std::string_view bytes) {
  Leg* leg = legOut(key);
  if (!leg) return;
  Pull& p = *known(key.pull);
  if (p.streaming != key.leg) leg->bytes.append(bytes);
  else if (p.asker) p.asker->more(bytes);
}

void Exchange::answerWhole(LegKey key, const Word& word) {
  Leg* leg = legOut(key);
  if (!leg) return;
  Pull& p = *known(key.pull);
  // Not what the protocol promises: a client's copy confirmed where it told of none; a kept object without
  // its tag or age, which may be any bytes of any age.
  bool kept = !offerings_[static_cast<std::size_t>(p.ask.offeringAt)].neverKept;
  bool lacks = kept && (word.tag.empty() || !word.dated);
  if (word.ending == Ending::finished && p.streaming < 0 && (lacks || (word.unchanged && p.ask.tag.empty())))
    return endLeg(key, Ending::error);
  if (word.ending == Ending::finished && p.asker && (p.streaming < 0 || p.streaming == key.leg)) {
    Asker* asker = close(key.pull);
    ++(word.unchanged ? counters.unchanged : counters.finished);
    if (word.unchanged) asker->unchanged(word.tag);
    else if (p.streaming < 0) asker->finished(word.tag, std::move(leg->bytes));
    else asker->completed();
  }
  endLeg(key, word.ending, word);
}

void Exchange::legLost(LegKey key, Parting how, bool writtenWhole, int fellWith) {
  if (!legOut(key)) return;
  Pull& p = *known(key.pull);
  if (p.streaming == key.leg && p.asker) {
    ++counters.brokenMidway;
    close(key.pull)->brokeOff();
  }
  endLeg(key, endingOf(how, writtenWhole), {}, fellWith, how == Parting::noDescriptor);
}

Ms Exchange::timeLeft(LegKey key) {
  const Pull* p = known(key.pull);
  if (!p) return std::numeric_limits<Ms>::infinity();
  const Leg* leg = legOut(key);
  if (!leg || !p->asker || p->streaming >= 0) return 0;
  Ms now = loop_.now();
  if (leg->notAfter > 0 && now >= leg->notAfter) return 0;
  return std::max(0.0, leg->deadline - now);
}

void Exchange::lapsed(LegKey key) {
  Leg* leg = legOut(key);
  if (!leg) return;
  leg->via = 0;  // nothing was asked there, so no answer comes there
  leg->sentAt = loop_.now();
  endLeg(key, Ending::moot, {}, 0, true);
}

void Exchange::moved(LegKey key, std::uint64_t via) {
  if (Leg* leg = legOut(key)) leg->via = via;
}

void Exchange::probeEnded(std::uint32_t cache, bool answered, Ms took, std::vector<float> report) {
  counters.probesAnswered += answered;
  tell(ProbeEnded{cache, answered, took, std::move(report)});
}

// ---- the notice board

Exchange::Known& Exchange::numberOf(const std::string& machine) {
  auto at = numbers_.find(machine);
  if (at != numbers_.end()) return at->second;
  std::uint64_t h = hashed(machine);
  auto number = static_cast<std::uint32_t>(h ^ h >> 32);
  while (number == 0 || taken_.count(number) > 0) ++number;
  taken_.insert(number);
  Known& known = numbers_[machine];
  known.number = number;
  return known;
}

// New machines come under new ids all day. What was gone for longer than any pull lasts, and than the
// decisions remember it, has no leg open and is named by nobody.
void Exchange::forgetGone() {
  constexpr Ms kept = 180 * 1000;
  std::erase_if(numbers_, [&](auto& one) {
    bool old = one.second.goneAt > 0 && one.second.goneAt < loop_.now() - kept;
    if (!old) return false;
    caches_->forget(one.second.number);
    taken_.erase(one.second.number);
    return true;
  });
}

void Exchange::listCame(bool whole, const std::vector<Listed>& entries, std::optional<Ms> up_to_date_at) {
  ++counters.listNews;
  ListNews news;
  news.listing = whole ? Listing::whole : Listing::changes;
  forgetGone();
  if (whole)
    for (auto& [id, known] : numbers_)  // one that a whole list lacks has left
      if (known.goneAt == 0) known.goneAt = loop_.now();
  for (const Listed& one : entries) {
    Known& known = numberOf(one.id);
    if (one.entry.standing != Standing::gone) known.goneAt = 0;
    else if (known.goneAt == 0) known.goneAt = loop_.now();
    // A start that was told before keeps its first telling, whatever else of the machine is listed anew.
    if (one.entry.startedAt.IsSet() && one.entry.startedAt != known.startedAt) {
      known.startedAt = one.entry.startedAt;
      known.notified = {.at = loop_.now(), .up_to_date_at = up_to_date_at};
    }
    news.entries.push_back(one.entry);
    news.entries.back().cache = known.number;
    news.entries.back().notified = known.notified;
    caches_->list(news.entries.back(), one.id, one.at);
  }
  listed_ |= whole;
  // What was meant for, or to be filled from, a machine that may be asked no more, and still waits here, is decided anew: told
  // between the choice and the writing, a drain binds it too.
  std::vector<std::uint32_t> closed;
  for (const ListEntry& one : news.entries)
    if (one.standing != Standing::ready) closed.push_back(one.cache);
  if (whole)
    for (auto& [id, known] : numbers_)
      if (known.goneAt > 0) closed.push_back(known.number);
  auto shut = [&](std::uint32_t machine) { return std::find(closed.begin(), closed.end(), machine) != closed.end(); };
  tell(std::move(news));
  if (!closed.empty()) takeBackAll([&](const Pull&, const Leg& leg) { return shut(leg.cache) || shut(leg.source); });
}

// An attempt that waits here names an age worked out before the purge: it is decided anew.
void Exchange::takeBackPurged(std::string_view object, int group, int offering) {
  takeBackAll([&](const Pull& p, const Leg&) {
    return offering >= 0 ? p.ask.offeringAt == offering : object.empty() ? p.ask.group == group : p.ask.object == object;
  });
}

void Exchange::recallCame(std::string_view object, int group, int offering, bool lifted, Ms ago) {
  ++counters.purges;
  Purged p;
  p.wholeGroup = object.empty() && offering < 0, p.object = object.empty() ? 0 : hashed(object), p.group = group;
  p.ago = ago, p.standing = true, p.lifted = lifted, p.offering = offering;
  tell(p);
  if (!lifted) takeBackPurged(object, group, offering);
}

void Exchange::noOlder(Ms than) {
  tell(NoOlder{than});
  if (than > 0) takeBackAll([](const Pull&, const Leg&) { return true; });
}

void Exchange::purgeCame(bool wholeGroup, std::string_view object, int group, WallTime at, std::optional<Ms> up_to_date_at) {
  ++counters.purges;
  Purged purge;
  purge.wholeGroup = wholeGroup;
  purge.object = wholeGroup ? 0 : hashed(object);
  purge.group = group;
  purge.stamped = Purged::Stamped{.stamp = at, .notified = {.at = loop_.now(), .up_to_date_at = up_to_date_at}};
  tell(purge);
  takeBackPurged(wholeGroup ? std::string_view{} : object, group, -1);
}

}  // namespace dunlinwick::exchange
