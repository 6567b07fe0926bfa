#include "record/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <unordered_map>

namespace dunlinwick::record {

namespace {

struct Record {
  Entry entry;
  Offset before = 0;
  Offset after = 0;  // of the same key; 0: none
};
// What one takes in memory: its node, the key once more in the index, and their bookkeeping.
std::size_t SizeOf(const Entry& e) {
  return 256 + 2 * e.key.size() + e.value.size();
}
bool Fits(const Entry& e) {
  return !e.key.empty() && e.key.size() <= kLongestKey && e.value.size() <= kLongestValue &&
         static_cast<std::size_t>(e.stream) < kStreams && !(e.tombstone && !e.value.empty()) &&
         std::isfinite(e.at);
}

}  // namespace

struct Log::Inner {
  LogTerms terms;
  Disk& disk;
  Head head;
  bool loses = false;      // an entry at or below `cleaned` is gone: a hole stands for it ...
  std::uint64_t lost = 0;  // ... and for so many more
  bool failed = false;
  bool changed = false;  // changed: the head differs from the disk's (witness)
  std::map<Offset, Record> records;
  std::set<Offset> holes;
  std::set<Offset> tombstones;
  std::array<std::unordered_map<std::string, Offset>, kStreams>
      newest;  // looked up only, never walked
  std::size_t bytes = 0;
  std::size_t dead = 0;
  Plan plan;
  Offset swept = 0;  // up to here only the latest of each key is left; begun anew at each start
  // Of worth(): up to `old` entries were found old enough; their bytes, and how many of them are
  // dead by what is at or below it.
  mutable Offset old = 0;
  mutable std::size_t old_bytes = 0;
  mutable std::size_t old_dead = 0;

  Inner(LogTerms t, Disk& d) : terms(t), disk(d) {}

