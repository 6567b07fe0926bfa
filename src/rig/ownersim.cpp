#include "rig/ownersim.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace dunlinwick::fleet {

using owner::Happened;
using owner::Id;
using owner::Ms;

constexpr Id kFirstPlace = 1000;

struct OwnerSim::Front {
  Id id = 0;
  bool member = false;
  bool up = false;
  bool paused = false;
  std::unique_ptr<owner::MemoryStore> store;
  std::unique_ptr<owner::Node> node;
  std::vector<std::string> waiting;  // while paused, as a socket's buffer
  std::uint64_t life = 0;
  Ms rate = 0;
  Ms offset = 0;
  Ms ticked = 0;
  Ms clock(Ms t) const {
    return t * (1 + rate) + offset;
  }
};
struct OwnerSim::Place {
  Id id = 0;
  owner::FencingTokenCheck fence;
};

OwnerSim::OwnerSim(OwnerTerms terms, std::uint64_t seed)
    : terms_(terms), seed_(seed), random_(static_cast<unsigned>(seed * 2654435761u + 17)) {
  for (std::size_t p = 0; p < terms_.places; ++p)
    places_.push_back(std::make_unique<Place>(Place{static_cast<Id>(kFirstPlace + p), {}}));
  for (std::size_t i = 0; i < terms_.fronts; ++i) {
    auto f = std::make_unique<Front>();
    f->id = static_cast<Id>(i + 1);
    f->member = i < terms_.group;
    f->store = std::make_unique<owner::MemoryStore>();
    f->offset = 1.7e12 + 1000 * Unit();
    fronts_.push_back(std::move(f));
  }
  for (std::size_t w = 0; w < terms_.works; ++w) {
    owner::Begun b{"work-" + std::to_string(w), terms_.steps, {}};
    // The first work is carried out at all places, the others at one each.
    for (std::size_t p = 0; p < terms_.places; ++p)
      if (w == 0 || p == w % terms_.places)
        b.places.push_back(places_[p]->id);
    run_.works.push_back(b);
  }
  for (auto& f : fronts_)
    Start(*f);
}
OwnerSim::~OwnerSim() = default;

void OwnerSim::Start(Front& f) {
  ++f.life;
  owner::NodeSettings t;
  t.self = f.id;
  t.lease = terms_.lease;
  t.raft = terms_.raft;
  for (std::size_t i = 0; i < terms_.group; ++i)
    t.group.push_back(static_cast<Id>(i + 1));
  for (const owner::Begun& b : run_.works)
    t.tasks.push_back({b.work, b.steps, terms_.each, b.places});
  Ms clock = f.clock(now_);
  owner::Node::Callbacks ways;
  ways.send = [this, id = f.id](Id to, std::string bytes) {
    Send(id, to, std::move(bytes));
  };
  ways.log_line = [this, &f](const std::string& line) {
    char at[32];
    std::snprintf(at, sizeof at, "%9.1f ", now_);
    run_.lines.push_back(at + std::to_string(f.id) + " " + line);
    Happened h;
    h.at = now_;
    h.front = f.id;
    h.life = f.life;
    char work[64];
    unsigned long long token = 0, step = 0;
    if (std::sscanf(line.c_str(), "owner of %63s token %llu from step %llu", work, &token, &step) ==
        3)
      h.what = Happened::What::kGranted;
    else if (std::sscanf(line.c_str(), "owner finished %63s token %llu", work, &token) == 2)
      h.what = Happened::What::kFinished;
    else
      return;
    h.work = work;
    h.token = token;
    h.step = step;
    run_.history.push_back(h);
  };
  f.node =
      std::make_unique<owner::Node>(std::move(t), f.member ? f.store.get() : nullptr,
                                    static_cast<std::uint64_t>(clock / 1000) * 64 + f.life % 64,
                                    seed_ * 1009 + f.id * 131 + f.life, clock, std::move(ways));
  f.node->agent().injected_faults.no_margin = terms_.breaks.no_margin;
  f.node->agent().injected_faults.from_first_step = terms_.breaks.from_the_start;
  f.node->agent().injected_faults.no_lease = terms_.breaks.no_lease;
  f.node->grants_without_quorum = terms_.breaks.grant_alone;
  if (f.member && terms_.breaks.reuse_tokens)
    f.node->group()->ReuseTokens();
  f.up = true;
  f.paused = false;
  f.waiting.clear();
  f.ticked = 0;
}

