#include "rig/record_judge.hpp"

namespace dunlinwick::rig {

namespace {
std::string text(const record::Entry& e) {  // without token and time: a new owner may write the same anew
  std::string s = std::to_string(static_cast<int>(e.stream));
  s.append("/").append(e.key);
  if (e.tombstone) return s.append(" gone");
  return s.append("=").append(e.value, 0, 40).append("#").append(std::to_string(e.value.size()));
}
std::pair<int, std::string> keyOf(const record::Entry& e) { return {static_cast<int>(e.stream), e.key}; }
std::string n(std::uint64_t v) { return std::to_string(v); }
}  // namespace

void RecordJudge::find(const std::string& what) {
  if (findings_.size() < 20) findings_.push_back(what);
}

void RecordJudge::content(const char* who, const Entry& e) {
  auto [i, fresh] = contents_.emplace(e.offset, text(e));
  if (!fresh && i->second != text(e)) find("offset " + n(e.offset) + " has two contents: " + i->second + ", and " + who + ": " + text(e));
}

void RecordJudge::acknowledged(Offset before, const std::vector<Entry>& batch) {
  for (const Entry& e : batch) {
    if (e.offset <= before) find("acknowledged out of order: " + n(e.offset) + " was put after " + n(before) + " was acknowledged");
    content("acknowledged", e);
    acknowledged_.emplace(e.offset, e);
    acknowledgedUpTo_ = std::max(acknowledgedUpTo_, e.offset);
  }
}

void RecordJudge::committedAt(Id, const Entry& e) { content("committed at a keeper", e); }
void RecordJudge::promised(Id keeper, Token token) { keepers_[keeper].promised = std::max(keepers_[keeper].promised, token); }
void RecordJudge::replaced(Id keeper, Token promised) { keepers_[keeper].promised = promised; }

void RecordJudge::landed(Id keeper, Token token) {
  if (token < keepers_[keeper].promised)
    find("a stale writer's entries land at keeper " + n(keeper) + ": token " + n(token) + " after " + n(keepers_[keeper].promised));
}
void RecordJudge::mayClean(Id keeper, Token token, Offset cleaned, Offset forgotten) {
  AtKeeper& k = keepers_[keeper];
  if (token < k.promised) return;
  k.mayClean = std::max(k.mayClean, cleaned), k.mayForget = std::max(k.mayForget, forgotten);
}
void RecordJudge::cleaned(Id keeper, Offset cleaned, Offset forgotten) {
  AtKeeper& k = keepers_[keeper];
  if (cleaned > k.mayClean || forgotten > k.mayForget) {
    find("a stale compactor's plan lands at keeper " + n(keeper) + ": cleaned " + n(cleaned) + ", forgotten " + n(forgotten) + " where " + n(k.mayClean) +
         " and " + n(k.mayForget) + " were allowed");
    k.mayClean = std::max(k.mayClean, cleaned), k.mayForget = std::max(k.mayForget, forgotten);
  }
}

void RecordJudge::given(std::uint64_t subscriber, const Entry& e) {
  AtSubscriber& s = subscribers_[subscriber];
  if (e.offset <= s.last) find("subscriber " + n(subscriber) + " is given " + n(e.offset) + " after " + n(s.last));
  s.last = e.offset;
  content("given to a subscriber", e);
  auto i = s.held.find(keyOf(e));
  if (i != s.held.end() && i->second.offset >= e.offset) find("subscriber " + n(subscriber) + " is given an older " + text(e));
  if (e.tombstone) s.held.erase(keyOf(e));
  else s.held[keyOf(e)] = e;
}
void RecordJudge::startOver(std::uint64_t subscriber) { subscribers_[subscriber] = {}; }

void RecordJudge::inTheEnd(Id keeper, const std::vector<Entry>& entries, Offset committed, Offset forgotten) {
  std::map<Offset, const Entry*> at;
  std::map<std::pair<int, std::string>, Offset> latest;
  if (committed < acknowledgedUpTo_) {
    find("acknowledged up to " + n(acknowledgedUpTo_) + " and lost: keeper " + n(keeper) + " has " + n(committed));
    return;
  }
  for (const Entry& e : entries) at[e.offset] = &e, latest[keyOf(e)] = e.offset;
  for (const auto& [offset, e] : acknowledged_) {
    auto i = at.find(offset);
    if (i != at.end()) {
      if (text(*i->second) != text(e)) find("acknowledged and changed: " + n(offset) + " " + text(e) + " is " + text(*i->second) + " at keeper " + n(keeper));
      continue;
    }
    auto l = latest.find(keyOf(e));
    bool superseded = l != latest.end() && l->second > offset;
    // Let go with a tombstone above it, or one itself: all of its key is at or below what is forgotten then.
    bool gone = l == latest.end() && offset <= forgotten;
    if (!superseded && !gone) find("acknowledged and lost: " + n(offset) + " " + text(e) + " at keeper " + n(keeper));
  }
  // What is acknowledged last of a key is what is there, or something later.
  std::map<std::pair<int, std::string>, const Entry*> mine;
  for (const auto& [offset, e] : acknowledged_) mine[keyOf(e)] = &e;
  for (const auto& [key, e] : mine) {
    auto l = latest.find(key);
    if (l != latest.end() && l->second < e->offset) find("keeper " + n(keeper) + " has an older " + text(*at[l->second]) + " for " + text(*e));
    if (l == latest.end() && !e->tombstone) {
      bool later = false;  // a tombstone that was not acknowledged may have landed
      for (auto c = contents_.upper_bound(e->offset); c != contents_.end() && !later; ++c)
        later = c->second == std::to_string(key.first) + "/" + key.second + " gone";
      if (!later) find("keeper " + n(keeper) + " has nothing for " + text(*e));
    }
  }
}

void RecordJudge::subscriberInTheEnd(std::uint64_t subscriber, const std::vector<Entry>& keepers) {
  std::map<std::pair<int, std::string>, const Entry*> live;
  for (const Entry& e : keepers) {
    if (e.tombstone) live.erase(keyOf(e));
    else live[keyOf(e)] = &e;
  }
  const auto& held = subscribers_[subscriber].held;
  for (const auto& [key, e] : live) {
    auto i = held.find(key);
    if (i == held.end()) find("subscriber " + n(subscriber) + " misses " + text(*e));
    else if (i->second.offset != e->offset) find("subscriber " + n(subscriber) + " has " + text(i->second) + " for " + text(*e));
  }
  for (const auto& [key, e] : held)
    if (!live.count(key)) find("subscriber " + n(subscriber) + " has what is gone: " + text(e) + " of " + n(e.offset));
}

}  // namespace dunlinwick::rig
