// The life of configurations: a table of single steps, then every state of two fronts, a
// coordinator and its successor, with loss, lateness and death at any step, as far as the bounds
// reach.
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
std::vector<T> All(const std::vector<Deed>& deeds) {
  std::vector<T> found;
  for (const Deed& d : deeds)
    if (auto* one = std::get_if<T>(&d))
      found.push_back(*one);
  return found;
}
Why Refused(const std::vector<Deed>& deeds) {
  auto answers = All<Answer>(deeds);
  assert(answers.size() == 1);
  return answers[0].refused;
}

struct Desk {
  Ledger ledger{Bounds{}};
  Ms now = 0;
  std::vector<Deed> Tell(const Happening& h) {
    return ledger.Handle(now, h);
  }
  Generation stage(const std::string& content) {
    auto deeds = Tell(Propose{1, 1, ledger.Kept(), content, 60000});
    assert(Refused(deeds) == Why::kNone && All<Record>(deeds).size() == 1);
    return All<Answer>(deeds)[0].generation;
  }
  void ApplyGeneration(Generation g, Ms lease = 30000) {
    assert(Refused(Tell(Apply{1, 2, g, lease})) == Why::kNone);
  }
};

void OneStepAtATime() {
  {
    Desk d;  // staged, applied, confirmed
    Generation g = d.stage("a");
    assert(d.ledger.Serving() == 0);
    d.ApplyGeneration(g);
    assert(d.ledger.Serving() == g && d.ledger.Kept() == 0);
    auto deeds = d.Tell(Confirm{1, 3, g});
    assert(Refused(deeds) == Why::kNone && d.ledger.Kept() == g && d.ledger.LeaseEnds() == 0);
    auto records = All<Record>(deeds);
    assert(records.size() == 1 && records[0].content == "a" && records[0].kept == g);
    assert(std::holds_alternative<Record>(deeds.front()));    // it lasts before anybody is told
    assert(Refused(d.Tell(Confirm{1, 3, g})) == Why::kNone);  // heard twice
  }
  {
    Desk d;  // nobody confirms; a word that comes at the lease's end is too late
    Generation g = d.stage("a");
    d.ApplyGeneration(g, 5000);
    d.now = 4999;
    assert(All<Reverted>(d.Tell(Tick{})).empty());
    d.now = 5000;
    auto deeds = d.Tell(Confirm{1, 3, g});
    assert(Refused(deeds) == Why::kUnknown && d.ledger.Serving() == 0);
    assert(All<Reverted>(deeds).size() == 1 && All<Reverted>(deeds)[0].why == Why::kLeaseEnded);
    // Its pulls are still open: its content stays until they have ended, and it can't be applied
    // again.
    assert(d.ledger.ContentOf(g) && Refused(d.Tell(Apply{1, 4, g, 5000})) == Why::kUnknown);
    assert(All<Forget>(d.Tell(Released{g})).size() == 1 && !d.ledger.ContentOf(g));
  }
  {
    Desk d;  // the watch, and only of what is on trial
    Generation g = d.stage("a");
    assert(All<Reverted>(d.Tell(Alarm{g})).empty());
    d.ApplyGeneration(g);
    assert(All<Reverted>(d.Tell(Alarm{g}))[0].why == Why::kAlarm && d.ledger.Serving() == 0);
    Generation h = d.stage("b");
    d.ApplyGeneration(h);
    d.Tell(Confirm{1, 3, h});
    assert(All<Reverted>(d.Tell(Alarm{h})).empty() && d.ledger.Serving() == h);
  }
  {
    Desk d;  // two operators at once: the second is based on what is no longer so
    Generation g = d.stage("a"), h = d.stage("b");
    assert(g != h);
    d.ApplyGeneration(g);
    assert(Refused(d.Tell(Apply{1, 5, h, 30000})) == Why::kBusy);
    d.Tell(Confirm{1, 3, g});
    assert(!d.ledger.ContentOf(h) && Refused(d.Tell(Apply{1, 5, h, 30000})) == Why::kUnknown);
    assert(Refused(d.Tell(Propose{1, 6, 0, "c", 60000})) == Why::kNotNext);
  }
  {
    Desk d;  // so many alive at once
    d.stage("a");
    d.stage("b");
    d.stage("c");
    assert(Refused(d.Tell(Propose{1, 1, 0, "d", 60000})) == Why::kTooMany);
    assert(All<Answer>(d.Tell(Propose{1, 1, 0, "c", 60000}))[0].generation ==
           3);  // said again: the same one
    assert(Refused(d.Tell(Undo{1, 2, 1})) == Why::kNone);
    assert(d.stage("d") == 4);
  }
  {
    Desk d;  // fences, before and after a restart
    Generation g = d.stage("a");
    auto deeds = d.Tell(Undo{7, 1, 99});
    assert(Refused(deeds) == Why::kUnknown && All<Record>(deeds)[0].fence == 7);
    assert(Refused(d.Tell(Apply{6, 2, g, 30000})) == Why::kFenced);
    Ledger after(Bounds{}, All<Record>(deeds)[0]);
    assert(Refused(after.Handle(0, Propose{6, 1, 0, "x", 60000})) == Why::kFenced);
    // Numbers go on: one that was given out is never another content's.
    assert(All<Answer>(after.Handle(0, Propose{7, 1, 0, "x", 60000}))[0].generation == g + 1);
  }
  {
    Desk d;  // staged and left alone; applied late, its lease ends with the proposal's time
    Generation g = d.stage("a"), h = d.stage("b");
    d.now = 59000;
    d.ApplyGeneration(g, 30000);
    assert(d.ledger.LeaseEnds() == 60000);
    d.now = 60000;
    assert(All<Forget>(d.Tell(Tick{})).size() == 1 && !d.ledger.ContentOf(h) &&
           d.ledger.Serving() == 0);
  }
  for (Ms lease : {-1.0, 0.0, 999.0, 600001.0, 5e9}) {
    Desk d;
    Generation g = d.stage("a");
    assert(Refused(d.Tell(Apply{1, 2, g, lease})) == Why::kBadLease && d.ledger.Serving() == 0);
  }
}

