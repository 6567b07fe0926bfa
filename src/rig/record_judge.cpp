#include "rig/record_judge.hpp"

namespace dunlinwick::rig {

namespace {
std::string Text(
    const record::Entry& e) {  // without token and time: a new owner may write the same anew
  std::string s = std::to_string(static_cast<int>(e.stream));
  s.append("/").append(e.key);
  if (e.tombstone)
    return s.append(" gone");
  return s.append("=").append(e.value, 0, 40).append("#").append(std::to_string(e.value.size()));
}
std::pair<int, std::string> KeyOf(const record::Entry& e) {
  return {static_cast<int>(e.stream), e.key};
}
std::string N(std::uint64_t v) {
  return std::to_string(v);
}
}  // namespace

void RecordJudge::Find(const std::string& what) {
  if (findings_.size() < 20)
    findings_.push_back(what);
}

void RecordJudge::Content(const char* who, const Entry& e) {
  auto [i, fresh] = contents_.emplace(e.offset, Text(e));
  if (!fresh && i->second != Text(e))
    Find("offset " + N(e.offset) + " has two contents: " + i->second + ", and " + who + ": " +
         Text(e));
}

void RecordJudge::Acknowledged(Offset before, const std::vector<Entry>& batch) {
  for (const Entry& e : batch) {
    if (e.offset <= before)
      Find("acknowledged out of order: " + N(e.offset) + " was put after " + N(before) +
           " was acknowledged");
    Content("acknowledged", e);
    acknowledged_.emplace(e.offset, e);
    acknowledged_up_to_ = std::max(acknowledged_up_to_, e.offset);
  }
}

void RecordJudge::CommittedAt(Id, const Entry& e) {
  Content("committed at a keeper", e);
}
void RecordJudge::Promised(Id keeper, Token token) {
  keepers_[keeper].promised = std::max(keepers_[keeper].promised, token);
}
void RecordJudge::Replaced(Id keeper, Token promised) {
  keepers_[keeper].promised = promised;
}

void RecordJudge::Landed(Id keeper, Token token) {
  if (token < keepers_[keeper].promised)
    Find("a stale writer's entries land at keeper " + N(keeper) + ": token " + N(token) +
         " after " + N(keepers_[keeper].promised));
}
void RecordJudge::MayClean(Id keeper, Token token, Offset cleaned, Offset forgotten) {
  AtKeeper& k = keepers_[keeper];
  if (token < k.promised)
    return;
  k.may_clean = std::max(k.may_clean, cleaned);
  k.may_forget = std::max(k.may_forget, forgotten);
}
void RecordJudge::Cleaned(Id keeper, Offset cleaned, Offset forgotten) {
  AtKeeper& k = keepers_[keeper];
  if (cleaned > k.may_clean || forgotten > k.may_forget) {
    Find("a stale compactor's plan lands at keeper " + N(keeper) + ": cleaned " + N(cleaned) +
         ", forgotten " + N(forgotten) + " where " + N(k.may_clean) + " and " + N(k.may_forget) +
         " were allowed");
    k.may_clean = std::max(k.may_clean, cleaned);
    k.may_forget = std::max(k.may_forget, forgotten);
  }
}

void RecordJudge::Given(std::uint64_t subscriber, const Entry& e) {
  AtSubscriber& s = subscribers_[subscriber];
  if (e.offset <= s.last)
    Find("subscriber " + N(subscriber) + " is given " + N(e.offset) + " after " + N(s.last));
  s.last = e.offset;
  Content("given to a subscriber", e);
  auto i = s.held.find(KeyOf(e));
  if (i != s.held.end() && i->second.offset >= e.offset)
    Find("subscriber " + N(subscriber) + " is given an older " + Text(e));
  if (e.tombstone)
    s.held.erase(KeyOf(e));
  else
    s.held[KeyOf(e)] = e;
}
void RecordJudge::StartOver(std::uint64_t subscriber) {
  subscribers_[subscriber] = {};
}

void RecordJudge::InTheEnd(Id keeper, const std::vector<Entry>& entries, Offset committed,
                           Offset forgotten) {
  std::map<Offset, const Entry*> at;
  std::map<std::pair<int, std::string>, Offset> latest;
  if (committed < acknowledged_up_to_) {
    Find("acknowledged up to " + N(acknowledged_up_to_) + " and lost: keeper " + N(keeper) +
         " has " + N(committed));
    return;
  }
  for (const Entry& e : entries) {
    at[e.offset] = &e;
    latest[KeyOf(e)] = e.offset;
  }
  for (const auto& [offset, e] : acknowledged_) {
    auto i = at.find(offset);
    if (i != at.end()) {
      if (Text(*i->second) != Text(e))
        Find("acknowledged and changed: " + N(offset) + " " + Text(e) + " is " + Text(*i->second) +
             " at keeper " + N(keeper));
      continue;
    }
    auto l = latest.find(KeyOf(e));
    bool superseded = l != latest.end() && l->second > offset;
    // Let go with a tombstone above it, or one itself: all of its key is at or below what is
    // forgotten then.
    bool gone = l == latest.end() && offset <= forgotten;
    if (!superseded && !gone)
      Find("acknowledged and lost: " + N(offset) + " " + Text(e) + " at keeper " + N(keeper));
  }
  // What is acknowledged last of a key is what is there, or something later.
  std::map<std::pair<int, std::string>, const Entry*> mine;
  for (const auto& [offset, e] : acknowledged_)
    mine[KeyOf(e)] = &e;
  for (const auto& [key, e] : mine) {
    auto l = latest.find(key);
    if (l != latest.end() && l->second < e->offset)
      Find("keeper " + N(keeper) + " has an older " + Text(*at[l->second]) + " for " + Text(*e));
    if (l == latest.end() && !e->tombstone) {
      bool later = false;  // a tombstone that was not acknowledged may have landed
      for (auto c = contents_.upper_bound(e->offset); c != contents_.end() && !later; ++c)
        later = c->second == std::to_string(key.first) + "/" + key.second + " gone";
      if (!later)
        Find("keeper " + N(keeper) + " has nothing for " + Text(*e));
    }
  }
}

void RecordJudge::SubscriberInTheEnd(std::uint64_t subscriber, const std::vector<Entry>& keepers) {
  std::map<std::pair<int, std::string>, const Entry*> live;
  for (const Entry& e : keepers) {
    if (e.tombstone)
      live.erase(KeyOf(e));
    else
      live[KeyOf(e)] = &e;
  }
  const auto& held = subscribers_[subscriber].held;
  for (const auto& [key, e] : live) {
    auto i = held.find(key);
    if (i == held.end())
      Find("subscriber " + N(subscriber) + " misses " + Text(*e));
    else if (i->second.offset != e->offset)
      Find("subscriber " + N(subscriber) + " has " + Text(i->second) + " for " + Text(*e));
  }
  for (const auto& [key, e] : held)
    if (!live.count(key))
      Find("subscriber " + N(subscriber) + " has what is gone: " + Text(e) + " of " + N(e.offset));
}

}  // namespace dunlinwick::rig
