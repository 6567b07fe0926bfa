// Change log and rollout: single steps, then the exploration of every state of two fronts, a
// coordinator and its successor, with loss, delay and death at any step, within limits.
#include <algorithm>
#include <cassert>
#include <cstdio>
#include <deque>
#include <memory>
#include <unordered_set>

#include "changes/push.hpp"

using namespace dunlinwick::changes;

namespace {

template <class T>
std::vector<T> ActionsOf(const std::vector<Action>& actions) {
  std::vector<T> found;
  for (const Action& d : actions)
    if (auto* one = std::get_if<T>(&d))
      found.push_back(*one);
  return found;
}
Reason RefusalReason(const std::vector<Action>& actions) {
  auto answers = ActionsOf<Response>(actions);
  assert(answers.size() == 1);
  return answers[0].refusal;
}

struct Fixture {
  ChangeLog change_log{Limits{}};
  Ms now = 0;
  std::vector<Action> Handle(const Event& h) {
    return change_log.Handle(now, h);
  }
  Generation Stage(const std::string& content) {
    auto actions = Handle(Proposal{1, 1, change_log.ConfirmedGeneration(), content, 60000});
    assert(RefusalReason(actions) == Reason::kNone &&
           ActionsOf<PersistentState>(actions).size() == 1);
    return ActionsOf<Response>(actions)[0].generation;
  }
  void ApplyGeneration(Generation g, Ms lease = 30000) {
    assert(RefusalReason(Handle(ApplyRequest{1, 2, g, lease})) == Reason::kNone);
  }
};

void TestSingleSteps() {
  {
    Fixture d;  // staged, applied, confirmed
    Generation g = d.Stage("a");
    assert(d.change_log.ActiveGeneration() == 0);
    d.ApplyGeneration(g);
    assert(d.change_log.ActiveGeneration() == g && d.change_log.ConfirmedGeneration() == 0);
    auto actions = d.Handle(ConfirmRequest{1, 3, g});
    assert(RefusalReason(actions) == Reason::kNone && d.change_log.ConfirmedGeneration() == g &&
           d.change_log.LeaseEndsAt() == 0);
    auto records = ActionsOf<PersistentState>(actions);
    assert(records.size() == 1 && records[0].content == "a" && records[0].confirmed == g);
    assert(
        std::holds_alternative<PersistentState>(actions.front()));  // persisted before any response
    assert(RefusalReason(d.Handle(ConfirmRequest{1, 3, g})) == Reason::kNone);  // repeated request
  }
  {
    Fixture d;  // not confirmed; a message that arrives at the end of the lease is too late
    Generation g = d.Stage("a");
    d.ApplyGeneration(g, 5000);
    d.now = 4999;
    assert(ActionsOf<ReportRevert>(d.Handle(Tick{})).empty());
    d.now = 5000;
    auto actions = d.Handle(ConfirmRequest{1, 3, g});
    assert(RefusalReason(actions) == Reason::kUnknownGeneration &&
           d.change_log.ActiveGeneration() == 0);
    assert(ActionsOf<ReportRevert>(actions).size() == 1 &&
           ActionsOf<ReportRevert>(actions)[0].reason == Reason::kLeaseExpired);
    // Its requests are still in flight: its content stays until they have ended, and it can't be
    // applied again.
    assert(d.change_log.ContentOf(g) &&
           RefusalReason(d.Handle(ApplyRequest{1, 4, g, 5000})) == Reason::kUnknownGeneration);
    assert(ActionsOf<DiscardContent>(d.Handle(GenerationReleased{g})).size() == 1 &&
           !d.change_log.ContentOf(g));
  }
  {
    Fixture d;  // a monitoring alarm reverts only an unconfirmed generation
    Generation g = d.Stage("a");
    assert(ActionsOf<ReportRevert>(d.Handle(MonitorAlarm{g})).empty());
    d.ApplyGeneration(g);
    assert(ActionsOf<ReportRevert>(d.Handle(MonitorAlarm{g}))[0].reason == Reason::kMonitorAlarm &&
           d.change_log.ActiveGeneration() == 0);
    Generation h = d.Stage("b");
    d.ApplyGeneration(h);
    d.Handle(ConfirmRequest{1, 3, h});
    assert(ActionsOf<ReportRevert>(d.Handle(MonitorAlarm{h})).empty() &&
           d.change_log.ActiveGeneration() == h);
  }
  {
    Fixture d;  // two concurrent changes: the base of the second becomes stale
    Generation g = d.Stage("a"), h = d.Stage("b");
    assert(g != h);
    d.ApplyGeneration(g);
    assert(RefusalReason(d.Handle(ApplyRequest{1, 5, h, 30000})) == Reason::kChangePending);
    d.Handle(ConfirmRequest{1, 3, g});
    assert(!d.change_log.ContentOf(h) &&
           RefusalReason(d.Handle(ApplyRequest{1, 5, h, 30000})) == Reason::kUnknownGeneration);
    assert(RefusalReason(d.Handle(Proposal{1, 6, 0, "c", 60000})) == Reason::kStaleBase);
  }
  {
    Fixture d;  // the maximum number of generations in use
    d.Stage("a");
    d.Stage("b");
    d.Stage("c");
    assert(RefusalReason(d.Handle(Proposal{1, 1, 0, "d", 60000})) == Reason::kTooManyGenerations);
    assert(ActionsOf<Response>(d.Handle(Proposal{1, 1, 0, "c", 60000}))[0].generation ==
           3);  // repeated: the same generation
    assert(RefusalReason(d.Handle(RevertRequest{1, 2, 1})) == Reason::kNone);
    assert(d.Stage("d") == 4);
  }
  {
    Fixture d;  // fencing tokens, before and after a restart
    Generation g = d.Stage("a");
    auto actions = d.Handle(RevertRequest{7, 1, 99});
    assert(RefusalReason(actions) == Reason::kUnknownGeneration &&
           ActionsOf<PersistentState>(actions)[0].fencing_token == 7);
    assert(RefusalReason(d.Handle(ApplyRequest{6, 2, g, 30000})) == Reason::kFenced);
    ChangeLog after(Limits{}, ActionsOf<PersistentState>(actions)[0]);
    assert(RefusalReason(after.Handle(0, Proposal{6, 1, 0, "x", 60000})) == Reason::kFenced);
    // Numbering continues: an assigned number is never reused for other content.
    assert(ActionsOf<Response>(after.Handle(0, Proposal{7, 1, 0, "x", 60000}))[0].generation ==
           g + 1);
  }
  {
    Fixture
        d;  // staged and never applied; applied late, the lease ends with the proposal's lifetime
    Generation g = d.Stage("a"), h = d.Stage("b");
    d.now = 59000;
    d.ApplyGeneration(g, 30000);
    assert(d.change_log.LeaseEndsAt() == 60000);
    d.now = 60000;
    assert(ActionsOf<DiscardContent>(d.Handle(Tick{})).size() == 1 && !d.change_log.ContentOf(h) &&
           d.change_log.ActiveGeneration() == 0);
  }
  for (Ms lease : {-1.0, 0.0, 999.0, 600001.0, 5e9}) {
    Fixture d;
    Generation g = d.Stage("a");
    assert(RefusalReason(d.Handle(ApplyRequest{1, 2, g, lease})) == Reason::kInvalidLease &&
           d.change_log.ActiveGeneration() == 0);
  }
}

// ---- exploration of all states within limits

struct ExplorationLimits {
  Ms horizon = 6;
  int losses = 1;
  int front_deaths = 1;
  bool successor = false;
  std::size_t max_in_flight = 2;  // messages in each direction; any more count as lost
};

struct World {
  Ms now = 0;
  std::vector<ChangeLog> fronts;
  std::vector<PersistentState> persisted;
  std::shared_ptr<const Rollout> rollout;  // null: the coordinator is dead
  int rollouts = 0;
  int losses = 0;
  int deaths = 0;
  bool confirms[3] = {};  // by rollout: it has begun to confirm
  bool lost_after_confirm = false;
  std::size_t max_in_flight = 2;
  std::vector<std::pair<std::size_t, Event>> to_fronts;  // in flight to fronts
  std::vector<std::tuple<std::size_t, int, Response>>
      to_coordinator;  // in flight back: front, rollout, response