// ---- all states within bounds

struct Bound {
  Ms horizon = 6;
  int losses = 1;
  int front_deaths = 1;
  bool successor = false;
  std::size_t on_the_way = 2;  // words at once in each direction; more is as if lost
};

struct World {
  Ms now = 0;
  std::vector<Ledger> fronts;
  std::vector<Record> lasting;
  std::shared_ptr<const Push> push;  // null: dead
  int pushes = 0;
  int losses = 0;
  int deaths = 0;
  bool confirms[3] = {};  // a push has begun to say so
  bool lost_after_confirm = false;
  std::size_t on_the_way = 2;
  std::vector<std::pair<std::size_t, Happening>> there;    // on the way to fronts
  std::vector<std::tuple<std::size_t, int, Answer>> back;  // front, which push, answer

  std::string Fingerprint() const {
    std::string out = std::to_string(now) + '|' + std::to_string(pushes) + ' ' +
                      std::to_string(losses) + ' ' + std::to_string(deaths) +
                      (confirms[1] ? "c" : "") + (confirms[2] ? "d" : "") +
                      (lost_after_confirm ? "l" : "") + '|' + (push ? push->Fingerprint() : "dead");
    for (std::size_t i = 0; i < fronts.size(); ++i)
      out += '|' + fronts[i].Fingerprint() + '/' + std::to_string(lasting[i].kept) + ' ' +
             std::to_string(lasting[i].fence);
    std::vector<std::string> wire;
    for (auto& [front, what] : there) {
      std::string one = std::to_string(front) + 't' + std::to_string(what.index());
      std::visit(
          [&](const auto& w) {
            if constexpr (requires { w.fence; })
              one += ' ' + std::to_string(w.fence);
            if constexpr (requires { w.generation; })
              one += ' ' + std::to_string(w.generation);
            if constexpr (requires { w.content; })
              one += w.content;
            if constexpr (requires { w.confirm_within; })
              one += ' ' + std::to_string(w.confirm_within);
          },
          what);
      wire.push_back(one);
    }
    for (auto& [front, whose, a] : back)
      wire.push_back(std::to_string(front) + 'b' + std::to_string(whose) + ' ' +
                     std::to_string(a.ticket) + ' ' + std::to_string(a.generation) + ' ' +
                     std::to_string(static_cast<int>(a.refused)));
    std::sort(wire.begin(), wire.end());
    for (const std::string& one : wire)
      out += '|' + one;
    return out;
  }
};

