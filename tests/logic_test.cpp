// Tests of the routing policy: one router, given events one by one, and the actions that it
// returns.
#include <map>

#include "kit.hpp"

using namespace kit;

static void AnswersOnceBeforeTheDeadline() {
  Front f;
  SendAttempt a = f.Request(1);
  assert(a.endpoint != 0 && !a.requires_live_connection);
  f.now +=
      4000 -
      3;  // without a result, the answer goes out before the deadline, and the attempt is cancelled
  f.Tell(TimerFired{std::uint64_t{1} << 56 | a.request});
  assert(f.Declined() && f.all<CancelAttempt>().size() == 1);
  f.end(a, AttemptResult::kCancelled);
  assert(f.did.empty());
  f.Tell(TimerFired{std::uint64_t{1} << 56 | a.request});
  assert(f.did.empty());
  f.end(a, AttemptResult::kFinished);  // events of a request that has ended, of unknown attempts
                                       // and endpoints, and stale timers
  f.Tell(ClientLeft{a.request});
  f.Tell(ProbeEnded{99, true, 1, {}});
  f.Tell(TimerFired{~std::uint64_t{0}});
  f.Tell(EndpointListUpdate{ListUpdateKind::kSnapshot, {}});
  assert(f.did.empty());
  assert(f.Request(2).endpoint == 0 && f.Declined());  // an empty list: rejected at once
}

// An exclusive request gets another attempt only after a result that proves that it was not
// executed.
static void ExclusiveRequestsRunAtMostOnce() {
  struct Case {
    AttemptResult result;
    bool proven_not_executed;
  };
  for (Case c : {Case{AttemptResult::kError, false},
                 {AttemptResult::kOverloaded, true},
                 {AttemptResult::kTimedOut, false},
                 {AttemptResult::kNotSent, true},
                 {AttemptResult::kDisconnected, false},
                 {AttemptResult::kCancelled, false},
                 {AttemptResult::kMiss, true}}) {
    Front f;
    SendAttempt a = f.Request(1, 1);
    assert(a.endpoint == 31 && a.requires_live_connection);  // uncacheable: it goes to the origin
    f.end(a, c.result);
    assert((f.attempt().endpoint != 0 || f.Declined()) == c.proven_not_executed);
    assert(f.Abandoned() == !c.proven_not_executed);
  }
  Front f;
  SendAttempt a = f.Request(1, 1);
  f.now += 3999;
  f.Tell(TimerFired{std::uint64_t{1} << 56 | a.request});
  assert(f.Abandoned() && !f.Declined());
}

// A request with an idempotency key that may have been executed is repeated only within its
// deduplication scope and window.
static void RepeatsStayInTheirDeduplicationScope() {
  for (DeduplicationScope scope : {DeduplicationScope::kEverywhere, DeduplicationScope::kCell}) {
    for (Ms later : {10.0, 9000.0}) {
      DeploymentSettings s = Settings();
      s.request_classes[0].effect = Effect::kIdempotentWithKey;
      s.request_classes[0].deduplication_scope = scope;
      s.request_classes[0].deduplication_window = 5000;
      EndpointListUpdate update = List();
      for (ListEntry& e : update.entries)
        e.cell = static_cast<int>(e.id);
      Front f(s, 1, update);
      SendAttempt a = f.Request(1, 0, 1000, 20000);
      f.now += later;
      f.end(a, AttemptResult::kError);
      bool may_repeat = scope == DeduplicationScope::kEverywhere && later < 5000;
      assert((f.attempt().endpoint != 0) == may_repeat);
      if (!may_repeat)
        assert(f.Declined() == (scope == DeduplicationScope::kEverywhere));
    }
  }
}

static void DrainingEndpointsGetNoAttempts() {
  for (EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    Front f;
    EndpointListUpdate update{
        ListUpdateKind::kChanges,
        {MakeEntry(11, kStoreKind, 1, state), MakeEntry(21, kParentKind, 0, state)}};
    for (std::uint64_t o = 1; o <= 40; ++o)
      f.Finish(f.Request(o), CacheStatus::kFilled);
    f.Tell(update);
    for (std::uint64_t o = 1; o <= 40; ++o) {
      SendAttempt a = f.Request(o);
      assert(a.endpoint != 0 && a.endpoint != 11 && a.source != 11 && a.source != 21);
      f.Finish(a);
    }
  }
}

// The work sent to a cache in slow start, and the fills from a parent in slow start, stay within
// this front's share. The same holds for a cache that could not be reached and answers again: it
// may be a new process that the list does not show.
static void SlowStartLimitsWork() {
  enum class Restarted {
    kCache,
    kParent,
    kCacheUnnoticed
  };
  for (Restarted restarted : {Restarted::kCache, Restarted::kParent, Restarted::kCacheUnnoticed}) {
    Front f;
    bool parent = restarted == Restarted::kParent;
    std::uint32_t id = parent ? 21 : f.Request(1).endpoint;
    if (restarted == Restarted::kCacheUnnoticed) {
      f.end({1, id}, AttemptResult::kDisconnected);
      f.end(f.Request(1), AttemptResult::kNotSent);
      for (int i = 0; i < 2; ++i)
        f.Tell(ProbeEnded{id, true, 1, {}});
    } else {
      f.Tell(EndpointListUpdate{ListUpdateKind::kChanges,
                                {MakeEntry(id, parent ? kParentKind : kStoreKind, parent ? 0 : 1,
                                           EndpointState::kReady, f.now)}});
    }
    double sent = 0, share = parent ? 0.5 : 1, weight = parent ? 30 : 6, from = parent ? 0.1 : 0.3;
    for (std::uint64_t o = 1; o <= 400; ++o) {
      f.now += 1;
      SendAttempt a = f.Request(o);
      if (a.endpoint == id || a.source == id)
        sent += 100;
      if (a.endpoint)
        f.Finish(a);
    }
    assert(sent > 0 && sent <= share * 2 * weight * (from + 0.03) * 1000);
  }
}

