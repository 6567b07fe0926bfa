// Machines and links: what there is, what it can do by now, what it reports, what troubles it.
#include "world/model.hpp"

#include <algorithm>

#include "world/work.hpp"

namespace dunlinwick::world {

Model::Model(Terms terms, std::uint64_t seed, Ms start, At at, Witness& witness)
    : terms_(std::move(terms)),
      random_engine_(seed),
      start_(start),
      at_(std::move(at)),
      witness_(witness) {}

Model::~Model() = default;

double Model::MeanSending(int request_class) const {
  return terms_.request_classes[static_cast<std::size_t>(request_class)].sending;
}

void Model::SetLink(int store, double capacity) {
  auto at = static_cast<std::size_t>(store);
  if (links_.size() <= at)
    links_.resize(at + 1);
  links_[at] = std::make_unique<Pipe>(*this, capacity, terms_.fill_pace);
}

void Model::Add(const Make& make) {
  auto m = std::make_shared<Machine>();
  m->make = make;
  m->life = ++last_;
  m->pipe = std::make_unique<Pipe>(*this, make.capacity,
                                   make.grade == Grade::kStore ? 1 : terms_.fill_pace);
  m->pipe->slows = make.grade == Grade::kOffice;
  machines_[make.id] = m;
  Sample(make.id, m->life);
}

void Model::Remove(Ms now, const std::string& machine) {
  auto at = machines_.find(machine);
  if (at == machines_.end())
    return;
  auto m = at->second;
  for (auto& [ticket, work] : m->open)
    work->over = true;
  auto open = m->open;
  machines_.erase(at);
  // Its fills end at their sources.
  for (auto& [ticket, work] : open)
    for (auto& job : work->jobs)
      if (job.link >= 0)
        links_[static_cast<std::size_t>(job.link)]->Remove(now, job.id);
      else if (auto where = job.where.lock())
        where->pipe->Remove(now, job.id);
}

double Model::CapacityOf(Machine& m, Ms now) const {
  double c = m.make.capacity;
  if (m.make.started_at > 0) {
    double from = m.Store() ? terms_.cold_store_from : terms_.cold_area_from;
    Ms lasts = m.Store() ? terms_.cold_store_lasts : terms_.cold_area_lasts;
    double warm = std::clamp((now - m.make.started_at) / lasts, 0.0, 1.0);
    if (m.make.grade != Grade::kOffice)
      c *= from + (1 - from) * warm;
  }
  return c;
}

// Every quarter second while it is cold, and at each report: what it can do by now, and what it
// would report.
void Model::Sample(const std::string& machine, std::uint64_t life) {
  auto at = machines_.find(machine);
  if (at == machines_.end() || at->second->life != life)
    return;
  Machine& m = *at->second;
  Ms now = m.samples.empty() ? std::max(start_, m.make.started_at)
                             : m.samples.back().first + terms_.report_every;
  m.pipe->Change(now, CapacityOf(m, now) / m.slowed);
  Load l;
  l.util = std::min(1.0, m.pipe->level());
  l.inflight = m.in_hand + static_cast<double>(m.waiting.size());
  l.hits = m.answers > 0 ? m.hits / m.answers : 0;
  if (m.make.grade == Grade::kArea)
    l.link = static_cast<double>(m.fetches.size());
  else if (m.make.store >= 0)
    l.link = std::min(1.0, links_[static_cast<std::size_t>(m.make.store)]->level());
  m.hits *= 0.8;
  m.answers *= 0.8;
  m.samples.push_back({now, l});
  while (m.samples.size() > 1 && m.samples.front().first < now - 8000)
    m.samples.pop_front();
  at_(now + terms_.report_every, [this, machine, life] { Sample(machine, life); });
}

Load Model::load(Ms now, const std::string& machine) {
  auto at = machines_.find(machine);
  if (at == machines_.end())
    return {};
  Load l;
  for (auto& [when, one] : at->second->samples)
    if (when <= now - terms_.report_late - reports_later_)
      l = one;
  return l;
}

// The cold rule: all that comes to a machine counts, also what it turns away, at its offering's
// mean.
void Model::Book(Machine& m, double work, Ms now) {
  if (m.make.started_at <= 0 || m.make.grade == Grade::kOffice)
    return;
  Ms lasts = m.Store() ? terms_.cold_store_lasts : terms_.cold_area_lasts;
  if (now > m.make.started_at + lasts)
    return;
  m.pushes.push_back({now, work});
  m.pushed += work;
  while (m.pushes.front().first <= now - terms_.cold_window) {
    m.pushed -= m.pushes.front().second;
    m.pushes.pop_front();
  }
  double limit = (m.Store() ? terms_.cold_store_multiple : terms_.cold_area_multiple) *
                 CapacityOf(m, now) * terms_.cold_window;
  witness_.ColdPush(m.make.id, m.pushed / limit);
  // One leg alone falls over nothing: the window's sum less its last counts, as slack for chance.
  if (m.pushed - work > limit)
    witness_.PushedOver(now, m.make.id, m.pushed, limit);
}

void Model::StartNotified(const std::string& machine) {
  if (auto at = machines_.find(machine);
      at != machines_.end() && at->second->make.grade != Grade::kOffice) {
    at->second->pushes.clear();
    at->second->pushed = 0;
  }
}

// ---- troubles

void Model::Stall(Ms now, const std::string& machine, Ms until) {
  auto at = machines_.find(machine);
  if (at == machines_.end())
    return;
  auto m = at->second;
  m->stalled_until = std::max(m->stalled_until, until);
  m->pipe->Stop(now, true);
  std::weak_ptr<Machine> which = m;
  at_(m->stalled_until, [which, until] {
    if (auto one = which.lock(); one && one->stalled_until <= until)
      one->pipe->Stop(until, false);
  });
}

void Model::Slow(Ms now, const std::string& machine, double factor) {
  auto at = machines_.find(machine);
  if (at == machines_.end())
    return;
  at->second->slowed = factor;
  at->second->pipe->Change(now, CapacityOf(*at->second, now) / factor);
}

}  // namespace dunlinwick::world