const Bounds kSmall{4, 100, 1};
const PushTerms kTerms{3, 0, 1, 1, {0.5, 1}};

void Send(World& w, const std::vector<Say>& all) {
  for (const Say& s : all) {
    if (std::holds_alternative<Confirm>(s.what))
      w.confirms[w.pushes] = true;
    if (w.there.size() < w.on_the_way)
      w.there.push_back({s.front, s.what});
  }
}

// Carries out what a front wants; where it dies right after its record, nothing more.
// `whose`: the push that said what led to them; answers go back to it alone.
void CarryOut(World& w, std::size_t front, int whose, const std::vector<Deed>& deeds,
              bool dies_after_record) {
  for (const Deed& d : deeds) {
    if (auto* r = std::get_if<Record>(&d)) {
      w.lasting[front] = *r;
      if (dies_after_record)
        break;
    }
    if (auto* a = std::get_if<Answer>(&d); a && w.back.size() < w.on_the_way)
      w.back.push_back({front, whose, *a});
  }
}

void Check(const World& w, const Bound& bound) {
  for (const Ledger& f : w.fronts) {
    // Whole, and one of those that were proposed.
    const std::string* content = f.ContentOf(f.Serving());
    assert(content && (content->empty() || *content == "a" || *content == "b"));
    // Unconfirmed only within its lease.
    assert(f.Serving() == f.Kept() || (f.LeaseEnds() > 0 && w.now < f.LeaseEnds()));
    const std::string& kept = *f.ContentOf(f.Kept());
    assert(kept.empty() || (kept == "a" && w.confirms[1]) || (kept == "b" && w.confirms[2]));
  }
  if (w.now < bound.horizon)
    return;
  // All leases have ended: nothing was confirmed, so all are back.
  if (!w.confirms[1] && !w.confirms[2])
    for (const Ledger& f : w.fronts)
      assert(f.ContentOf(f.Serving())->empty());
  // Where the push says that all keep it, they do.
  if (w.push && w.push->phase() == Phase::kDone && w.push->Behind().empty())
    for (const Ledger& f : w.fronts)
      assert(*f.ContentOf(f.Kept()) == (w.pushes == 2 ? "b" : "a"));
}