// Consecutive parts of one small object must not move the mean work of a request much: they once
// halved it, and a cache in slow start got twice its share.
static void ConsecutiveSmallPartsKeepTheSlowStartBudget() {
  Front f;
  for (std::uint64_t o = 1; o <= 400; ++o) {
    f.now += 20;
    SendAttempt a = f.Request(o, 0, 2500);
    if (a.endpoint)
      f.Finish(a);
  }
  for (int part = 0; part < 100; ++part) {  // six small objects, each part after part
    f.now += 20;
    SendAttempt a =
        f.Request(1000 + static_cast<std::uint64_t>(part / 17), 0, 100, 4000, part % 17);
    if (a.endpoint)
      f.Finish(a);
  }
  std::uint32_t cache = f.Request(2000).endpoint;
  f.Tell(EndpointListUpdate{ListUpdateKind::kChanges,
                            {MakeEntry(cache, kStoreKind, 1, EndpointState::kReady, f.now)}});
  int attempts = 0;
  for (std::uint64_t o = 3000; o < 3300; ++o) {
    f.now += 1;
    SendAttempt a = f.Request(o, 0, 2500);
    attempts += a.endpoint == cache;
    if (a.endpoint)
      f.Finish(a);
  }
  // What is allowed in a window, in attempts of the true mean (250 ms, less the fifth of small
  // ones): the front stays below it.
  double allowed = 2 * 6 * (0.3 + 0.02) * 1000 / 210;
  assert(attempts > 0 && attempts <= 0.65 * allowed);
}

static void PurgesLimitTheCopyAge() {
  Front f;
  struct Case {
    bool group;
    Ms age;
    Ms later;
    Ms min_age;
    Ms max_age;
  };
  for (Case c : {Case{false, 100, 50, 1, 150},
                 {true, 100, 50, 1, 150},
                 {false, 0, 0, 1e-9, 1},
                 {true, 300, 20000, 0, 0}}) {
    f.now += 60000;
    Purged p;
    p.is_group = c.group;
    p.object = c.group ? 0 : 5;
    p.group = 7;
    p.age = c.age;
    f.Tell(p);
    f.now += c.later;
    SendAttempt a = f.Request(5);
    assert(a.max_age >= c.min_age && a.max_age <= c.max_age);
    f.Finish(a);
  }
}

static void RendezvousOrderIsStable() {
  Front f(Settings(), 1), g(Settings(), 99);
  std::set<std::uint32_t> caches, parents;
  std::vector<SendAttempt> before;
  for (std::uint64_t o = 1; o <= 200; ++o) {
    SendAttempt a = f.Request(o), b = g.Request(o);
    assert(a.endpoint == b.endpoint && a.source == b.source);
    caches.insert(a.endpoint);
    parents.insert(a.source);
    before.push_back(a);
    f.Finish(a);
    g.Finish(b);
  }
  assert(caches.size() == 4 && parents.size() == 2);
  f.Tell(EndpointListUpdate{ListUpdateKind::kChanges,
                            {MakeEntry(12, kStoreKind, 1, EndpointState::kRemoved)}});
  for (std::uint64_t o = 1; o <= 200; ++o) {
    SendAttempt a = f.Request(o);
    assert(a.endpoint == before[o - 1].endpoint ||
           before[o - 1].endpoint == 12);  // only the objects of the removed cache move
    f.Finish(a);
  }
}

// A part that another cache served within the idle window is filled from there, and from a parent
// when the sibling lacks it.
static void MovedObjectsFillFromSiblings() {
  Front f;
  f.Tell(EndpointListUpdate{ListUpdateKind::kChanges,
                            {MakeEntry(12, kStoreKind, 1, EndpointState::kDraining)}});
  std::vector<SendAttempt> first;
  for (std::uint64_t o = 1; o <= 40; ++o) {
    first.push_back(f.Request(o));
    f.Finish(first.back(), CacheStatus::kFilled);
  }
  f.Tell(EndpointListUpdate{ListUpdateKind::kChanges, {MakeEntry(12, kStoreKind, 1)}});
  bool moved = false;
  for (std::uint64_t o = 1; o <= 40; ++o) {
    SendAttempt a = f.Request(o);
    if (a.endpoint == 12) {
      assert(a.source == first[o - 1].endpoint);
      f.end(a, AttemptResult::kMiss, CacheStatus::kSourceMiss);
      SendAttempt again = f.attempt();
      assert(again.endpoint == 12 && (again.source == 21 || again.source == 22));
      f.end(again, AttemptResult::kFinished, CacheStatus::kFilled, 1);
      moved = true;
    } else {
      f.Finish(a);
    }
  }
  assert(moved);
}

static void RetentionRankFollowsHitProbability() {
  Front f;
  int ranks[4] = {};
  for (int i = 0; i < 20; ++i) {
    f.now += 500;
    SendAttempt a = f.Request(1);
    assert(a.retention_rank >= 1 && a.retention_rank <= 3);
    ++ranks[a.retention_rank];
    f.Finish(a);
  }
  assert(ranks[1] > 0 && ranks[3] > 0 && f.Request(1).retention_rank == 3 &&
         f.Request(2).retention_rank == 1);
}

// Where many fronts serve a zone, one request does not rank an object high: there may be no other.
static void SingleRequestsRankLowWithManyFronts() {
  DeploymentSettings s = Settings();
  s.fronts_in_zone = 12;
  s.fronts = 200;
  Front f(s);
  SendAttempt a = f.Request(1);
  f.Finish(a);
  f.now += 3000;
  assert(a.retention_rank == 1 && f.Request(1).retention_rank == 3 &&
         f.Request(2).retention_rank == 1);
}

