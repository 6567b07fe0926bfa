#include "exchange/exchange.hpp"

#include <algorithm>
#include <limits>
#include <set>

#include "log/log.hpp"

namespace dunlinwick::exchange {

using loop::DisconnectReason;

Ending EndingOf(DisconnectReason how, bool written_whole) {
  switch (how) {
    case DisconnectReason::kRefused:
    case DisconnectReason::kConnectFailed:
    case DisconnectReason::kLocalShortage:
      return Ending::kNoConnection;
    case DisconnectReason::kClosed:
    case DisconnectReason::kReset:
    case DisconnectReason::kReceiveTimeout:
    case DisconnectReason::kMalformed:
    case DisconnectReason::kStalled:
    case DisconnectReason::kReplaced:
    case DisconnectReason::kReleased:
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

Decider ModuleFor(const StoreSettings& settings, std::uint64_t seed) {
  return [router = std::make_shared<Router>(settings, seed)](Ms now, const Event& event) {
    return router->Handle(now, event);
  };
}

Exchange::Exchange(loop::Loop& loop, const StoreSettings& settings, Decider decides)
    : loop_(loop), decides_(std::move(decides)), request_classes_(settings.request_classes) {}

Exchange::Exchange(loop::Loop& loop, const StoreSettings& settings, std::uint64_t seed)
    : Exchange(loop, settings, ModuleFor(settings, seed)) {}

// ---- the decisions

void Exchange::Tell(Event event) {
  untold_.push_back(std::move(event));
  if (telling_)
    return;  // what an action leads to is told after it
  telling_ = true;
  while (!untold_.empty() || !ended_.empty()) {
    if (untold_.empty()) {
      std::uint32_t request = ended_.back();
      ended_.pop_back();
      Settle(request);
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
void Exchange::Settle(std::uint32_t request) {
  Request* p = FindRequest(request);
  if (!p || p->response_sink)
    return;
  TakeBack(request, [](const Attempt&) { return true; });
  if (untold_.empty() && std::none_of(p->attempts.begin(), p->attempts.end(), IsOut))
    requests_.erase(request);
}

template <class Which>
void Exchange::TakeBack(std::uint32_t request, Which which) {
  Request* p = FindRequest(request);
  std::size_t count = p ? p->attempts.size() : 0;  // not those that are sent in the place of these
  for (std::size_t i = 0; p && i < count; ++i) {
    AttemptKey key{request, static_cast<int>(i)};
    if (p->attempts[i].out && p->streaming != key.attempt && which(p->attempts[i]) &&
        caches_->TakeBack(key, p->ask, p->attempts[i].cache)) {
      Lapsed(key);
      p = FindRequest(request);  // what decides was told, and may have ended it
    }
  }
}

template <class Which>
void Exchange::TakeBackAll(Which which) {
  std::vector<std::uint32_t> all;
  for (auto& [request, p] : requests_)
    all.push_back(request);
  for (std::uint32_t request : all)
    if (Request* p = FindRequest(request))
      TakeBack(request, [&, p](const Attempt& attempt) { return which(*p, attempt); });
}

ResponseSink* Exchange::Close(std::uint32_t request) {
  ended_.push_back(request);
  return std::exchange(FindRequest(request)->response_sink, nullptr);
}

void Exchange::Act(const SendAttempt& a) {
  Request* p = FindRequest(a.request);
  if (!p)
    return;
  AttemptKey key{a.request, static_cast<int>(p->attempts.size())};
  std::vector<std::uint64_t> avoid;
  // The legs of a pull share its id. On a connection that had one of them, its answer, or a second
  // copy of it, would pass for this leg's.
  for (const Attempt& attempt : p->attempts)
    if (attempt.cache == a.cache && attempt.via != 0)
      avoid.push_back(attempt.via);
  Ms now = loop_.now();
  Attempt attempt;
  attempt.cache = a.cache;
  attempt.source = a.source;
  attempt.sent_at = now;
  attempt.not_after = a.not_after;
  attempt.deadline = a.timeout > 0 ? std::min(p->expires_at, now + a.timeout) : p->expires_at;
  p->attempts.push_back(std::move(attempt));
  ++counters.attempts;
  counters.fills += a.source != a.cache;
  if (!p->response_sink || p->streaming >= 0)
    return EndAttempt(key, Ending::kSuperseded);
  SendAttempt how = a;
  how.timeout = a.timeout > 0 ? std::min(a.timeout, p->expires_at - now) : p->expires_at - now;
  if (how.timeout <= 0)
    return EndAttempt(key, Ending::kSuperseded);
  p->attempts.back().timer = loop_.RunAt(now + how.timeout, [this, key] {
    if (!AttemptOut(key) || FindRequest(key.request)->streaming == key.attempt)
      return;
    caches_->GiveUp(key, FindRequest(key.request)->ask, AttemptOut(key)->cache);
    EndAttempt(key, Ending::kTimedOut);
  });
  // What is still not begun then is answered at once: waiting on can't help it.
  if (a.not_after > 0)
    p->attempts.back().limit = loop_.RunAt(std::max(now, a.not_after), [this, key] {
      TakeBack(key.request, [&](const Attempt& one) { return &one == AttemptOut(key); });
    });
  std::uint64_t via = caches_->Send(key, p->ask, how, avoid);
  if (Attempt* sent = AttemptOut(key))
    sent->via = via;
}

void Exchange::Act(const CancelAttempt& a) {
  AttemptKey key{a.request, a.attempt};
  Attempt* attempt = AttemptOut(key);
  if (!attempt || FindRequest(a.request)->streaming == a.attempt)
    return;
  caches_->GiveUp(key, FindRequest(a.request)->ask, attempt->cache);
  EndAttempt(key, Ending::kCancelled);
}

void Exchange::Act(const DeclineRequest& a) {
  Request* p = FindRequest(a.request);
  if (!p || !p->response_sink || p->streaming >= 0)
    return;
  ++counters.declined;
  ++counters.refused[static_cast<std::size_t>(a.reason)][static_cast<std::size_t>(a.size)];
  Close(a.request)->Declined(a.retry_after);
}

void Exchange::Act(const AbandonRequest& a) {
  Request* p = FindRequest(a.request);
  if (!p || !p->response_sink || p->streaming >= 0)
    return;
  ++counters.abandoned;
  Close(a.request)->Abandoned();
}

void Exchange::Act(const WakeMe& a) {
  loop_.RunAt(a.at, [this, handle = a.handle] { Tell(WakeUp{handle}); });
}

void Exchange::Act(const ProbeCache& a) {
  ++counters.probes;
  caches_->Probe(a.cache);
}

void Exchange::Act(const WriteLine& a) {
  log::Write("%s", a.text.c_str());
}

// ---- pulls

Exchange::Request* Exchange::FindRequest(std::uint32_t request) {
  auto at = requests_.find(request);
  return at == requests_.end() ? nullptr : &at->second;
}

bool Exchange::IsOpen(std::string_view id) const {
  return std::any_of(requests_.begin(), requests_.end(), [&](auto& one) {
    return one.second.response_sink && one.second.ask.id == id;
  });
}

std::uint32_t Exchange::OnRequest(Ask ask, ResponseSink& response_sink) {
  // None lasts longer than its offering's expiry; what a client says beyond it would only be held
  // as long.
  ask.ttl =
      std::min(ask.ttl, request_classes_[static_cast<std::size_t>(ask.request_class_at)].expiry);
  do
    ++last_request_;
  while (requests_.count(last_request_));
  std::uint32_t number = last_request_;
  RequestCame e;
  e.request = number;
  e.request_class = ask.request_class_at;
  e.object = Hashed(ask.object);
  e.part = ask.part_number;
  e.group = ask.group;
  e.ttl = ask.ttl;
  e.size_kb = ask.size_kb;
  Request& p = requests_[number];
  p.expires_at = loop_.now() + ask.ttl;
  p.ask = std::move(ask);
  p.response_sink = &response_sink;
  ++counters.requests;
  Tell(e);
  return number;
}

void Exchange::OnClientLeft(std::uint32_t request) {
  Request* p = FindRequest(request);
  if (!p || !p->response_sink)
    return;
  ++counters.left;
  Close(request);
  // A leg that the client was being sent is its own, and goes with it.
  if (int attempt = std::exchange(p->streaming, -1); attempt >= 0)
    Act(CancelAttempt{request, attempt});
  Tell(ClientLeft{request});
}

void Exchange::ShortenDeadline(std::uint32_t request, Ms deadline_at) {
  Request* p = FindRequest(request);
  if (!p || !p->response_sink || p->streaming >= 0 || deadline_at >= p->expires_at)
    return;
  p->expires_at = deadline_at;
  Tell(DeadlineShortened{request, std::max(0.0, deadline_at - loop_.now())});
}

// ---- legs

Exchange::Attempt* Exchange::AttemptOut(AttemptKey key) {
  Request* p = FindRequest(key.request);
  if (!p || key.attempt < 0 || key.attempt >= static_cast<int>(p->attempts.size()))
    return nullptr;
  Attempt& attempt = p->attempts[static_cast<std::size_t>(key.attempt)];
  return attempt.out ? &attempt : nullptr;
}

void Exchange::count(Ending ending) {
  Counters::Count* counts[] = {&counters.attempts_finished, &counters.errors,     &counters.full,
                               &counters.timed_out,         &counters.never_ran,  &counters.broken,
                               &counters.cancelled,         &counters.superseded, &counters.misses};
  ++*counts[static_cast<int>(ending)];
}

void Exchange::EndAttempt(AttemptKey key, Ending ending, const Word& word, int fell_with,
                          bool ours) {
  Request* p = FindRequest(key.request);
  Attempt& attempt = p->attempts[static_cast<std::size_t>(key.attempt)];
  attempt.out = false;
  attempt.bytes = {};
  loop_.Cancel(attempt.timer);
  loop_.Cancel(attempt.limit);
  count(ending);
  AttemptEnded e;
  e.request = key.request;
  e.cache = attempt.cache;
  e.attempt = key.attempt;
  e.ending = ending;
  e.took = loop_.now() - attempt.sent_at;
  e.final = !p->response_sink;
  e.remark = word.remark;
  e.waited = word.waited;
  e.fell_with = fell_with;
  e.ours = ours;
  e.report = word.report;
  if (!p->response_sink)
    ended_.push_back(key.request);
  Tell(std::move(e));
}

void Exchange::AnswerBegun(AttemptKey key, const Word& word, std::size_t length) {
  Attempt* attempt = AttemptOut(key);
  if (!attempt)
    return;
  attempt->bytes.reserve(length);
  Request& p = *FindRequest(key.request);
  if (!request_classes_[static_cast<std::size_t>(p.ask.request_class_at)].streams ||
      !p.response_sink || p.streaming >= 0 || word.ending != Ending::kFinished || word.unchanged ||
      word.tag.empty() || !word.dated)
    return;
  p.streaming = key.attempt;
  p.response_sink->Begun(word.tag, length);
  Tell(AttemptStarted{key.request, attempt->cache, key.attempt});
}

void Exchange::AnswerBytes(AttemptKey key, std::string_view bytes) {
  Attempt* attempt = AttemptOut(key);
  if (!attempt)
    return;
  Request& p = *FindRequest(key.request);
  if (p.streaming != key.attempt)
    attempt->bytes.append(bytes);
  else if (p.response_sink)
    p.response_sink->More(bytes);
}

void Exchange::AnswerWhole(AttemptKey key, const Word& word) {
  Attempt* attempt = AttemptOut(key);
  if (!attempt)
    return;
  Request& p = *FindRequest(key.request);
  // Not what the protocol promises: a client's copy confirmed where it told of none; a kept object
  // without its tag or age, which may be any bytes of any age.
  bool kept = !request_classes_[static_cast<std::size_t>(p.ask.request_class_at)].never_kept;
  bool lacks = kept && (word.tag.empty() || !word.dated);
  if (word.ending == Ending::kFinished && p.streaming < 0 &&
      (lacks || (word.unchanged && p.ask.tag.empty())))
    return EndAttempt(key, Ending::kError);
  if (word.ending == Ending::kFinished && p.response_sink &&
      (p.streaming < 0 || p.streaming == key.attempt)) {
    ResponseSink* response_sink = Close(key.request);
    ++(word.unchanged ? counters.unchanged : counters.finished);
    if (word.unchanged)
      response_sink->Unchanged(word.tag);
    else if (p.streaming < 0)
      response_sink->Finished(word.tag, std::move(attempt->bytes));
    else
      response_sink->Completed();
  }
  EndAttempt(key, word.ending, word);
}

void Exchange::AttemptLost(AttemptKey key, DisconnectReason how, bool written_whole,
                           int fell_with) {
  if (!AttemptOut(key))
    return;
  Request& p = *FindRequest(key.request);
  if (p.streaming == key.attempt && p.response_sink) {
    ++counters.broken_midway;
    Close(key.request)->BrokeOff();
  }
  EndAttempt(key, EndingOf(how, written_whole), {}, fell_with,
             how == DisconnectReason::kLocalShortage);
}

Ms Exchange::TimeLeft(AttemptKey key) {
  const Request* p = FindRequest(key.request);
  if (!p)
    return std::numeric_limits<Ms>::infinity();
  const Attempt* attempt = AttemptOut(key);
  if (!attempt || !p->response_sink || p->streaming >= 0)
    return 0;
  Ms now = loop_.now();
  if (attempt->not_after > 0 && now >= attempt->not_after)
    return 0;
  // Where the process stood still since its last look at the sockets, the client may have left
  // unseen. Half of the 0.1 s after which an attempt begun for it counts as lost.
  constexpr Ms kUnseenAtMost = 50;
  if (now - loop_.LastWaitEnded() > kUnseenAtMost && p->response_sink->HasLeft())
    return 0;
  return std::max(0.0, std::min(attempt->deadline, p->expires_at) - now);
}

void Exchange::Lapsed(AttemptKey key) {
  Attempt* attempt = AttemptOut(key);
  if (!attempt)
    return;
  attempt->via = 0;  // nothing was asked there, so no answer comes there
  attempt->sent_at = loop_.now();
  EndAttempt(key, Ending::kSuperseded, {}, 0, true);
}

void Exchange::Moved(AttemptKey key, std::uint64_t via) {
  if (Attempt* attempt = AttemptOut(key))
    attempt->via = via;
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
    TakeBackAll([&](const Request&, const Attempt& attempt) {
      return shut(attempt.cache) || shut(attempt.source);
    });
}

// An attempt that waits here names an age worked out before the purge: it is decided anew.
void Exchange::TakeBackPurged(std::string_view object, int group, int request_class) {
  TakeBackAll([&](const Request& p, const Attempt&) {
    return request_class >= 0 ? p.ask.request_class_at == request_class
           : object.empty()   ? p.ask.group == group
                              : p.ask.object == object;
  });
}

void Exchange::RecallCame(std::string_view object, int group, int request_class, bool lifted,
                          Ms ago) {
  ++counters.purges;
  Purged p;
  p.whole_group = object.empty() && request_class < 0;
  p.object = object.empty() ? 0 : Hashed(object);
  p.group = group;
  p.ago = ago;
  p.standing = true;
  p.lifted = lifted;
  p.request_class = request_class;
  Tell(p);
  if (!lifted)
    TakeBackPurged(object, group, request_class);
}

void Exchange::LimitAge(Ms than) {
  Tell(NoOlder{than});
  if (than > 0)
    TakeBackAll([](const Request&, const Attempt&) { return true; });
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