void EveryStateWithin(const Bound& bound) {
  World first;
  first.fronts.assign(2, Ledger(kSmall));
  first.lasting.assign(2, Record{});
  first.pushes = 1;
  first.on_the_way = bound.on_the_way;
  Push push(kTerms, 1, "a", {0, 0}, 0);
  Send(first, push.tick(0));
  first.push = std::make_shared<const Push>(push);
  std::unordered_set<std::size_t> seen{std::hash<std::string>{}(first.Fingerprint())};
  std::deque<World> todo{first};
  std::size_t confirmed_by_all = 0, reverted_by_all = 0, apart = 0;
  auto reach = [&](World&& w) {
    Check(w, bound);
    if (seen.insert(std::hash<std::string>{}(w.Fingerprint())).second)
      todo.push_back(std::move(w));
  };
  while (!todo.empty()) {
    World w = std::move(todo.front());
    todo.pop_front();
    if (w.now >= bound.horizon) {
      std::string a = *w.fronts[0].ContentOf(w.fronts[0].Serving()),
                  b = *w.fronts[1].ContentOf(w.fronts[1].Serving());
      ++(a != b ? apart : a.empty() ? reverted_by_all : confirmed_by_all);
      continue;
    }
    // A word arrives at a front, is lost, or kills it right after its record.
    for (std::size_t i = 0; i < w.there.size(); ++i)
      for (int how = 0; how < 3; ++how) {
        if ((how == 1 && w.losses >= bound.losses) || (how == 2 && w.deaths >= bound.front_deaths))
          continue;
        World n = w;
        auto [front, what] = n.there[i];
        n.there.erase(n.there.begin() + static_cast<long>(i));
        if (how == 1) {
          ++n.losses;
          n.lost_after_confirm |= n.confirms[1] || n.confirms[2];
        } else {
          int whose = std::visit(
              [](const auto& one) {
                if constexpr (requires { one.fence; })
                  return static_cast<int>(one.fence);
                else
                  return 0;
              },
              what);
          CarryOut(n, front, whose, n.fronts[front].Handle(n.now, what), how == 2);
          if (how == 2) {
            ++n.deaths;
            n.fronts[front] = Ledger(kSmall, n.lasting[front]);
          }
        }
        reach(std::move(n));
      }
    for (std::size_t i = 0; i < w.back.size(); ++i)
      for (bool lost : {false, true}) {
        if (lost && w.losses >= bound.losses)
          continue;
        World n = w;
        auto [front, whose, answer] = n.back[i];
        n.back.erase(n.back.begin() + static_cast<long>(i));
        if (lost)
          ++n.losses;
        else if (n.push && whose == n.pushes) {
          Push p = *n.push;
          auto more = p.Answered(n.now, front, answer);
          n.push = std::make_shared<const Push>(p);
          Send(n, more);
        }
        reach(std::move(n));
      }
    // The coordinator dies for good, or its successor begins with another change and a higher
    // fence.
    if (w.push) {
      World n = w;
      n.push = nullptr;
      reach(std::move(n));
    } else if (bound.successor && w.pushes == 1 &&
               w.now <= 1) {  // so that its leases end within the horizon
      World n = w;
      n.pushes = 2;
      Push p(kTerms, 2, "b", {n.fronts[0].Kept(), n.fronts[1].Kept()}, n.now);
      Send(n, p.tick(n.now));
      n.push = std::make_shared<const Push>(p);
      reach(std::move(n));
    }
    for (std::size_t i = 0; i < 2 && w.deaths < bound.front_deaths; ++i) {
      World n = w;
      ++n.deaths;
      n.fronts[i] = Ledger(kSmall, n.lasting[i]);
      reach(std::move(n));
    }
    World n = w;
    n.now += 1;
    for (std::size_t i = 0; i < 2; ++i)
      CarryOut(n, i, 0, n.fronts[i].Handle(n.now, Tick{}), false);
    if (n.push) {
      Push p = *n.push;
      auto more = p.tick(n.now);
      n.push = std::make_shared<const Push>(p);
      Send(n, more);
    }
    reach(std::move(n));
  }
  std::printf(
      "%zu states; at their ends %zu with the change kept by all, %zu with it kept by none, %zu "
      "apart\n",
      seen.size(), confirmed_by_all, reverted_by_all, apart);
  assert(seen.size() > 1000 && confirmed_by_all > 0 && reverted_by_all > 0);
}

}  // namespace

// `deep`: more words on the way at once, which takes minutes.
int main(int argc, char**) {
  OneStepAtATime();
  std::size_t on_the_way = argc > 1 ? 2 : 1;
  EveryStateWithin({6, 1, 0, false, on_the_way});
  EveryStateWithin({6, 0, 1, false, on_the_way});
  EveryStateWithin({6, 0, 0, true, on_the_way});
}