// The idle window shrinks on misses after short idle times, but not on those of a cache that
// started lately.
static void IdleWindowLearnsOutsideSlowStartOnly() {
  for (bool in_slow_start : {false, true}) {
    Front f;
    EndpointListUpdate update = List();
    if (in_slow_start)
      for (ListEntry& e : update.entries)
        e.started_at = f.now - 10000;
    f.Tell(update);
    for (int round = 0; round < 30; ++round)
      for (std::uint64_t o = 1; o <= 5; ++o) {
        f.now += 20;
        f.Finish(f.Request(o), CacheStatus::kFilled);
      }
    f.now += 1000;
    int highest_rank = 0;
    for (int i = 0; i < 3; ++i) {
      SendAttempt a = f.Request(1000);
      highest_rank = std::max(highest_rank, a.retention_rank);
      f.Finish(a);
    }
    assert(in_slow_start ? highest_rank > 1 : highest_rank == 1);
  }
}

// Attempts that end with one connection count as one failure: the cache stays in use, and the
// requests of the other attempts are sent there again. A cache that was reached but whose answers
// were unreadable does not go through slow start when it returns to service.
static void OneDisconnectIsOneFailure() {
  Front f;
  SendAttempt a = f.Request(1), b = f.Request(1);
  AttemptEnded e;
  e.result = AttemptResult::kDisconnected;
  e.endpoint = a.endpoint;
  for (e.request = a.request; e.request <= b.request; ++e.request, ++e.earlier_on_connection) {
    f.Tell(e);
    assert((f.attempt().endpoint == a.endpoint) == (e.earlier_on_connection > 0));
  }
  assert(f.Request(1).endpoint == a.endpoint);
  f.end({f.last_request, a.endpoint},
        AttemptResult::kDisconnected);  // a second connection: ejected
  assert(f.Request(1).endpoint != a.endpoint);
  for (int i = 0; i < 2; ++i)
    f.Tell(ProbeEnded{a.endpoint, true, 1, {}});
  for (int i = 0; i < 20; ++i) {  // more than a cache in slow start would get
    SendAttempt again = f.Request(1, 0, 2000);
    assert(again.endpoint == a.endpoint);
    f.Finish(again);
  }
}

// A request that two endpoints answer with an error is malformed itself: it is not sent again, and
// they stay in use. Where another endpoint answers it, the one that returned the error has failed.
static void MalformedRequestsEjectNoEndpoint() {
  Front f;
  std::uint32_t first_cache = f.Request(1).endpoint;
  f.Finish({f.last_request, first_cache});
  for (int i = 0; i < 5; ++i) {
    f.end(f.Request(1), AttemptResult::kError);
    SendAttempt second = f.attempt();
    assert(second.endpoint != first_cache && second.endpoint != 0);
    f.end(second, AttemptResult::kError, CacheStatus::kNone, 1);
    assert(f.Declined());
  }
  assert(f.Request(1).endpoint == first_cache);
  f.Finish({f.last_request, first_cache});
  for (int i = 0; i < 2; ++i) {
    f.end(f.Request(1), AttemptResult::kError);
    f.end(f.attempt(), AttemptResult::kFinished, CacheStatus::kHit, 1);
  }
  assert(f.Request(1).endpoint != first_cache);
}

// An endpoint that was removed long ago is erased, so that new endpoints do not fill the table over
// time: listed again, it is a new one. It stays while a request refers to it.
static void RemovedEndpointsAreErased() {
  for (bool is_referenced : {false, true}) {
    Front f;
    SendAttempt open_request = f.Request(1);
    std::uint32_t cache = open_request.endpoint;
    if (!is_referenced)
      f.Finish(open_request);
    for (int i = 0; i < 2; ++i) {
      f.end(f.Request(1), AttemptResult::kError);
      f.end(f.attempt(), AttemptResult::kFinished, CacheStatus::kHit, 1);
    }
    auto set_state = [&](EndpointState state) {
      f.now += 61000;
      f.Tell(
          EndpointListUpdate{ListUpdateKind::kChanges, {MakeEntry(cache, kStoreKind, 1, state)}});
    };
    set_state(EndpointState::kRemoved);
    set_state(EndpointState::kReady);
    assert((f.Request(1).endpoint == cache) == !is_referenced);  // otherwise it is still ejected
  }
}

static void EjectedCachesReturnToService() {
  for (bool probes : {true, false}) {
    DeploymentSettings s = Settings();
    s.permissions.probe = probes;
    Front f(s);
    std::uint64_t object = 1;
    std::uint32_t cache = f.Request(object).endpoint;
    f.end({f.last_request, cache}, AttemptResult::kError);
    assert(f.attempt().endpoint != cache);
    f.end(f.attempt(), AttemptResult::kFinished, CacheStatus::kHit, 1);
    SendAttempt second = f.Request(object);
    f.end(second, AttemptResult::kError);
    f.end(f.attempt(), AttemptResult::kFinished, CacheStatus::kHit, 1);
    SendAttempt meanwhile = f.Request(object);
    assert(meanwhile.endpoint != cache);
    f.Finish(meanwhile);
    f.now += 300;
    if (probes) {
      for (int i = 0; i < 2; ++i) {
        f.Tell(TimerFired{std::uint64_t{2} << 56 | cache});
        assert(f.all<ProbeEndpoint>().size() == 1);
        f.Tell(ProbeEnded{cache, true, 1, {}});
      }
    }
    SendAttempt half_open = f.Request(object);
    assert(half_open.endpoint == cache);
    if (!probes)
      assert(f.Request(object).endpoint != cache);  // one half-open attempt at a time
    f.end(half_open, AttemptResult::kFinished, CacheStatus::kHit);
    SendAttempt returned = f.Request(object);
    assert(returned.endpoint == cache);
  }
}

// While fills keep the link busy, the first attempt of a request goes without a fill; a miss is
// filled while its latency objective can be met, and rejected otherwise. Where the link's capacity
// is unknown that happens earlier, since busy sources cannot be distinguished from a busy link.
static void BusyLinkTriesWithoutFillFirst() {
  int filled[2] = {};
  for (int is_known : {0, 1}) {
    DeploymentSettings s = Settings();
    s.link_kb_per_ms = is_known ? 80 : 0;  // as much as is estimated from the caches
    Front f(s);
    int without_fill = 0, rejected = 0;
    for (std::uint64_t o = 1; o <= 200; ++o) {
      SendAttempt a = f.Request(o, 0, 2000);
      assert(o > 1 || a.endpoint != a.source);
      if (a.endpoint == 0 || a.endpoint != a.source)
        continue;
      ++without_fill;
      f.end(a, AttemptResult::kMiss);
      f.attempt().endpoint ? ++filled[is_known] : ++rejected;
    }
    assert(without_fill > 0 && rejected > 0);
  }
  assert(filled[0] > 0 && filled[0] < filled[1]);
}

