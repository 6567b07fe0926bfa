// A wish at its source: a store's neighbour, an area cache, the head office; and what comes back.
#include <algorithm>

#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

void Model::fill(std::shared_ptr<Work> work, Ms now) {
  auto m = work->at.lock();
  if (m->fills >= m->make.fills) return end(work, now, Word::fault, Note::noPlace);
  ++m->fills;
  work->filling = true;
  work->fillAt = now;
  auto at = machines_.find(work->wish.source);
  Ms way = at == machines_.end() ? 5 : at->second->make.grade == Grade::store ? 0.3 : at->second->make.way;
  if (at != machines_.end()) work->source = at->second;
  later(now + way, work, &Model::arrive);
  later(now + terms_.fillTimeout, work, &Model::giveUpFill);
}

// Nothing has come from the source in its time.
void Model::giveUpFill(std::shared_ptr<Work> work, Ms now) {
  if (!work->fetched) end(work, now, Word::fault, Note::cutOff);
}

void Model::arrive(std::shared_ptr<Work> work, Ms now) {
  const OfferingTerms& o = terms_.offerings[static_cast<std::size_t>(work->wish.offering)];
  auto m = work->at.lock();
  auto s = work->filling ? work->source.lock() : m;
  // A process that is gone refuses; one that stands still keeps its callers waiting.
  if (!s || !machines_.count(s->make.id) || machines_[s->make.id] != s)
    return end(work, now, Word::fault, Note::cutOff);
  if (s->stalledUntil > now) return later(s->stalledUntil, work, &Model::arrive);
  if (o.neverKept) {
    if (s->make.grade != Grade::office) return end(work, now, Word::fault, Note::none);
    work->fetched = true;
    witness_.ran(now, work->wish.id, work->wish.thing);
    Ms way = work->filling ? s->make.way : 0;
    std::uint64_t job = s->pipe->add(now, o.sending * between(dice_, 0.5, 1.5), [this, work, way](Ms then) {
      auto done = [this, work](Ms when) {
        if (!work->over) end(work, when, Word::hit, work->filling ? Note::pulledFar : Note::local, when, 0.1);
      };
      if (way > 0) at_(then + way, [done, when = then + way] { done(when); });
      else done(then);
    });
    (void)job;  // what has begun there runs to its end, whoever has left
    return;
  }
  if (work->filling) book(*s, meanSending(work->wish.offering), now);
  if (!machines_.count(s->make.id)) return;  // that push ended it
  Ms oldest = work->wish.within > 0 ? work->wish.within : o.freshFor;
  if (s->make.grade == Grade::office) return fromOffice(s, work, now);
  if (work->filling)
    if (Copy* c = holds(*s, work->key, now, oldest)) {
      s->order.erase({c->rank, c->usedAt, work->key});
      c->usedAt = now;
      s->order.insert({c->rank, c->usedAt, work->key});
      return come(work, now, c->issued, Note::pulled);
    }
  if (s->make.grade == Grade::store || work->wish.heldOnly) return end(work, now, Word::none, Note::notThere);
  if (static_cast<int>(s->fetches.size()) >= s->make.fills) return end(work, now, Word::fault, Note::turnedAway);
  auto& waiting = s->fetches[work->key];
  waiting.push_back(work);
  if (waiting.size() > 1) return;  // once for all who wait
  auto far = std::make_shared<Work>();
  far->wish = work->wish;
  far->key = work->key;
  far->sizeKb = work->sizeKb;
  far->at = s;
  far->filling = true;
  far->passed = true;
  auto office = std::find_if(machines_.begin(), machines_.end(),
                             [](auto& one) { return one.second->make.grade == Grade::office; });
  if (office == machines_.end()) return fetched(far, now, 0);
  far->source = office->second;
  later(now + 5, far, &Model::arrive);
}

