// A keeper's side: promises, takes what follows what it has, answers once it is on disk; heals
// holes from the others.
#include <algorithm>

#include "record/keepers.hpp"

namespace dunlinwick::record {

namespace {
constexpr Offset kGapRepair = ~Offset{0};  // Fetched::after of an answer to Fetch::only
constexpr Id kConfirmationId =
    0;  // in Head::seen, which only grows: how often it was proved, or found to be old
constexpr std::size_t kMaxGapsPerMessage = 16;
}  // namespace

struct LogReplica::Impl {
  Id self;
  std::vector<Id> replicas;
  LogReplicaSettings settings;
  Log& log;
  std::uint64_t incarnation;
  bool failed = false;
  bool unconfirmed = true;
  bool needs_reset = false;
  Ms unix_now = 0;
  Ms gaps_requested_at = -1e300;
  std::size_t next_source = 0;
  std::pair<Token, std::uint64_t> last_snapshot_session{0, 0};  // the last session anew

  Impl(Id s, std::vector<Id> k, LogReplicaSettings t, Log& l, std::uint64_t n)
      : self(s),
        replicas(std::move(k)),
        settings(t),
        log(l),
        incarnation(n != 0 ? n : l.metadata().start_count) {
    // Entries that may be acknowledged are gone with a hole above what is known committed, and the
    // next append covers it up.
    auto holes = log.Gaps(SIZE_MAX);
    // And of one lost where it looks compacted, nobody can tell which: only another's log, anew,
    // has it.
    needs_reset = log.HasUnlocatedLoss();
    if (needs_reset || (!holes.empty() && holes.back() > log.metadata().committed))
      RunUnlessFailed([&] { SetConfirmed(false); });
  }

  bool IsReplica(Id id) const {
    return std::find(replicas.begin(), replicas.end(), id) != replicas.end();
  }
  Offset ConfirmationCount() const {
    for (auto [who, n] : log.metadata().witnessed)
      if (who == kConfirmationId)
        return n;
    return 0;
  }
  void SetConfirmed(bool proved) {
    if ((ConfirmationCount() % 2 == 1) == proved)
      return;
    log.RecordWitnessed(kConfirmationId, ConfirmationCount() + 1);
    log.PersistMetadata();
  }
  // Begun anew and not yet brought up to where its source was compacted.
  bool IsIncomplete() const {
    return !log.IsComplete();
  }

  PrepareResponse MakePrepareResponse(std::uint64_t round) const {
    const LogMetadata& h = log.metadata();
    PrepareResponse t;
    t.token = h.promised_token;
    t.store_id = h.store_id;
    t.start_count = h.start_count;
    t.round = round;
    t.incarnation = incarnation;
    t.unconfirmed = unconfirmed;
    t.unconfirmed_on_disk = ConfirmationCount() % 2 == 0;
    t.last = log.LastOffset();
    t.committed = IsIncomplete() ? 0 : h.committed;
    t.first = h.first;
    t.compacted_up_to = h.compacted_up_to;
    t.tombstone_horizon = h.tombstone_horizon;
    t.last_token = log.LastToken();
    t.witnessed = h.witnessed;
    t.gaps = log.Gaps(kMaxGapsPerMessage);
    t.corrupted = !t.gaps.empty();
    return t;
  }

  // Where what it has may still be what the writer has: below all that has the token of what
  // differs.
  Offset ResumeAfter(Offset after) const {
    Offset last = log.LastOffset(), floor = log.metadata().committed;
    if (last < after)
      return last;
    if (IsIncomplete())
      return 0;  // anew
    auto differs = log.TokenAt(after);
    Offset at = after == 0 ? 0 : after - 1;
    while (at > floor && differs && log.TokenAt(at) == differs)
      --at;
    return std::max(at, floor);
  }

  // What follows m.after goes to disk; true: it has all of it then.
  bool WriteEntries(const AppendRequest& m, Offset& up_to) {
    const LogMetadata& h = log.metadata();
    Offset end = m.entries.empty() ? m.after : m.entries.back().offset;
    if (m.from_snapshot && m.after == 0) {
      // A late double would throw away what came since.
      if (last_snapshot_session == std::pair(m.token, m.snapshot_session))
        return false;
      // How far it was: one half brought up is not taken for one whose disk is old. (Else, with a
      // minority of disks lost, a third keeper caught in between would keep all from going on for
      // ever.)
      log.RecordWitnessed(self, log.LastOffset());
      if (!log.ResetFromSnapshot(
              m.entries, {std::min(m.compacted_up_to, end), std::min(m.tombstone_horizon, end)}))
        return false;
      last_snapshot_session = {m.token, m.snapshot_session};
      up_to = end;
      return true;
    }
    // Of this very session all is the writer's; and what is committed may have another token
    // elsewhere, but no other content.
    bool in_session = m.from_snapshot && IsIncomplete() &&
                      last_snapshot_session == std::pair(m.token, m.snapshot_session);
    auto have = [&](const Entry& e) {
      return (!IsIncomplete() && e.offset <= h.committed) ||
             (in_session && e.offset <= log.LastOffset()) || log.TokenAt(e.offset) == e.token;
    };
    std::size_t skip = 0;
    while (skip < m.entries.size() && have(m.entries[skip]))
      ++skip;
    if (skip < m.entries.size()) {
      std::vector<Entry> rest(m.entries.begin() + static_cast<std::ptrdiff_t>(skip),
                              m.entries.end());
      Offset from = rest.front().offset, before = skip == 0 ? m.after : m.entries[skip - 1].offset;
      if (IsIncomplete() && before < h.compacted_up_to)
        return false;
      bool gaps = false;
      for (Offset o = before; const Entry& e : rest) {
        gaps = gaps || e.offset != o + 1;
        o = e.offset;
      }
      // Only so far as this message tells: beyond, this keeper is not compacted but empty.
      CompactionProgress source;
      if (gaps || m.from_snapshot)
        source = {std::min(m.compacted_up_to, end), std::min(m.tombstone_horizon, before)};
      // Over a gap: whatever it has above `before` is not the writer's.
      if (gaps && log.LastOffset() > before && before >= h.committed)
        from = before + 1;
      if (!log.AppendEntries(from, rest, source))
        return false;
    }
    up_to = end;
    return true;
  }