// Lasting link utilisation admits fewer known misses than the same utilisation at its beginning.
static void LastingLinkUtilisationRejectsEarlier() {
  int filled[2] = {};
  for (int is_lasting : {0, 1}) {
    DeploymentSettings s = Settings();
    s.link_kb_per_ms = 40;  // four transfers at full speed
    Front f(s);
    std::uint64_t object = 0;
    auto fill = [&] {  // a request; after an attempt without a fill, its attempt with one
      SendAttempt a = f.Request(++object, 0, 2000, 20000);
      if (a.endpoint == 0 || a.endpoint != a.source)
        return a;
      f.end(a, AttemptResult::kMiss);
      return f.attempt();
    };
    std::vector<SendAttempt> attempts;
    for (int i = 0; i < 14; ++i)
      attempts.push_back(fill());
    for (std::size_t i = 0; is_lasting && i < 200;
         ++i) {  // ten seconds with as many in flight, none of them overdue
      f.now += 50;
      if (attempts[i].endpoint)
        f.end(attempts[i], AttemptResult::kFinished, CacheStatus::kFilled, i < 8 ? 0 : 1);
      attempts.push_back(attempts[i].endpoint ? fill() : SendAttempt{});
    }
    for (std::size_t i = attempts.size() - 14; i < attempts.size(); ++i)
      filled[is_lasting] += attempts[i].endpoint != 0;  // still in flight
    for (int i = 0; i < 100; ++i)
      filled[is_lasting] += fill().endpoint != 0;
  }
  assert(filled[0] > 0 && filled[1] <= filled[0] / 2);
}

// A cache without a free fill slot has not failed: requests still go there.
static void MissingFillSlotsAreNoFailure() {
  Front f;
  SendAttempt a = f.Request(1);
  for (int i = 0; i < 3; ++i)
    f.end(f.Request(1), AttemptResult::kOverloaded, CacheStatus::kNoFillSlot);
  assert(f.Request(1).endpoint == a.endpoint);
}

static void SlowCachesAreAvoided() {
  Front f;
  std::uint32_t slow = f.Request(1).endpoint;
  f.Finish({1, slow});
  for (int i = 0; i < 60; ++i) {
    SendAttempt a = f.Request(1);
    f.end(a, AttemptResult::kFinished, CacheStatus::kHit, 0, a.endpoint == slow ? 2000 : 105);
  }
  assert(f.Request(1).endpoint != slow);
}

// A parent whose fills are slow, or never end, is avoided: its objects move to the other one.
static void BadParentsAreAvoided() {
  for (bool never_answers : {false, true}) {
    Front f;
    SendAttempt first = f.Request(1);
    std::uint32_t bad_parent = first.source;
    f.Finish(first);
    int sent_to_bad_parent = 0;
    for (std::uint64_t o = 1; o <= 200; ++o) {
      f.now += 40;
      SendAttempt a = f.Request(o, 0, 300);
      if (o > 100)
        sent_to_bad_parent += a.source == bad_parent;
      if (a.source != bad_parent || !never_answers)
        f.end(a, AttemptResult::kFinished, CacheStatus::kFilled, 0,
              a.source == bad_parent ? 600 : 35);
    }
    assert(sent_to_bad_parent < 20);
  }
}

// A known miss whose sources all failed is rejected at once, without an attempt at another cache.
static void MissesWithoutSourceAreRejected() {
  Front f;
  SendAttempt a = f.Request(1);
  int attempts = 0;
  for (; a.endpoint; ++attempts) {
    f.end(a, AttemptResult::kOverloaded, CacheStatus::kSourceRefused, attempts, 20);
    a = f.attempt();
  }
  assert(attempts == 3 && f.Declined());  // by two parents and the origin
}

// While fills from the origin are slow, most misses get a fill with only_if_cached from a parent,
// and are rejected if it lacks the object; once they are fast again, all may lead to the origin.
static void SlowOriginsGetFewerFills() {
  Front f;
  int only_if_cached_attempts = 0;
  auto round = [&](std::uint64_t from, Ms fill_wait) {
    only_if_cached_attempts = 0;
    for (std::uint64_t o = from; o < from + 100; ++o) {
      f.now += 300;
      SendAttempt a = f.Request(o);
      only_if_cached_attempts += a.only_if_cached;
      AttemptEnded e;
      e.request = a.request;
      e.endpoint = a.endpoint;
      e.duration = 105 + fill_wait;
      e.fill_wait = fill_wait;
      e.result = a.only_if_cached ? AttemptResult::kMiss : AttemptResult::kFinished;
      e.final = !a.only_if_cached;
      e.cache_status = a.only_if_cached ? CacheStatus::kSourceMiss : CacheStatus::kFilledByOrigin;
      f.Tell(e);
      assert(f.Declined() == a.only_if_cached && f.attempt().endpoint == 0);
    }
  };
  round(1, 60);
  assert(only_if_cached_attempts == 0);
  round(1000, 1500);
  assert(only_if_cached_attempts > 50 && only_if_cached_attempts < 100);
  for (std::uint64_t from : {2000u, 3000u, 4000u, 5000u})
    round(from, 60);
  assert(only_if_cached_attempts == 0);
}

