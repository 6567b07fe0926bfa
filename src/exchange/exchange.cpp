#include "exchange/exchange.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include "log/log.hpp"

namespace dunlinwick::exchange {

using loop::Parting;

Ending EndingOf(Parting how, bool written_whole) {
  switch (how) {
    case Parting::kRefused:
    case Parting::kNeverUp:
    case Parting::kNoDescriptor:
      return Ending::kNoConnection;
    case Parting::kClosed:
    case Parting::kReset:
    case Parting::kSilent:
    case Parting::kMalformed:
    case Parting::kStalled:
    case Parting::kReplaced:
    case Parting::kLetGo:
      // Half a line is no request: what was not written whole never ran. What was may have.
      return written_whole ? Ending::kBroken : Ending::kNoConnection;
  }
  return Ending::kBroken;
}

// The same at all fronts, since the decisions hash it: FNV-1a.
static std::uint64_t Hashed(std::string_view name) {
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (char c : name)
    h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return h;
}

Decider ModuleFor(const StoreSheet& sheet, std::uint64_t seed) {
  return [router = std::make_shared<Router>(sheet, seed)](Ms now, const Event& event) {
    return router->Handle(now, event);
  };
}

Exchange::Exchange(loop::Loop& loop, const StoreSheet& sheet, Decider decides)
    : loop_(loop), decides_(std::move(decides)), offerings_(sheet.offerings) {}

Exchange::Exchange(loop::Loop& loop, const StoreSheet& sheet, std::uint64_t seed)
    : Exchange(loop, sheet, ModuleFor(sheet, seed)) {}

// ---- the decisions

void Exchange::Tell(Event event) {
  untold_.push_back(std::move(event));
  if (telling_)
    return;  // what an action leads to is told after it
  telling_ = true;
  while (!untold_.empty() || !ended_.empty()) {
    if (untold_.empty()) {
      std::uint32_t pull = ended_.back();
      ended_.pop_back();
      Settle(pull);
      continue;
    }
    Event next = std::move(untold_.front());
    untold_.pop_front();
    for (const Action& action : decides_(loop_.now(), next))
      std::visit([this](const auto& a) { Act(a); }, action);
  }
  telling_ = false;
}

// A request that has its final answer, or whose client has left: what of it still waits to be
// written is taken back, whether or not the settings allow cancelling, since no cache has heard of
// it. Guards against attempts begun for nobody, as long after as a connection takes to come up. It
// is forgotten when its last attempt is in.
void Exchange::Settle(std::uint32_t pull) {
  Pull* p = FindRequest(pull);
  if (!p || p->asker)
    return;
  TakeBack(pull, [](const Leg&) { return true; });
  if (untold_.empty() && std::none_of(p->legs.begin(), p->legs.end(), IsOut))
    pulls_.erase(pull);
}

template <class Which>
void Exchange::TakeBack(std::uint32_t pull, Which which) {
  Pull* p = FindRequest(pull);
  std::size_t count = p ? p->legs.size() : 0;  // not those that are sent in the place of these
  for (std::size_t i = 0; p && i < count; ++i) {
    LegKey key{pull, static_cast<int>(i)};
    if (p->legs[i].out && p->streaming != key.leg && which(p->legs[i]) &&
        caches_->TakeBack(key, p->ask, p->legs[i].cache)) {
      Lapsed(key);
      p = FindRequest(pull);  // what decides was told, and may have ended it
    }
  }
}

template <class Which>
void Exchange::TakeBackAll(Which which) {
  std::vector<std::uint32_t> all;
  for (auto& [pull, p] : pulls_)
    all.push_back(pull);
  for (std::uint32_t pull : all)
    if (Pull* p = FindRequest(pull))
      TakeBack(pull, [&, p](const Leg& leg) { return which(*p, leg); });
}

Asker* Exchange::Close(std::uint32_t pull) {
  ended_.push_back(pull);
  return std::exchange(FindRequest(pull)->asker, nullptr);
}

void Exchange::Act(const SendLeg& a) {
  Pull* p = FindRequest(a.pull);
  if (!p)
    return;
  LegKey key{a.pull, static_cast<int>(p->legs.size())};
  std::vector<std::uint64_t> avoid;
  // The legs of a pull share its id. On a connection that had one of them, its answer, or a second
  // copy of it, would pass for this leg's.
  for (const Leg& leg : p->legs)
    if (leg.cache == a.cache && leg.via != 0)
      avoid.push_back(leg.via);
  Ms now = loop_.now();
  Leg leg;
  leg.cache = a.cache;
  leg.source = a.source;
  leg.sent_at = now;
  leg.not_after = a.not_after;
  leg.deadline = a.patience > 0 ? std::min(p->expires_at, now + a.patience) : p->expires_at;
  p->legs.push_back(std::move(leg));
  ++counters.legs;
  counters.fills += a.source != a.cache;
  if (!p->asker || p->streaming >= 0)
    return EndLeg(key, Ending::kMoot);
  SendLeg how = a;
  how.patience = a.patience > 0 ? std::min(a.patience, p->expires_at - now) : p->expires_at - now;
  if (how.patience <= 0)
    return EndLeg(key, Ending::kMoot);
  p->legs.back().timer = loop_.at(now + how.patience, [this, key] {
    if (!LegOut(key) || FindRequest(key.pull)->streaming == key.leg)
      return;
    caches_->GiveUp(key, FindRequest(key.pull)->ask, LegOut(key)->cache);
    EndLeg(key, Ending::kTimedOut);
  });
  // What is still not begun then is answered at once: waiting on can't help it.
  if (a.not_after > 0)
    p->legs.back().limit = loop_.at(std::max(now, a.not_after), [this, key] {
      TakeBack(key.pull, [&](const Leg& one) { return &one == LegOut(key); });
    });
  std::uint64_t via = caches_->Send(key, p->ask, how, avoid);
  if (Leg* sent = LegOut(key))
    sent->via = via;
}

void Exchange::Act(const CancelLeg& a) {
  LegKey key{a.pull, a.leg};
  Leg* leg = LegOut(key);
  if (!leg || FindRequest(a.pull)->streaming == a.leg)
    return;
  caches_->GiveUp(key, FindRequest(a.pull)->ask, leg->cache);
  EndLeg(key, Ending::kCancelled);
}

void Exchange::Act(const DeclinePull& a) {
  Pull* p = FindRequest(a.pull);
  if (!p || !p->asker || p->streaming >= 0)
    return;
  ++counters.declined;
  Close(a.pull)->Declined(a.retry_after);
}

void Exchange::Act(const AbandonPull& a) {
  Pull* p = FindRequest(a.pull);
  if (!p || !p->asker || p->streaming >= 0)
    return;
  ++counters.abandoned;
  Close(a.pull)->Abandoned();
}

void Exchange::Act(const WakeMe& a) {
  loop_.at(a.at, [this, handle = a.handle] { Tell(WakeUp{handle}); });
}

void Exchange::Act(const ProbeCache& a) {
  ++counters.probes;
  caches_->Probe(a.cache);
}

void Exchange::Act(const WriteLine& a) {
  log::Say("%s", a.text.c_str());
}

// ---- pulls

Exchange::Pull* Exchange::FindRequest(std::uint32_t pull) {
  auto at = pulls_.find(pull);
  return at == pulls_.end() ? nullptr : &at->second;
}

bool Exchange::IsOpen(std::string_view id) const {
  return std::any_of(pulls_.begin(), pulls_.end(),
                     [&](auto& one) { return one.second.asker && one.second.ask.id == id; });
}

std::uint32_t Exchange::OnRequest(Ask ask, Asker& asker) {
  // None lasts longer than its offering's expiry; what a client says beyond it would only be held
  // as long.
  ask.ttl = std::min(ask.ttl, offerings_[static_cast<std::size_t>(ask.offering_at)].expiry);
  do
    ++last_pull_;
  while (pulls_.count(last_pull_));
  std::uint32_t number = last_pull_;
  PullCame e;
  e.pull = number;
  e.offering = ask.offering_at;
  e.object = Hashed(ask.object);
  e.part = ask.part_number;
  e.group = ask.group;
  e.ttl = ask.ttl;
  e.size_kb = ask.size_kb;
  Pull& p = pulls_[number];
  p.expires_at = loop_.now() + ask.ttl;
  p.ask = std::move(ask);
  p.asker = &asker;
  ++counters.pulls;
  Tell(e);
  return number;
}

void Exchange::OnClientLeft(std::uint32_t pull) {
  Pull* p = FindRequest(pull);
  if (!p || !p->asker)
    return;
  ++counters.left;
  Close(pull);
  // A leg that the client was being sent is its own, and goes with it.
  if (int leg = std::exchange(p->streaming, -1); leg >= 0)
    Act(CancelLeg{pull, leg});
  Tell(ClientLeft{pull});
}

// ---- legs

Exchange::Leg* Exchange::LegOut(LegKey key) {
  Pull* p = FindRequest(key.pull);
  if (!p || key.leg < 0 || key.leg >= static_cast<int>(p->legs.size()))
    return nullptr;
  Leg& leg = p->legs[static_cast<std::size_t>(key.leg)];
  return leg.out ? &leg : nullptr;
}

void Exchange::count(Ending ending) {
  Counters::Count* counts[] = {&counters.legs_finished, &counters.errors,    &counters.full,
                               &counters.timed_out,     &counters.never_ran, &counters.broken,
                               &counters.cancelled,     &counters.moot,      &counters.misses};
  ++*counts[static_cast<int>(ending)];
}

void Exchange::EndLeg(LegKey key, Ending ending, const Word& word, int fell_with, bool ours) {
  Pull* p = FindRequest(key.pull);
  Leg& leg = p->legs[static_cast<std::size_t>(key.leg)];
  leg.out = false;
  leg.bytes = {};
  loop_.Cancel(leg.timer);
  loop_.Cancel(leg.limit);
  count(ending);
  LegEnded e;
  e.pull = key.pull;
  e.cache = leg.cache;
  e.leg = key.leg;
  e.ending = ending;
  e.took = loop_.now() - leg.sent_at;
  e.final = !p->asker;
  e.remark = word.remark;
  e.waited = word.waited;
  e.fell_with = fell_with;
  e.ours = ours;
  e.report = word.report;
  if (!p->asker)
    ended_.push_back(key.pull);
  Tell(std::move(e));
}

void Exchange::AnswerBegun(LegKey key, const Word& word, std::size_t length) {
  Leg* leg = LegOut(key);
  if (!leg)
    return;
  leg->bytes.reserve(length);
  Pull& p = *FindRequest(key.pull);
  if (!offerings_[static_cast<std::size_t>(p.ask.offering_at)].streams || !p.asker ||
      p.streaming >= 0 || word.ending != Ending::kFinished || word.unchanged || word.tag.empty() ||
      !word.dated)
    return;
  p.streaming = key.leg;
  p.asker->Begun(word.tag, length);
  Tell(LegStarted{key.pull, leg->cache, key.leg});
}

void Exchange::AnswerBytes(LegKey key, std::string_view bytes) {
  Leg* leg = LegOut(key);
  if (!leg)
    return;
  Pull& p = *FindRequest(key.pull);
  if (p.streaming != key.leg)
    leg->bytes.append(bytes);
  else if (p.asker)
    p.asker->More(bytes);
}

void Exchange::AnswerWhole(LegKey key, const Word& word) {
  Leg* leg = LegOut(key);
  if (!leg)
    return;
  Pull& p = *FindRequest(key.pull);
  // Not what the protocol promises: a client's copy confirmed where it told of none; a kept object
  // without its tag or age, which may be any bytes of any age.
  bool kept = !offerings_[static_cast<std::size_t>(p.ask.offering_at)].never_kept;
  bool lacks = kept && (word.tag.empty() || !word.dated);
  if (word.ending == Ending::kFinished && p.streaming < 0 &&
      (lacks || (word.unchanged && p.ask.tag.empty())))
    return EndLeg(key, Ending::kError);
  if (word.ending == Ending::kFinished && p.asker && (p.streaming < 0 || p.streaming == key.leg)) {
    Asker* asker = Close(key.pull);
    ++(word.unchanged ? counters.unchanged : counters.finished);
    if (word.unchanged)
      asker->Unchanged(word.tag);
    else if (p.streaming < 0)
      asker->Finished(word.tag, std::move(leg->bytes));
    else
      asker->Completed();
  }
  EndLeg(key, word.ending, word);
}

void Exchange::LegLost(LegKey key, Parting how, bool written_whole, int fell_with) {
  if (!LegOut(key))
    return;
  Pull& p = *FindRequest(key.pull);
  if (p.streaming == key.leg && p.asker) {
    ++counters.broken_midway;
    Close(key.pull)->BrokeOff();
  }
  EndLeg(key, EndingOf(how, written_whole), {}, fell_with, how == Parting::kNoDescriptor);
}

Ms Exchange::TimeLeft(LegKey key) {
  const Pull* p = FindRequest(key.pull);
  if (!p)
    return std::numeric_limits<Ms>::infinity();
  const Leg* leg = LegOut(key);
  if (!leg || !p->asker || p->streaming >= 0)
    return 0;
  Ms now = loop_.now();
  if (leg->not_after > 0 && now >= leg->not_after)
    return 0;
  return std::max(0.0, leg->deadline - now);
}

void Exchange::Lapsed(LegKey key) {
  Leg* leg = LegOut(key);
  if (!leg)
    return;
  leg->via = 0;  // nothing was asked there, so no answer comes there
  leg->sent_at = loop_.now();
  EndLeg(key, Ending::kMoot, {}, 0, true);
}

void Exchange::Moved(LegKey key, std::uint64_t via) {
  if (Leg* leg = LegOut(key))
    leg->via = via;
}

void Exchange::OnProbeEnded(std::uint32_t cache, bool answered, Ms took,
                            std::vector<float> report) {
  counters.probes_answered += answered;
  Tell(ProbeEnded{cache, answered, took, std::move(report)});
}

// ---- the notice board

Exchange::Known& Exchange::NumberOf(const std::string& machine) {
  auto at = numbers_.find(machine);
  if (at != numbers_.end())
    return at->second;
  std::uint64_t h = Hashed(machine);
  auto number = static_cast<std::uint32_t>(h ^ h >> 32);
  while (number == 0 || taken_.count(number) > 0)
    ++number;
  taken_.insert(number);
  Known& known = numbers_[machine];
  known.number = number;
  return known;
}

// New machines come under new ids all day. What was gone for longer than any pull lasts, and than
// the decisions remember it, has no leg open and is named by nobody.
void Exchange::ForgetGone() {
  constexpr Ms kKept = 180 * 1000;
  std::erase_if(numbers_, [&](auto& one) {
    bool old = one.second.gone_at > 0 && one.second.gone_at < loop_.now() - kKept;
    if (!old)
      return false;
    caches_->Forget(one.second.number);
    taken_.erase(one.second.number);
    return true;
  });
}

void Exchange::ListCame(bool whole, const std::vector<Listed>& entries,
                        std::optional<Ms> up_to_date_at) {
  ++counters.list_news;
  ListNews news;
  news.listing = whole ? Listing::kWhole : Listing::kChanges;
  ForgetGone();
  if (whole)
    for (auto& [id, known] : numbers_)  // one that a whole list lacks has left
      if (known.gone_at == 0)
        known.gone_at = loop_.now();
  for (const Listed& one : entries) {
    Known& known = NumberOf(one.id);
    if (one.entry.standing != Standing::kGone)
      known.gone_at = 0;
    else if (known.gone_at == 0)
      known.gone_at = loop_.now();
    // A start that was told before keeps its first telling, whatever else of the machine is listed
    // anew.
    if (one.entry.started_at.IsSet() && one.entry.started_at != known.started_at) {
      known.started_at = one.entry.started_at;
      known.notified = {.at = loop_.now(), .up_to_date_at = up_to_date_at};
    }
    news.entries.push_back(one.entry);
    news.entries.back().cache = known.number;
    news.entries.back().notified = known.notified;
    caches_->list(news.entries.back(), one.id, one.at);
  }
  listed_ |= whole;
  // What was meant for, or to be filled from, a machine that may be asked no more, and still waits
  // here, is decided anew: told between the choice and the writing, a drain binds it too.
  std::vector<std::uint32_t> closed;
  for (const ListEntry& one : news.entries)
    if (one.standing != Standing::kReady)
      closed.push_back(one.cache);
  if (whole)
    for (auto& [id, known] : numbers_)
      if (known.gone_at > 0)
        closed.push_back(known.number);
  auto shut = [&](std::uint32_t machine) {
    return std::find(closed.begin(), closed.end(), machine) != closed.end();
  };
  Tell(std::move(news));
  if (!closed.empty())
    TakeBackAll([&](const Pull&, const Leg& leg) { return shut(leg.cache) || shut(leg.source); });
}

// An attempt that waits here names an age worked out before the purge: it is decided anew.
void Exchange::TakeBackPurged(std::string_view object, int group, int offering) {
  TakeBackAll([&](const Pull& p, const Leg&) {
    return offering >= 0    ? p.ask.offering_at == offering
           : object.empty() ? p.ask.group == group
                            : p.ask.object == object;
  });
}

void Exchange::RecallCame(std::string_view object, int group, int offering, bool lifted, Ms ago) {
  ++counters.purges;
  Purged p;
  p.whole_group = object.empty() && offering < 0;
  p.object = object.empty() ? 0 : Hashed(object);
  p.group = group;
  p.ago = ago;
  p.standing = true;
  p.lifted = lifted;
  p.offering = offering;
  Tell(p);
  if (!lifted)
    TakeBackPurged(object, group, offering);
}

void Exchange::LimitAge(Ms than) {
  Tell(NoOlder{than});
  if (than > 0)
    TakeBackAll([](const Pull&, const Leg&) { return true; });
}

void Exchange::PurgeCame(bool whole_group, std::string_view object, int group, WallTime at,
                         std::optional<Ms> up_to_date_at) {
  ++counters.purges;
  Purged purge;
  purge.whole_group = whole_group;
  purge.object = whole_group ? 0 : Hashed(object);
  purge.group = group;
  purge.stamped =
      Purged::Stamped{.stamp = at, .notified = {.at = loop_.now(), .up_to_date_at = up_to_date_at}};
  Tell(purge);
  TakeBackPurged(whole_group ? std::string_view{} : object, group, -1);
}

}  // namespace dunlinwick::exchange