  std::string Fingerprint() const {
    std::string fingerprint =
        std::to_string(now) + '|' + std::to_string(rollouts) + ' ' + std::to_string(losses) + ' ' +
        std::to_string(deaths) + (confirms[1] ? "c" : "") + (confirms[2] ? "d" : "") +
        (lost_after_confirm ? "l" : "") + '|' + (rollout ? rollout->Fingerprint() : "dead");
    for (std::size_t i = 0; i < fronts.size(); ++i)
      fingerprint += '|' + fronts[i].Fingerprint() + '/' + std::to_string(persisted[i].confirmed) +
                     ' ' + std::to_string(persisted[i].fencing_token);
    std::vector<std::string> wire;
    for (auto& [front, event] : to_fronts) {
      std::string one = std::to_string(front) + 't' + std::to_string(event.index());
      std::visit(
          [&](const auto& w) {
            if constexpr (requires { w.fencing_token; })
              one += ' ' + std::to_string(w.fencing_token);
            if constexpr (requires { w.generation; })
              one += ' ' + std::to_string(w.generation);
            if constexpr (requires { w.content; })
              one += w.content;
            if constexpr (requires { w.confirm_timeout; })
              one += ' ' + std::to_string(w.confirm_timeout);
          },
          event);
      wire.push_back(one);
    }
    for (auto& [front, rollout_number, a] : to_coordinator)
      wire.push_back(std::to_string(front) + 'b' + std::to_string(rollout_number) + ' ' +
                     std::to_string(a.request_id) + ' ' + std::to_string(a.generation) + ' ' +
                     std::to_string(static_cast<int>(a.refusal)));
    std::sort(wire.begin(), wire.end());
    for (const std::string& one : wire)
      fingerprint += '|' + one;
    return fingerprint;
  }
};

const Limits kSmallLimits{4, 100, 1};
const RolloutSettings kSettings{3, 0, 1, 1, {0.5, 1}};

void Send(World& w, const std::vector<Message>& all) {
  for (const Message& s : all) {
    if (std::holds_alternative<ConfirmRequest>(s.event))
      w.confirms[w.rollouts] = true;
    if (w.to_fronts.size() < w.max_in_flight)
      w.to_fronts.push_back({s.front, s.event});
  }
}

// Executes the actions of a front; if it dies right after persisting its state, nothing more.
// `rollout_number`: the rollout whose message caused the actions; responses go to it alone.
void ExecuteActions(World& w, std::size_t front, int rollout_number,
                    const std::vector<Action>& actions, bool dies_after_record) {
  for (const Action& d : actions) {
    if (auto* r = std::get_if<PersistentState>(&d)) {
      w.persisted[front] = *r;
      if (dies_after_record)
        break;
    }
    if (auto* a = std::get_if<Response>(&d); a && w.to_coordinator.size() < w.max_in_flight)
      w.to_coordinator.push_back({front, rollout_number, *a});
  }
}

void Check(const World& w, const ExplorationLimits& bound) {
  for (const ChangeLog& f : w.fronts) {
    // Complete, and one of the proposed contents.
    const std::string* content = f.ContentOf(f.ActiveGeneration());
    assert(content && (content->empty() || *content == "a" || *content == "b"));
    // Unconfirmed only within its lease.
    assert(f.ActiveGeneration() == f.ConfirmedGeneration() ||
           (f.LeaseEndsAt() > 0 && w.now < f.LeaseEndsAt()));
    const std::string& confirmed = *f.ContentOf(f.ConfirmedGeneration());
    assert(confirmed.empty() || (confirmed == "a" && w.confirms[1]) ||
           (confirmed == "b" && w.confirms[2]));
  }
  if (w.now < bound.horizon)
    return;
  // All leases have ended and nothing was confirmed, so all fronts have reverted.
  if (!w.confirms[1] && !w.confirms[2])
    for (const ChangeLog& f : w.fronts)
      assert(f.ContentOf(f.ActiveGeneration())->empty());
  // If the rollout reports that all fronts confirmed the change, they did.
  if (w.rollout && w.rollout->phase() == Phase::kCompleted &&
      w.rollout->UnconfirmedFronts().empty())
    for (const ChangeLog& f : w.fronts)
      assert(*f.ContentOf(f.ConfirmedGeneration()) == (w.rollouts == 2 ? "b" : "a"));
}

void ExploreAllStates(const ExplorationLimits& bound) {
  World first;
  first.fronts.assign(2, ChangeLog(kSmallLimits));
  first.persisted.assign(2, PersistentState{});
  first.rollouts = 1;
  first.max_in_flight = bound.max_in_flight;
  Rollout rollout(kSettings, 1, "a", {0, 0}, 0);
  Send(first, rollout.Advance(0));
  first.rollout = std::make_shared<const Rollout>(rollout);
  std::unordered_set<std::size_t> seen{std::hash<std::string>{}(first.Fingerprint())};
  std::deque<World> todo{first};
  std::size_t confirmed_by_all = 0, reverted_by_all = 0, diverged = 0;
  auto reach = [&](World&& w) {
    Check(w, bound);
    if (seen.insert(std::hash<std::string>{}(w.Fingerprint())).second)
      todo.push_back(std::move(w));
  };
  while (!todo.empty()) {
    World w = std::move(todo.front());
    todo.pop_front();
    if (w.now >= bound.horizon) {
      std::string a = *w.fronts[0].ContentOf(w.fronts[0].ActiveGeneration()),
                  b = *w.fronts[1].ContentOf(w.fronts[1].ActiveGeneration());
      ++(a != b ? diverged : a.empty() ? reverted_by_all : confirmed_by_all);
      continue;
    }
    // A message arrives at a front, is lost, or the front dies right after persisting its state.
    for (std::size_t i = 0; i < w.to_fronts.size(); ++i)
      for (int fate = 0; fate < 3; ++fate) {
        if ((fate == 1 && w.losses >= bound.losses) ||
            (fate == 2 && w.deaths >= bound.front_deaths))
          continue;
        World n = w;
        auto [front, event] = n.to_fronts[i];
        n.to_fronts.erase(n.to_fronts.begin() + static_cast<long>(i));
        if (fate == 1) {
          ++n.losses;
          n.lost_after_confirm |= n.confirms[1] || n.confirms[2];
        } else {
          int rollout_number = std::visit(
              [](const auto& one) {
                if constexpr (requires { one.fencing_token; })
                  return static_cast<int>(one.fencing_token);
                else
                  return 0;
              },
              event);
          ExecuteActions(n, front, rollout_number, n.fronts[front].Handle(n.now, event), fate == 2);
          if (fate == 2) {
            ++n.deaths;
            n.fronts[front] = ChangeLog(kSmallLimits, n.persisted[front]);
          }
        }
        reach(std::move(n));
      }
    for (std::size_t i = 0; i < w.to_coordinator.size(); ++i)
      for (bool lost : {false, true}) {
        if (lost && w.losses >= bound.losses)
          continue;
        World n = w;
        auto [front, rollout_number, answer] = n.to_coordinator[i];
        n.to_coordinator.erase(n.to_coordinator.begin() + static_cast<long>(i));
        if (lost)
          ++n.losses;
        else if (n.rollout && rollout_number == n.rollouts) {
          Rollout p = *n.rollout;
          auto more = p.HandleResponse(n.now, front, answer);
          n.rollout = std::make_shared<const Rollout>(p);
          Send(n, more);
        }
        reach(std::move(n));
      }
    // The coordinator dies for good, or its successor begins another change with a higher fencing
    // token.
    if (w.rollout) {
      World n = w;
      n.rollout = nullptr;
      reach(std::move(n));
    } else if (bound.successor && w.rollouts == 1 &&
               w.now <= 1) {  // so that its leases end within the horizon
      World n = w;
      n.rollouts = 2;
      Rollout p(kSettings, 2, "b",
                {n.fronts[0].ConfirmedGeneration(), n.fronts[1].ConfirmedGeneration()}, n.now);
      Send(n, p.Advance(n.now));
      n.rollout = std::make_shared<const Rollout>(p);
      reach(std::move(n));
    }
    for (std::size_t i = 0; i < 2 && w.deaths < bound.front_deaths; ++i) {
      World n = w;
      ++n.deaths;
      n.fronts[i] = ChangeLog(kSmallLimits, n.persisted[i]);
      reach(std::move(n));
    }
    World n = w;
    n.now += 1;
    for (std::size_t i = 0; i < 2; ++i)
      ExecuteActions(n, i, 0, n.fronts[i].Handle(n.now, Tick{}), false);
    if (n.rollout) {
      Rollout p = *n.rollout;
      auto more = p.Advance(n.now);
      n.rollout = std::make_shared<const Rollout>(p);
      Send(n, more);
    }
    reach(std::move(n));
  }
  std::printf(
      "%zu states; final states: %zu confirmed by all, %zu confirmed by none, %zu "
      "diverged\n",
      seen.size(), confirmed_by_all, reverted_by_all, diverged);
  assert(seen.size() > 1000 && confirmed_by_all > 0 && reverted_by_all > 0);
}

}  // namespace

// Any argument: more messages in flight at once, which takes minutes.
int main(int argc, char**) {
  TestSingleSteps();
  std::size_t max_in_flight = argc > 1 ? 2 : 1;
  ExploreAllStates({6, 1, 0, false, max_in_flight});
  ExploreAllStates({6, 0, 1, false, max_in_flight});
  ExploreAllStates({6, 0, 0, true, max_in_flight});
}
