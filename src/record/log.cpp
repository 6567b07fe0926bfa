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
  // The neighbouring entries of the same key; 0: none.
  Offset previous_of_key = 0;
  Offset next_of_key = 0;
};
// Memory taken by an entry: its node, the second copy of the key in the index, and their overhead.
std::size_t MemorySize(const Entry& e) {
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
  // An entry at or below `compacted_up_to` was lost; one gap stands for it. `unlocated_loss_count`
  // counts any further ones.
  bool has_unlocated_loss = false;
  std::uint64_t unlocated_loss_count = 0;
  bool failed = false;
  bool is_metadata_changed = false;  // differs from the stored metadata (RecordWitnessed)
  std::map<Offset, IndexedEntry> entries;
  std::set<Offset> gaps;
  std::set<Offset> tombstones;
  // Used for lookups only, never iterated: the order must not matter.
  std::array<std::unordered_map<std::string, Offset>, kStreamCount> latest_offsets;
  std::size_t used_bytes = 0;
  std::size_t dead_bytes = 0;
  CompactionPlan accepted_plan;
  // Up to here only the latest entry of each key is left; starts from 0 again at each start.
  Offset deduplicated_up_to = 0;
  // Of ProposePlan(): entries up to `aged_up_to` were found to be old enough; their bytes, and how
  // many of those are dead because of entries at or below it.
  mutable Offset aged_up_to = 0;
  mutable std::size_t aged_bytes = 0;
  mutable std::size_t aged_dead_bytes = 0;

  Impl(LogSettings s, LogStorage& opened) : settings(s), storage(opened) {}

  // Storage is written before memory, so a failure leaves memory unchanged.
  template <class Operation>
  void WriteToStorage(Operation operation) {
    if (failed)
      throw StorageError("the disk failed before");
    try {
      operation();
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
      } else {  // repaired, below others of its key
        r.next_of_key = n->second;
        for (Offset b; (b = entries.at(r.next_of_key).previous_of_key) > e.offset;)
          r.next_of_key = b;
        r.previous_of_key = entries.at(r.next_of_key).previous_of_key;
        entries.at(r.next_of_key).previous_of_key = e.offset;
        dead_bytes += MemorySize(e);
      }
      if (r.previous_of_key != 0) {
        IndexedEntry& b = entries.at(r.previous_of_key);
        if (b.next_of_key == 0)
          dead_bytes += MemorySize(b.entry);
        b.next_of_key = e.offset;
      }
    }
    used_bytes += MemorySize(e);
    if (e.tombstone)
      tombstones.insert(e.offset);
  }
  void Erase(Offset offset) {
    auto i = entries.find(offset);
    if (i == entries.end())
      return;
    IndexedEntry& r = i->second;
    std::size_t size = MemorySize(r.entry);
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
        dead_bytes -= MemorySize(b.entry);
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
  // Each entry follows its predecessor directly, except where the source was compacted.
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
      added_bytes += MemorySize(e);
    if (used_bytes - freed + added_bytes > settings.max_bytes)
      throw StorageFullError("more than " + std::to_string(settings.max_bytes) +
                             " bytes of record in memory");
  }
  void SetMetadata(LogMetadata next) {
    metadata = std::move(next);
    is_metadata_changed = false;
  }
};

