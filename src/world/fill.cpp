// A wish at its source: a store's neighbour, an area cache, the head office; and what comes back.
#include <algorithm>

#include "world/hashes.hpp"
#include "world/work.hpp"

namespace dunlinwick::world {

void Model::Fill(std::shared_ptr<Work> work, Ms now) {
  auto m = work->at.lock();
  if (m->fills >= m->make.fills)
    return end(work, now, Word::kFault, Note::kNoPlace);
  ++m->fills;
  work->filling = true;
  work->fill_at = now;
  auto at = machines_.find(work->client_request.source);
  Ms way = at == machines_.end()                     ? 5
           : at->second->make.grade == Grade::kStore ? 0.3
                                                     : at->second->make.way;
  if (at != machines_.end())
    work->source = at->second;
  Later(now + way, work, &Model::Arrive);
  Later(now + terms_.fill_timeout, work, &Model::GiveUpFill);
}

// Nothing has come from the source in its time.
void Model::GiveUpFill(std::shared_ptr<Work> work, Ms now) {
  if (!work->fetched)
    end(work, now, Word::kFault, Note::kCutOff);
}

void Model::Arrive(std::shared_ptr<Work> work, Ms now) {
  const RequestClassTerms& o =
      terms_.request_classes[static_cast<std::size_t>(work->client_request.request_class)];
  auto m = work->at.lock();
  auto s = work->filling ? work->source.lock() : m;
  // A process that is gone refuses; one that stands still keeps its callers waiting.
  if (!s || !machines_.count(s->make.id) || machines_[s->make.id] != s)
    return end(work, now, Word::kFault, Note::kCutOff);
  if (s->stalled_until > now)
    return Later(s->stalled_until, work, &Model::Arrive);
  if (o.never_kept) {
    if (s->make.grade != Grade::kOffice)
      return end(work, now, Word::kFault, Note::kNone);
    work->fetched = true;
    witness_.Ran(now, work->client_request.id, work->client_request.thing);
    Ms way = work->filling ? s->make.way : 0;
    std::uint64_t job = s->pipe->Add(
        now, o.sending * Between(random_engine_, 0.5, 1.5), [this, work, way](Ms then) {
          auto done = [this, work](Ms when) {
            if (!work->over)
              end(work, when, Word::kHit, work->filling ? Note::kPulledFar : Note::kLocal, when,
                  0.1);
          };
          if (way > 0)
            at_(then + way, [done, when = then + way] { done(when); });
          else
            done(then);
        });
    (void)job;  // what has begun there runs to its end, whoever has left
    return;
  }
  if (work->filling)
    Book(*s, MeanSending(work->client_request.request_class), now);
  if (!machines_.count(s->make.id))
    return;  // that push ended it
  Ms oldest = work->client_request.within > 0 ? work->client_request.within : o.fresh_for;
  if (s->make.grade == Grade::kOffice)
    return FromOffice(s, work, now);
  if (work->filling)
    if (Copy* c = Holds(*s, work->key, now, oldest)) {
      s->order.erase({c->rank, c->used_at, work->key});
      c->used_at = now;
      s->order.insert({c->rank, c->used_at, work->key});
      return Come(work, now, c->issued, Note::kPulled);
    }
  if (s->make.grade == Grade::kStore || work->client_request.held_only)
    return end(work, now, Word::kNone, Note::kNotThere);
  if (static_cast<int>(s->fetches.size()) >= s->make.fills)
    return end(work, now, Word::kFault, Note::kTurnedAway);
  auto& waiting = s->fetches[work->key];
  waiting.push_back(work);
  if (waiting.size() > 1)
    return;  // once for all who wait
  auto far = std::make_shared<Work>();
  far->client_request = work->client_request;
  far->key = work->key;
  far->size_kb = work->size_kb;
  far->at = s;
  far->filling = true;
  far->passed = true;
  auto office = std::find_if(machines_.begin(), machines_.end(),
                             [](auto& one) { return one.second->make.grade == Grade::kOffice; });
  if (office == machines_.end())
    return Fetched(far, now, 0);
  far->source = office->second;
  Later(now + 5, far, &Model::Arrive);
}

// What an area cache asked for has come, or can't be had (`issued` 0).
void Model::Fetched(std::shared_ptr<Work> far, Ms now, Ms issued) {
  auto s = far->at.lock();
  far->over = true;
  if (!s)
    return;
  auto found = s->fetches.find(far->key);
  if (found == s->fetches.end())
    return;
  auto waiting = std::move(found->second);
  s->fetches.erase(found);
  if (issued > 0) {
    Copy c{far->size_kb,
           issued,
           now,
           1,
           group(far->client_request.thing),
           Hashed(far->client_request.thing)};
    Keep(*s, far->key, c, now);
  }
  for (auto& work : waiting)
    if (!work->over) {
      if (issued > 0)
        Come(work, now, issued, Note::kPulledFar);
      else
        end(work, now, Word::kFault, Note::kFarFault);
    }
}

void Model::FromOffice(std::shared_ptr<Machine> s, std::shared_ptr<Work> work, Ms now) {
  // Pushed too hard for too long, it stops for some seconds.
  s->pushes.push_back({now, work->size_kb / terms_.flow_kb_per_ms});
  s->pushed += s->pushes.back().second;
  while (s->pushes.front().first <= now - terms_.office_window) {
    s->pushed -= s->pushes.front().second;
    s->pushes.pop_front();
  }
  if (s->pushed > terms_.office_multiple * s->pipe->capacity * terms_.office_window &&
      office_stops_ < terms_.office_stops) {
    ++office_stops_;
    s->pushes.clear();
    s->pushed = 0;
    Stall(now, s->make.id, now + Between(random_engine_, 2000, 5000));
  }
  Ms answers = terms_.office_answers * Between(random_engine_, 0.7, 1.3);
  bytes.office += work->size_kb;
  work->issued = now;
  if (work->passed) {  // whole, then on: an area cache keeps what it passes on
    std::weak_ptr<Machine> office = s;
    at_(now + answers, [this, work, office, now, answers] {
      auto s = office.lock();
      if (!s || work->over)
        return;
      s->pipe->Add(now + answers, work->size_kb / terms_.flow_kb_per_ms, [this, work](Ms then) {
        if (!work->over)
          Fetched(work, then + 0, work->issued);
      });
    });
    return;
  }
  at_(now + answers, [this, work, now, answers] {
    if (!work->over)
      Come(work, now + answers, work->issued, work->filling ? Note::kPulledFar : Note::kLocal);
  });
}

// The source has its first byte ready: from here the parts run side by side, and the slowest tells.
void Model::Come(std::shared_ptr<Work> work, Ms now, Ms issued, Note note) {
  auto m = work->at.lock();
  auto s = work->filling ? work->source.lock() : nullptr;
  if (!m)
    return;
  if (work->filling && !s)
    return end(work, now, Word::kFault, Note::kCutOff);
  work->fetched = true;
  work->issued = issued;
  work->note = note;
  Ms way = !s ? 0 : s->make.grade == Grade::kStore ? 0.3 : s->make.way;
  work->delay = now + way - work->fill_at;
  double takes = work->size_kb / terms_.flow_kb_per_ms;
  auto part = [this, work](Ms then) {
    if (--work->parts > 0 || work->over)
      return;
    auto m = work->at.lock();
    if (!m)
      return;
    if (work->filling && work->client_request.rank > 0 && !work->client_request.passing) {
      Copy c{work->size_kb,
             work->issued,
             then,
             work->client_request.rank,
             group(work->client_request.thing),
             Hashed(work->client_request.thing)};
      Keep(*m, work->key, c, then);
    }
    end(work, then, Word::kHit, work->note, work->issued, work->size_kb);
  };
  Ms here = now + way;
  at_(here, [this, work, part, takes, here] {
    auto m = work->at.lock();
    auto s = work->filling ? work->source.lock() : nullptr;
    if (work->over || !m)
      return;
    bool link = m->make.store >= 0 && (!s || s->make.grade != Grade::kStore);
    work->parts = 1 + (s ? 1 : 0) + link;
    work->jobs.push_back({work->at, -1, m->pipe->Add(here, takes, part)});
    if (s)
      work->jobs.push_back({work->source, -1, s->pipe->Add(here, takes, part)});
    if (link) {
      bytes.links += work->size_kb;
      auto& pipe = links_[static_cast<std::size_t>(m->make.store)];
      work->jobs.push_back({{}, m->make.store, pipe->Add(here, takes, part)});
    }
  });
}

}  // namespace dunlinwick::world