// When a zone has lost most of its caches, what the rest cannot take is rejected at once, so that
// no fill is wasted.
static void ZonesWithFewCachesReject() {
  Front f;
  EndpointListUpdate update{ListUpdateKind::kChanges, {}};
  for (std::uint32_t id : {11, 12, 13})
    update.entries.push_back(MakeEntry(id, kStoreKind, 1, EndpointState::kRemoved));
  f.Tell(update);
  int attempts = 0, rejected = 0;
  for (std::uint64_t o = 1; o <= 100; ++o) {
    SendAttempt a = f.Request(o, 0, 300);
    assert(a.endpoint == 0 || a.endpoint == 14);
    attempts += a.endpoint != 0;
    rejected += f.Declined();
  }
  assert(attempts > 0 && rejected > 0 && attempts + rejected == 100);
}

// Where hundreds of fronts share a parent, a few attempts of one front do not make it look fully
// utilised.
static void FewOwnAttemptsDoNotFillASharedParent() {
  DeploymentSettings s = Settings();
  s.fronts = 200;
  Front f(s), single;
  for (std::uint64_t o = 1; o <= 5; ++o)
    assert(f.Request(o, 0, 300).source == single.Request(o, 0, 300).source);
}

// A parent whose fills are slow keeps a share of its objects, the same ones at all fronts.
static void OverloadedParentsKeepAShare() {
  DeploymentSettings s = Settings();
  s.weight_source = WeightSource::kNone;
  s.fronts = 200;
  Front f(s, 1), g(s, 99);
  std::map<std::uint64_t, std::uint32_t> first_parent;
  int kept = 0, moved = 0, different = 0;
  for (int round = 0; round < 3; ++round)
    for (std::uint64_t o = 1; o <= 100; ++o) {
      f.now += 200;
      g.now += 200;
      SendAttempt a = f.Request(o, 0, 600), b = g.Request(o, 0, 600);
      if (round == 0)
        first_parent[o] = a.source;
      if (round == 2 && first_parent[o] == 21) {
        a.source == 21 ? ++kept : ++moved;
        different += a.source != b.source;
      }
      f.end(a, AttemptResult::kFinished, CacheStatus::kFilled, 0,
            a.source == 21 && kept + moved < 30 ? 300 : 65);
      g.end(b, AttemptResult::kFinished, CacheStatus::kFilled, 0,
            b.source == 21 && kept + moved < 30 ? 300 : 65);
    }
  assert(kept > 0 && moved > 0 && different < 10);
}

// With so many fronts that the share of each in the budget of a parent in slow start is less than
// one attempt, all together send it some, and stay within the limit in every window.
static void SharesBelowOneAttemptAddUp() {
  DeploymentSettings s = Settings();
  s.fronts = 200;
  std::vector<std::unique_ptr<Front>> fronts;
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    fronts.push_back(std::make_unique<Front>(s, seed));
    EndpointListUpdate update = List();
    for (ListEntry& e : update.entries)
      if (e.kind == kParentKind)
        e.started_at = 1e6;
    fronts.back()->Tell(update);
  }
  double sent = 0,
         limit = 2 * 60 * (0.1 + 0.9 * 2 / 20) * 1000;  // for both parents, in the second window
  for (std::uint64_t o = 1; o <= 20; ++o)
    for (auto& f : fronts) {
      f->now += 100;
      SendAttempt a = f->Request(o, 0, 1000);
      if (o > 10 && (a.source == 21 || a.source == 22))
        sent += 100;
      f->Finish(a, CacheStatus::kFilled);
    }
  assert(sent > 0.1 * limit && sent <= limit);
}

// Hundreds of endpoints that start at the same time, a list that becomes empty, a zone with no
// endpoint ready: each request gets an attempt or its only answer at once.
static void UnusualListsAreHandled() {
  Front f;
  EndpointListUpdate many{ListUpdateKind::kSnapshot, {}}, draining = many;
  for (std::uint32_t id = 100; id < 500; ++id) {
    many.entries.push_back(
        MakeEntry(id, id % 20 ? kStoreKind : kParentKind, id % 3, EndpointState::kReady, f.now));
    draining.entries.push_back(MakeEntry(id, kStoreKind, id % 3, EndpointState::kDraining, f.now));
  }
  std::uint64_t object = 0;
  for (const EndpointListUpdate& update :
       {many, draining, many, EndpointListUpdate{ListUpdateKind::kSnapshot, {}}, List()}) {
    f.Tell(update);
    for (int i = 0; i < 300; ++i) {
      f.now += 1;
      SendAttempt a = f.Request(++object, i % 7 == 0);
      assert((a.endpoint != 0) + f.Declined() == 1 && f.did.size() < 5);
      if (a.endpoint)
        f.end(a, AttemptResult::kFinished, CacheStatus::kFilled, 0, 200);
    }
  }
}

// Without parents, probes, load reports, weights, direct requests to the origin or a known link
// capacity, and with a list that is sent only on request.
static void WorksWithoutOptionalFeatures() {
  DeploymentSettings s = Settings();
  s.parent_kind = -1;
  s.permissions = {};
  s.weight_source = WeightSource::kNone;
  s.fills_from_siblings = false;
  s.link_kb_per_ms = 0;
  s.polls_endpoint_list = true;
  EndpointListUpdate update = List();
  Front f(s, 1,
          {ListUpdateKind::kLastKnown, {update.entries[0], update.entries[1], update.entries[6]}});
  assert(f.all<WatchEndpointList>().size() == 1);
  SendAttempt a = f.Request(1);
  assert((a.endpoint == 11 || a.endpoint == 12) && a.source == 31);
  f.Tell(ResponseStarted{a.request, a.endpoint, 0});
  f.now += 9000;
  f.Tell(TimerFired{std::uint64_t{1} << 56 | a.request});
  assert(f.did.empty());  // a streamed answer that has started is not cancelled
  f.Finish(a);
  f.Tell(EndpointListUpdate{ListUpdateKind::kFailed, {}});
  assert(f.all<SetTimer>().size() == 1);
}

