#include "owner/lease.hpp"

#include <algorithm>

#include "owner/bytes.hpp"

namespace dunlinwick::owner {

const char* MakeWord(Deed deed) {
  static const char* const kWords[] = {"take",    "renew",   "record", "finish",
                                       "abandon", "release", "expire", "found"};
  return kWords[static_cast<int>(deed)];
}
const char* MakeWord(Word w) {
  static const char* const kWords[] = {"yes",          "held by another", "stale token", "over",
                                       "unknown work", "too many works",  "unsure"};
  return kWords[static_cast<int>(w)];
}

bool GoodName(const std::string& name) {
  return !name.empty() && name.size() <= kLongestName &&
         std::all_of(name.begin(), name.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
         });
}

std::string Encode(const Command& c) {
  Writer w;
  w.number(static_cast<std::uint64_t>(c.deed), 1);
  w.number(c.front, 4);
  w.number(c.token, 8);
  w.number(c.step, 8);
  w.Text(c.work);
  return std::move(w.bytes);
}

std::optional<Command> Decode(std::span<const char> bytes) {
  Reader r(bytes);
  Command c;
  std::uint64_t deed = r.number(1);
  c.front = static_cast<Id>(r.number(4));
  c.token = r.number(8);
  c.step = r.number(8);
  c.work = r.Text(kLongestName);
  if (!r.Whole() || deed > static_cast<std::uint64_t>(Deed::kFound) || !GoodName(c.work))
    return std::nullopt;
  c.deed = static_cast<Deed>(deed);
  return c;
}

Result Table::Apply(const Command& c) {
  if (c.deed == Deed::kFound) {
    if (last_token_ == 0)
      last_token_ = base_ = c.token;  // later leaders say it too, and change nothing
    return {Word::kYes, last_token_, 0, 0};
  }
  if (last_token_ == 0)
    return {Word::kUnsure, 0, 0, 0};  // not founded yet: no token may be given
  auto at = works_.find(c.work);
  if (at == works_.end()) {
    if (c.deed != Deed::kTake)
      return {Word::kUnknownWork, 0, 0, 0};
    if (works_.size() >= kMostWorks)
      return {Word::kFull, 0, 0, 0};
    at = works_.emplace(c.work, Work{}).first;
    at->second.steps = c.step;
  }
  Work& w = at->second;
  auto say = [&](Word word) {
    return Result{word, w.token, w.done, w.owner};
  };
  if (c.deed == Deed::kTake) {
    if (w.finished || w.abandoned)
      return say(Word::kOver);
    // Its owner asking again may be a new process of it, which knows nothing: it waits as anybody
    // would.
    if (w.owner != 0)
      return say(Word::kHeld);
    w.owner = c.front;
    w.token = ++last_token_;
    ++w.heard;
    return say(Word::kYes);
  }
  if (w.owner == 0 || c.token != w.token)
    return say(Word::kStale);
  if (c.deed == Deed::kExpire) {
    if (c.step != w.heard)
      return say(Word::kHeld);
    w.owner = 0;
    return say(Word::kYes);
  }
  if (c.front != w.owner)
    return say(Word::kStale);
  ++w.heard;
  switch (c.deed) {
    case Deed::kRecord:
      w.done = std::max(w.done, c.step);
      break;
    case Deed::kFinish:
      w.finished = true;
      w.owner = 0;
      break;
    case Deed::kAbandon:
      w.abandoned = true;
      w.owner = 0;
      break;
    case Deed::kRelease:
      w.owner = 0;
      break;
    case Deed::kTake:
    case Deed::kRenew:
    case Deed::kExpire:
    case Deed::kFound:
      break;
  }
  return say(Word::kYes);
}

std::string Table::Snapshot() const {
  Writer w;
  w.number(last_token_, 8);
  w.number(base_, 8);
  w.number(works_.size(), 1);
  for (const auto& [name, one] : works_) {
    w.Text(name);
    w.number(one.owner, 4);
    w.number(one.token, 8);
    w.number(one.done, 8);
    w.number(one.steps, 8);
    w.number(one.heard, 8);
    w.number((one.finished ? 1u : 0u) | (one.abandoned ? 2u : 0u), 1);
  }
  return std::move(w.bytes);
}

bool Table::Restore(std::span<const char> bytes) {
  Reader r(bytes);
  Table t;
  t.last_token_ = r.number(8);
  t.base_ = r.number(8);
  std::uint64_t n = r.number(1);
  for (std::uint64_t i = 0; i < n && !r.Bad(); ++i) {
    std::string name = r.Text(kLongestName);
    Work one;
    one.owner = static_cast<Id>(r.number(4));
    one.token = r.number(8);
    one.done = r.number(8);
    one.steps = r.number(8);
    one.heard = r.number(8);
    std::uint64_t flags = r.number(1);
    one.finished = flags & 1;
    one.abandoned = flags & 2;
    if (!GoodName(name) || one.token > t.last_token_ || !t.works_.emplace(name, one).second)
      return false;
  }
  if (!r.Whole() || n > kMostWorks)
    return false;
  *this = std::move(t);
  return true;
}

void Keeper::Leads(Ms now, const Table& table) {
  seen_.clear();
  led_at_ = now;
  for (const auto& [name, w] : table.Works())
    seen_[name] = now;
}

void Keeper::Applied(Ms now, const Command& c, const Result& r) {
  if (r.word == Word::kYes && c.deed != Deed::kExpire)
    seen_[c.work] = now;
}

std::vector<Command> Keeper::Due(Ms now, const Table& table) const {
  std::vector<Command> all;
  for (const auto& [name, w] : table.Works()) {
    auto at = seen_.find(name);
    if (w.owner != 0 && at != seen_.end() && now >= RunsOut(at->second))
      all.push_back({Deed::kExpire, w.owner, w.token, w.heard, name});
  }
  return all;
}

}  // namespace dunlinwick::owner
