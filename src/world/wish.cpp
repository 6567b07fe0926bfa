// A wish at the machine that it came to: taken, answered from what is held, ended, given up.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

void Model::Later(Ms when, std::shared_ptr<Work> work,
                  void (Model::*what)(std::shared_ptr<Work>, Ms)) {
  at_(when, [this, when, work, what] {
    if (!work->over)
      (this->*what)(work, when);
  });
}

std::uint64_t Model::Want(Ms now, const std::string& machine, ClientRequest client_request,
                          Answered answered) {
  auto at = machines_.find(machine);
  if (at == machines_.end())
    return 0;
  auto work = std::make_shared<Work>();
  work->key = Hashed(client_request.thing, static_cast<std::uint64_t>(client_request.part) + 16);
  work->client_request = std::move(client_request);
  work->at = at->second;
  work->answered = std::move(answered);
  work->ticket = ++last_;
  work->came_at = now;
  at->second->open[work->ticket] = work;
  std::uint64_t ticket = work->ticket;
  Book(*at->second, MeanSending(work->client_request.request_class), now);
  if (auto m = work->at.lock(); m && machines_.count(machine)) {  // a push may have ended it
    // Never answered from within the call.
    constexpr Ms kReading = 0.1;
    if (m->stalled_until > now)
      Later(m->stalled_until, work, &Model::Take);
    else
      Later(now + kReading, work, &Model::Take);
  }
  return ticket;
}

void Model::Take(std::shared_ptr<Work> work, Ms now) {
  auto m = work->at.lock();
  if (!m)
    return;
  if (m->in_hand >= m->make.slots) {
    if (static_cast<int>(m->waiting.size()) >= m->make.queue)
      return end(work, now, Word::kShed, Note::kNone);
    m->waiting.push_back(work);
    return;
  }
  Start(work, now);
}

void Model::Start(std::shared_ptr<Work> work, Ms now) {
  auto m = work->at.lock();
  const RequestClassTerms& o =
      terms_.request_classes[static_cast<std::size_t>(work->client_request.request_class)];
  ++m->in_hand;
  work->begun = true;
  if (now - work->came_at > work->client_request.most)
    return end(work, now, Word::kLate, Note::kNone);
  if (Between(random_engine_, 0, 1) < terms_.error_rate)
    return end(work, now, Word::kFault, Note::kNone);
  if (o.never_kept) {
    if (m->make.grade == Grade::kOffice)
      return Arrive(work, now);
    if (work->client_request.source.empty())
      return end(work, now, Word::kNone, Note::kNone);
    return Fill(work, now);
  }
  work->size_kb = SizeKb(work->client_request.request_class, work->client_request.thing);
  Ms oldest = work->client_request.within > 0 ? work->client_request.within : o.fresh_for;
  if (m->make.grade != Grade::kOffice) {
    ++m->answers;
    if (Copy* c = Holds(*m, work->key, now, oldest)) {
      ++m->hits;
      m->order.erase({c->rank, c->used_at, work->key});
      c->used_at = now;
      if (work->client_request.rank > 0)
        c->rank = work->client_request.rank;
      m->order.insert({c->rank, c->used_at, work->key});
      work->note = Note::kLocal;
      work->issued = c->issued;
      return Send(work, now, work->size_kb);
    }
    if (work->client_request.source.empty() && m->make.grade == Grade::kStore)
      return end(work, now, Word::kNone, Note::kNone);
  }
  if (m->make.grade == Grade::kStore)
    return Fill(work, now);
  work->fill_at = now;
  Arrive(work, now);  // asked directly: it is its own source
}

void Model::Send(std::shared_ptr<Work> work, Ms now, double size_kb) {
  auto m = work->at.lock();
  bool valid = !work->client_request.mine.empty() && work->client_request.mine == TagOf(*work);
  double takes = (valid ? 0.05 : 1) * size_kb / terms_.flow_kb_per_ms;
  work->jobs.push_back({work->at, -1, m->pipe->Add(now, takes, [this, work, size_kb](Ms then) {
                          if (!work->over)
                            end(work, then, Word::kHit, work->note, work->issued, size_kb);
                        })});
}

std::string Model::TagOf(const Work& work) {
  char text[40];
  std::snprintf(text, sizeof text, "%016llx-%llx", static_cast<unsigned long long>(work.key),
                static_cast<unsigned long long>(work.issued));
  return text;
}

void Model::end(std::shared_ptr<Work> work, Ms now, Word word, Note note, Ms issued,
                double size_kb) {
  if (work->over)
    return;
  work->over = true;
  auto m = work->at.lock();
  work->issued = issued;
  Reply r;
  r.word = word;
  r.note = note;
  r.delay = work->filling ? work->delay : 0;
  if (word == Word::kHit) {
    r.tag = TagOf(*work);
    r.issued = std::floor(issued);
    bytes.asked += work->size_kb / terms_.flow_kb_per_ms;
    r.size_kb = size_kb;
    if (work->client_request.mine == r.tag) {
      r.word = Word::kValid;
      r.size_kb = 0;
    }
  }
  Answered answered = std::move(work->answered);
  if (m)
    Leave(*m, work, now);
  if (answered)
    answered(r);
}

void Model::Leave(Machine& m, std::shared_ptr<Work> work, Ms now) {
  m.open.erase(work->ticket);
  for (auto& job : work->jobs)
    if (job.link >= 0)
      links_[static_cast<std::size_t>(job.link)]->Remove(now, job.id);
    else if (auto where = job.where.lock())
      where->pipe->Remove(now, job.id);
  work->jobs.clear();
  if (work->filling && !work->passed)
    --m.fills;
  if (!work->begun) {
    std::erase(m.waiting, work);
    return;
  }
  if (work->passed)
    return;
  --m.in_hand;
  while (m.in_hand < m.make.slots && !m.waiting.empty()) {
    auto next = m.waiting.front();
    m.waiting.pop_front();
    if (next->over)
      continue;
    Start(next, now);
  }
}

void Model::GiveUp(Ms now, const std::string& machine, std::uint64_t ticket) {
  auto at = machines_.find(machine);
  if (at == machines_.end())
    return;
  auto found = at->second->open.find(ticket);
  if (found == at->second->open.end())
    return;
  auto work = found->second;
  if (work->over)
    return;
  work->over = true;
  bytes.wasted += std::min(now - work->came_at, work->size_kb / terms_.flow_kb_per_ms);
  Leave(*at->second, work, now);
}

}  // namespace dunlinwick::world
