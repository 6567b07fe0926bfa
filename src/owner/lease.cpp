#include "owner/lease.hpp"

#include <algorithm>

#include "owner/bytes.hpp"

namespace dunlinwick::owner {

const char* word(Deed deed) {
  static const char* const words[] = {"take", "renew", "record", "finish", "abandon", "release", "expire", "found"};
  return words[static_cast<int>(deed)];
}
const char* word(Word w) {
  static const char* const words[] = {"yes", "held by another", "stale token", "over", "unknown work", "too many works", "unsure"};
  return words[static_cast<int>(w)];
}

bool goodName(const std::string& name) {
  return !name.empty() && name.size() <= longestName && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

std::string encode(const Command& c) {
  Writer w;
  w.number(static_cast<std::uint64_t>(c.deed), 1), w.number(c.front, 4), w.number(c.token, 8), w.number(c.step, 8);
  w.text(c.work);
  return std::move(w.bytes);
}

std::optional<Command> decode(std::span<const char> bytes) {
  Reader r(bytes);
  Command c;
  std::uint64_t deed = r.number(1);
  c.front = static_cast<Id>(r.number(4)), c.token = r.number(8), c.step = r.number(8), c.work = r.text(longestName);
  if (!r.whole() || deed > static_cast<std::uint64_t>(Deed::found) || !goodName(c.work)) return std::nullopt;
  c.deed = static_cast<Deed>(deed);
  return c;
}

Result Table::apply(const Command& c) {
  if (c.deed == Deed::found) {
    if (lastToken_ == 0) lastToken_ = base_ = c.token;  // later leaders say it too, and change nothing
    return {Word::yes, lastToken_, 0, 0};
  }
  if (lastToken_ == 0) return {Word::unsure, 0, 0, 0};  // not founded yet: no token may be given
  auto at = works_.find(c.work);
  if (at == works_.end()) {
    if (c.deed != Deed::take) return {Word::unknownWork, 0, 0, 0};
    if (works_.size() >= mostWorks) return {Word::full, 0, 0, 0};
    at = works_.emplace(c.work, Work{}).first;
    at->second.steps = c.step;
  }
  Work& w = at->second;
  auto say = [&](Word word) { return Result{word, w.token, w.done, w.owner}; };
  if (c.deed == Deed::take) {
    if (w.finished || w.abandoned) return say(Word::over);
    // Its owner asking again may be a new process of it, which knows nothing: it waits as anybody would.
    if (w.owner != 0) return say(Word::held);
    w.owner = c.front, w.token = ++lastToken_, ++w.heard;
    return say(Word::yes);
  }
  if (w.owner == 0 || c.token != w.token) return say(Word::stale);
  if (c.deed == Deed::expire) {
    if (c.step != w.heard) return say(Word::held);
    w.owner = 0;
    return say(Word::yes);
  }
  if (c.front != w.owner) return say(Word::stale);
  ++w.heard;
  switch (c.deed) {
    case Deed::record: w.done = std::max(w.done, c.step); break;
    case Deed::finish: w.finished = true, w.owner = 0; break;
    case Deed::abandon: w.abandoned = true, w.owner = 0; break;
    case Deed::release: w.owner = 0; break;
    case Deed::take:
    case Deed::renew:
    case Deed::expire:
    case Deed::found: break;
  }
  return say(Word::yes);
}

std::string Table::snapshot() const {
  Writer w;
  w.number(lastToken_, 8), w.number(base_, 8), w.number(works_.size(), 1);
  for (const auto& [name, one] : works_) {
    w.text(name);
    w.number(one.owner, 4), w.number(one.token, 8), w.number(one.done, 8), w.number(one.steps, 8), w.number(one.heard, 8);
    w.number((one.finished ? 1u : 0u) | (one.abandoned ? 2u : 0u), 1);
  }
  return std::move(w.bytes);
}

bool Table::restore(std::span<const char> bytes) {
  Reader r(bytes);
  Table t;
  t.lastToken_ = r.number(8), t.base_ = r.number(8);
  std::uint64_t n = r.number(1);
  for (std::uint64_t i = 0; i < n && !r.bad(); ++i) {
    std::string name = r.text(longestName);
    Work one;
    one.owner = static_cast<Id>(r.number(4)), one.token = r.number(8), one.done = r.number(8), one.steps = r.number(8), one.heard = r.number(8);
    std::uint64_t flags = r.number(1);
    one.finished = flags & 1, one.abandoned = flags & 2;
    if (!goodName(name) || one.token > t.lastToken_ || !t.works_.emplace(name, one).second) return false;
  }
  if (!r.whole() || n > mostWorks) return false;
  *this = std::move(t);
  return true;
}

void Keeper::leads(Ms now, const Table& table) {
  seen_.clear();
  ledAt_ = now;
  for (const auto& [name, w] : table.works()) seen_[name] = now;
}

void Keeper::applied(Ms now, const Command& c, const Result& r) {
  if (r.word == Word::yes && c.deed != Deed::expire) seen_[c.work] = now;
}

std::vector<Command> Keeper::due(Ms now, const Table& table) const {
  std::vector<Command> all;
  for (const auto& [name, w] : table.works()) {
    auto at = seen_.find(name);
    if (w.owner != 0 && at != seen_.end() && now >= runsOut(at->second)) all.push_back({Deed::expire, w.owner, w.token, w.heard, name});
  }
  return all;
}

}  // namespace dunlinwick::owner