  void HandleAppend(Id from, const AppendRequest& m, const SendMessage& send) {
    const LogMetadata& h = log.metadata();
    AppendResponse k;
    k.incarnation = incarnation;
    k.token = h.promised_token;
    k.last = log.LastOffset();
    if (m.token < h.promised_token && settings.defect_skip_plan_fencing && m.plan.up_to != 0)
      log.AcceptPlan({h.promised_token, m.plan.up_to, m.plan.remove_tombstones_up_to});
    if (m.token < h.promised_token || m.incarnation != incarnation || m.token > h.promised_token) {
      k.refused = true;
      k.unknown_incarnation = m.token >= h.promised_token;
      k.incomplete = IsIncomplete();
      return send(from, k);
    }
    bool known = (!IsIncomplete() && m.after <= h.committed) || m.after == 0 ||
                 (m.after_token != 0 && log.TokenAt(m.after) == m.after_token);
    // The session goes on where it was, though the source may have compacted that very entry.
    known = known ||
            (m.from_snapshot && last_snapshot_session == std::pair(m.token, m.snapshot_session) &&
             m.after == log.LastOffset());
    Offset up_to = 0;
    bool was_partial = IsIncomplete();
    try {
      if (m.corrupted)
        SetConfirmed(false);
      if (!known || !WriteEntries(m, up_to)) {
        k.refused = true;
        k.resume_after = ResumeAfter(m.after);
        k.incomplete = IsIncomplete();
      } else {
        // Of a log begun anew nothing is served below where its source was compacted: keys would be
        // missing.
        bool whole = (!m.from_snapshot && !was_partial) ||
                     up_to >= (m.from_snapshot ? std::max(m.compacted_up_to, m.tombstone_horizon)
                                               : m.compacted_up_to);
        // What the source had forgotten is forgotten here too, before anything is served: told too
        // low, it brings the dead back to life at a subscriber. But only here: it is also by this
        // that a writer sees whether a source has forgotten meanwhile.
        if (m.from_snapshot && whole && up_to >= m.tombstone_horizon &&
            h.tombstone_horizon < m.tombstone_horizon)
          log.AppendEntries(0, {}, {0, m.tombstone_horizon});
        if (whole)
          log.Commit(std::min(m.committed, up_to));
        if (m.plan.up_to != 0 && m.plan.token == m.token)
          log.AcceptPlan(m.plan);
        k.up_to = up_to;
        k.gaps = log.Gaps(kMaxGapsPerMessage);
        k.incomplete = IsIncomplete();
        if (m.confirms && up_to >= m.committed && k.gaps.empty() && !k.incomplete) {
          unconfirmed = false;
          SetConfirmed(true);
        }
      }
      for (auto [id, held] : m.match_offsets)
        if (id != self && IsReplica(id))
          log.RecordWitnessed(id, held);
      if (!m.match_offsets.empty())
        log.PersistMetadata();
      if (m.entries.empty()) {
        if (!k.refused && !k.incomplete)
          if (auto p = log.ProposePlan(unix_now, m.min_subscriber_position, m.token))
            k.plan = *p;
      }
    } catch (const StorageFullError&) {
      k.full = true;
      k.up_to = known ? std::min(m.after, log.LastOffset()) : 0;
      k.refused = !known;
      k.resume_after = known ? 0 : ResumeAfter(m.after);
      k.gaps = log.Gaps(kMaxGapsPerMessage);
      k.incomplete = IsIncomplete();
    }
    if (log.Gaps(1).empty())
      needs_reset = false;
    k.last = log.LastOffset();
    k.needs_reset = needs_reset;
    send(from, k);
  }

