#include "record/log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <unordered_map>

namespace dunlinwick::record {

namespace {

struct IndexedEntry {
  Entry entry;
  Offset previous_of_key = 0;
  Offset next_of_key = 0;  // of the same key; 0: none
};
// What one takes in memory: its node, the key once more in the index, and their bookkeeping.
std::size_t SizeOf(const Entry& e) {
  return 256 + 2 * e.key.size() + e.value.size();
}
bool IsWithinBounds(const Entry& e) {
  return !e.key.empty() && e.key.size() <= kMaxKeyBytes && e.value.size() <= kMaxValueBytes &&
         static_cast<std::size_t>(e.stream) < kStreamCount && !(e.tombstone && !e.value.empty()) &&
         std::isfinite(e.written_at);
}

}  // namespace

struct Log::Impl {
  LogSettings settings;
  LogStorage& storage;
  LogMetadata metadata;
  bool has_unlocated_loss =
      false;  // an entry at or below `cleaned` is gone: a hole stands for it ...
  std::uint64_t unlocated_loss_count = 0;  // ... and for so many more
  bool failed = false;
  bool is_metadata_changed = false;  // changed: the head differs from the disk's (witness)
  std::map<Offset, IndexedEntry> entries;
  std::set<Offset> gaps;
  std::set<Offset> tombstones;
  std::array<std::unordered_map<std::string, Offset>, kStreamCount>
      latest_offsets;  // looked up only, never walked
  std::size_t used_bytes = 0;
  std::size_t dead_bytes = 0;
  CompactionPlan accepted_plan;
  Offset deduplicated_up_to =
      0;  // up to here only the latest of each key is left; begun anew at each start
  // Of worth(): up to `old` entries were found old enough; their bytes, and how many of them are
  // dead by what is at or below it.
  mutable Offset aged_up_to = 0;
  mutable std::size_t aged_bytes = 0;
  mutable std::size_t aged_dead_bytes = 0;

  Impl(LogSettings t, LogStorage& d) : settings(t), storage(d) {}