void OwnerSim::Send(Id from, Id to, std::string bytes) {
  ++datagrams_;
  auto f = owner::DecodeFrame(bytes);
  if (f && f->kind == owner::MessageKind::kStepRequest)
    if (auto d = owner::DecodeStepRequest(f->body)) {
      Happened h;
      h.what = Happened::What::kSent;
      h.at = now_;
      h.work = d->task;
      h.token = d->token;
      h.step = d->step;
      h.front = from;
      run_.history.push_back(h);
    }
  auto cut = cuts_.find({from, to});
  if ((cut != cuts_.end() && cut->second > 0) || Unit() < loss_)
    return;
  int copies = 1 + (Unit() < doubled_);
  for (int c = 0; c < copies; ++c)
    flights_.push({now_ + 0.3 + 0.4 * Unit() + extra_ * Unit(), order_++, to, bytes});
}

void OwnerSim::Deliver(Flight one) {
  if (one.to >= kFirstPlace) {
    Place& p = *places_[one.to - kFirstPlace];
    auto f = owner::DecodeFrame(one.bytes);
    auto d = f && f->kind == owner::MessageKind::kStepRequest ? owner::DecodeStepRequest(f->body)
                                                              : std::nullopt;
    if (!d)
      return;
    owner::StepResponse did{*d, owner::FencingResult::kDone, 0};
    did.result = terms_.breaks.no_fence ? owner::FencingResult::kDone
                                        : p.fence.Check(d->task, d->token, d->step);
    did.highest_token = p.fence.HighestToken(d->task);
    Happened h;
    h.what = Happened::What::kLanded;
    h.at = now_;
    h.work = d->task;
    h.token = d->token;
    h.step = d->step;
    h.front = f->from;
    h.place = p.id;
    h.landing = did.result;
    run_.history.push_back(h);
    return Send(p.id, f->from, owner::EncodeStepResponse(p.id, did));
  }
  Front& f = *fronts_[one.to - 1];
  if (!f.up)
    return;
  if (f.paused) {
    constexpr std::size_t kBuffered = 256;
    if (f.waiting.size() < kBuffered)
      f.waiting.push_back(std::move(one.bytes));
    return;
  }
  f.node->Receive(f.clock(now_), one.bytes);
}

void OwnerSim::RunUntil(Ms t) {
  constexpr Ms kEach = 20;
  while (now_ < t) {
    Ms next = t;
    for (auto& f : fronts_)
      if (f->up && !f->paused)
        next = std::min(next, std::max(now_, f->ticked + kEach));
    if (!flights_.empty())
      next = std::min(next, flights_.top().at);
    now_ = std::max(now_, next);
    while (!flights_.empty() && flights_.top().at <= now_) {
      Flight one = flights_.top();
      flights_.pop();
      Deliver(std::move(one));
    }
    for (auto& f : fronts_)
      if (f->up && !f->paused && now_ >= f->ticked + kEach) {
        f->ticked = now_;
        // What the group has recorded, as its leader holds it: for the checker.
        f->node->Tick(f->clock(now_));
        if (f->member && f->node->group()->IsLeader())
          for (const auto& [name, w] : f->node->group()->table().Tasks()) {
            auto known = std::find_if(run_.history.rbegin(), run_.history.rend(),
                                      [&, n = &name](const Happened& h) {
                                        return h.what == Happened::What::kRecorded && h.work == *n;
                                      });
            if (w.done_steps > (known == run_.history.rend() ? 0 : known->step)) {
              Happened h;
              h.what = Happened::What::kRecorded;
              h.at = now_;
              h.work = name;
              h.step = w.done_steps;
              run_.history.push_back(h);
            }
            bool notified = std::any_of(
                run_.history.begin(), run_.history.end(), [&, n = &name](const Happened& h) {
                  return h.what == Happened::What::kFinished && h.work == *n;
                });
            if (w.finished && !notified) {
              Happened h;
              h.what = Happened::What::kFinished;
              h.at = now_;
              h.work = name;
              run_.history.push_back(h);
            }
          }
      }
  }
}