// Clients may have a limited number of requests open: near the limit, those with the lowest value
// for their time are rejected at once, and the others are served; with no limit, or far from it,
// none is rejected.
static void OpenRequestLimitRejectsLowestValue() {
  struct Case {
    int max_open;
    int open;
    double size_kb;
    bool is_rejected;
  };
  for (Case c : {Case{0, 100, 4000, false},
                 {200, 100, 4000, false},
                 {100, 99, 4000, true},
                 {100, 99, 500, false}}) {
    DeploymentSettings s = Settings();
    s.max_open_requests = c.max_open;
    s.link_kb_per_ms = 1e6;
    EndpointListUpdate many{ListUpdateKind::kSnapshot, {}};
    for (std::uint32_t id = 11; id < 60; ++id)
      many.entries.push_back(MakeEntry(id, kStoreKind, 1));
    for (std::uint32_t id = 61; id < 80; ++id)
      many.entries.push_back(MakeEntry(id, kParentKind, 0));
    Front f(s, 1, many);
    for (int i = 0; i < c.open; ++i)
      f.Request(1000 + static_cast<std::uint64_t>(i));
    SendAttempt attempt = f.Request(7, 0, c.size_kb);
    assert(f.Declined() == c.is_rejected && (attempt.endpoint == 0) == c.is_rejected);
  }
}

// Settings of a deployment whose answers only distinguish hits from misses, and whose caches report
// the utilisation of their link.
static DeploymentSettings HitOnlySettings() {
  DeploymentSettings s = Settings();
  s.reports_cache_status = false;
  s.link_kb_per_ms = 0;
  s.link_report_index = 1;
  return s;
}

static void Send(Front& f, const SendAttempt& a, AttemptResult result, CacheStatus cache_status,
                 int attempt, Ms duration, float link_utilisation) {
  AttemptEnded e;
  e.request = a.request;
  e.endpoint = a.endpoint;
  e.attempt = attempt;
  e.result = result;
  e.cache_status = cache_status;
  e.duration = duration;
  e.final = result == AttemptResult::kFinished;
  e.load_report = {7, link_utilisation};
  f.Tell(e);
}

// The reported utilisation is used, and fades when no further report comes. The time that fills
// wait for their first byte once made a link look busy that was reported to be half utilised.
static void ReportedLinkUtilisationIsUsed() {
  for (float link_utilisation : {0.3f, 30.0f}) {
    Front f(HitOnlySettings());
    int without_fill = 0;
    for (std::uint64_t o = 1; o <= 100; ++o) {
      f.now += 300;
      SendAttempt a = f.Request(o);
      if (o > 50)
        without_fill += a.endpoint == a.source;
      Send(f, a, AttemptResult::kFinished, CacheStatus::kFilled, 0, 105 + 170,
           link_utilisation);  // the fill waits for 170 ms
    }
    assert(link_utilisation < 1 ? without_fill == 0 : without_fill == 50);
    f.now += 60000;
    SendAttempt after = f.Request(1000);
    assert(after.endpoint && after.endpoint != after.source);
  }
}

// Where answers only distinguish hits from misses: a rejection or error that comes from behind the
// cache is attributed to its source, and a quick rejection of a fill to a lack of fill slots; the
// cache keeps its requests.
static void FailuresBehindACacheAreTheSources() {
  DeploymentSettings s = HitOnlySettings();
  s.permissions.probe = false;                    // ejected sources return by half-open attempts
  s.request_classes[0].latency_objective = 4000;  // there is time for another source
  Front f(s);
  SendAttempt first = f.Request(1);
  Send(f, first, AttemptResult::kFinished, CacheStatus::kHit, 0, 105, 0.2f);
  for (Ms duration : {30.0, 400.0, 1400.0}) {
    for (int i = 0; i < 3; ++i) {
      f.now += 60000;
      SendAttempt a = f.Request(1);
      assert(a.endpoint == first.endpoint && a.source != a.endpoint);
      f.now += duration;
      Send(f, a, duration > 1000 ? AttemptResult::kError : AttemptResult::kOverloaded,
           CacheStatus::kNone, 0, duration, 0.2f);
      SendAttempt b = f.attempt();  // the same cache, another source
      assert(b.endpoint == first.endpoint && b.source != a.source && b.source != b.endpoint);
      Send(f, b, AttemptResult::kFinished, CacheStatus::kFilled, 1, 150, 0.2f);
    }
  }
  f.now += 5000;
  SendAttempt a = f.Request(1);
  Send(f, a, AttemptResult::kOverloaded, CacheStatus::kNone, 0, 0.6,
       0.2f);  // no fill slot: another cache fills it
  assert(f.attempt().endpoint && f.attempt().endpoint != a.endpoint);
  Send(f, f.attempt(), AttemptResult::kFinished, CacheStatus::kFilled, 1, 150, 0.2f);
  assert(f.Request(1).endpoint == first.endpoint);
}

// One slow fill, or one overdue in flight, keeps this front from its source for a while; then the
// source gets fills again. In a large fleet a front fills from one source once in some seconds, and
// four slow sources out of five got most fills.
static void OneSlowFillAvoidsItsSource() {
  for (bool ends : {true, false}) {
    Front f(HitOnlySettings());
    for (std::uint64_t o = 1; o <= 20; ++o) {
      f.now += 300;
      SendAttempt a = f.Request(o);
      Send(f, a, AttemptResult::kFinished, CacheStatus::kFilled, 0, 150, 0.2f);
    }
    SendAttempt slow = f.Request(100);
    f.now += 3000;
    if (ends)
      Send(f, slow, AttemptResult::kFinished, CacheStatus::kFilled, 0, 3000, 0.2f);
    int sent_to_it = 0;
    for (std::uint64_t o = 200; o < 240; ++o) {
      f.now += 20;
      SendAttempt a = f.Request(o);
      sent_to_it += a.source == slow.source;
      if (a.endpoint)
        Send(f, a, AttemptResult::kFinished, CacheStatus::kFilled, 0, 150, 0.2f);
    }
    assert(sent_to_it == 0);
    if (!ends)
      Send(f, slow, AttemptResult::kFinished, CacheStatus::kFilled, 0, 3800, 0.2f);
    f.now += 120000;
    for (std::uint64_t o = 300; o < 340; ++o) {
      SendAttempt a = f.Request(o);
      sent_to_it += a.source == slow.source;
      if (a.endpoint)
        Send(f, a, AttemptResult::kFinished, CacheStatus::kFilled, 0, 150, 0.2f);
    }
    assert(sent_to_it > 0);
  }
}