  void HandleFetch(Id from, const FetchRequest& m, const SendMessage& send) {
    const LogMetadata& h = log.metadata();
    if (IsIncomplete() || log.HasUnlocatedLoss())
      return;  // what is not here may be what is lost, not what is superseded
    FetchResponse f;
    f.committed = h.committed;
    f.compacted_up_to = h.compacted_up_to;
    f.tombstone_horizon = h.tombstone_horizon;
    if (!m.offsets.empty()) {
      f.after = kGapRepair;
      std::size_t bytes = 0;
      std::vector<Offset> only(m.offsets);
      std::sort(only.begin(), only.end());
      only.erase(std::unique(only.begin(), only.end()), only.end());
      auto holes = log.Gaps(SIZE_MAX);
      for (Offset o : only) {
        if (o > h.committed || std::binary_search(holes.begin(), holes.end(), o))
          break;
        if (const Entry* e = log.Find(o)) {
          if (bytes += e->key.size() + e->value.size();
              !f.entries.empty() && bytes > settings.batch_bytes)
            break;
          f.entries.push_back(*e);
        }
        f.up_to = o;
        f.offsets.push_back(o);
      }
    } else {
      f.after = m.after;
      f.after_token = log.TokenAt(m.after).value_or(0);
      f.entries = log.Read(m.after, m.up_to, settings.batch_bytes);
      f.up_to = f.entries.empty() ? m.after : f.entries.back().offset;
    }
    send(from, f);
  }

  void RepairGaps(const FetchResponse& m) {
    if (m.after != kGapRepair || IsIncomplete())
      return;
    Offset sure = std::min(
        m.committed, log.metadata().committed);  // above it, only a writer knows what belongs there
    for (Offset o : log.Gaps(kMaxGapsPerMessage)) {
      if (o > sure)
        break;
      // A late answer to another question must not close what it says nothing of.
      if (std::find(m.offsets.begin(), m.offsets.end(), o) == m.offsets.end())
        continue;
      auto e = std::find_if(m.entries.begin(), m.entries.end(),
                            [&](const Entry& one) { return one.offset == o; });
      if (e != m.entries.end())
        log.RepairGap(*e);
      // Not there, and nothing so high is forgotten there: superseded. Else it may have been a
      // tombstone that hides what is here still: closing it would bring the dead back to life.
      else if (o <= m.compacted_up_to && o > m.tombstone_horizon)
        log.CloseCompactedGap(o, {m.compacted_up_to, m.tombstone_horizon});
      else if (o <= m.tombstone_horizon)
        needs_reset = true;
    }
  }

  template <class What>
  void RunUnlessFailed(What what) {
    if (failed)
      return;
    try {
      what();
    } catch (const StorageFullError&) {  // nothing was written; it is asked again
    } catch (const StorageError&) {
      failed =
          true;  // whether the last write landed is not known: no word until the disk is read anew
    }
  }
};

LogReplica::LogReplica(Id self, std::vector<Id> keepers, LogReplicaSettings terms, Log& log,
                       std::uint64_t life)
    : impl_(std::make_shared<Impl>(self, std::move(keepers), terms, log, life)) {}

void LogReplica::Receive(Ms, Id from, const Message& m, const SendMessage& send) {
  Impl& in = *impl_;
  in.RunUnlessFailed([&] {
    if (auto* seek = std::get_if<PrepareRequest>(&m)) {
      in.log.Promise(seek->token);
      send(from, in.MakePrepareResponse(seek->round));
    } else if (auto* append = std::get_if<AppendRequest>(&m)) {
      in.HandleAppend(from, *append, send);
    } else if (auto* fetch = std::get_if<FetchRequest>(&m)) {
      in.HandleFetch(from, *fetch, send);
    } else if (auto* fetched = std::get_if<FetchResponse>(&m); fetched && in.IsReplica(from)) {
      in.RepairGaps(*fetched);
    }
  });
}

void LogReplica::Tick(Ms now, const SendMessage& send, Ms unix_now) {
  Impl& in = *impl_;
  in.unix_now = unix_now >= 0 ? unix_now : now;
  in.RunUnlessFailed([&] {
    if (in.IsIncomplete())
      return;
    if (auto holes = in.log.Gaps(kMaxGapsPerMessage); !holes.empty()) {
      while (!holes.empty() && holes.back() > in.log.metadata().committed)
        holes.pop_back();
      if (holes.empty() || now < in.gaps_requested_at + in.settings.retry_interval ||
          in.replicas.size() < 2)
        return;
      in.gaps_requested_at = now;
      Id to = in.replicas[in.next_source++ % in.replicas.size()];
      if (to == in.self)
        to = in.replicas[in.next_source++ % in.replicas.size()];
      send(to, FetchRequest{0, 0, holes});
      return;
    }
    in.log.CompactStep();
  });
}

bool LogReplica::has_failed() const {
  return impl_->failed || impl_->log.has_failed();
}
bool LogReplica::IsUnconfirmed() const {
  return impl_->unconfirmed;
}
void LogReplica::SetUnconfirmed(bool doubted) {
  impl_->unconfirmed = doubted;
}
Log& LogReplica::log() {
  return impl_->log;
}

}  // namespace dunlinwick::record