void OwnerSim::Pause(Id id, bool on) {
  Front& f = *fronts_[id - 1];
  if (!f.up || f.paused == on)
    return;
  f.paused = on;
  if (!on)
    for (std::string& bytes : std::exchange(f.waiting, {}))
      f.node->Receive(f.clock(now_), bytes);
}
void OwnerSim::Kill(Id id) {
  Front& f = *fronts_[id - 1];
  f.up = false;
  f.paused = false;
  f.waiting.clear();
  f.node.reset();
}
void OwnerSim::Restart(Id id, bool lost) {
  Front& f = *fronts_[id - 1];
  Kill(id);
  if (lost)
    f.store = std::make_unique<owner::MemoryStore>();
  Start(f);
}
void OwnerSim::Cut(const std::vector<Id>& group, bool out_only, bool on, bool places) {
  auto in = [&](Id id) {
    return std::count(group.begin(), group.end(), id) > 0;
  };
  auto change = [&](Id a, Id b) {
    cuts_[{a, b}] += on ? 1 : -1;
  };
  for (Id a : group) {
    for (auto& f : fronts_)
      if (!in(f->id)) {
        change(a, f->id);
        if (!out_only)
          change(f->id, a);
      }
    if (!places)
      continue;
    for (auto& p : places_) {
      change(a, p->id);
      if (!out_only)
        change(p->id, a);
    }
  }
}
// The clock goes on from where it was, at another rate; and steps.
void OwnerSim::clock(Id id, double rate, Ms step) {
  Front& f = *fronts_[id - 1];
  f.offset += f.rate * now_ - rate * now_ + step;
  f.rate = rate;
}
Id OwnerSim::holder(const std::string& work) const {
  for (const auto& f : fronts_)
    if (f->up && !f->paused)
      for (const auto& h : f->node->agent().HeldLeases())
        if (h.task == work && f->clock(now_) < h.valid_until)
          return f->id;
  return 0;
}
bool OwnerSim::AllOver() const {
  for (const owner::Begun& b : run_.works)
    if (std::none_of(run_.history.begin(), run_.history.end(), [&](const Happened& h) {
          return h.what == Happened::What::kFinished && h.work == b.work;
        }))
      return false;
  return true;
}
OwnerRun OwnerSim::result(bool whole) {
  run_.whole = whole;
  run_.length = now_;
  run_.datagrams = datagrams_;
  return std::move(run_);
}

