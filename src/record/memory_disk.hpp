// A disk in memory for rigs and tests. Faults, each given by the test: a writing call fails before or after it took effect, or
// finds no room; an older copy is put back; entries are flipped or gone. What it holds outlives the Log over it, as a disk does.
#pragma once
#include <map>

#include "record/disk.hpp"

namespace dunlinwick::record {

class MemoryDisk final : public Disk {
 public:
  enum class Fate : std::uint8_t { well, failsBefore, failsAfter, full };
  struct Copy {
    std::optional<Head> head;
    std::map<Offset, std::pair<Entry, std::uint64_t>> entries;  // with the digest it was written with
  };
  // Asked at each writing call with its number, from 1 over the disk's whole life.
  std::function<Fate(std::uint64_t call)> fate;
  std::size_t mostBytes = 0;  // of keys and values; 0: no bound

  explicit MemoryDisk(bool lasts = true) : lasts_(lasts) {}
  bool lasts() const override { return lasts_; }
  std::optional<Head> head() override { return now_.head; }
  void each(const std::function<void(Offset, const Entry*)>& see) override {
    for (const auto& [offset, one] : now_.entries) see(offset, digest(one.first) == one.second ? &one.first : nullptr);
  }
  void write(const Head& head) override {
    call([&](Copy& c) { c.head = head; });
  }
  void append(Offset from, const std::vector<Entry>& entries, const Head& head) override {
    std::size_t more = 0;
    for (const Entry& e : entries) more += e.key.size() + e.value.size();
    if (mostBytes != 0 && bytes() + more > mostBytes) throw Full("no room");
    call([&](Copy& c) {
      if (from != 0) c.entries.erase(c.entries.lower_bound(from), c.entries.end());
      for (const Entry& e : entries) c.entries.insert_or_assign(c.entries.end(), e.offset, std::pair(e, digest(e)));
      c.head = head;
    });
    if (mostBytes != 0) used_ = sum(now_);
  }
  void drop(const std::vector<Offset>& gone, const Head& head) override {
    call([&](Copy& c) {
      for (Offset o : gone) c.entries.erase(o);
      c.head = head;
    });
    if (mostBytes != 0) used_ = sum(now_);
  }
  void heal(const Entry& entry) override {
    call([&](Copy& c) { c.entries.insert_or_assign(entry.offset, std::pair(entry, digest(entry))); });
  }

  std::uint64_t calls() const { return calls_; }
  std::size_t bytes() const { return used_; }  // kept only where there is a bound
  Copy copy() const { return now_; }
  void putBack(Copy older) { now_ = std::move(older), used_ = sum(now_); }
  bool has(Offset offset) const { return now_.entries.count(offset) != 0; }
  void flip(Offset offset) {
    if (auto i = now_.entries.find(offset); i != now_.entries.end()) i->second.second ^= 1;
  }
  void lose(Offset offset) { now_.entries.erase(offset); }

 private:
  template <class What>
  void call(What what) {
    Fate f = fate ? fate(++calls_) : (++calls_, Fate::well);
    if (f == Fate::full) throw Full("no room");
    if (f == Fate::failsBefore) throw Failed("fails before it took effect");
    what(now_);
    if (f == Fate::failsAfter) throw Failed("fails after it took effect");
  }
  static std::size_t sum(const Copy& c) {
    std::size_t n = 0;
    for (const auto& one : c.entries) n += one.second.first.key.size() + one.second.first.value.size();
    return n;
  }
  bool lasts_;
  Copy now_;
  std::uint64_t calls_ = 0;
  std::size_t used_ = 0;
};

}  // namespace dunlinwick::record