Log::Log(Id self, LogSettings settings, LogStorage& storage, std::uint64_t new_store_id)
    : impl_(std::make_unique<Impl>(settings, storage)) {
  Impl& impl = *impl_;
  if (auto h = storage.metadata()) {
    if (h->replica_id != self)
      throw StorageError("the disk belongs to log replica " + std::to_string(h->replica_id) +
                         ", not of " + std::to_string(self) + ": swapped disk");
    impl.metadata = *h;
  } else {
    impl.metadata.store_id = new_store_id;
    impl.metadata.replica_id = self;
  }
  ++impl.metadata.start_count;
  Offset before = std::max(impl.metadata.compacted_up_to, impl.metadata.first - 1);
  auto add_gaps_below = [&](Offset below) {
    for (; before + 1 < below; ++before)
      impl.gaps.insert(before + 1);
  };
  storage.ForEachEntry([&](Offset offset, const Entry* e) {
    add_gaps_below(offset);
    before = std::max(before, offset);
    if (e && e->offset == offset && IsWithinBounds(*e))
      impl.Insert(*e);
    else
      impl.gaps.insert(offset);
  });
  add_gaps_below(impl.metadata.committed + 1);  // committed entries must be here
  // An entry lost at or below `compacted_up_to` looks like a compacted one: if the log were served
  // as complete, its key would be missing for ever. The lowest missing offset becomes a gap for the
  // first lost entry.
  if (auto count = impl.EntryCount(), expected = impl.metadata.entry_count.value_or(0);
      count < expected) {
    Offset lowest_missing = 1;
    while (lowest_missing <= impl.metadata.compacted_up_to &&
           (impl.entries.count(lowest_missing) != 0 || impl.gaps.count(lowest_missing) != 0))
      ++lowest_missing;
    if (lowest_missing <= impl.metadata.compacted_up_to) {
      impl.has_unlocated_loss = true;
      impl.gaps.insert(lowest_missing);
      impl.unlocated_loss_count = expected - count - 1;
    } else
      add_gaps_below(before + 1 + (expected - count));  // its last entries
  }
  impl.metadata.entry_count = impl.EntryCount();
  impl.WriteToStorage([&] { storage.WriteMetadata(impl.metadata); });
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
  const Impl& impl = *impl_;
  auto n = static_cast<std::size_t>(stream);
  if (n >= kStreamCount)
    return nullptr;
  auto i = impl.latest_offsets[n].find(key);
  if (i == impl.latest_offsets[n].end())
    return nullptr;
  Offset o = i->second;
  while (o > impl.metadata.committed)
    o = impl.entries.at(o).previous_of_key;
  return o == 0 ? nullptr : &impl.entries.at(o).entry;
}
bool Log::IsComplete() const {
  return impl_->metadata.compacted_up_to <= impl_->metadata.committed;
}