OwnerRun OwnerSim::Run() {
  RunUntil(6500);  // the group is founded first, and waits a lease before its first grant
  struct Undo {
    Ms at;
    std::function<void()> what;
  };
  std::vector<Undo> undo;
  auto note = [&](const std::string& what) {
    char at[32];
    std::snprintf(at, sizeof at, "%9.1f ", now_);
    run_.faults.push_back(at + what);
  };
  auto until = [&](Ms t) {
    while (true) {
      auto next = std::min_element(undo.begin(), undo.end(),
                                   [](const Undo& a, const Undo& b) { return a.at < b.at; });
      if (next == undo.end() || next->at > t)
        break;
      RunUntil(next->at);
      auto what = next->what;
      undo.erase(next);
      what();
    }
    RunUntil(t);
  };
  bool some_lost = false;
  const owner::LeaseSettings& l = terms_.lease;
  for (int i = 0; i < terms_.faults; ++i) {
    until(now_ + 200 + 1800 * Unit());
    // Half of the faults strike whoever owns something just now.
    Id who = static_cast<Id>(1 + Unit() * static_cast<double>(terms_.fronts));
    Id owns = holder(
        run_.works[static_cast<std::size_t>(Unit() * static_cast<double>(run_.works.size()))].work);
    if (owns != 0 && Unit() < 0.5)
      who = owns;
    Ms lasts = l.duration * (0.2 + 2.3 * Unit());
    std::string name = std::to_string(who),
                time = " for " + std::to_string(static_cast<int>(lasts)) + " ms";
    Front& f = *fronts_[who - 1];
    switch (static_cast<int>(Unit() * 9)) {
      case 0:
      case 1:
        if (f.up && !f.paused) {
          note("pause " + name + time);
          Pause(who, true);
          undo.push_back({now_ + lasts, [this, who] {
                            Pause(who, false);
                          }});
        }
        break;
      case 2: {
        bool lost = f.member && !some_lost && Unit() < 0.4;
        some_lost |= lost;
        note("kill " + name + (lost ? ", what it stored is lost" : "") + time);
        Kill(who);
        undo.push_back({now_ + lasts, [this, who, lost] {
                          Restart(who, lost);
                        }});
        break;
      }
      case 3:
      case 4: {
        bool out_only = Unit() < 0.4, places = Unit() < 0.3;
        note("cut " + name + (out_only ? " out only" : "") + (places ? " from places too" : "") +
             time);
        Cut({who}, out_only, true, places);
        undo.push_back({now_ + lasts, [this, who, out_only, places] {
                          Cut({who}, out_only, false, places);
                        }});
        break;
      }
      case 5: {
        Ms delay = l.duration * (0.1 + 0.8 * Unit());
        note("slow by up to " + std::to_string(static_cast<int>(delay)) + time);
        Slow(delay);
        undo.push_back({now_ + lasts, [this] {
                          Slow(0);
                        }});
        break;
      }
      case 6:
        note("loss, doubles" + time);
        loss_ = 0.3 * Unit();
        doubled_ = 0.2 * Unit();
        undo.push_back({now_ + lasts, [this] {
                          loss_ = doubled_ = 0;
                        }});
        break;
      case 7: {
        // Within the bound: a rate under `drift`, a step under half the margin; at most one step a
        // lease at this pace.
        double rate = (2 * Unit() - 1) * l.clock_drift * (terms_.past_bound ? 95 : 0.95);
        Ms step = (2 * Unit() - 1) * l.margin * (terms_.past_bound ? 20 : 0.2);
        if (terms_.past_bound) {
          run_.clocks_kept = false;
          who = owns != 0 ? owns : who;
        }
        note("clock " + name + " rate " + std::to_string(rate) + " step " + std::to_string(step));
        clock(who, rate, step);
        break;
      }
      case 8:
        if (terms_.lose_all && Unit() < 0.5) {
          note("all members lose what they stored");
          Happened h;
          h.what = Happened::What::kForgot;
          h.at = now_;
          run_.history.push_back(h);
          for (std::size_t m = 1; m <= terms_.group; ++m)
            Restart(static_cast<Id>(m), true);
        }
        break;
    }
  }
  while (!undo.empty())
    until(undo.front().at);
  loss_ = doubled_ = extra_ = 0;
  for (auto& f : fronts_)
    clock(f->id, 0, 0);  // else a lease at a clock that hardly goes outlasts the run
  for (auto& f : fronts_)
    if (!f->up)
      Restart(f->id, false);
  Ms end = now_ + 60000;
  while (now_ < end && !AllOver())
    RunUntil(now_ + 500);
  RunUntil(now_ + 500);
  return result(true);
}

}  // namespace dunlinwick::fleet