// What an area cache asked for has come, or can't be had (`issued` 0).
void Model::fetched(std::shared_ptr<Work> far, Ms now, Ms issued) {
  auto s = far->at.lock();
  far->over = true;
  if (!s) return;
  auto found = s->fetches.find(far->key);
  if (found == s->fetches.end()) return;
  auto waiting = std::move(found->second);
  s->fetches.erase(found);
  if (issued > 0) {
    Copy c{far->sizeKb, issued, now, 1, group(far->wish.thing), hashed(far->wish.thing)};
    keep(*s, far->key, c, now);
  }
  for (auto& work : waiting)
    if (!work->over) {
      if (issued > 0) come(work, now, issued, Note::pulledFar);
      else end(work, now, Word::fault, Note::farFault);
    }
}

void Model::fromOffice(std::shared_ptr<Machine> s, std::shared_ptr<Work> work, Ms now) {
  // Pushed too hard for too long, it stops for some seconds.
  s->pushes.push_back({now, work->sizeKb / terms_.flowKbPerMs});
  s->pushed += s->pushes.back().second;
  while (s->pushes.front().first <= now - terms_.officeWindow) {
    s->pushed -= s->pushes.front().second;
    s->pushes.pop_front();
  }
  if (s->pushed > terms_.officeMultiple * s->pipe->capacity * terms_.officeWindow &&
      officeStops_ < terms_.officeStops) {
    ++officeStops_;
    s->pushes.clear(), s->pushed = 0;
    stall(now, s->make.id, now + between(dice_, 2000, 5000));
  }
  Ms answers = terms_.officeAnswers * between(dice_, 0.7, 1.3);
  bytes.office += work->sizeKb;
  work->issued = now;
  if (work->passed) {  // whole, then on: an area cache keeps what it passes on
    std::weak_ptr<Machine> office = s;
    at_(now + answers, [this, work, office, now, answers] {
      auto s = office.lock();
      if (!s || work->over) return;
      s->pipe->add(now + answers, work->sizeKb / terms_.flowKbPerMs, [this, work](Ms then) {
        if (!work->over) fetched(work, then + 0, work->issued);
      });
    });
    return;
  }
  at_(now + answers, [this, work, now, answers] {
    if (!work->over) come(work, now + answers, work->issued, work->filling ? Note::pulledFar : Note::local);
  });
}

// The source has its first byte ready: from here the parts run side by side, and the slowest tells.
void Model::come(std::shared_ptr<Work> work, Ms now, Ms issued, Note note) {
  auto m = work->at.lock();
  auto s = work->filling ? work->source.lock() : nullptr;
  if (!m) return;
  if (work->filling && !s) return end(work, now, Word::fault, Note::cutOff);
  work->fetched = true;
  work->issued = issued;
  work->note = note;
  Ms way = !s ? 0 : s->make.grade == Grade::store ? 0.3 : s->make.way;
  work->delay = now + way - work->fillAt;
  double takes = work->sizeKb / terms_.flowKbPerMs;
  auto part = [this, work](Ms then) {
    if (--work->parts > 0 || work->over) return;
    auto m = work->at.lock();
    if (!m) return;
    if (work->filling && work->wish.rank > 0 && !work->wish.passing) {
      Copy c{work->sizeKb, work->issued, then, work->wish.rank, group(work->wish.thing),
             hashed(work->wish.thing)};
      keep(*m, work->key, c, then);
    }
    end(work, then, Word::hit, work->note, work->issued, work->sizeKb);
  };
  Ms here = now + way;
  at_(here, [this, work, part, takes, here] {
    auto m = work->at.lock();
    auto s = work->filling ? work->source.lock() : nullptr;
    if (work->over || !m) return;
    bool link = m->make.store >= 0 && (!s || s->make.grade != Grade::store);
    work->parts = 1 + (s ? 1 : 0) + link;
    work->jobs.push_back({work->at, -1, m->pipe->add(here, takes, part)});
    if (s) work->jobs.push_back({work->source, -1, s->pipe->add(here, takes, part)});
    if (link) {
      bytes.links += work->sizeKb;
      auto& pipe = links_[static_cast<std::size_t>(m->make.store)];
      work->jobs.push_back({{}, m->make.store, pipe->add(here, takes, part)});
    }
  });
}

}  // namespace dunlinwick::world