  // First the disk, then memory: what fails leaves memory as it was.
  template <class What>
  void Call(What what) {
    if (failed)
      throw Failed("its disk failed before");
    try {
      what();
    } catch (const Full&) {
      throw;
    } catch (...) {
      failed = true;
      throw;
    }
  }
  Offset Last() const {
    Offset n = head.first - 1;
    if (!records.empty())
      n = std::max(n, records.rbegin()->first);
    if (!holes.empty())
      n = std::max(n, *holes.rbegin());
    return n;
  }
  std::uint64_t Count() const {
    return records.size() + holes.size() + lost;
  }
  bool HoleUpTo(Offset up_to) const {
    return !holes.empty() && *holes.begin() <= up_to;
  }
  void ForgetAges() {
    old = 0;
    old_bytes = old_dead = 0;
  }
  void Insert(const Entry& e) {
    Record& r = records.emplace_hint(records.end(), e.offset, Record{e, 0, 0})->second;
    auto& index = newest[static_cast<std::size_t>(e.stream)];
    auto [n, first] = index.try_emplace(e.key, e.offset);
    if (!first) {
      if (n->second < e.offset) {
        r.before = n->second;
        n->second = e.offset;
      } else {  // healed, below others of its key
        r.after = n->second;
        for (Offset b; (b = records.at(r.after).before) > e.offset;)
          r.after = b;
        r.before = records.at(r.after).before;
        records.at(r.after).before = e.offset;
        dead += SizeOf(e);
      }
      if (r.before != 0) {
        Record& b = records.at(r.before);
        if (b.after == 0)
          dead += SizeOf(b.entry);
        b.after = e.offset;
      }
    }
    bytes += SizeOf(e);
    if (e.tombstone)
      tombstones.insert(e.offset);
  }
  void Erase(Offset offset) {
    auto i = records.find(offset);
    if (i == records.end())
      return;
    Record& r = i->second;
    std::size_t size = SizeOf(r.entry);
    bytes -= size;
    if (r.after != 0)
      dead -= size;
    if (offset <= old) {
      old_bytes -= size;
      if (r.after != 0 && r.after <= old)
        old_dead -= size;
    }
    if (r.before != 0) {
      Record& b = records.at(r.before);
      b.after = r.after;
      if (r.after == 0)
        dead -= SizeOf(b.entry);
    }
    if (r.after != 0)
      records.at(r.after).before = r.before;
    else if (auto& index = newest[static_cast<std::size_t>(r.entry.stream)]; r.before != 0)
      index[r.entry.key] = r.before;
    else
      index.erase(r.entry.key);
    if (r.entry.tombstone)
      tombstones.erase(offset);
    records.erase(i);
  }
  // Each in a row with the one before it, but for gaps where the source was compacted.
  bool InRow(Offset after, const std::vector<Entry>& entries, Offset cleaned) const {
    for (const Entry& e : entries) {
      if (e.offset <= after || !Fits(e))
        return false;
      if (e.offset != after + 1 && e.offset - 1 > cleaned)
        return false;
      after = e.offset;
    }
    return true;
  }
  void room(const std::vector<Entry>& entries, std::size_t freed) const {
    std::size_t more = 0;
    for (const Entry& e : entries)
      more += SizeOf(e);
    if (bytes - freed + more > terms.most_bytes)
      throw Full("more than " + std::to_string(terms.most_bytes) + " bytes of record in memory");
  }
  void place(Head next) {
    head = std::move(next);
    changed = false;
  }
};

Log::Log(Id self, LogTerms terms, Disk& disk, std::uint64_t new_store)
    : inner_(std::make_unique<Inner>(terms, disk)) {
  Inner& in = *inner_;
  if (auto h = disk.head()) {
    if (h->keeper != self)
      throw Failed("the disk is of keeper " + std::to_string(h->keeper) + ", not of " +
                   std::to_string(self) + ": swapped");
    in.head = *h;
  } else {
    in.head.store = new_store;
    in.head.keeper = self;
  }
  ++in.head.starts;
  Offset before = std::max(in.head.cleaned, in.head.first - 1);
  auto missing = [&](Offset below) {
    for (; before + 1 < below; ++before)
      in.holes.insert(before + 1);
  };
  disk.Each([&](Offset offset, const Entry* e) {
    missing(offset);
    before = std::max(before, offset);
    if (e && e->offset == offset && Fits(*e))
      in.Insert(*e);
    else
      in.holes.insert(offset);
  });
  missing(in.head.committed + 1);  // what was known to be here must be
  // An entry lost at or below `cleaned` looks like one compacted: served and handed on as whole,
  // its key would be missing for ever. The lowest gap is a hole for the first of them.
  if (auto n = in.Count(), notified = in.head.entries.value_or(0); n < notified) {
    Offset gap = 1;
    while (gap <= in.head.cleaned && (in.records.count(gap) != 0 || in.holes.count(gap) != 0))
      ++gap;
    if (gap <= in.head.cleaned) {
      in.loses = true;
      in.holes.insert(gap);
      in.lost = notified - n - 1;
    } else
      missing(before + 1 + (notified - n));  // the last it had
  }
  in.head.entries = in.Count();
  in.Call([&] { disk.Write(in.head); });
}
Log::~Log() = default;

const Head& Log::head() const {
  return inner_->head;
}
bool Log::Lost() const {
  return inner_->loses;
}
bool Log::has_failed() const {
  return inner_->failed;
}
Offset Log::Last() const {
  return inner_->Last();
}
Token Log::LastToken() const {
  return TokenAt(Last()).value_or(0);
}
std::optional<Token> Log::TokenAt(Offset offset) const {
  const Entry* e = at(offset);
  return e ? std::optional(e->token) : std::nullopt;
}
const Entry* Log::at(Offset offset) const {
  auto i = inner_->records.find(offset);
  return i == inner_->records.end() ? nullptr : &i->second.entry;
}
const Entry* Log::Latest(Stream stream, const std::string& key) const {
  const Inner& in = *inner_;
  auto n = static_cast<std::size_t>(stream);
  if (n >= kStreams)
    return nullptr;
  auto i = in.newest[n].find(key);
  if (i == in.newest[n].end())
    return nullptr;
  Offset o = i->second;
  while (o > in.head.committed)
    o = in.records.at(o).before;
  return o == 0 ? nullptr : &in.records.at(o).entry;
}
bool Log::Whole() const {
  return inner_->head.cleaned <= inner_->head.committed;
}

std::vector<Entry> Log::Read(Offset after, Offset up_to, std::size_t bytes, Offset* reached) const {
  const Inner& in = *inner_;
  std::vector<Entry> out;
  Offset end = std::min(up_to, in.Last());
  if (auto h = in.holes.upper_bound(after); h != in.holes.end() && *h <= end)
    end = *h - 1;
  if (in.loses && after < in.head.cleaned)
    end = after;  // it may be any up to there
  std::size_t used = 0;
  for (auto i = in.records.upper_bound(after); i != in.records.end() && i->first <= end; ++i) {
    std::size_t size = i->second.entry.key.size() + i->second.entry.value.size() + 40;
    if (!out.empty() && used + size > bytes) {
      end = out.back().offset;
      break;
    }
    used += size;
    out.push_back(i->second.entry);
  }
  if (reached)
    *reached = std::max(after, end);
  return out;
}

bool Log::append(Offset from, const std::vector<Entry>& entries, Source source) {
  Inner& in = *inner_;
  if (from != 0 && (from <= in.head.committed || from <= in.head.cleaned))
    return false;
  Offset after = from == 0 ? in.Last() : std::min(in.Last(), from - 1);
  Offset forgotten = std::max(source.forgotten, in.head.forgotten);
  bool begins = after == 0 && source.forgotten == forgotten;
  if (after < forgotten && source.forgotten != in.head.forgotten && !begins)
    return false;
  if (!in.InRow(after, entries, std::max(source.cleaned, in.head.cleaned)))
    return false;
  std::size_t freed = 0;
  std::uint64_t fewer = 0;
  if (from != 0) {
    for (auto i = in.records.lower_bound(from); i != in.records.end(); ++i) {
      freed += SizeOf(i->second.entry);
      ++fewer;
    }
    fewer += static_cast<std::uint64_t>(std::distance(in.holes.lower_bound(from), in.holes.end()));
  }
  if (!entries.empty())
    in.room(entries, freed);
  Head next = in.head;
  next.cleaned = std::max(next.cleaned, source.cleaned);
  next.forgotten = std::max(next.forgotten, source.forgotten);
  next.entries = in.Count() - fewer + entries.size();
  in.Call([&] { in.disk.append(from, entries, next); });
  if (from != 0) {
    while (!in.records.empty() && in.records.rbegin()->first >= from)
      in.Erase(in.records.rbegin()->first);
    in.holes.erase(in.holes.lower_bound(from), in.holes.end());
  }
  in.place(next);
  for (const Entry& e : entries)
    in.Insert(e);
  return true;
}

bool Log::Anew(const std::vector<Entry>& entries, Source source) {
  Inner& in = *inner_;
  if (!in.InRow(0, entries, source.cleaned))
    return false;
  in.room(entries, in.bytes);
  Head next = in.head;
  next.committed = 0;
  next.first = 1;
  next.cleaned = source.cleaned;
  next.forgotten = source.forgotten;
  next.entries = entries.size();
  in.Call([&] { in.disk.append(1, entries, next); });
  in.records.clear();
  in.holes.clear();
  in.tombstones.clear();
  for (auto& index : in.newest)
    index.clear();
  in.loses = false;
  in.lost = 0;
  in.bytes = in.dead = 0;
  in.swept = 0;
  in.ForgetAges();
  in.place(next);
  for (const Entry& e : entries)
    in.Insert(e);
  return true;
}

void Log::Promise(Token token) {
  Inner& in = *inner_;
  if (token <= in.head.promised)
    return;
  Head next = in.head;
  next.promised = token;
  in.Call([&] { in.disk.Write(next); });
  in.place(next);
}
void Log::Commit(Offset up_to) {
  Inner& in = *inner_;
  up_to = std::min(up_to, in.Last());
  if (up_to <= in.head.committed)
    return;
  Head next = in.head;
  next.committed = up_to;
  in.Call([&] { in.disk.Write(next); });
  in.place(next);
}
void Log::witness(Id other, Offset up_to) {
  Inner& in = *inner_;
  auto& seen = in.head.seen;
  auto i = std::lower_bound(seen.begin(), seen.end(), other,
                            [](const auto& one, Id id) { return one.first < id; });
  if (i == seen.end() || i->first != other)
    i = seen.insert(i, {other, 0});
  if (i->second < up_to) {
    i->second = up_to;
    in.changed = true;
  }
}
void Log::Keep() {
  Inner& in = *inner_;
  if (!in.changed)
    return;
  in.Call([&] { in.disk.Write(in.head); });
  in.changed = false;
}

std::vector<Offset> Log::Holes(std::size_t most) const {
  std::vector<Offset> out;
  for (Offset h : inner_->holes) {
    if (out.size() == most)
      break;
    out.push_back(h);
  }
  return out;
}
bool Log::Heal(const Entry& entry) {
  Inner& in = *inner_;
  if (in.loses || in.holes.count(entry.offset) == 0 || !Fits(entry))
    return false;
  in.Call([&] { in.disk.Heal(entry); });
  in.holes.erase(entry.offset);
  in.Insert(entry);
  in.swept = std::min(in.swept, entry.offset - 1);
  in.ForgetAges();
  return true;
}
bool Log::Close(Offset hole, Source source) {
  Inner& in = *inner_;
  if (in.loses || in.holes.empty() || *in.holes.begin() != hole || hole > in.head.committed)
    return false;
  if (hole > source.cleaned || hole <= source.forgotten)
    return false;
  // What was there is superseded: told as such, so that the gap is none at the next start either.
  Head next = in.head;
  next.cleaned = std::max(next.cleaned, hole);
  next.entries = in.Count() - 1;
  in.Call([&] { in.disk.Drop({hole}, next); });
  in.place(next);
  in.holes.erase(hole);
  return true;
}

std::optional<Plan> Log::Worth(Ms now, Offset passed, Token token) const {
  const Inner& in = *inner_;
  if (in.head.committed == 0)
    return std::nullopt;
  Offset limit = std::min(in.head.committed, in.Last() - 1);
  if (!in.holes.empty())
    limit = std::min(limit, *in.holes.begin() - 1);
  for (auto i = in.records.upper_bound(in.old); i != in.records.end() && i->first <= limit; ++i) {
    const Record& r = i->second;
    if (std::abs(now - r.entry.at) < in.terms.lag)
      break;
    in.old = i->first;
    in.old_bytes += SizeOf(r.entry);
    if (r.before != 0)
      in.old_dead += SizeOf(in.records.at(r.before).entry);
  }
  Plan p;
  p.token = token;
  p.up_to = in.old;
  std::size_t gone = in.old_dead;
  for (Offset t : in.tombstones) {
    if (t > p.up_to)
      break;
    const Record& r = in.records.at(t);
    if (!in.terms.breaks.tombstone_early &&
        (t > passed || now - r.entry.at < in.terms.tombstone_term))
      break;
    p.forget = t;
    if (r.after == 0 || r.after > p.up_to)
      gone += SizeOf(r.entry);
  }
  if (gone == 0 ||
      static_cast<double>(gone) <= in.terms.dead_share * static_cast<double>(in.old_bytes))
    return std::nullopt;
  return p;
}

void Log::Take(const Plan& plan) {
  Plan& mine = inner_->plan;
  if (plan.token < mine.token || plan.forget > plan.up_to)
    return;
  mine.token = plan.token;
  mine.up_to = std::max(mine.up_to, plan.up_to);
  mine.forget = std::max(mine.forget, plan.forget);
}

bool Log::Step() {
  Inner& in = *inner_;
  Offset last = in.Last();
  Offset limit = std::min({in.plan.up_to, in.head.committed, last == 0 ? 0 : last - 1});
  if (limit == 0 || in.HoleUpTo(limit))
    return false;
  std::size_t budget = std::max<std::size_t>(in.terms.entries_a_step, 1);
  std::vector<Offset> gone;
  Head next = in.head;
  Offset swept = in.swept;
  if (swept < limit) {
    auto i = in.records.upper_bound(swept);
    for (; i != in.records.end() && i->first <= limit && budget > 0; ++i, --budget) {
      if (i->second.before != 0)
        gone.push_back(i->second.before);
      swept = i->first;
    }
    if (i == in.records.end() || i->first > limit)
      swept = limit;
    next.cleaned = std::max(next.cleaned, swept);
  }
  if (swept >= in.plan.up_to) {
    for (auto t = in.tombstones.begin();
         t != in.tombstones.end() && *t <= in.plan.forget && budget > 0; ++t) {
      Offset after = in.records.at(*t).after;
      if (after != 0 && after <= swept)
        continue;  // goes as superseded, in this very step
      gone.push_back(*t);
      next.forgotten = std::max(next.forgotten, *t);
      --budget;
    }
  }
  if (gone.empty() && swept == in.swept)
    return false;
  std::sort(gone.begin(), gone.end());
  auto i = in.records.begin();
  while (i != in.records.end() && std::binary_search(gone.begin(), gone.end(), i->first))
    ++i;
  next.first = i == in.records.end() ? last : i->first;  // the last stays, but may be a hole
  if (!in.holes.empty())
    next.first = std::min(next.first, *in.holes.begin());
  next.entries = in.Count() - gone.size();
  if (gone.empty() && next == in.head) {
    in.swept = swept;
    return true;
  }  // after a start: nothing new for the disk
  in.Call([&] { in.disk.Drop(gone, next); });
  in.place(next);
  in.swept = swept;
  for (Offset o : gone)
    in.Erase(o);
  return true;
}

std::size_t Log::bytes() const {
  return inner_->bytes;
}
std::size_t Log::DeadBytes() const {
  return inner_->dead;
}
std::size_t Log::size() const {
  return inner_->records.size();
}

std::uint64_t Log::Digest(Offset up_to, Offset forgotten) const {
  const Inner& in = *inner_;
  forgotten = std::max(forgotten, in.head.forgotten);
  std::uint64_t sum = 0;
  for (const auto& [offset, r] : in.records) {
    if (offset > up_to)
      break;
    if ((r.after != 0 && r.after <= up_to) || (r.entry.tombstone && offset <= forgotten))
      continue;
    std::uint64_t d[2] = {sum, record::Digest(r.entry)};
    sum = XXH64(d, sizeof d, 0);
  }
  return sum;
}

}  // namespace dunlinwick::record