  // First the disk, then memory: what fails leaves memory as it was.
  template <class What>
  void WriteToStorage(What what) {
    if (failed)
      throw StorageError("its disk failed before");
    try {
      what();
    } catch (const StorageFullError&) {
      throw;
    } catch (...) {
      failed = true;
      throw;
    }
  }
  Offset LastOffset() const {
    Offset n = metadata.first - 1;
    if (!entries.empty())
      n = std::max(n, entries.rbegin()->first);
    if (!gaps.empty())
      n = std::max(n, *gaps.rbegin());
    return n;
  }
  std::uint64_t EntryCount() const {
    return entries.size() + gaps.size() + unlocated_loss_count;
  }
  bool HasGapUpTo(Offset up_to) const {
    return !gaps.empty() && *gaps.begin() <= up_to;
  }
  void ResetAgedTotals() {
    aged_up_to = 0;
    aged_bytes = aged_dead_bytes = 0;
  }
  void Insert(const Entry& e) {
    IndexedEntry& r = entries.emplace_hint(entries.end(), e.offset, IndexedEntry{e, 0, 0})->second;
    auto& index = latest_offsets[static_cast<std::size_t>(e.stream)];
    auto [n, first] = index.try_emplace(e.key, e.offset);
    if (!first) {
      if (n->second < e.offset) {
        r.previous_of_key = n->second;
        n->second = e.offset;
      } else {  // healed, below others of its key
        r.next_of_key = n->second;
        for (Offset b; (b = entries.at(r.next_of_key).previous_of_key) > e.offset;)
          r.next_of_key = b;
        r.previous_of_key = entries.at(r.next_of_key).previous_of_key;
        entries.at(r.next_of_key).previous_of_key = e.offset;
        dead_bytes += SizeOf(e);
      }
      if (r.previous_of_key != 0) {
        IndexedEntry& b = entries.at(r.previous_of_key);
        if (b.next_of_key == 0)
          dead_bytes += SizeOf(b.entry);
        b.next_of_key = e.offset;
      }
    }
    used_bytes += SizeOf(e);
    if (e.tombstone)
      tombstones.insert(e.offset);
  }
  void Erase(Offset offset) {
    auto i = entries.find(offset);
    if (i == entries.end())
      return;
    IndexedEntry& r = i->second;
    std::size_t size = SizeOf(r.entry);
    used_bytes -= size;
    if (r.next_of_key != 0)
      dead_bytes -= size;
    if (offset <= aged_up_to) {
      aged_bytes -= size;
      if (r.next_of_key != 0 && r.next_of_key <= aged_up_to)
        aged_dead_bytes -= size;
    }
    if (r.previous_of_key != 0) {
      IndexedEntry& b = entries.at(r.previous_of_key);
      b.next_of_key = r.next_of_key;
      if (r.next_of_key == 0)
        dead_bytes -= SizeOf(b.entry);
    }
    if (r.next_of_key != 0)
      entries.at(r.next_of_key).previous_of_key = r.previous_of_key;
    else if (auto& index = latest_offsets[static_cast<std::size_t>(r.entry.stream)];
             r.previous_of_key != 0)
      index[r.entry.key] = r.previous_of_key;
    else
      index.erase(r.entry.key);
    if (r.entry.tombstone)
      tombstones.erase(offset);
    entries.erase(i);
  }
  // Each in a row with the one before it, but for gaps where the source was compacted.
  bool IsContiguous(Offset after, const std::vector<Entry>& added, Offset compacted) const {
    for (const Entry& e : added) {
      if (e.offset <= after || !IsWithinBounds(e))
        return false;
      if (e.offset != after + 1 && e.offset - 1 > compacted)
        return false;
      after = e.offset;
    }
    return true;
  }
  void CheckCapacity(const std::vector<Entry>& added, std::size_t freed) const {
    std::size_t added_bytes = 0;
    for (const Entry& e : added)
      added_bytes += SizeOf(e);
    if (used_bytes - freed + added_bytes > settings.max_bytes)
      throw StorageFullError("more than " + std::to_string(settings.max_bytes) +
                             " bytes of record in memory");
  }
  void SetMetadata(LogMetadata next) {
    metadata = std::move(next);
    is_metadata_changed = false;
  }
};

Log::Log(Id self, LogSettings terms, LogStorage& disk, std::uint64_t new_store)
    : impl_(std::make_unique<Impl>(terms, disk)) {
  Impl& in = *impl_;
  if (auto h = disk.metadata()) {
    if (h->replica_id != self)
      throw StorageError("the disk is of keeper " + std::to_string(h->replica_id) + ", not of " +
                         std::to_string(self) + ": swapped");
    in.metadata = *h;
  } else {
    in.metadata.store_id = new_store;
    in.metadata.replica_id = self;
  }
  ++in.metadata.start_count;
  Offset before = std::max(in.metadata.compacted_up_to, in.metadata.first - 1);
  auto missing = [&](Offset below) {
    for (; before + 1 < below; ++before)
      in.gaps.insert(before + 1);
  };
  disk.ForEachEntry([&](Offset offset, const Entry* e) {
    missing(offset);
    before = std::max(before, offset);
    if (e && e->offset == offset && IsWithinBounds(*e))
      in.Insert(*e);
    else
      in.gaps.insert(offset);
  });
  missing(in.metadata.committed + 1);  // what was known to be here must be
  // An entry lost at or below `cleaned` looks like one compacted: served and handed on as whole,
  // its key would be missing for ever. The lowest gap is a hole for the first of them.
  if (auto n = in.EntryCount(), notified = in.metadata.entry_count.value_or(0); n < notified) {
    Offset gap = 1;
    while (gap <= in.metadata.compacted_up_to &&
           (in.entries.count(gap) != 0 || in.gaps.count(gap) != 0))
      ++gap;
    if (gap <= in.metadata.compacted_up_to) {
      in.has_unlocated_loss = true;
      in.gaps.insert(gap);
      in.unlocated_loss_count = notified - n - 1;
    } else
      missing(before + 1 + (notified - n));  // the last it had
  }
  in.metadata.entry_count = in.EntryCount();
  in.WriteToStorage([&] { disk.WriteMetadata(in.metadata); });
}
Log::~Log() = default;

const LogMetadata& Log::metadata() const {
  return impl_->metadata;
}
bool Log::HasUnlocatedLoss() const {
  return impl_->has_unlocated_loss;
}
bool Log::has_failed() const {
  return impl_->failed;
}
Offset Log::LastOffset() const {
  return impl_->LastOffset();
}
Token Log::LastToken() const {
  return TokenAt(LastOffset()).value_or(0);
}
std::optional<Token> Log::TokenAt(Offset offset) const {
  const Entry* e = Find(offset);
  return e ? std::optional(e->token) : std::nullopt;
}
const Entry* Log::Find(Offset offset) const {
  auto i = impl_->entries.find(offset);
  return i == impl_->entries.end() ? nullptr : &i->second.entry;
}
const Entry* Log::Latest(Stream stream, const std::string& key) const {
  const Impl& in = *impl_;
  auto n = static_cast<std::size_t>(stream);
  if (n >= kStreamCount)
    return nullptr;
  auto i = in.latest_offsets[n].find(key);
  if (i == in.latest_offsets[n].end())
    return nullptr;
  Offset o = i->second;
  while (o > in.metadata.committed)
    o = in.entries.at(o).previous_of_key;
  return o == 0 ? nullptr : &in.entries.at(o).entry;
}
bool Log::IsComplete() const {
  return impl_->metadata.compacted_up_to <= impl_->metadata.committed;
}

std::vector<Entry> Log::Read(Offset after, Offset up_to, std::size_t bytes, Offset* reached) const {
  const Impl& in = *impl_;
  std::vector<Entry> out;
  Offset end = std::min(up_to, in.LastOffset());
  if (auto h = in.gaps.upper_bound(after); h != in.gaps.end() && *h <= end)
    end = *h - 1;
  if (in.has_unlocated_loss && after < in.metadata.compacted_up_to)
    end = after;  // it may be any up to there
  std::size_t used = 0;
  for (auto i = in.entries.upper_bound(after); i != in.entries.end() && i->first <= end; ++i) {
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

bool Log::AppendEntries(Offset from, const std::vector<Entry>& entries, CompactionProgress source) {
  Impl& in = *impl_;
  if (from != 0 && (from <= in.metadata.committed || from <= in.metadata.compacted_up_to))
    return false;
  Offset after = from == 0 ? in.LastOffset() : std::min(in.LastOffset(), from - 1);
  Offset forgotten = std::max(source.tombstone_horizon, in.metadata.tombstone_horizon);
  bool begins = after == 0 && source.tombstone_horizon == forgotten;
  if (after < forgotten && source.tombstone_horizon != in.metadata.tombstone_horizon && !begins)
    return false;
  if (!in.IsContiguous(after, entries,
                       std::max(source.compacted_up_to, in.metadata.compacted_up_to)))
    return false;
  std::size_t freed = 0;
  std::uint64_t fewer = 0;
  if (from != 0) {
    for (auto i = in.entries.lower_bound(from); i != in.entries.end(); ++i) {
      freed += SizeOf(i->second.entry);
      ++fewer;
    }
    fewer += static_cast<std::uint64_t>(std::distance(in.gaps.lower_bound(from), in.gaps.end()));
  }
  if (!entries.empty())
    in.CheckCapacity(entries, freed);
  LogMetadata next = in.metadata;
  next.compacted_up_to = std::max(next.compacted_up_to, source.compacted_up_to);
  next.tombstone_horizon = std::max(next.tombstone_horizon, source.tombstone_horizon);
  next.entry_count = in.EntryCount() - fewer + entries.size();
  in.WriteToStorage([&] { in.storage.AppendEntries(from, entries, next); });
  if (from != 0) {
    while (!in.entries.empty() && in.entries.rbegin()->first >= from)
      in.Erase(in.entries.rbegin()->first);
    in.gaps.erase(in.gaps.lower_bound(from), in.gaps.end());
  }
  in.SetMetadata(next);
  for (const Entry& e : entries)
    in.Insert(e);
  return true;
}

bool Log::ResetFromSnapshot(const std::vector<Entry>& entries, CompactionProgress source) {
  Impl& in = *impl_;
  if (!in.IsContiguous(0, entries, source.compacted_up_to))
    return false;
  in.CheckCapacity(entries, in.used_bytes);
  LogMetadata next = in.metadata;
  next.committed = 0;
  next.first = 1;
  next.compacted_up_to = source.compacted_up_to;
  next.tombstone_horizon = source.tombstone_horizon;
  next.entry_count = entries.size();
  in.WriteToStorage([&] { in.storage.AppendEntries(1, entries, next); });
  in.entries.clear();
  in.gaps.clear();
  in.tombstones.clear();
  for (auto& index : in.latest_offsets)
    index.clear();
  in.has_unlocated_loss = false;
  in.unlocated_loss_count = 0;
  in.used_bytes = in.dead_bytes = 0;
  in.deduplicated_up_to = 0;
  in.ResetAgedTotals();
  in.SetMetadata(next);
  for (const Entry& e : entries)
    in.Insert(e);
  return true;
}

void Log::Promise(Token token) {
  Impl& in = *impl_;
  if (token <= in.metadata.promised_token)
    return;
  LogMetadata next = in.metadata;
  next.promised_token = token;
  in.WriteToStorage([&] { in.storage.WriteMetadata(next); });
  in.SetMetadata(next);
}
void Log::Commit(Offset up_to) {
  Impl& in = *impl_;
  up_to = std::min(up_to, in.LastOffset());
  if (up_to <= in.metadata.committed)
    return;
  LogMetadata next = in.metadata;
  next.committed = up_to;
  in.WriteToStorage([&] { in.storage.WriteMetadata(next); });
  in.SetMetadata(next);
}
void Log::RecordWitnessed(Id other, Offset up_to) {
  Impl& in = *impl_;
  auto& seen = in.metadata.witnessed;
  auto i = std::lower_bound(seen.begin(), seen.end(), other,
                            [](const auto& one, Id id) { return one.first < id; });
  if (i == seen.end() || i->first != other)
    i = seen.insert(i, {other, 0});
  if (i->second < up_to) {
    i->second = up_to;
    in.is_metadata_changed = true;
  }
}
void Log::PersistMetadata() {
  Impl& in = *impl_;
  if (!in.is_metadata_changed)
    return;
  in.WriteToStorage([&] { in.storage.WriteMetadata(in.metadata); });
  in.is_metadata_changed = false;
}

std::vector<Offset> Log::Gaps(std::size_t most) const {
  std::vector<Offset> out;
  for (Offset h : impl_->gaps) {
    if (out.size() == most)
      break;
    out.push_back(h);
  }
  return out;
}
bool Log::RepairGap(const Entry& entry) {
  Impl& in = *impl_;
  if (in.has_unlocated_loss || in.gaps.count(entry.offset) == 0 || !IsWithinBounds(entry))
    return false;
  in.WriteToStorage([&] { in.storage.RestoreEntry(entry); });
  in.gaps.erase(entry.offset);
  in.Insert(entry);
  in.deduplicated_up_to = std::min(in.deduplicated_up_to, entry.offset - 1);
  in.ResetAgedTotals();
  return true;
}
bool Log::CloseCompactedGap(Offset hole, CompactionProgress source) {
  Impl& in = *impl_;
  if (in.has_unlocated_loss || in.gaps.empty() || *in.gaps.begin() != hole ||
      hole > in.metadata.committed)
    return false;
  if (hole > source.compacted_up_to || hole <= source.tombstone_horizon)
    return false;
  // What was there is superseded: told as such, so that the gap is none at the next start either.
  LogMetadata next = in.metadata;
  next.compacted_up_to = std::max(next.compacted_up_to, hole);
  next.entry_count = in.EntryCount() - 1;
  in.WriteToStorage([&] { in.storage.RemoveEntries({hole}, next); });
  in.SetMetadata(next);
  in.gaps.erase(hole);
  return true;
}

std::optional<CompactionPlan> Log::ProposePlan(Ms now, Offset passed, Token token) const {
  const Impl& in = *impl_;
  if (in.metadata.committed == 0)
    return std::nullopt;
  Offset limit = std::min(in.metadata.committed, in.LastOffset() - 1);
  if (!in.gaps.empty())
    limit = std::min(limit, *in.gaps.begin() - 1);
  for (auto i = in.entries.upper_bound(in.aged_up_to); i != in.entries.end() && i->first <= limit;
       ++i) {
    const IndexedEntry& r = i->second;
    if (std::abs(now - r.entry.written_at) < in.settings.min_compaction_lag)
      break;
    in.aged_up_to = i->first;
    in.aged_bytes += SizeOf(r.entry);
    if (r.previous_of_key != 0)
      in.aged_dead_bytes += SizeOf(in.entries.at(r.previous_of_key).entry);
  }
  CompactionPlan p;
  p.token = token;
  p.up_to = in.aged_up_to;
  std::size_t gone = in.aged_dead_bytes;
  for (Offset t : in.tombstones) {
    if (t > p.up_to)
      break;
    const IndexedEntry& r = in.entries.at(t);
    if (!in.settings.defects.drop_tombstones_early &&
        (t > passed || now - r.entry.written_at < in.settings.tombstone_retention))
      break;
    p.remove_tombstones_up_to = t;
    if (r.next_of_key == 0 || r.next_of_key > p.up_to)
      gone += SizeOf(r.entry);
  }
  if (gone == 0 ||
      static_cast<double>(gone) <= in.settings.min_dead_ratio * static_cast<double>(in.aged_bytes))
    return std::nullopt;
  return p;
}

void Log::AcceptPlan(const CompactionPlan& plan) {
  CompactionPlan& mine = impl_->accepted_plan;
  if (plan.token < mine.token || plan.remove_tombstones_up_to > plan.up_to)
    return;
  mine.token = plan.token;
  mine.up_to = std::max(mine.up_to, plan.up_to);
  mine.remove_tombstones_up_to =
      std::max(mine.remove_tombstones_up_to, plan.remove_tombstones_up_to);
}

bool Log::CompactStep() {
  Impl& in = *impl_;
  Offset last = in.LastOffset();
  Offset limit =
      std::min({in.accepted_plan.up_to, in.metadata.committed, last == 0 ? 0 : last - 1});
  if (limit == 0 || in.HasGapUpTo(limit))
    return false;
  std::size_t budget = std::max<std::size_t>(in.settings.entries_per_step, 1);
  std::vector<Offset> gone;
  LogMetadata next = in.metadata;
  Offset swept = in.deduplicated_up_to;
  if (swept < limit) {
    auto i = in.entries.upper_bound(swept);
    for (; i != in.entries.end() && i->first <= limit && budget > 0; ++i, --budget) {
      if (i->second.previous_of_key != 0)
        gone.push_back(i->second.previous_of_key);
      swept = i->first;
    }
    if (i == in.entries.end() || i->first > limit)
      swept = limit;
    next.compacted_up_to = std::max(next.compacted_up_to, swept);
  }
  if (swept >= in.accepted_plan.up_to) {
    for (auto t = in.tombstones.begin();
         t != in.tombstones.end() && *t <= in.accepted_plan.remove_tombstones_up_to && budget > 0;
         ++t) {
      Offset after = in.entries.at(*t).next_of_key;
      if (after != 0 && after <= swept)
        continue;  // goes as superseded, in this very step
      gone.push_back(*t);
      next.tombstone_horizon = std::max(next.tombstone_horizon, *t);
      --budget;
    }
  }
  if (gone.empty() && swept == in.deduplicated_up_to)
    return false;
  std::sort(gone.begin(), gone.end());
  auto i = in.entries.begin();
  while (i != in.entries.end() && std::binary_search(gone.begin(), gone.end(), i->first))
    ++i;
  next.first = i == in.entries.end() ? last : i->first;  // the last stays, but may be a hole
  if (!in.gaps.empty())
    next.first = std::min(next.first, *in.gaps.begin());
  next.entry_count = in.EntryCount() - gone.size();
  if (gone.empty() && next == in.metadata) {
    in.deduplicated_up_to = swept;
    return true;
  }  // after a start: nothing new for the disk
  in.WriteToStorage([&] { in.storage.RemoveEntries(gone, next); });
  in.SetMetadata(next);
  in.deduplicated_up_to = swept;
  for (Offset o : gone)
    in.Erase(o);
  return true;
}

std::size_t Log::bytes() const {
  return impl_->used_bytes;
}
std::size_t Log::DeadBytes() const {
  return impl_->dead_bytes;
}
std::size_t Log::size() const {
  return impl_->entries.size();
}

std::uint64_t Log::Digest(Offset up_to, Offset forgotten) const {
  const Impl& in = *impl_;
  forgotten = std::max(forgotten, in.metadata.tombstone_horizon);
  std::uint64_t sum = 0;
  for (const auto& [offset, r] : in.entries) {
    if (offset > up_to)
      break;
    if ((r.next_of_key != 0 && r.next_of_key <= up_to) ||
        (r.entry.tombstone && offset <= forgotten))
      continue;
    std::uint64_t d[2] = {sum, record::Digest(r.entry)};
    sum = XXH64(d, sizeof d, 0);
  }
  return sum;
}

}  // namespace dunlinwick::record