std::vector<Entry> Log::Read(Offset after, Offset up_to, std::size_t bytes, Offset* reached) const {
  const Impl& impl = *impl_;
  std::vector<Entry> out;
  Offset end = std::min(up_to, impl.LastOffset());
  if (auto h = impl.gaps.upper_bound(after); h != impl.gaps.end() && *h <= end)
    end = *h - 1;
  if (impl.has_unlocated_loss && after < impl.metadata.compacted_up_to)
    end = after;  // the lost entry may be anywhere up to there
  std::size_t used = 0;
  for (auto i = impl.entries.upper_bound(after); i != impl.entries.end() && i->first <= end; ++i) {
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
  Impl& impl = *impl_;
  if (from != 0 && (from <= impl.metadata.committed || from <= impl.metadata.compacted_up_to))
    return false;
  Offset after = from == 0 ? impl.LastOffset() : std::min(impl.LastOffset(), from - 1);
  Offset tombstone_horizon = std::max(source.tombstone_horizon, impl.metadata.tombstone_horizon);
  bool starts_from_source = after == 0 && source.tombstone_horizon == tombstone_horizon;
  if (after < tombstone_horizon && source.tombstone_horizon != impl.metadata.tombstone_horizon &&
      !starts_from_source)
    return false;
  if (!impl.IsContiguous(after, entries,
                         std::max(source.compacted_up_to, impl.metadata.compacted_up_to)))
    return false;
  std::size_t freed_bytes = 0;
  std::uint64_t removed_count = 0;
  if (from != 0) {
    for (auto i = impl.entries.lower_bound(from); i != impl.entries.end(); ++i) {
      freed_bytes += MemorySize(i->second.entry);
      ++removed_count;
    }
    removed_count +=
        static_cast<std::uint64_t>(std::distance(impl.gaps.lower_bound(from), impl.gaps.end()));
  }
  if (!entries.empty())
    impl.CheckCapacity(entries, freed_bytes);
  LogMetadata next = impl.metadata;
  next.compacted_up_to = std::max(next.compacted_up_to, source.compacted_up_to);
  next.tombstone_horizon = std::max(next.tombstone_horizon, source.tombstone_horizon);
  next.entry_count = impl.EntryCount() - removed_count + entries.size();
  impl.WriteToStorage([&] { impl.storage.AppendEntries(from, entries, next); });
  if (from != 0) {
    while (!impl.entries.empty() && impl.entries.rbegin()->first >= from)
      impl.Erase(impl.entries.rbegin()->first);
    impl.gaps.erase(impl.gaps.lower_bound(from), impl.gaps.end());
  }
  impl.SetMetadata(next);
  for (const Entry& e : entries)
    impl.Insert(e);
  return true;
}

bool Log::ResetFromSnapshot(const std::vector<Entry>& entries, CompactionProgress source) {
  Impl& impl = *impl_;
  if (!impl.IsContiguous(0, entries, source.compacted_up_to))
    return false;
  impl.CheckCapacity(entries, impl.used_bytes);
  LogMetadata next = impl.metadata;
  next.committed = 0;
  next.first = 1;
  next.compacted_up_to = source.compacted_up_to;
  next.tombstone_horizon = source.tombstone_horizon;
  next.entry_count = entries.size();
  impl.WriteToStorage([&] { impl.storage.AppendEntries(1, entries, next); });
  impl.entries.clear();
  impl.gaps.clear();
  impl.tombstones.clear();
  for (auto& index : impl.latest_offsets)
    index.clear();
  impl.has_unlocated_loss = false;
  impl.unlocated_loss_count = 0;
  impl.used_bytes = impl.dead_bytes = 0;
  impl.deduplicated_up_to = 0;
  impl.ResetAgedTotals();
  impl.SetMetadata(next);
  for (const Entry& e : entries)
    impl.Insert(e);
  return true;
}

void Log::Promise(Token token) {
  Impl& impl = *impl_;
  if (token <= impl.metadata.promised_token)
    return;
  LogMetadata next = impl.metadata;
  next.promised_token = token;
  impl.WriteToStorage([&] { impl.storage.WriteMetadata(next); });
  impl.SetMetadata(next);
}
void Log::Commit(Offset up_to) {
  Impl& impl = *impl_;
  up_to = std::min(up_to, impl.LastOffset());
  if (up_to <= impl.metadata.committed)
    return;
  LogMetadata next = impl.metadata;
  next.committed = up_to;
  impl.WriteToStorage([&] { impl.storage.WriteMetadata(next); });
  impl.SetMetadata(next);
}
void Log::RecordWitnessed(Id other, Offset up_to) {
  Impl& impl = *impl_;
  auto& offsets = impl.metadata.witnessed;
  auto i = std::lower_bound(offsets.begin(), offsets.end(), other,
                            [](const auto& witnessed, Id id) { return witnessed.first < id; });
  if (i == offsets.end() || i->first != other)
    i = offsets.insert(i, {other, 0});
  if (i->second < up_to) {
    i->second = up_to;
    impl.is_metadata_changed = true;
  }
}
void Log::PersistMetadata() {
  Impl& impl = *impl_;
  if (!impl.is_metadata_changed)
    return;
  impl.WriteToStorage([&] { impl.storage.WriteMetadata(impl.metadata); });
  impl.is_metadata_changed = false;
}

std::vector<Offset> Log::Gaps(std::size_t max_count) const {
  std::vector<Offset> out;
  for (Offset gap : impl_->gaps) {
    if (out.size() == max_count)
      break;
    out.push_back(gap);
  }
  return out;
}
bool Log::RepairGap(const Entry& entry) {
  Impl& impl = *impl_;
  if (impl.has_unlocated_loss || impl.gaps.count(entry.offset) == 0 || !IsWithinBounds(entry))
    return false;
  impl.WriteToStorage([&] { impl.storage.RestoreEntry(entry); });
  impl.gaps.erase(entry.offset);
  impl.Insert(entry);
  impl.deduplicated_up_to = std::min(impl.deduplicated_up_to, entry.offset - 1);
  impl.ResetAgedTotals();
  return true;
}
bool Log::CloseCompactedGap(Offset gap, CompactionProgress source) {
  Impl& impl = *impl_;
  if (impl.has_unlocated_loss || impl.gaps.empty() || *impl.gaps.begin() != gap ||
      gap > impl.metadata.committed)
    return false;
  if (gap > source.compacted_up_to || gap <= source.tombstone_horizon)
    return false;
  // The entry was superseded. `compacted_up_to` records that, so that it is no gap at the next
  // start either.
  LogMetadata next = impl.metadata;
  next.compacted_up_to = std::max(next.compacted_up_to, gap);
  next.entry_count = impl.EntryCount() - 1;
  impl.WriteToStorage([&] { impl.storage.RemoveEntries({gap}, next); });
  impl.SetMetadata(next);
  impl.gaps.erase(gap);
  return true;
}

std::optional<CompactionPlan> Log::ProposePlan(Ms now, Offset min_position, Token token) const {
  const Impl& impl = *impl_;
  if (impl.metadata.committed == 0)
    return std::nullopt;
  Offset limit = std::min(impl.metadata.committed, impl.LastOffset() - 1);
  if (!impl.gaps.empty())
    limit = std::min(limit, *impl.gaps.begin() - 1);
  for (auto i = impl.entries.upper_bound(impl.aged_up_to);
       i != impl.entries.end() && i->first <= limit; ++i) {
    const IndexedEntry& r = i->second;
    if (std::abs(now - r.entry.written_at) < impl.settings.min_compaction_lag)
      break;
    impl.aged_up_to = i->first;
    impl.aged_bytes += MemorySize(r.entry);
    if (r.previous_of_key != 0)
      impl.aged_dead_bytes += MemorySize(impl.entries.at(r.previous_of_key).entry);
  }
  CompactionPlan p;
  p.token = token;
  p.up_to = impl.aged_up_to;
  std::size_t removable_bytes = impl.aged_dead_bytes;
  for (Offset t : impl.tombstones) {
    if (t > p.up_to)
      break;
    const IndexedEntry& r = impl.entries.at(t);
    if (!impl.settings.defects.drop_tombstones_early &&
        (t > min_position || now - r.entry.written_at < impl.settings.tombstone_retention))
      break;
    p.remove_tombstones_up_to = t;
    if (r.next_of_key == 0 || r.next_of_key > p.up_to)
      removable_bytes += MemorySize(r.entry);
  }
  if (removable_bytes == 0 ||
      static_cast<double>(removable_bytes) <=
          impl.settings.min_dead_ratio * static_cast<double>(impl.aged_bytes))
    return std::nullopt;
  return p;
}

void Log::AcceptPlan(const CompactionPlan& plan) {
  CompactionPlan& accepted = impl_->accepted_plan;
  if (plan.token < accepted.token || plan.remove_tombstones_up_to > plan.up_to)
    return;
  accepted.token = plan.token;
  accepted.up_to = std::max(accepted.up_to, plan.up_to);
  accepted.remove_tombstones_up_to =
      std::max(accepted.remove_tombstones_up_to, plan.remove_tombstones_up_to);
}

bool Log::CompactStep() {
  Impl& impl = *impl_;
  Offset last = impl.LastOffset();
  Offset limit =
      std::min({impl.accepted_plan.up_to, impl.metadata.committed, last == 0 ? 0 : last - 1});
  if (limit == 0 || impl.HasGapUpTo(limit))
    return false;
  std::size_t budget = std::max<std::size_t>(impl.settings.entries_per_step, 1);
  std::vector<Offset> removed;
  LogMetadata next = impl.metadata;
  Offset deduplicated = impl.deduplicated_up_to;
  if (deduplicated < limit) {
    auto i = impl.entries.upper_bound(deduplicated);
    for (; i != impl.entries.end() && i->first <= limit && budget > 0; ++i, --budget) {
      if (i->second.previous_of_key != 0)
        removed.push_back(i->second.previous_of_key);
      deduplicated = i->first;
    }
    if (i == impl.entries.end() || i->first > limit)
      deduplicated = limit;
    next.compacted_up_to = std::max(next.compacted_up_to, deduplicated);
  }
  if (deduplicated >= impl.accepted_plan.up_to) {
    for (auto t = impl.tombstones.begin();
         t != impl.tombstones.end() && *t <= impl.accepted_plan.remove_tombstones_up_to &&
         budget > 0;
         ++t) {
      Offset after = impl.entries.at(*t).next_of_key;
      if (after != 0 && after <= deduplicated)
        continue;  // removed as superseded in this step
      removed.push_back(*t);
      next.tombstone_horizon = std::max(next.tombstone_horizon, *t);
      --budget;
    }
  }
  if (removed.empty() && deduplicated == impl.deduplicated_up_to)
    return false;
  std::sort(removed.begin(), removed.end());
  auto i = impl.entries.begin();
  while (i != impl.entries.end() && std::binary_search(removed.begin(), removed.end(), i->first))
    ++i;
  next.first = i == impl.entries.end() ? last : i->first;  // the last stays, but may be a gap
  if (!impl.gaps.empty())
    next.first = std::min(next.first, *impl.gaps.begin());
  next.entry_count = impl.EntryCount() - removed.size();
  if (removed.empty() && next == impl.metadata) {
    impl.deduplicated_up_to = deduplicated;
    return true;
  }  // after a start: nothing new to store
  impl.WriteToStorage([&] { impl.storage.RemoveEntries(removed, next); });
  impl.SetMetadata(next);
  impl.deduplicated_up_to = deduplicated;
  for (Offset o : removed)
    impl.Erase(o);
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

std::uint64_t Log::Digest(Offset up_to, Offset tombstone_horizon) const {
  const Impl& impl = *impl_;
  tombstone_horizon = std::max(tombstone_horizon, impl.metadata.tombstone_horizon);
  std::uint64_t digest = 0;
  for (const auto& [offset, r] : impl.entries) {
    if (offset > up_to)
      break;
    if ((r.next_of_key != 0 && r.next_of_key <= up_to) ||
        (r.entry.tombstone && offset <= tombstone_horizon))
      continue;
    std::uint64_t chained[2] = {digest, record::Digest(r.entry)};
    digest = XXH64(chained, sizeof chained, 0);
  }
  return digest;
}

}  // namespace dunlinwick::record