// While no source can fetch an object in time, a parent gets a fill with only_if_cached; if it
// lacks the object, the request is rejected at once, with a retry time.
static void LateSourcesGetOnlyIfCached() {
  DeploymentSettings s = HitOnlySettings();
  s.max_retry_after = 500;
  Front f(s);
  for (std::uint64_t o = 1; o <= 40; ++o) {
    f.now += 200;
    SendAttempt a = f.Request(o);
    if (!a.endpoint)
      continue;
    if (a.only_if_cached || a.endpoint == a.source)
      Send(f, a, AttemptResult::kMiss, CacheStatus::kNone, 0, 20, 0.2f);
    else
      Send(f, a, AttemptResult::kFinished, CacheStatus::kFilled, 0, o < 5 ? 150 : 2500, 0.2f);
  }
  SendAttempt a = f.Request(1000);
  assert(a.only_if_cached && (a.source == 21 || a.source == 22));
  Send(f, a, AttemptResult::kMiss, CacheStatus::kNone, 0, 20, 0.2f);
  assert(f.Declined() && f.all<RejectRequest>().front().retry_after > 0 &&
         f.attempt().endpoint == 0);
  SendAttempt b = f.Request(1001);
  Send(f, b, AttemptResult::kFinished, CacheStatus::kFilled, 0, 120, 0.2f);
  assert(f.did.empty());
}

// An uncacheable request with an idempotency key goes to the origin through a cache, whatever the
// link's utilisation, and without an attempt without a fill before it; a repeat goes there as long
// as the origin recognises it.
static void UncacheableRepeatsReachTheOriginThroughACache() {
  DeploymentSettings s = HitOnlySettings();
  s.permissions.direct_to_origin = false;
  s.request_classes[1].effect = Effect::kIdempotentWithKey;
  s.request_classes[1].deduplication_window = 6000;
  Front f(s);
  for (std::uint64_t o = 1; o <= 20; ++o) {
    f.now += 300;
    SendAttempt a = f.Request(o);
    if (a.endpoint)
      Send(f, a, a.endpoint == a.source ? AttemptResult::kMiss : AttemptResult::kFinished,
           CacheStatus::kNone, 0, 150, 9.0f);
  }
  SendAttempt a = f.Request(500, 1, 100);
  assert(a.endpoint >= 11 && a.endpoint <= 14 && a.source == 31);
  Send(f, a, AttemptResult::kDisconnected, CacheStatus::kNone, 0, 20, 9.0f);
  assert(f.attempt().endpoint && f.attempt().source == 31);
}

// Where answers carry the wait of a fill, fills with only_if_cached show an overloaded parent too.
static void OnlyIfCachedFillsShowOverloadedParents() {
  Front f;
  auto finish = [&](const SendAttempt& a, CacheStatus cache_status, Ms duration, Ms fill_wait) {
    AttemptEnded e;
    e.request = a.request;
    e.endpoint = a.endpoint;
    e.result = AttemptResult::kFinished;
    e.cache_status = cache_status;
    e.final = true;
    e.duration = duration;
    e.fill_wait = fill_wait;
    f.Tell(e);
  };
  int only_if_cached_attempts = 0, of_overloaded_parent = 0;
  for (std::uint64_t o = 1; o <= 600; ++o) {
    f.now += 40;
    SendAttempt a = f.Request(o, 0, 300);
    if (!a.endpoint)
      continue;
    bool is_overloaded = a.source == 21;
    if (a.only_if_cached)
      finish(a, CacheStatus::kFilled, is_overloaded ? 600 : 35, 0);
    else
      finish(a, CacheStatus::kFilledByOrigin, 35 + (o < 100 ? 60 : 1500), o < 100 ? 60 : 1500);
    if (o > 400) {
      only_if_cached_attempts += a.only_if_cached;
      of_overloaded_parent += a.only_if_cached && is_overloaded;
    }
  }
  assert(only_if_cached_attempts > 80 && of_overloaded_parent < only_if_cached_attempts / 4);
}

