// A disk in memory for rigs and tests. Faults, each given by the test: a writing call fails before
// or after it took effect, or finds no room; an older copy is put back; entries are flipped or
// gone. What it holds outlives the Log over it, as a disk does.
#pragma once
#include <map>

#include "record/disk.hpp"

namespace dunlinwick::record {

class MemoryDisk final : public Disk {
 public:
  enum class Fate : std::uint8_t {
    kWell,
    kFailsBefore,
    kFailsAfter,
    kFull
  };
  struct Copy {
    std::optional<Head> head;
    std::map<Offset, std::pair<Entry, std::uint64_t>>
        entries;  // with the digest it was written with
  };
  // Asked at each writing call with its number, from 1 over the disk's whole life.
  std::function<Fate(std::uint64_t call)> fate;
  std::size_t most_bytes = 0;  // of keys and values; 0: no bound

  explicit MemoryDisk(bool lasts = true) : lasts_(lasts) {}
  bool Lasts() const override {
    return lasts_;
  }
  std::optional<Head> head() override {
    return now_.head;
  }
  void Each(const std::function<void(Offset, const Entry*)>& see) override {
    for (const auto& [offset, one] : now_.entries)
      see(offset, Digest(one.first) == one.second ? &one.first : nullptr);
  }
  void Write(const Head& head) override {
    Call([&](Copy& c) { c.head = head; });
  }
  void append(Offset from, const std::vector<Entry>& entries, const Head& head) override {
    std::size_t more = 0;
    for (const Entry& e : entries)
      more += e.key.size() + e.value.size();
    if (most_bytes != 0 && bytes() + more > most_bytes)
      throw Full("no room");
    Call([&](Copy& c) {
      if (from != 0)
        c.entries.erase(c.entries.lower_bound(from), c.entries.end());
      for (const Entry& e : entries)
        c.entries.insert_or_assign(c.entries.end(), e.offset, std::pair(e, Digest(e)));
      c.head = head;
    });
    if (most_bytes != 0)
      used_ = sum(now_);
  }
  void Drop(const std::vector<Offset>& gone, const Head& head) override {
    Call([&](Copy& c) {
      for (Offset o : gone)
        c.entries.erase(o);
      c.head = head;
    });
    if (most_bytes != 0)
      used_ = sum(now_);
  }
  void Heal(const Entry& entry) override {
    Call([&](Copy& c) {
      c.entries.insert_or_assign(entry.offset, std::pair(entry, Digest(entry)));
    });
  }

  std::uint64_t Calls() const {
    return calls_;
  }
  std::size_t bytes() const {
    return used_;
  }  // kept only where there is a bound
  Copy copy() const {
    return now_;
  }
  void PutBack(Copy older) {
    now_ = std::move(older);
    used_ = sum(now_);
  }
  bool Has(Offset offset) const {
    return now_.entries.count(offset) != 0;
  }
  void Flip(Offset offset) {
    if (auto i = now_.entries.find(offset); i != now_.entries.end())
      i->second.second ^= 1;
  }
  void Lose(Offset offset) {
    now_.entries.erase(offset);
  }

 private:
  template <class What>
  void Call(What what) {
    Fate f = fate ? fate(++calls_) : (++calls_, Fate::kWell);
    if (f == Fate::kFull)
      throw Full("no room");
    if (f == Fate::kFailsBefore)
      throw Failed("fails before it took effect");
    what(now_);
    if (f == Fate::kFailsAfter)
      throw Failed("fails after it took effect");
  }
  static std::size_t sum(const Copy& c) {
    std::size_t n = 0;
    for (const auto& one : c.entries)
      n += one.second.first.key.size() + one.second.first.value.size();
    return n;
  }
  bool lasts_;
  Copy now_;
  std::uint64_t calls_ = 0;
  std::size_t used_ = 0;
};

}  // namespace dunlinwick::record
