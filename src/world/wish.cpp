// A wish at the machine that it came to: taken, answered from what is held, ended, given up.
#include <algorithm>
#include <cmath>
#include <cstdio>

#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

void Model::later(Ms when, std::shared_ptr<Work> work, void (Model::*what)(std::shared_ptr<Work>, Ms)) {
  at_(when, [this, when, work, what] {
    if (!work->over) (this->*what)(work, when);
  });
}

std::uint64_t Model::want(Ms now, const std::string& machine, Wish wish, Answered answered) {
  auto at = machines_.find(machine);
  if (at == machines_.end()) return 0;
  auto work = std::make_shared<Work>();
  work->key = hashed(wish.thing, static_cast<std::uint64_t>(wish.part) + 16);
  work->wish = std::move(wish);
  work->at = at->second;
  work->answered = std::move(answered);
  work->ticket = ++last_;
  work->cameAt = now;
  at->second->open[work->ticket] = work;
  std::uint64_t ticket = work->ticket;
  book(*at->second, meanSending(work->wish.offering), now);
  if (auto m = work->at.lock(); m && machines_.count(machine)) {  // a push may have ended it
    // Never answered from within the call.
    constexpr Ms reading = 0.1;
    if (m->stalledUntil > now) later(m->stalledUntil, work, &Model::take);
    else later(now + reading, work, &Model::take);
  }
  return ticket;
}

void Model::take(std::shared_ptr<Work> work, Ms now) {
  auto m = work->at.lock();
  if (!m) return;
  if (m->inHand >= m->make.slots) {
    if (static_cast<int>(m->waiting.size()) >= m->make.queue) return end(work, now, Word::shed, Note::none);
    m->waiting.push_back(work);
    return;
  }
  start(work, now);
}

void Model::start(std::shared_ptr<Work> work, Ms now) {
  auto m = work->at.lock();
  const OfferingTerms& o = terms_.offerings[static_cast<std::size_t>(work->wish.offering)];
  ++m->inHand;
  work->begun = true;
  if (now - work->cameAt > work->wish.most) return end(work, now, Word::late, Note::none);
  if (between(dice_, 0, 1) < terms_.errorRate) return end(work, now, Word::fault, Note::none);
  if (o.neverKept) {
    if (m->make.grade == Grade::office) return arrive(work, now);
    if (work->wish.source.empty()) return end(work, now, Word::none, Note::none);
    return fill(work, now);
  }
  work->sizeKb = sizeKb(work->wish.offering, work->wish.thing);
  Ms oldest = work->wish.within > 0 ? work->wish.within : o.freshFor;
  if (m->make.grade != Grade::office) {
    ++m->answers;
    if (Copy* c = holds(*m, work->key, now, oldest)) {
      ++m->hits;
      m->order.erase({c->rank, c->usedAt, work->key});
      c->usedAt = now;
      if (work->wish.rank > 0) c->rank = work->wish.rank;
      m->order.insert({c->rank, c->usedAt, work->key});
      work->note = Note::local;
      work->issued = c->issued;
      return send(work, now, work->sizeKb);
    }
    if (work->wish.source.empty() && m->make.grade == Grade::store)
      return end(work, now, Word::none, Note::none);
  }
  if (m->make.grade == Grade::store) return fill(work, now);
  work->fillAt = now;
  arrive(work, now);  // asked directly: it is its own source
}

void Model::send(std::shared_ptr<Work> work, Ms now, double sizeKb) {
  auto m = work->at.lock();
  bool valid = !work->wish.mine.empty() && work->wish.mine == tagOf(*work);
  double takes = (valid ? 0.05 : 1) * sizeKb / terms_.flowKbPerMs;
  work->jobs.push_back({work->at, -1, m->pipe->add(now, takes, [this, work, sizeKb](Ms then) {
                          if (!work->over) end(work, then, Word::hit, work->note, work->issued, sizeKb);
                        })});
}

std::string Model::tagOf(const Work& work) {
  char text[40];
  std::snprintf(text, sizeof text, "%016llx-%llx", static_cast<unsigned long long>(work.key),
                static_cast<unsigned long long>(work.issued));
  return text;
}

void Model::end(std::shared_ptr<Work> work, Ms now, Word word, Note note, Ms issued, double sizeKb) {
  if (work->over) return;
  work->over = true;
  auto m = work->at.lock();
  work->issued = issued;
  Reply r;
  r.word = word, r.note = note, r.delay = work->filling ? work->delay : 0;
  if (word == Word::hit) {
    r.tag = tagOf(*work), r.issued = std::floor(issued);
    bytes.asked += work->sizeKb / terms_.flowKbPerMs;
    r.sizeKb = sizeKb;
    if (work->wish.mine == r.tag) r.word = Word::valid, r.sizeKb = 0;
  }
  Answered answered = std::move(work->answered);
  if (m) leave(*m, work, now);
  if (answered) answered(r);
}

void Model::leave(Machine& m, std::shared_ptr<Work> work, Ms now) {
  m.open.erase(work->ticket);
  for (auto& job : work->jobs)
    if (job.link >= 0) links_[static_cast<std::size_t>(job.link)]->remove(now, job.id);
    else if (auto where = job.where.lock()) where->pipe->remove(now, job.id);
  work->jobs.clear();
  if (work->filling && !work->passed) --m.fills;
  if (!work->begun) {
    std::erase(m.waiting, work);
    return;
  }
  if (work->passed) return;
  --m.inHand;
  while (m.inHand < m.make.slots && !m.waiting.empty()) {
    auto next = m.waiting.front();
    m.waiting.pop_front();
    if (next->over) continue;
    start(next, now);
  }
}

void Model::giveUp(Ms now, const std::string& machine, std::uint64_t ticket) {
  auto at = machines_.find(machine);
  if (at == machines_.end()) return;
  auto found = at->second->open.find(ticket);
  if (found == at->second->open.end()) return;
  auto work = found->second;
  if (work->over) return;
  work->over = true;
  bytes.wasted += std::min(now - work->cameAt, work->sizeKb / terms_.flowKbPerMs);
  leave(*at->second, work, now);
}

}  // namespace dunlinwick::world