// By the zone weights of the failover decision a share of the objects goes to another zone's
// caches: none without weights, all with the whole weight, and always the same ones. A request
// whose idempotency key only its zone recognises stays. Ejections and returns to service are
// reported.
static void TrafficFollowsZoneWeights() {
  DeploymentSettings s = Settings();
  s.fills_from_siblings = true;
  s.request_classes.push_back(s.request_classes[0]);
  s.request_classes[2].effect = Effect::kIdempotentWithKey;
  s.request_classes[2].deduplication_scope = DeduplicationScope::kZone;
  s.request_classes[2].deduplication_window = 5000;
  EndpointListUpdate update = List();
  int own = s.zone, other = own + 1;
  for (std::uint32_t id : {41u, 42u}) {
    update.entries.push_back(MakeEntry(id, kStoreKind, other));
    update.entries.back().weight = update.entries.front().weight;
  }
  Front f(s, 1, update);
  auto sent_to_other_zone = [&](int request_class) {
    std::vector<std::uint64_t> objects;
    for (std::uint64_t o = 1; o <= 200; ++o) {
      f.now += 100;
      SendAttempt a = f.Request(o, request_class);
      assert(a.endpoint != 0);
      assert((a.source != 41 && a.source != 42) ||
             a.source == a.endpoint);  // no fill from another zone's cache
      if (a.endpoint == 41 || a.endpoint == 42)
        objects.push_back(o);
      f.Finish(a, CacheStatus::kFilled);
    }
    return objects;
  };
  auto set_own_weight = [&](double own_weight) {
    std::vector<double> weights(static_cast<std::size_t>(other) + 1);
    weights[static_cast<std::size_t>(own)] = own_weight;
    weights[static_cast<std::size_t>(other)] = 1 - own_weight;
    f.Tell(ZoneTrafficWeights{weights});
    assert(f.did.empty());
  };
  assert(sent_to_other_zone(0).empty());
  set_own_weight(0.5);
  auto half = sent_to_other_zone(0);
  assert(half.size() > 70 && half.size() < 130 && half == sent_to_other_zone(0));
  set_own_weight(0.25);
  auto larger_share = sent_to_other_zone(0);
  assert(larger_share.size() > half.size() &&
         std::includes(larger_share.begin(), larger_share.end(), half.begin(), half.end()));
  set_own_weight(0);
  assert(sent_to_other_zone(0).size() == 200 && sent_to_other_zone(2).empty());
  f.Tell(EndpointListUpdate{ListUpdateKind::kChanges,
                            {MakeEntry(41, kStoreKind, other, EndpointState::kDraining)}});
  for (std::uint64_t o = 1; o <= 50; ++o) {
    SendAttempt a = f.Request(o);
    assert(a.endpoint != 41);
    f.Finish(a, CacheStatus::kHit);
  }
  for (std::uint32_t id : {41u, 42u})
    f.Tell(EndpointListUpdate{ListUpdateKind::kChanges,
                              {MakeEntry(id, kStoreKind, other, EndpointState::kRemoved)}});
  SendAttempt own_zone = f.Request(
      900);  // no cache left in the other zone: the own zone's caches, whatever the weights
  assert(own_zone.endpoint != 0 && own_zone.endpoint != 41 && own_zone.endpoint != 42);
  f.Finish(own_zone);
  f.Tell(ZoneTrafficWeights{});
  assert(sent_to_other_zone(0).empty());
  // Two consecutive failures eject a cache, and two successful probes return it to service; both
  // are reported.
  SendAttempt a = f.Request(901);
  f.end(a, AttemptResult::kDisconnected);
  for (std::uint64_t o = 902; f.all<ReportEndpointHealth>().empty() && o < 1000; ++o) {
    SendAttempt b = f.Request(o);
    if (b.endpoint == a.endpoint)
      f.end(b, AttemptResult::kDisconnected);
    else
      f.Finish(b, CacheStatus::kHit);
  }
  assert(f.all<ReportEndpointHealth>().size() == 1 &&
         f.all<ReportEndpointHealth>()[0].endpoint == a.endpoint &&
         f.all<ReportEndpointHealth>()[0].ejected);
  f.now += 300;
  for (int i = 0; i < 2; ++i)
    f.Tell(ProbeEnded{a.endpoint, true, 1, {}});
  assert(f.all<ReportEndpointHealth>().size() == 1 && !f.all<ReportEndpointHealth>()[0].ejected);
}

int main() {
  struct Case {
    const char* name;
    void (*run)();
  };
  for (Case c :
       {Case{"each request is answered once, before its deadline", AnswersOnceBeforeTheDeadline},
        {"exclusive requests run at most once", ExclusiveRequestsRunAtMostOnce},
        {"repeats stay in their deduplication scope", RepeatsStayInTheirDeduplicationScope},
        {"draining endpoints get no attempts", DrainingEndpointsGetNoAttempts},
        {"slow start limits the work sent", SlowStartLimitsWork},
        {"consecutive small parts keep the slow start budget",
         ConsecutiveSmallPartsKeepTheSlowStartBudget},
        {"purges limit the age of copies", PurgesLimitTheCopyAge},
        {"the rendezvous order is stable, and the same at all fronts", RendezvousOrderIsStable},
        {"moved objects are filled from siblings", MovedObjectsFillFromSiblings},
        {"the retention rank follows the hit probability", RetentionRankFollowsHitProbability},
        {"the idle window is not learnt from caches in slow start",
         IdleWindowLearnsOutsideSlowStartOnly},
        {"one disconnect is one failure", OneDisconnectIsOneFailure},
        {"malformed requests eject no endpoint", MalformedRequestsEjectNoEndpoint},
        {"removed endpoints are erased", RemovedEndpointsAreErased},
        {"ejected caches return to service", EjectedCachesReturnToService},
        {"on a busy link the first attempt goes without a fill", BusyLinkTriesWithoutFillFirst},
        {"missing fill slots are no failure", MissingFillSlotsAreNoFailure},
        {"slow caches are avoided", SlowCachesAreAvoided},
        {"slow and unresponsive parents are avoided", BadParentsAreAvoided},
        {"misses without a source are rejected", MissesWithoutSourceAreRejected},
        {"slow origins get fewer fills", SlowOriginsGetFewerFills},
        {"zones that lost most caches reject the excess", ZonesWithFewCachesReject},
        {"single requests rank low where many fronts serve a zone",
         SingleRequestsRankLowWithManyFronts},
        {"lasting link utilisation rejects earlier", LastingLinkUtilisationRejectsEarlier},
        {"few own attempts do not fill a shared parent", FewOwnAttemptsDoNotFillASharedParent},
        {"overloaded parents keep a share of their objects", OverloadedParentsKeepAShare},
        {"slow start shares below one attempt add up", SharesBelowOneAttemptAddUp},
        {"near the limit of open requests the lowest value is rejected",
         OpenRequestLimitRejectsLowestValue},
        {"unusual lists are handled", UnusualListsAreHandled},
        {"works without optional features", WorksWithoutOptionalFeatures},
        {"fills with only_if_cached show overloaded parents",
         OnlyIfCachedFillsShowOverloadedParents},
        {"the reported link utilisation is used", ReportedLinkUtilisationIsUsed},
        {"failures behind a cache are attributed to the source", FailuresBehindACacheAreTheSources},
        {"one slow fill keeps the next ones from its source", OneSlowFillAvoidsItsSource},
        {"late sources get fills with only_if_cached", LateSourcesGetOnlyIfCached},
        {"uncacheable repeats reach the origin through a cache",
         UncacheableRepeatsReachTheOriginThroughACache},
        {"traffic follows the zone weights", TrafficFollowsZoneWeights}}) {
    std::puts(c.name);
    c.run();
  }
}
